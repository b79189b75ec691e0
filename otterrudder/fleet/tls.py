"""TLS credentials for channels to the store and to relays, from the files that the fleet file names."""

from pathlib import Path
from typing import Any

import grpc


def channel_credentials(ca: Path | None, cert: Path | None, key: Path | None) -> Any:
    """Returns the channel credentials from the given files, or None without `ca`. Raises OSError if a file
    can't be read."""
    if ca is None:
        return None
    return grpc.ssl_channel_credentials(
        ca.read_bytes(), key.read_bytes() if key else None, cert.read_bytes() if cert else None
    )
