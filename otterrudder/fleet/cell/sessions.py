"""The servers of a relay: those with a stream, and leases of those whose stream has ended. Pure."""

import math
from collections.abc import Iterator
from dataclasses import dataclass

from otterrudder.fleet.cell.messages import Registration
from otterrudder.fleet.cell.validation_poll import Candidate

NO_CONNECTION = 0
RESEND_INTERVAL_MS = 2000.0  # after which a text is sent again to a server that does not go by it


@dataclass(slots=True)
class Session:
    """A server's stream, from its registration on. Times are by the relay's clock."""

    connection: int
    name: str
    incarnation: str
    fingerprint: str
    zone: str
    version: int  # that the server goes by
    last_message_at: float
    registered_at: float
    status: str = ""  # of the server, for operators
    granted_until: float = -math.inf
    pushed_version: int = 0  # of the text that was last sent
    pushed_at: float = -math.inf
    deferred_request: int = 0  # the sequence number of one that is answered after the next read; 0: none

    def needs_policy(self, now: float, version: int) -> bool:
        """Whether the text of `version`, which is in force, is to be sent."""
        if self.version >= version:
            return False
        return self.pushed_version != version or now - self.pushed_at >= RESEND_INTERVAL_MS


@dataclass(frozen=True, slots=True)
class ClosedStreamLease:
    """The lease of a server whose stream has ended."""

    until: float
    server: str


class SessionTable:
    """Sessions by connection, and for each fingerprint the last lease of a server whose stream has ended."""

    __slots__ = ("_closed_stream_leases", "_sessions", "max_sessions")

    def __init__(self, max_sessions: int) -> None:
        self.max_sessions = max_sessions
        self._sessions: dict[int, Session] = {}
        self._closed_stream_leases: dict[str, ClosedStreamLease] = {}  # by fingerprint

    def __len__(self) -> int:
        return len(self._sessions)

    def __contains__(self, connection: int) -> bool:
        return connection in self._sessions

    def __iter__(self) -> Iterator[Session]:
        return iter(self._sessions.values())

    def get(self, connection: int) -> Session | None:
        """The session on this connection."""
        return self._sessions.get(connection)

    def connections(self) -> list[int]:
        """Of all sessions, the oldest first."""
        return list(self._sessions)

    def register(self, now: float, connection: int, registration: Registration) -> Session:
        """A new session, in place of an earlier one on the same connection."""
        session = Session(
            connection,
            registration.name,
            registration.incarnation,
            registration.fingerprint,
            registration.zone,
            registration.version,
            last_message_at=now,
            registered_at=now,
        )
        self._sessions[connection] = session
        return session

    def has_room(self, connection: int) -> bool:
        """Whether a registration on this connection needs no other session to end."""
        return connection in self._sessions or len(self._sessions) < self.max_sessions

    def stale_session(self, registration: Registration) -> Session | None:
        """A session of the same process on an earlier stream, whose end is not known yet."""
        process = (registration.name, registration.incarnation)
        return next((session for session in self if (session.name, session.incarnation) == process), None)

    def close(self, connection: int) -> bool:
        """The stream has ended; the lease goes on to its end. Whether there was such a session."""
        session = self._sessions.pop(connection, None)
        if session is None:
            return False
        departed = self._closed_stream_leases.get(session.fingerprint)
        if session.granted_until > (departed.until if departed else -math.inf):
            self._closed_stream_leases[session.fingerprint] = ClosedStreamLease(
                session.granted_until, session.name
            )
        return True

    def silent_since(self, oldest: float) -> list[int]:
        """The connections on which no message has come since that time."""
        return [session.connection for session in self if session.last_message_at < oldest]

    def drop_lapsed(self, now: float) -> None:
        """Forget leases of ended streams that have lapsed."""
        self._closed_stream_leases = {
            one: lease for one, lease in self._closed_stream_leases.items() if lease.until > now
        }

    def candidates(self, now: float) -> Iterator[Candidate]:
        """The servers whose lease has not lapsed."""
        for session in self:
            if session.granted_until > now:
                yield Candidate(session.connection, session.fingerprint, session.name)
        for fingerprint, lease in self._closed_stream_leases.items():
            if lease.until > now:
                yield Candidate(NO_CONNECTION, fingerprint, lease.server)
