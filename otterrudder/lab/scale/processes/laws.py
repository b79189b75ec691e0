"""Fits growth laws to figures by size: y = a + b n and y = c n^k.

The fits minimize the sum of the squared errors. The residual of a law is its largest error as a share of the
figure."""

from collections.abc import Sequence

import msgspec
import numpy

MIN_FIGURE = 1e-9  # smaller figures count as zero: they have no power law and no relative error


class LinearLaw(msgspec.Struct, frozen=True):
    """A cost that grows by a constant amount per server."""

    start: float
    slope: float  # per server
    residual: float

    def at(self, size: float) -> float:
        """Returns the cost at the given number of servers."""
        return self.start + self.slope * size

    def __str__(self) -> str:
        return f"{self.start:.4g} + {self.slope:.4g} n, ±{self.residual:.0%}"


class PowerLaw(msgspec.Struct, frozen=True):
    """A cost that grows as a power of the number of servers."""

    factor: float
    exponent: float
    residual: float

    def at(self, size: float) -> float:
        """Returns the cost at the given number of servers."""
        return float(self.factor * size**self.exponent)

    def __str__(self) -> str:
        return f"{self.factor:.4g} n^{self.exponent:.3g}, ±{self.residual:.0%}"


def fit_linear(sizes: Sequence[float], figures: Sequence[float]) -> LinearLaw:
    """Fits a linear law. At least two sizes are required."""
    slope, start = numpy.polyfit(sizes, figures, 1)
    errors = [start + slope * size - figure for size, figure in zip(sizes, figures, strict=True)]
    return LinearLaw(float(start), float(slope), _residual(errors, figures))


def fit_power(sizes: Sequence[float], figures: Sequence[float]) -> PowerLaw | None:
    """Fits a power law. Returns None if a figure is zero or negative."""
    if min(figures) < MIN_FIGURE:
        return None
    exponent, logarithm = numpy.polyfit(numpy.log(sizes), numpy.log(figures), 1)
    factor = float(numpy.exp(logarithm))
    errors = [factor * size**exponent - figure for size, figure in zip(sizes, figures, strict=True)]
    return PowerLaw(factor, float(exponent), _residual(errors, figures))


def _residual(errors: Sequence[float], figures: Sequence[float]) -> float:
    pairs = zip(errors, figures, strict=True)
    shares = [abs(error / figure) for error, figure in pairs if abs(figure) > MIN_FIGURE]
    return float(max(shares, default=0.0))
