"""Constants of the admission package that a variant of an experiment may set, by their names in its file."""

from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from types import ModuleType

from otterrudder.admission import admission_queues, concurrency_limiter, memory_budget


@dataclass(frozen=True, slots=True)
class Tunable:
    """A float constant of a module."""

    module: ModuleType
    constant: str

    @property
    def value(self) -> float:
        """The present value of the constant."""
        value: float = getattr(self.module, self.constant)
        return value

    def set(self, value: float) -> None:
        """Changes the constant for all controllers of this process."""
        setattr(self.module, self.constant, value)


TUNABLES = {
    "CROWD": Tunable(concurrency_limiter, "CEILING_SHARE"),
    "EASY_RUNS": Tunable(concurrency_limiter, "FAST_RAMP_RUNS_PER_CORE"),
    "HOLD_WAIT": Tunable(admission_queues, "QUEUE_WAIT_SHARE"),
    "HOPELESS": Tunable(admission_queues, "MIN_EXPECTED_TIME_SHARE"),
    "MEMORY_READ": Tunable(memory_budget, "MAX_QUEUED_MEMORY_SHARE"),
    "RISE": Tunable(concurrency_limiter, "LIMIT_INCREASE_PER_CORE"),
}


@contextmanager
def tuned(values: Iterable[tuple[str, float]]) -> Iterator[None]:
    """Sets constants by their names in TUNABLES, and restores the former values at the end."""
    chosen = [(TUNABLES[name], value) for name, value in values]
    former = [(tunable, tunable.value) for tunable, _ in chosen]
    try:
        for tunable, value in chosen:
            tunable.set(value)
        yield
    finally:
        for tunable, value in former:
            tunable.set(value)
