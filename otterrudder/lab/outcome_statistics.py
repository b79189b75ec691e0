"""What callers of a day got, second by second. A day's figures come from here, and from no server."""

from dataclasses import dataclass, field

import numpy as np

from otterrudder.admission.interface import RequestClass

# Outcomes by the names that experiments read.
COMPLETED = "settled"
LATE = "late"
REJECTED = "declined"
FAILED = "voided"
UNREACHABLE = "unreached"


@dataclass(slots=True)
class SecondCounts:
    """Counts of the requests that were asked for in one second, by product."""

    asked: list[int]
    in_time: list[int]
    late: list[int]


@dataclass(slots=True)
class Session:
    """How a session of requests goes: one that does not complete breaks it."""

    completed: int = 0
    is_broken: bool = False
    is_over: bool = False


@dataclass(slots=True)
class OutcomeStatistics:
    """What was asked for in a day of `length_s`, and how each request ended for its caller."""

    products: list[RequestClass]
    length_s: int
    seconds: list[SecondCounts] = field(init=False)
    ends: dict[str, int] = field(default_factory=dict)
    attempts: int = 0
    times: list[float] = field(default_factory=list)  # ms to the answer of what completed
    sessions: dict[int, Session] = field(default_factory=dict)

    def __post_init__(self) -> None:
        zeros = len(self.products)
        self.seconds = [SecondCounts([0] * zeros, [0] * zeros, [0] * zeros) for _ in range(self.length_s + 1)]

    def _second(self, at: float) -> SecondCounts:
        return self.seconds[min(int(at / 1000), self.length_s)]

    def asked(self, at: float, product: int) -> None:
        """A caller asks for a request at `at`."""
        self._second(at).asked[product] += 1

    def ended(self, at: float, now: float, product: int, outcome: str) -> None:
        """The end of a request asked for at `at`, as its caller saw it."""
        request_class = self.products[product]
        if outcome == COMPLETED:
            self.times.append(now - at)
            if now - at <= request_class.latency_objective_ms:
                self._second(at).in_time[product] += 1
            else:
                outcome = LATE
                self._second(at).late[product] += 1
        self.ends[outcome] = self.ends.get(outcome, 0) + 1

    def table(self, name: str) -> np.ndarray:
        """One of the counts as an array: seconds by products."""
        return np.array([getattr(second, name) for second in self.seconds])

    def value(self, from_s: int = 0, to_s: int | None = None) -> float:
        """Priority weight completed within the latency objective (late: at its late share) over that asked
        for."""
        asked, in_time, late = (self.table(n)[from_s:to_s].sum(0) for n in ("asked", "in_time", "late"))
        weights = np.array([p.priority_weight for p in self.products])
        late_shares = np.array([p.late_weight_factor for p in self.products])
        offered = float((asked * weights).sum())
        return float((in_time * weights + late * weights * late_shares).sum()) / offered if offered else 1.0

    def served(self, product: int, from_s: int = 0, to_s: int | None = None) -> float:
        """Share of a request class completed within its latency objective."""
        asked = int(self.table("asked")[from_s:to_s, product].sum())
        return int(self.table("in_time")[from_s:to_s, product].sum()) / asked if asked else 1.0
