"""Laws fitted to measured figures, and how well they fit: a line and a power law, the better one taken.

Both are fitted to relative errors: sizes lie decades apart, and a fit to absolute errors would follow the
largest alone."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Literal

import numpy as np
import numpy.typing as npt

SIZES_LEAST = 4  # figures that a law may be fitted to; with fewer any law fits
SCALE_LEAST = 1e-300  # where all figures are 0
FLOOR_SHARE = 0.01  # of the largest figure: a smaller one is weighed as if it were this large

Kind = Literal["linear", "power"]
Figures = npt.NDArray[np.float64]


class TooFewSizesError(ValueError):
    """A law was to be fitted to fewer than four sizes."""


@dataclass(frozen=True, slots=True)
class Law:
    """`linear`: first + second * size; `power`: first * size ** second."""

    kind: Kind
    first: float
    second: float
    rms: float  # relative residual: root of the mean square
    worst: float  # relative residual: the largest

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
    """The law with the smaller residual, and the other; None: a figure is not above 0, so no power law."""

    taken: Law
    other: Law | None


def fit(sizes: Sequence[float], figures: Sequence[float]) -> Fit:
    """Both laws, the better first. TooFewSizesError: there are not four different sizes."""
    if len(set(sizes)) < SIZES_LEAST or len(sizes) != len(figures):
        raise TooFewSizesError(
            f"{len(set(sizes))} sizes with {len(figures)} figures: {SIZES_LEAST} are the least"
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
    found = np.asarray([law.at(size) for size in x])
    residual = np.abs(found - y) / _scale(y)
    return Law(kind, first, second, float(np.sqrt(np.mean(residual**2))), float(residual.max()))


def _scale(y: Figures) -> Figures:
    floor = max(float(np.abs(y).max()) * FLOOR_SHARE, SCALE_LEAST)
    scale: Figures = np.maximum(np.abs(y), floor)
    return scale
