"""Two clocks in fractional milliseconds: Unix time for time stamps, monotonic time for deadlines."""

import time


def unix() -> float:
    """Returns the Unix time in ms, which jumps when the machine's clock is set."""
    return time.time_ns() / 1e6


def monotonic() -> float:
    """Returns the time in ms since an arbitrary start, which never decreases."""
    return time.monotonic_ns() / 1e6
