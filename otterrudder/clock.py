"""Two clocks in ms with fractions: Unix for what others stamp, monotonic for due times."""

import time


def unix() -> float:
    """Unix time in ms; it may jump when the machine's clock is set."""
    return time.time_ns() / 1e6


def monotonic() -> float:
    """Ms since an arbitrary start; it never runs backwards."""
    return time.monotonic_ns() / 1e6
