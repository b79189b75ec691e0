"""The limits of a relay, with their defaults."""

from dataclasses import dataclass

DEFAULT_LEASE_MS = 3000.0  # span of a server's lease
DEFAULT_MAX_SESSIONS = 2000  # maximum number of sessions; a zone has about 300 servers


@dataclass(frozen=True, slots=True)
class RelayLimits:
    """The limits that a relay's configuration file may set."""

    span_ms: float = DEFAULT_LEASE_MS  # span of a server's lease
    max_sessions: int = DEFAULT_MAX_SESSIONS
