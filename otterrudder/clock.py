"""Two clocks in ms with fractions: Unix time for time stamps, monotonic time for deadlines."""

import time


def unix() -> float:
    """Unix time in ms; it jumps when the machine's clock is set."""
    return time.time_ns() / 1e6


def monotonic() -> float:
    """Ms since an arbitrary start; it never goes back."""
    return time.monotonic_ns() / 1e6
