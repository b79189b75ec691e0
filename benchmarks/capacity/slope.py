"""Measurement of one figure at several sizes, with its fitted law, extrapolation, limit and verdict."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from benchmarks.capacity.laws import Fit, fit

MARGIN = 0.9  # share of a limit from which the verdict is "with nothing to spare"


@dataclass(frozen=True, slots=True)
class Limit:
    """Maximum of a figure, with the source of the limit."""

    value: float
    why: str


@dataclass(frozen=True, slots=True)
class Slope:
    """Figures of one component as a function of one size."""

    name: str  # row and measurement, as row/measurement
    what: str  # description of the figure, with its unit
    by: str  # quantity that the size counts
    method: str  # measurement method
    sizes: tuple[float, ...]
    figures: tuple[float, ...]
    target: float  # size that the users expect
    limit: Limit | None  # limit of the figure, or None if it has no limit
    fit: Fit

    @property
    def at_target(self) -> float:
        """The measured figure if the users' size was measured, else the value of the law at that size.

        Beyond the largest measured size a cost is assumed not to fall, so the result is at least the figure
        at that size.
        """
        if self.target in self.sizes:
            return self.figures[self.sizes.index(self.target)]
        predicted, largest = self.fit.taken.at(self.target), max(self.sizes)
        return max(predicted, self.figures[self.sizes.index(largest)]) if self.target > largest else predicted

    @property
    def stretch(self) -> float:
        """Ratio of the users' size to the largest measured size."""
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
        measured = ", ".join(f"{s:g}: {f:.4g}" for s, f in zip(self.sizes, self.figures, strict=True))
        beside = f"; {other.kind} {other}, rms {other.rms:.1%}" if other else ""
        limit = f"{self.limit.value:.4g} ({self.limit.why})" if self.limit else "none named"
        return [
            f"{self.name}: {self.what}, by {self.by} ({self.method})",
            f"  played   {measured}",
            f"  law      {taken.kind} {taken}, residual rms {taken.rms:.1%}, worst {taken.worst:.1%}{beside}",
            f"  at {self.target:g}: {self.at_target:.4g}; stretched {self.stretch:.3g} times; limit {limit}",
            f"  verdict  {self.verdict}",
        ]


class Series:
    """Builds slopes that share their sizes."""

    def __init__(self, row: str, by: str, sizes: Sequence[float], target: float) -> None:
        self.row, self.by, self.sizes, self.target = row, by, tuple(sizes), target
        self.slopes: list[Slope] = []

    def add(
        self, name: str, what: str, method: str, figures: Sequence[float], limit: Limit | None = None
    ) -> None:
        """Fits the laws to the figures and appends the slope. Raises TooFewSizesError as `fit` does."""
        fitted = fit(self.sizes, figures)
        slope = Slope(
            f"{self.row}/{name}",
            what,
            self.by,
            method,
            self.sizes,
            tuple(figures),
            self.target,
            limit,
            fitted,
        )
        self.slopes.append(slope)


Row = Callable[[bool], list[Slope]]  # the argument selects the quick mode
