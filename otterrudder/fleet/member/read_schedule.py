"""Schedules a member's reads of the store: after a watch event, after a fixed interval, and after a
failure."""

import math
from collections.abc import Callable

RETRY_MS = 200.0  # delay before the first retry of a failed request; doubled for each further retry
MAX_RETRY_MS = 2000.0  # maximum retry delay: a longer one would notice the return of the store too late
MAX_DOUBLINGS = 10
# The interval between reads of a member with a prepared vote, as a fraction of bound_ms: three reads may be
# lost.
POLL_SHARE = 0.25


class ReadSchedule:
    """Keeps the times of the next read and of the next retry after a failed request to the store."""

    __slots__ = ("failures", "is_stale", "is_discarded", "read_at", "retry_at")

    def __init__(self, now: float) -> None:
        self.is_stale = True  # whether the store has to be read
        # Whether the request in flight was sent before the registration was lost. Its result is then ignored.
        self.is_discarded = False
        self.read_at = -math.inf  # when the last read was sent
        self.retry_at = now  # earliest time of the next request
        self.failures = 0  # number of consecutive failed requests

    def begin_read(self, now: float) -> None:
        """Records that a read is sent."""
        self.is_stale, self.read_at = False, now

    def take_discarded(self) -> bool:
        """Returns whether the result of the request that has just ended must be ignored, and resets the
        flag."""
        is_discarded, self.is_discarded = self.is_discarded, False
        return is_discarded

    def succeed(self, now: float) -> None:
        """Records that a trusted store answered a read."""
        self.failures, self.retry_at = 0, now

    def fail(self, now: float, max_wait_ms: float, jitter: Callable[[str], float]) -> None:
        """Delays the next request after a failure, with exponential backoff and jitter. `jitter` returns a
        number from 0 to 1 for a purpose."""
        self.failures += 1
        wait_ms = min(RETRY_MS * 2.0 ** min(self.failures - 1, MAX_DOUBLINGS), max_wait_ms)
        self.retry_at = now + wait_ms * (0.5 + 0.5 * jitter("retry"))
