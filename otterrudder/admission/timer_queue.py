"""The timers of the admission controller, ordered by due time."""

import heapq
from collections.abc import Callable

Callback = Callable[[], object]


class TimerQueue:
    """All timers except the periodic tick. Timers due at the same time run in the order of scheduling."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Callback]] = []
        self._count = 0

    def schedule(self, due_at: float, callback: Callback) -> None:
        """Schedules a call of `callback` once the time is `due_at` or later."""
        self._count += 1
        heapq.heappush(self._heap, (due_at, self._count, callback))

    def run_due(self, now: float) -> None:
        """Runs all timers that are due, including timers that other timers schedule."""
        while self._heap and self._heap[0][0] <= now:
            callback = heapq.heappop(self._heap)[2]
            callback()
