"""A sliding window over one fact in constant memory: a ring of buckets, each with a sum and a count.

The level selector enters a level on the window's mean and leaves it on the mean and the highest bucket. A
window reports whether it is full, because missing history indicates neither high load nor low load."""

import math

BUCKETS = 16  # number of buckets in a window; the cost of a sample does not depend on the window's length
MIN_FILLED_BUCKETS = 12  # buckets with a sample in a full window; a stalled process leaves some empty


class SlidingWindow:
    """Samples of one fact over the last `span_ms`. Times must not decrease."""

    __slots__ = ("_bucket", "_bucket_ms", "_counts", "_first_ms", "_sums", "span_ms")

    def __init__(self, span_ms: float) -> None:
        self.span_ms = span_ms
        self._bucket_ms = span_ms / BUCKETS
        self.clear()

    def clear(self) -> None:
        """Removes all samples."""
        self._sums = [0.0] * BUCKETS
        self._counts = [0] * BUCKETS
        self._bucket = -1  # number of the newest bucket, counted from time 0
        self._first_ms = math.inf  # time of the first sample since the window was last empty

    def add(self, now: float, value: float) -> None:
        """Adds a sample taken at `now` ms."""
        self._advance(now)
        self._first_ms = min(self._first_ms, now)
        index = self._bucket % BUCKETS
        self._sums[index] += value
        self._counts[index] += 1

    def is_full(self, now: float) -> bool:
        """Whether the samples cover the whole window, apart from a few gaps."""
        if now - self._first_ms < self.span_ms:
            return False
        self._advance(now)
        return sum(count > 0 for count in self._counts) >= MIN_FILLED_BUCKETS

    def mean(self) -> float:
        """Returns the mean of all samples in the window, or 0 if there are none."""
        return sum(self._sums) / max(sum(self._counts), 1)

    def max_bucket_mean(self) -> float:
        """Returns the highest mean of a bucket, or 0 if there are no samples."""
        buckets = zip(self._sums, self._counts, strict=True)
        return max((total / count for total, count in buckets if count), default=0.0)

    def _advance(self, now: float) -> None:
        """Makes the bucket of `now` the newest one and clears the buckets that it skips."""
        bucket = int(now / self._bucket_ms)
        if bucket <= self._bucket:
            return
        for skipped in range(max(self._bucket + 1, bucket - BUCKETS + 1), bucket + 1):
            self._sums[skipped % BUCKETS] = 0.0
            self._counts[skipped % BUCKETS] = 0
        if self._bucket < 0 or bucket - self._bucket >= BUCKETS:  # the gap is longer than the window
            self._first_ms = math.inf
        self._bucket = bucket
