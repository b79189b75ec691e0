"""The limits of a relay, and what they are unless the fleet's file has others."""

from dataclasses import dataclass

DEFAULT_LEASE_MS = 3000.0  # of a server's lease
DEFAULT_MAX_SESSIONS = 2000  # a zone has some 300 servers


@dataclass(frozen=True, slots=True)
class RelayLimits:
    """What a relay's file may set."""

    span_ms: float = DEFAULT_LEASE_MS  # of a server's lease
    max_sessions: int = DEFAULT_MAX_SESSIONS
