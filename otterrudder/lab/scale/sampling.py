"""Estimates the CPU time of the protocol code from a sample of its calls."""

from dataclasses import dataclass
from time import thread_time_ns

# One in 64 of the frequent calls is timed, since reading the clock costs as much as some of these calls.
SAMPLING_INTERVAL = 64
CALIBRATION_READINGS = 2000  # clock readings from which the cost of one is computed


def reading_cost_ns() -> float:
    """Measures the time that a pair of clock readings adds to a sample, in ns."""
    before = thread_time_ns()
    for _ in range(CALIBRATION_READINGS):
        thread_time_ns()
    return (thread_time_ns() - before) / CALIBRATION_READINGS


@dataclass(slots=True)
class CpuSample:
    """The CPU time of calls of one kind. One call in `every` is timed."""

    overhead_ns: float
    every: int = SAMPLING_INTERVAL
    calls: int = 0
    timed: int = 0
    spent_ns: float = 0.0

    def is_due(self) -> bool:
        """Counts a call and returns whether it must be timed."""
        self.calls += 1
        return self.calls % self.every == 0

    def add(self, began_ns: int) -> None:
        """Adds the CPU time since `began_ns` as that of a timed call."""
        self.timed += 1
        self.spent_ns += max(thread_time_ns() - began_ns - self.overhead_ns, 0.0)

    @property
    def total_ms(self) -> float:
        """The estimated CPU time of all calls in ms: their number times the mean of the timed calls."""
        return self.spent_ns / max(self.timed, 1) * self.calls / 1e6
