"""One measurement by size: figures, law, the figure at the users' size, limit and verdict."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from benchmarks.capacity.laws import Fit, fit

MARGIN = 0.9  # share of a limit from which on nothing is to spare


@dataclass(frozen=True, slots=True)
class Limit:
    """What a figure may be, and why."""

    value: float
    why: str


@dataclass(frozen=True, slots=True)
class Slope:
    """Figures of one part by one size."""

    name: str  # row/measurement
    what: str  # the figure in words, with its unit
    by: str  # what the size counts
    method: str  # how it was measured
    sizes: tuple[float, ...]
    figures: tuple[float, ...]
    target: float  # the users' size
    limit: Limit | None  # of the figure; None: none is named
    fit: Fit

    @property
    def at_target(self) -> float:
        """What the law says at the users' size; where that size was played, what was measured. Beyond what
        was played no cost is taken to fall: a law that falls is level from the largest size on."""
        if self.target in self.sizes:
            return self.figures[self.sizes.index(self.target)]
        found, largest = self.fit.taken.at(self.target), max(self.sizes)
        return max(found, self.figures[self.sizes.index(largest)]) if self.target > largest else found

    @property
    def stretch(self) -> float:
        """How many times past the largest size played the law is stretched."""
        return self.target / max(self.sizes)

    @property
    def verdict(self) -> str:
        if self.limit is None:
            return "no limit named"
        used = self.at_target / self.limit.value
        if used > 1.0:
            return f"does not carry, by a factor of {used:.3g}"
        if used <= 0.0:
            return "carries: no cost seen"
        return (
            f"carries, with {1 / used:.3g} times to spare"
            if used < MARGIN
            else "carries, with nothing to spare"
        )

    def lines(self) -> list[str]:
        taken, other = self.fit.taken, self.fit.other
        played = ", ".join(f"{s:g}: {f:.4g}" for s, f in zip(self.sizes, self.figures, strict=True))
        beside = f"; {other.kind} {other}, rms {other.rms:.1%}" if other else ""
        limit = f"{self.limit.value:.4g} ({self.limit.why})" if self.limit else "none named"
        return [
            f"{self.name}: {self.what}, by {self.by} ({self.method})",
            f"  played   {played}",
            f"  law      {taken.kind} {taken}, residual rms {taken.rms:.1%}, worst {taken.worst:.1%}{beside}",
            f"  at {self.target:g}: {self.at_target:.4g}; stretched {self.stretch:.3g} times; limit {limit}",
            f"  verdict  {self.verdict}",
        ]


class Series:
    """Slopes over the same sizes."""

    def __init__(self, row: str, by: str, sizes: Sequence[float], target: float) -> None:
        self.row, self.by, self.sizes, self.target = row, by, tuple(sizes), target
        self.slopes: list[Slope] = []

    def add(
        self, name: str, what: str, method: str, figures: Sequence[float], limit: Limit | None = None
    ) -> None:
        """Fits the laws to the figures; TooFewSizesError as `fit`."""
        found = fit(self.sizes, figures)
        told = Slope(
            f"{self.row}/{name}", what, self.by, method, self.sizes, tuple(figures), self.target, limit, found
        )
        self.slopes.append(told)


Row = Callable[[bool], list[Slope]]  # told whether it is to be quick
