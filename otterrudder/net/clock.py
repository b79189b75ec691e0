"""Two clocks in ms with fractions: Unix for what others stamp, monotonic for due times."""

import time


def unix() -> float:
    return time.time_ns() / 1e6


def monotonic() -> float:
    return time.monotonic_ns() / 1e6
