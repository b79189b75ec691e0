"""Demand over time, as a sum of shapes: 1.0 is what the site's cores can do, reads included.

A shape is a function of s since the day's start. Those with chance in them draw it beforehand, from a stream
of their own, so all variants of a day meet the same demand."""

import math
from collections.abc import Callable, Sequence
from typing import Annotated, Literal

import msgspec
import numpy as np

from otterrudder.lab.streams import RandomStreams

GRID_S = 0.5  # s between the points of a random walk
Shape = Callable[[float], float]
Positive = Annotated[float, msgspec.Meta(gt=0)]


class LoadPart(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """One shape of a load. `from_s` and `to_s` bound it in time; outside it adds nothing."""

    shape: Literal["constant", "ramp", "step", "sine", "square", "walk", "replay"]
    at: float = 0.0  # constant: the demand; ramp and step: the demand that is added in the end
    amplitude: float = 0.0  # sine, square: half of the swing; walk: its standard deviation
    period_s: Positive = 60.0  # sine, square: of the swing; walk: in which it forgets where it was
    from_s: float = 0.0
    to_s: float = math.inf
    points: list[tuple[float, float]] = []  # replay: (s, demand), joined by straight lines


def demand(parts: Sequence[LoadPart], streams: RandomStreams, length_s: float) -> Shape:
    """The sum of all parts, never below 0."""
    shapes = [_shape(part, streams, n, length_s) for n, part in enumerate(parts)]
    return lambda s: max(sum(shape(s) for shape in shapes), 0.0)


def _shape(part: LoadPart, streams: RandomStreams, n: int, length_s: float) -> Shape:
    inner = _inner(part, streams, n, length_s)
    return lambda s: inner(s) if part.from_s <= s < part.to_s else 0.0


def _inner(part: LoadPart, streams: RandomStreams, n: int, length_s: float) -> Shape:
    turn = 2 * math.pi / part.period_s
    match part.shape:
        case "constant" | "step":
            return lambda s: part.at
        case "ramp":
            span = max(min(part.to_s, length_s) - part.from_s, 1e-9)
            return lambda s: part.at * (s - part.from_s) / span
        case "sine":
            return lambda s: part.amplitude * math.sin(turn * (s - part.from_s))
        case "square":
            return lambda s: math.copysign(part.amplitude, math.sin(turn * (s - part.from_s) + 1e-9))
        case "replay":
            times, values = ([point[k] for point in part.points] for k in (0, 1))
            return lambda s: float(np.interp(s, times, values)) if times else 0.0
        case "walk":
            return _walk(part, streams, n, length_s)


def _walk(part: LoadPart, streams: RandomStreams, n: int, length_s: float) -> Shape:
    """A walk that is drawn back to 0, so that its spread stays `amplitude` however long the day is."""
    keep = math.exp(-GRID_S / part.period_s)
    draws = streams.generator(f"walk {n}").standard_normal(int(length_s / GRID_S) + 2)
    at, points = 0.0, []
    for draw in draws:
        at = at * keep + float(draw) * part.amplitude * math.sqrt(1 - keep * keep)
        points.append(at)
    return lambda s: points[min(int(s / GRID_S), len(points) - 1)]
