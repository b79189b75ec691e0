"""The kind of a server: a digest of all that its verdict on a policy depends on."""

from hashlib import blake2b

import msgspec

from otterrudder import __version__
from otterrudder.fleet.policy import LocalConfiguration

KIND_BYTES = 16


def kind_of(own: LocalConfiguration, program: str = __version__) -> str:
    """Of a server's own configuration and its program's version; equal for servers that judge alike."""
    canonical = msgspec.msgpack.encode((program, own), order="deterministic")
    return blake2b(canonical, digest_size=KIND_BYTES).hexdigest()
