"""CPU time of the pure code, by a sample of its calls."""

from dataclasses import dataclass
from time import thread_time_ns

SAMPLING_INTERVAL = 64  # calls of the frequent kinds: the clock itself costs as much as some of them
CALIBRATION_READINGS = 2000  # pairs of readings, to know what a reading costs


def reading_cost_ns() -> float:
    """What a pair of readings adds to a sample."""
    before = thread_time_ns()
    for _ in range(CALIBRATION_READINGS):
        thread_time_ns()
    return (thread_time_ns() - before) / CALIBRATION_READINGS


@dataclass(slots=True)
class CpuSample:
    """Of calls of one kind; `every`: of them one is timed."""

    overhead_ns: float
    every: int = SAMPLING_INTERVAL
    calls: int = 0
    timed: int = 0
    spent_ns: float = 0.0

    def is_due(self) -> bool:
        """To be asked once a call: whether it is to be timed."""
        self.calls += 1
        return self.calls % self.every == 0

    def add(self, began_ns: int) -> None:
        """Counts the CPU time since `began_ns`."""
        self.timed += 1
        self.spent_ns += max(thread_time_ns() - began_ns - self.overhead_ns, 0.0)

    @property
    def total_ms(self) -> float:
        """Of all calls, by the mean of those that were timed."""
        return self.spent_ns / max(self.timed, 1) * self.calls / 1e6
