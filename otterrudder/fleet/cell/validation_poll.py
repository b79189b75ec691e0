"""Which kinds of server accept which policy: one server of each kind is asked, and the answer is remembered.

A kind is the digest of a server's configuration and its program's version, so two servers of one kind give
the same answer. Pure and bounded."""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_CACHED_RESULTS = (
    4096  # remembered answers; the one unused for longest is forgotten, and asked for again if needed
)
NEXT_SERVER_MS = 500.0  # ms after which another server of the same kind is asked
MIN_RECHECK_MS = 100.0  # ms between looks for a server of a kind that can't be asked yet
OVERDUE_MS = 1500.0  # ms after which a kind that has not answered gets no leases until it has


class ValidationCache:
    """Answers by kind and digest of the policy's text; "" is a yes."""

    __slots__ = ("_answers",)

    def __init__(self) -> None:
        self._answers: OrderedDict[tuple[str, str], str] = OrderedDict()

    def get(self, kind: str, digest: str) -> str | None:
        """None: this kind was not asked about that text, or it is forgotten."""
        key = (kind, digest)
        if key not in self._answers:
            return None
        self._answers.move_to_end(key)
        return self._answers[key]

    def put(self, kind: str, digest: str, trouble: str) -> None:
        self._answers[kind, digest] = trouble
        self._answers.move_to_end((kind, digest))
        while len(self._answers) > MAX_CACHED_RESULTS:
            self._answers.popitem(last=False)


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server whose lease has not lapsed. `connection`: 0 if its stream has ended: it can't be asked."""

    connection: int
    kind: str
    name: str


@dataclass(slots=True)
class _Asked:
    first_at: float
    last_at: float
    connections: set[int]


@dataclass(slots=True)
class ValidationPoll:
    """Asks each kind once about one text. `decided` is None until every kind has answered."""

    digest: str
    verdicts: ValidationCache
    _asked: dict[str, _Asked] = field(default_factory=dict)
    _owed: set[str] = field(default_factory=set)  # kinds that have a server here and have not answered
    _looked_at: float = -math.inf
    _refusal: str = ""

    def ask(self, now: float, candidates: Iterable[Candidate]) -> list[int]:
        """The connections that are to be asked now."""
        self._looked_at = now
        by_kind: dict[str, list[Candidate]] = {}
        for candidate in candidates:
            by_kind.setdefault(candidate.kind, []).append(candidate)
        self._owed = {kind for kind in by_kind if self.verdicts.get(kind, self.digest) is None}
        connections = [self._ask_kind(now, kind, by_kind[kind]) for kind in by_kind if kind in self._owed]
        return [connection for connection in connections if connection is not None]

    def _ask_kind(self, now: float, kind: str, members: list[Candidate]) -> int | None:
        asked = self._asked.get(kind)
        if asked and now - asked.last_at < NEXT_SERVER_MS:
            return None
        reached = [member.connection for member in members if member.connection]
        if not reached:
            return None
        tried = asked.connections if asked else set()
        chosen = next((connection for connection in reached if connection not in tried), reached[0])
        if asked:
            asked.last_at = now
            asked.connections.add(chosen)
        else:
            self._asked[kind] = _Asked(now, now, {chosen})
        return chosen

    def answered(self, kind: str, name: str, trouble: str) -> None:
        self.verdicts.put(kind, self.digest, trouble)
        self._owed.discard(kind)
        if trouble and not self._refusal:
            self._refusal = trouble if trouble.startswith(f"{name}:") else f"{name}: {trouble}"

    def is_overdue(self, now: float, kind: str) -> bool:
        """Whether this kind was asked long ago and has not answered: it gets no lease until it does."""
        asked = self._asked.get(kind)
        if not asked or self.verdicts.get(kind, self.digest) is not None:
            return False
        return now - asked.first_at >= OVERDUE_MS

    def decided(self, candidates: Iterable[Candidate]) -> str | None:
        """ "": all kinds accept the text; else the first refusal; None: some kind has not answered yet."""
        if self._refusal:
            return self._refusal
        for candidate in candidates:
            verdict = self.verdicts.get(candidate.kind, self.digest)
            if verdict is None:
                return None
            if verdict:
                return verdict if verdict.startswith(f"{candidate.name}:") else f"{candidate.name}: {verdict}"
        return ""

    def due(self) -> float:
        """When a kind may have to be asked again, in the caller's clock; inf: no answer is owed."""
        last = (self._asked[kind].last_at if kind in self._asked else -math.inf for kind in self._owed)
        times = (max(at + NEXT_SERVER_MS, self._looked_at + MIN_RECHECK_MS) for at in last)
        return min(times, default=math.inf)
