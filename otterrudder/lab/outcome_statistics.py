"""Counts requests and their outcomes as the callers saw them, second by second. The figures of a simulation
come from these counts, not from the servers."""

from dataclasses import dataclass, field

import numpy as np

from otterrudder.admission.interface import RequestClass

# Outcomes, by the names that figures and experiment files use.
COMPLETED = "settled"
LATE = "late"
REJECTED = "declined"
FAILED = "voided"
UNREACHABLE = "unreached"


@dataclass(slots=True)
class SecondCounts:
    """Counts of the requests that arrived in one second, by product."""

    asked: list[int]  # arrived
    in_time: list[int]  # completed within the latency objective
    late: list[int]  # completed later


@dataclass(slots=True)
class Session:
    """The progress of a session. The first request that does not complete ends it as broken."""

    completed: int = 0  # number of completed requests
    is_broken: bool = False
    is_over: bool = False


@dataclass(slots=True)
class OutcomeStatistics:
    """The requests of a simulation of `length_s` seconds, and how each request ended for its caller."""

    products: list[RequestClass]
    length_s: int
    by_second: list[SecondCounts] = field(init=False)
    outcomes: dict[str, int] = field(default_factory=dict)
    attempts: int = 0
    response_times: list[float] = field(default_factory=list)  # response times of completed requests, in ms
    sessions: dict[int, Session] = field(default_factory=dict)

    def __post_init__(self) -> None:
        product_count = len(self.products)
        self.by_second = [
            SecondCounts([0] * product_count, [0] * product_count, [0] * product_count)
            for _ in range(self.length_s + 1)
        ]

    def _second(self, at: float) -> SecondCounts:
        return self.by_second[min(int(at / 1000), self.length_s)]

    def asked(self, at: float, product: int) -> None:
        """A request arrives at `at` ms."""
        self._second(at).asked[product] += 1

    def ended(self, at: float, now: float, product: int, outcome: str) -> None:
        """A request that arrived at `at` ms ends at `now` ms with `outcome`, as its caller saw it."""
        request_class = self.products[product]
        if outcome == COMPLETED:
            self.response_times.append(now - at)
            if now - at <= request_class.latency_objective_ms:
                self._second(at).in_time[product] += 1
            else:
                outcome = LATE
                self._second(at).late[product] += 1
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    def table(self, name: str) -> np.ndarray:
        """The count `name` as an array with a row for each second and a column for each product."""
        return np.array([getattr(second, name) for second in self.by_second])

    def value(self, from_s: int = 0, to_s: int | None = None) -> float:
        """The share of the requests' priority weight that completed within the latency objective. A late
        request counts with its late weight factor."""
        asked, in_time, late = (self.table(n)[from_s:to_s].sum(0) for n in ("asked", "in_time", "late"))
        weights = np.array([p.priority_weight for p in self.products])
        late_weight_factors = np.array([p.late_weight_factor for p in self.products])
        offered = float((asked * weights).sum())
        return (
            float((in_time * weights + late * weights * late_weight_factors).sum()) / offered
            if offered
            else 1.0
        )

    def served(self, product: int, from_s: int = 0, to_s: int | None = None) -> float:
        """The share of a request class that completed within its latency objective."""
        asked = int(self.table("asked")[from_s:to_s, product].sum())
        return int(self.table("in_time")[from_s:to_s, product].sum()) / asked if asked else 1.0
