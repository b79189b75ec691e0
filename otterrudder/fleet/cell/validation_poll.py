"""Determines whether servers accept a policy: one server of each fingerprint is asked, and its result is
cached.

Servers with equal fingerprints have the same result. All state is bounded. The module is pure: it does no
I/O and reads no clock."""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

# The least recently used result is evicted, and a server is asked again if the result is needed.
MAX_CACHED_RESULTS = 4096
REQUEST_RETRY_MS = 500.0  # timeout after which another server with the same fingerprint is asked
MIN_RECHECK_MS = 100.0  # interval between checks while no server with a fingerprint has an open stream
OVERDUE_MS = 1500.0  # servers get no leases if their fingerprint has no result this long after a request


class ValidationCache:
    """Validation results by fingerprint and digest of the text; "" means that the text is accepted."""

    __slots__ = ("_results",)

    def __init__(self) -> None:
        self._results: OrderedDict[tuple[str, str], str] = OrderedDict()

    def get(self, fingerprint: str, digest: str) -> str | None:
        """Returns a result, None if there is none or it was evicted."""
        key = (fingerprint, digest)
        if key not in self._results:
            return None
        self._results.move_to_end(key)
        return self._results[key]

    def put(self, fingerprint: str, digest: str, rejection: str) -> None:
        """Stores a result, and evicts the least recently used results if there are too many."""
        self._results[fingerprint, digest] = rejection
        self._results.move_to_end((fingerprint, digest))
        while len(self._results) > MAX_CACHED_RESULTS:
            self._results.popitem(last=False)


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server whose lease has not lapsed.

    `connection` is 0 if the server's stream has ended, so that it can't be asked."""

    connection: int
    fingerprint: str
    name: str


@dataclass(slots=True)
class PendingRequest:
    """The connections of the servers with one fingerprint that were asked, and when they were asked."""

    first_at: float
    last_at: float
    connections: set[int]


@dataclass(slots=True)
class ValidationPoll:
    """Determines which servers to ask about one text, one server for each fingerprint.

    `result` returns None until all fingerprints have a result."""

    digest: str
    cache: ValidationCache
    _pending: dict[str, PendingRequest] = field(default_factory=dict)  # requests by fingerprint
    _unanswered: set[str] = field(default_factory=set)  # fingerprints of current servers without a result
    _checked_at: float = -math.inf
    _rejection: str = ""  # the first rejection

    def next_requests(self, now: float, candidates: Iterable[Candidate]) -> list[int]:
        """Returns the connections of the servers to ask now."""
        self._checked_at = now
        groups: dict[str, list[Candidate]] = {}
        for candidate in candidates:
            groups.setdefault(candidate.fingerprint, []).append(candidate)
        self._unanswered = {key for key in groups if self.cache.get(key, self.digest) is None}
        selected = [
            self._request_from_group(now, fingerprint, group)
            for fingerprint, group in groups.items()
            if fingerprint in self._unanswered
        ]
        return [connection for connection in selected if connection is not None]

    def _request_from_group(self, now: float, fingerprint: str, group: list[Candidate]) -> int | None:
        """Selects the server of a group to ask now and returns its connection; None if none is asked now."""
        request = self._pending.get(fingerprint)
        if request and now - request.last_at < REQUEST_RETRY_MS:
            return None
        connections = [candidate.connection for candidate in group if candidate.connection]
        if not connections:
            return None
        asked = request.connections if request else set()
        chosen = next((connection for connection in connections if connection not in asked), connections[0])
        if request:
            request.last_at = now
            request.connections.add(chosen)
        else:
            self._pending[fingerprint] = PendingRequest(now, now, {chosen})
        return chosen

    def handle_result(self, fingerprint: str, name: str, rejection: str) -> None:
        """Records the result of the server `name`, which applies to all servers with its fingerprint."""
        self.cache.put(fingerprint, self.digest, rejection)
        self._unanswered.discard(fingerprint)
        if rejection and not self._rejection:
            self._rejection = _with_server_name(name, rejection)

    def is_overdue(self, now: float, fingerprint: str) -> bool:
        """Whether servers with this fingerprint have not answered within OVERDUE_MS of the first request.

        They get no lease until one of them has answered."""
        request = self._pending.get(fingerprint)
        if not request or self.cache.get(fingerprint, self.digest) is not None:
            return False
        return now - request.first_at >= OVERDUE_MS

    def result(self, candidates: Iterable[Candidate]) -> str | None:
        """Returns the first rejection, "" if all servers accept the text, None if a result is missing."""
        if self._rejection:
            return self._rejection
        for candidate in candidates:
            rejection = self.cache.get(candidate.fingerprint, self.digest)
            if rejection is None:
                return None
            if rejection:
                return _with_server_name(candidate.name, rejection)
        return ""

    def due(self) -> float:
        """Returns when the next server may have to be asked; inf if no result is missing."""
        request_times = (
            self._pending[key].last_at if key in self._pending else -math.inf for key in self._unanswered
        )
        times = (max(at + REQUEST_RETRY_MS, self._checked_at + MIN_RECHECK_MS) for at in request_times)
        return min(times, default=math.inf)


def _with_server_name(name: str, rejection: str) -> str:
    """Puts the server's name ahead of its rejection, unless the rejection already begins with it."""
    return rejection if rejection.startswith(f"{name}:") else f"{name}: {rejection}"
