"""Fits a linear law and a power law to measured figures and selects the one with the smaller residual.

Both fits minimize relative errors. Sizes span several decades, so a fit to absolute errors would depend
almost only on the largest size.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Literal

import numpy as np
import numpy.typing as npt

MIN_SIZES = 4  # minimum number of sizes for a fit; with fewer sizes any law fits
MIN_SCALE = 1e-300  # avoids a division by zero if all figures are 0
FLOOR_SHARE = 0.01  # share of the largest figure; smaller figures get the weight of a figure of this size

Kind = Literal["linear", "power"]
Figures = npt.NDArray[np.float64]


class TooFewSizesError(ValueError):
    """A fit was requested for fewer than four different sizes."""


@dataclass(frozen=True, slots=True)
class Law:
    """`linear`: first + second * size; `power`: first * size ** second."""

    kind: Kind
    first: float
    second: float
    rms: float  # root mean square of the relative residuals
    worst: float  # largest relative residual

    def at(self, size: float) -> float:
        if self.kind == "linear":
            return self.first + self.second * size
        return float(self.first * float(size) ** self.second)

    def __str__(self) -> str:
        if self.kind == "linear":
            return f"{self.first:.3g} + {self.second:.3g} n"
        return f"{self.first:.3g} n^{self.second:.2f}"


@dataclass(frozen=True, slots=True)
class Fit:
    """The law with the smaller residual and the other one. `other` is None if a figure is not positive, since
    a power law cannot be fitted then."""

    taken: Law
    other: Law | None


def fit(sizes: Sequence[float], figures: Sequence[float]) -> Fit:
    """Fits both laws. Raises TooFewSizesError if there are fewer than four different sizes."""
    if len(set(sizes)) < MIN_SIZES or len(sizes) != len(figures):
        raise TooFewSizesError(
            f"{len(set(sizes))} different sizes and {len(figures)} figures; "
            f"a fit needs at least {MIN_SIZES} sizes with one figure each"
        )
    x, y = np.asarray(sizes, float), np.asarray(figures, float)
    linear = _linear(x, y)
    if y.min() <= 0:
        return Fit(linear, None)
    power = _power(x, y)
    return Fit(power, linear) if power.rms < linear.rms else Fit(linear, power)


def _linear(x: Figures, y: Figures) -> Law:
    scale = _scale(y)
    weighted = np.stack([1 / scale, x / scale], axis=1)
    (first, second), *_ = np.linalg.lstsq(weighted, y / scale, rcond=None)
    return _law("linear", float(first), float(second), x, y)


def _power(x: Figures, y: Figures) -> Law:
    second, first = np.polyfit(np.log(x), np.log(y), 1)
    return _law("power", float(np.exp(first)), float(second), x, y)


def _law(kind: Kind, first: float, second: float, x: Figures, y: Figures) -> Law:
    law = Law(kind, first, second, 0.0, 0.0)
    predicted = np.asarray([law.at(size) for size in x])
    residual = np.abs(predicted - y) / _scale(y)
    return Law(kind, first, second, float(np.sqrt(np.mean(residual**2))), float(residual.max()))


def _scale(y: Figures) -> Figures:
    floor = max(float(np.abs(y).max()) * FLOOR_SHARE, MIN_SCALE)
    scale: Figures = np.maximum(np.abs(y), floor)
    return scale
