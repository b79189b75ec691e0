"""The ledger of a day: what callers got, second by second. Its figures come from here, from no server."""

from dataclasses import dataclass, field

import numpy as np

from otterrudder.admission.interface import RequestClass

SETTLED, LATE, DECLINED, VOIDED, UNREACHED = "settled", "late", "declined", "voided", "unreached"


@dataclass(slots=True)
class SecondCounts:
    """Counts of the requests that were asked for in one second, by product."""

    asked: list[int]
    in_time: list[int]
    late: list[int]


@dataclass(slots=True)
class Session:
    """How a session of requests goes: one that does not settle breaks it."""

    settled: int = 0
    is_broken: bool = False
    is_over: bool = False


@dataclass(slots=True)
class Ledger:
    """What was asked for in a day of `length_s`, and how each request ended for its caller."""

    products: list[RequestClass]
    length_s: int
    seconds: list[SecondCounts] = field(init=False)
    ends: dict[str, int] = field(default_factory=dict)
    tries: int = 0
    times: list[float] = field(default_factory=list)  # ms to the answer of what settled
    sessions: dict[int, Session] = field(default_factory=dict)

    def __post_init__(self) -> None:
        zeros = len(self.products)
        self.seconds = [SecondCounts([0] * zeros, [0] * zeros, [0] * zeros) for _ in range(self.length_s + 1)]

    def _second(self, at: float) -> SecondCounts:
        return self.seconds[min(int(at / 1000), self.length_s)]

    def asked(self, at: float, product: int) -> None:
        """A caller asks for a request at `at`."""
        self._second(at).asked[product] += 1

    def ended(self, at: float, now: float, product: int, how: str) -> None:
        """The end of a request asked for at `at`, as its caller saw it."""
        spec = self.products[product]
        if how == SETTLED:
            self.times.append(now - at)
            if now - at <= spec.latency_objective_ms:
                self._second(at).in_time[product] += 1
            else:
                how = LATE
                self._second(at).late[product] += 1
        self.ends[how] = self.ends.get(how, 0) + 1

    def table(self, name: str) -> np.ndarray:
        """One of the counts as an array: seconds by products."""
        return np.array([getattr(second, name) for second in self.seconds])

    def value(self, from_s: int = 0, to_s: int | None = None) -> float:
        """Value settled within the SLA time (late settles at their late share) over the value asked for."""
        asked, in_time, late = (self.table(n)[from_s:to_s].sum(0) for n in ("asked", "in_time", "late"))
        worth = np.array([p.priority_weight for p in self.products])
        kept = np.array([p.late_weight_factor for p in self.products])
        whole = float((asked * worth).sum())
        return float((in_time * worth + late * worth * kept).sum()) / whole if whole else 1.0

    def served(self, product: int, from_s: int = 0, to_s: int | None = None) -> float:
        """Share of a product settled within its SLA time."""
        asked = int(self.table("asked")[from_s:to_s, product].sum())
        return int(self.table("in_time")[from_s:to_s, product].sum()) / asked if asked else 1.0
