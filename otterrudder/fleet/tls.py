"""TLS of channels to the store and to relays, by the files that the fleet's file names."""

from pathlib import Path
from typing import Any

import grpc


def channel_credentials(ca: Path | None, cert: Path | None, key: Path | None) -> Any:
    """What the files by path hold, for the channel; None without them. OSError names the file."""
    if ca is None:
        return None
    return grpc.ssl_channel_credentials(
        ca.read_bytes(), key.read_bytes() if key else None, cert.read_bytes() if cert else None
    )
