"""Laws of growth, fitted to figures by size: y = a + b n, and y = c n^k. Least squares; the residual is the
largest miss, as a share of the figure."""

from collections.abc import Sequence

import msgspec
import numpy

SMALLEST = 1e-9  # a figure below it is none: there is no power law of it, and no share


class LinearLaw(msgspec.Struct, frozen=True):
    """A cost that grows by a constant a server."""

    start: float
    slope: float  # per server
    residual: float

    def at(self, size: float) -> float:
        """The cost at this size."""
        return self.start + self.slope * size

    def __str__(self) -> str:
        return f"{self.start:.4g} + {self.slope:.4g} n, ±{self.residual:.0%}"


class PowerLaw(msgspec.Struct, frozen=True):
    """A cost that grows by a power of the number of servers."""

    factor: float
    exponent: float
    residual: float

    def at(self, size: float) -> float:
        """The cost at this size."""
        return float(self.factor * size**self.exponent)

    def __str__(self) -> str:
        return f"{self.factor:.4g} n^{self.exponent:.3g}, ±{self.residual:.0%}"


def fit_linear(sizes: Sequence[float], figures: Sequence[float]) -> LinearLaw:
    """Needs two sizes."""
    slope, start = numpy.polyfit(sizes, figures, 1)
    misses = [start + slope * size - figure for size, figure in zip(sizes, figures, strict=True)]
    return LinearLaw(float(start), float(slope), _residual(misses, figures))


def fit_power(sizes: Sequence[float], figures: Sequence[float]) -> PowerLaw | None:
    """None: a figure is none or below."""
    if min(figures) < SMALLEST:
        return None
    exponent, logarithm = numpy.polyfit(numpy.log(sizes), numpy.log(figures), 1)
    factor = float(numpy.exp(logarithm))
    misses = [factor * size**exponent - figure for size, figure in zip(sizes, figures, strict=True)]
    return PowerLaw(factor, float(exponent), _residual(misses, figures))


def _residual(misses: Sequence[float], figures: Sequence[float]) -> float:
    pairs = zip(misses, figures, strict=True)
    shares = [abs(miss / figure) for miss, figure in pairs if abs(figure) > SMALLEST]
    return float(max(shares, default=0.0))
