"""Which servers accept a policy: one server of each fingerprint is asked, and the result is cached. Pure.

Servers with equal fingerprints come to the same result. All state is bounded."""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_CACHED_RESULTS = 4096  # the least recently used one is evicted, and asked for again if it is needed
REQUEST_RETRY_MS = 500.0  # after which another server with the same fingerprint is asked
MIN_RECHECK_MS = 100.0  # between looks for a server with a fingerprint that nobody here can be asked for
OVERDUE_MS = 1500.0  # after which servers with a fingerprint that has no result get no leases


class ValidationCache:
    """Validation results by fingerprint and digest of the text; "": accepted."""

    __slots__ = ("_results",)

    def __init__(self) -> None:
        self._results: OrderedDict[tuple[str, str], str] = OrderedDict()

    def get(self, fingerprint: str, digest: str) -> str | None:
        """None: there is no result, or it was evicted."""
        key = (fingerprint, digest)
        if key not in self._results:
            return None
        self._results.move_to_end(key)
        return self._results[key]

    def put(self, fingerprint: str, digest: str, rejection: str) -> None:
        """Keeps a result, and evicts the least recently used one where there are too many."""
        self._results[fingerprint, digest] = rejection
        self._results.move_to_end((fingerprint, digest))
        while len(self._results) > MAX_CACHED_RESULTS:
            self._results.popitem(last=False)


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server whose lease has not lapsed. `connection`: 0 if its stream has ended, so it can't be asked."""

    connection: int
    fingerprint: str
    name: str


@dataclass(slots=True)
class PendingRequest:
    """Which servers with one fingerprint were asked, and when."""

    first_at: float
    last_at: float
    connections: set[int]


@dataclass(slots=True)
class ValidationPoll:
    """Asks for each fingerprint once about one text. `result` is None until all have answered."""

    digest: str
    cache: ValidationCache
    _pending: dict[str, PendingRequest] = field(default_factory=dict)  # by fingerprint
    _unanswered: set[str] = field(default_factory=set)  # fingerprints of servers here that have no result
    _checked_at: float = -math.inf
    _rejection: str = ""  # the first one

    def next_requests(self, now: float, candidates: Iterable[Candidate]) -> list[int]:
        """The connections of the servers that are to be asked now."""
        self._checked_at = now
        groups: dict[str, list[Candidate]] = {}
        for candidate in candidates:
            groups.setdefault(candidate.fingerprint, []).append(candidate)
        self._unanswered = {one for one in groups if self.cache.get(one, self.digest) is None}
        found = [
            self._request_from_group(now, one, group)
            for one, group in groups.items()
            if one in self._unanswered
        ]
        return [connection for connection in found if connection is not None]

    def _request_from_group(self, now: float, fingerprint: str, group: list[Candidate]) -> int | None:
        """The connection of the next server of a group, which is asked now; None: none is."""
        question = self._pending.get(fingerprint)
        if question and now - question.last_at < REQUEST_RETRY_MS:
            return None
        connections = [candidate.connection for candidate in group if candidate.connection]
        if not connections:
            return None
        asked = question.connections if question else set()
        chosen = next((connection for connection in connections if connection not in asked), connections[0])
        if question:
            question.last_at = now
            question.connections.add(chosen)
        else:
            self._pending[fingerprint] = PendingRequest(now, now, {chosen})
        return chosen

    def handle_result(self, fingerprint: str, name: str, rejection: str) -> None:
        """The server `name` has answered for all with its fingerprint."""
        self.cache.put(fingerprint, self.digest, rejection)
        self._unanswered.discard(fingerprint)
        if rejection and not self._rejection:
            self._rejection = _with_server_name(name, rejection)

    def is_overdue(self, now: float, fingerprint: str) -> bool:
        """Whether a question was asked long ago and has no answer: such servers get no lease until then."""
        question = self._pending.get(fingerprint)
        if not question or self.cache.get(fingerprint, self.digest) is not None:
            return False
        return now - question.first_at >= OVERDUE_MS

    def result(self, candidates: Iterable[Candidate]) -> str | None:
        """ "": all accept the text; else the first rejection; None: a result is missing."""
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
        """When a server may have to be asked; inf: no result is missing."""
        last = (self._pending[one].last_at if one in self._pending else -math.inf for one in self._unanswered)
        times = (max(at + REQUEST_RETRY_MS, self._checked_at + MIN_RECHECK_MS) for at in last)
        return min(times, default=math.inf)


def _with_server_name(name: str, rejection: str) -> str:
    """A rejection names the server that gave it, once."""
    return rejection if rejection.startswith(f"{name}:") else f"{name}: {rejection}"
