"""What a fact was like over the last so many ms, in constant memory: a ring of buckets, each with sum and
count.

The ladder asks it for the mean (to get in) and for the worst bucket (to get out). A window that has not been
filled says so: no history is neither load nor calm."""

# of a window: its length is exact to a sixteenth, and a sample costs the same however long it is
BUCKETS = 16
FILLED = 12  # buckets that must hold a sample before a window counts: a stalled process skips some


class Window:
    """Samples of one fact over `span_ms`, at any times that don't go back."""

    __slots__ = ("_at", "_counts", "_first", "_sums", "_width", "span_ms")

    def __init__(self, span_ms: float) -> None:
        self.span_ms = span_ms
        self._width = span_ms / BUCKETS
        self.clear()

    def clear(self) -> None:
        self._sums = [0.0] * BUCKETS
        self._counts = [0] * BUCKETS
        self._at = -1  # number of the newest bucket since time 0
        self._first = float("inf")  # ms: the oldest sample since it was cleared

    def add(self, now: float, value: float) -> None:
        """A sample at `now` ms."""
        self._advance(now)
        self._first = min(self._first, now)
        n = self._at % BUCKETS
        self._sums[n] += value
        self._counts[n] += 1

    def full(self, now: float) -> bool:
        """Whether it has seen its whole span, but for a few gaps."""
        if now - self._first < self.span_ms:
            return False
        self._advance(now)
        return sum(count > 0 for count in self._counts) >= FILLED

    def mean(self) -> float:
        """The mean of all samples held; 0 without any."""
        return sum(self._sums) / max(sum(self._counts), 1)

    def worst(self) -> float:
        """The highest mean of a bucket; 0 without any."""
        held = zip(self._sums, self._counts, strict=True)
        return max((total / count for total, count in held if count), default=0.0)

    def _advance(self, now: float) -> None:
        """Empties the buckets between the newest and the one that `now` falls in."""
        at = int(now / self._width)
        if at <= self._at:
            return
        for skipped in range(max(self._at + 1, at - BUCKETS + 1), at + 1):
            self._sums[skipped % BUCKETS] = 0.0
            self._counts[skipped % BUCKETS] = 0
        if self._at < 0 or at - self._at >= BUCKETS:  # silent for longer than it remembers
            self._first = float("inf")
        self._at = at
