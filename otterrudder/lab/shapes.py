"""Demand over time, as a sum of shapes. A demand of 1.0 is the capacity of the site's cores, including the
reading of requests.

A shape is a function of the time in s since the start of the simulation. A random shape draws its values in
advance from a generator of its own, so that all variants get the same demand."""

import math
from collections.abc import Callable, Sequence
from typing import Annotated, Literal

import msgspec
import numpy as np

from otterrudder.lab.streams import RandomStreams

GRID_S = 0.5  # interval between the points of a random walk, in s
Shape = Callable[[float], float]
Positive = Annotated[float, msgspec.Meta(gt=0)]


class LoadPart(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One shape of a load. It adds to the demand from `from_s` until `to_s`."""

    shape: Literal["constant", "ramp", "step", "sine", "square", "walk", "replay"]
    at: float = 0.0  # constant, step: the added demand; ramp: the added demand at its end
    amplitude: float = 0.0  # sine, square: amplitude; walk: standard deviation
    period_s: Positive = 60.0  # sine, square: period; walk: time constant of the return to 0
    from_s: float = 0.0
    to_s: float = math.inf
    points: list[tuple[float, float]] = []  # replay: (time in s, demand), linearly interpolated


def demand(parts: Sequence[LoadPart], streams: RandomStreams, length_s: float) -> Shape:
    """Returns the sum of all parts as a function of time, with a minimum of 0."""
    shapes = [_shape(part, streams, part_number, length_s) for part_number, part in enumerate(parts)]
    return lambda s: max(sum(shape(s) for shape in shapes), 0.0)


def _shape(part: LoadPart, streams: RandomStreams, part_number: int, length_s: float) -> Shape:
    unbounded = _unbounded_shape(part, streams, part_number, length_s)
    return lambda s: unbounded(s) if part.from_s <= s < part.to_s else 0.0


def _unbounded_shape(part: LoadPart, streams: RandomStreams, part_number: int, length_s: float) -> Shape:
    radians_per_s = 2 * math.pi / part.period_s
    match part.shape:
        case "constant" | "step":
            return lambda s: part.at
        case "ramp":
            span = max(min(part.to_s, length_s) - part.from_s, 1e-9)
            return lambda s: part.at * (s - part.from_s) / span
        case "sine":
            return lambda s: part.amplitude * math.sin(radians_per_s * (s - part.from_s))
        case "square":
            return lambda s: math.copysign(part.amplitude, math.sin(radians_per_s * (s - part.from_s) + 1e-9))
        case "replay":
            times, values = ([point[k] for point in part.points] for k in (0, 1))
            return lambda s: float(np.interp(s, times, values)) if times else 0.0
        case "walk":
            return _random_walk(part, streams, part_number, length_s)


def _random_walk(part: LoadPart, streams: RandomStreams, part_number: int, length_s: float) -> Shape:
    """A random walk with mean reversion to 0, so that its standard deviation stays `amplitude` for any
    length."""
    decay = math.exp(-GRID_S / part.period_s)
    draws = streams.generator(f"walk {part_number}").standard_normal(int(length_s / GRID_S) + 2)
    value, points = 0.0, []
    for draw in draws:
        value = value * decay + float(draw) * part.amplitude * math.sqrt(1 - decay * decay)
        points.append(value)
    return lambda s: points[min(int(s / GRID_S), len(points) - 1)]
