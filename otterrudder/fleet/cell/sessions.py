"""The sessions of a relay's servers, and the leases of servers whose stream has ended.

The module is pure: it does no I/O and reads no clock."""

import math
from collections.abc import Iterator
from dataclasses import dataclass

from otterrudder.fleet.cell.messages import Registration
from otterrudder.fleet.cell.validation_poll import Candidate

NO_CONNECTION = 0
RESEND_INTERVAL_MS = 2000.0  # interval after which a policy is sent again to a server that does not use it


@dataclass(slots=True)
class Session:
    """The state of a server's stream after its registration. Times are by the relay's clock."""

    connection: int
    name: str
    incarnation: str
    fingerprint: str
    zone: str
    version: int  # policy version that the server uses
    last_message_at: float
    registered_at: float
    status: str = ""  # admission status that the server last reported, for operators
    granted_until: float = -math.inf
    pushed_version: int = 0  # version of the policy that was last sent
    pushed_at: float = -math.inf
    deferred_request: int = 0  # sequence number of the request to answer after the next store read; 0: none

    def needs_policy(self, now: float, version: int) -> bool:
        """Whether the policy in force, which has this version, has to be sent to the server now."""
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
        """Returns the session on this connection, None if there is none."""
        return self._sessions.get(connection)

    def connections(self) -> list[int]:
        """Returns the connections of all sessions, the oldest first."""
        return list(self._sessions)

    def register(self, now: float, connection: int, registration: Registration) -> Session:
        """Adds and returns a new session; it replaces an earlier session on the same connection."""
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
        """Whether a registration on this connection fits without ending another session."""
        return connection in self._sessions or len(self._sessions) < self.max_sessions

    def stale_session(self, registration: Registration) -> Session | None:
        """Returns a session of the same process on an earlier stream whose end has not been noticed yet."""
        process = (registration.name, registration.incarnation)
        return next((session for session in self if (session.name, session.incarnation) == process), None)

    def close(self, connection: int) -> bool:
        """Removes the session whose stream has ended, keeping its lease; returns whether there was one."""
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
        """Returns the connections on which no message has arrived since `oldest`."""
        return [session.connection for session in self if session.last_message_at < oldest]

    def drop_lapsed(self, now: float) -> None:
        """Removes the lapsed leases of servers whose stream has ended."""
        self._closed_stream_leases = {
            fingerprint: lease
            for fingerprint, lease in self._closed_stream_leases.items()
            if lease.until > now
        }

    def candidates(self, now: float) -> Iterator[Candidate]:
        """Yields the servers whose lease has not lapsed."""
        for session in self:
            if session.granted_until > now:
                yield Candidate(session.connection, session.fingerprint, session.name)
        for fingerprint, lease in self._closed_stream_leases.items():
            if lease.until > now:
                yield Candidate(NO_CONNECTION, fingerprint, lease.server)
