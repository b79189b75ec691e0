"""When a member reads the store: upon a watch event, when its own interval has passed, after a failure."""

import math
from collections.abc import Callable

RETRY_MS = 200.0  # ms to the first repeat of what had no answer; doubled each time
MAX_RETRY_MS = 2000.0  # ms; beyond that a store that is back would go unnoticed for too long
MAX_DOUBLINGS = 10
POLL_SHARE = 0.25  # of the bound, between reads of a member with a prepared vote: three may be lost


class ReadSchedule:
    """The times of the reads, and of the repeats of requests to the store that failed."""

    __slots__ = ("failures", "is_stale", "is_discarded", "read_at", "retry_at")

    def __init__(self, now: float) -> None:
        self.is_stale = True  # the store has to be read
        # The read under way began before the registration was lost: it proves nothing.
        self.is_discarded = False
        self.read_at = -math.inf  # when the last read was begun
        self.retry_at = now  # no request before
        self.failures = 0  # in a row

    def begin_read(self, now: float) -> None:
        """A read is sent."""
        self.is_stale, self.read_at = False, now

    def take_discarded(self) -> bool:
        """Whether the request that has just ended is void; the next one is not."""
        is_discarded, self.is_discarded = self.is_discarded, False
        return is_discarded

    def succeed(self, now: float) -> None:
        """A read was answered by a store that is trusted."""
        self.failures, self.retry_at = 0, now

    def fail(self, now: float, max_wait_ms: float, draw: Callable[[str], float]) -> None:
        """A request failed: the next one waits, for longer each time. `draw`: a number below 1 by a name."""
        self.failures += 1
        wait_ms = min(RETRY_MS * 2.0 ** min(self.failures - 1, MAX_DOUBLINGS), max_wait_ms)
        self.retry_at = now + wait_ms * (0.5 + 0.5 * draw("retry"))
