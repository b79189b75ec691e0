"""The facts that the conditions of a level may name; the admission controller and the server report them."""

import math
from typing import NamedTuple


class FactRange(NamedTuple):
    """The lowest and highest value of a fact."""

    minimum: float
    maximum: float


FACTS: dict[str, FactRange] = {
    "pressure": FactRange(0.0, 1.0),  # backpressure: how hard callers are asked to hold back
    "waits": FactRange(0.0, 1.0),  # mean share of its latency objective that a request waits here
    "given_up": FactRange(0.0, 1.0),  # share of recent runs that finished too late or not at all
    "stretch": FactRange(1.0, math.inf),  # recent latency over the lowest
    "busy": FactRange(0.0, math.inf),  # share of the cores in use
    "memory": FactRange(0.0, math.inf),  # share of the memory in use
    "demand": FactRange(0.0, math.inf),  # work asked for over what the limit takes, rejected or not
    "retries": FactRange(0.0, 1.0),  # share of marked retries among arrivals
    "late_ms": FactRange(0.0, math.inf),  # ms by which the last tick of the process itself came late
}
