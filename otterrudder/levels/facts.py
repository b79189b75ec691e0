"""The facts that the conditions of a level may name. The admission controller and the server report them."""

import math
from typing import NamedTuple


class FactRange(NamedTuple):
    """The range of values that a fact can have."""

    minimum: float
    maximum: float


FACTS: dict[str, FactRange] = {
    "pressure": FactRange(0.0, 1.0),  # backpressure: how strongly callers are asked to reduce their load
    "waits": FactRange(0.0, 1.0),  # mean queueing time as a share of the request's latency objective
    "given_up": FactRange(0.0, 1.0),  # share of recent runs that finished too late or not at all
    "stretch": FactRange(1.0, math.inf),  # ratio of the recent latency to the lowest latency
    "busy": FactRange(0.0, math.inf),  # share of the cores in use
    "memory": FactRange(0.0, math.inf),  # share of the memory in use
    "demand": FactRange(0.0, math.inf),  # requested work, rejected work included, relative to the limit
    "retries": FactRange(0.0, 1.0),  # share of marked retries among arrivals
    "late_ms": FactRange(0.0, math.inf),  # delay of the process's last tick, in ms
}
