"""A queue of timers, ordered by due time, in which timers can be cancelled."""

import heapq
from collections.abc import Callable

Callback = Callable[..., object]

MIN_COMPACTED_TIMERS = 64  # a shorter queue is not compacted


class Timer:
    """A scheduled call. It keeps its callback and the arguments until it runs or is cancelled."""

    __slots__ = ("_queue", "arguments", "callback")

    def __init__(self, queue: "TimerQueue", callback: Callback, arguments: tuple[object, ...]) -> None:
        self._queue = queue
        self.callback: Callback | None = callback
        self.arguments = arguments

    def cancel(self) -> None:
        """Cancels the call. Does nothing if the timer has run or was cancelled."""
        if self.callback is not None:
            self.callback = None
            self.arguments = ()
            self._queue.on_cancelled()


class TimerQueue:
    """Timers due at the same time run in the order of scheduling.

    A cancelled timer is removed when it is due, or when more than half of the timers are cancelled."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        self._count = 0
        self._cancelled_count = 0  # cancelled timers in the heap

    def __len__(self) -> int:
        """Returns the number of timers that are kept, including cancelled ones."""
        return len(self._heap)

    def schedule(self, due_at: float, callback: Callback, *arguments: object) -> Timer:
        """Schedules a call of `callback` with the arguments once the time is `due_at` or later."""
        self._count += 1
        timer = Timer(self, callback, arguments)
        heapq.heappush(self._heap, (due_at, self._count, timer))
        return timer

    def run_due(self, now: float) -> None:
        """Runs all timers that are due, including timers that other timers schedule."""
        while self._heap and self._heap[0][0] <= now:
            timer = heapq.heappop(self._heap)[2]
            if timer.callback is None:
                self._cancelled_count -= 1
                continue
            callback = timer.callback
            arguments = timer.arguments
            timer.callback = None
            timer.arguments = ()
            callback(*arguments)

    def on_cancelled(self) -> None:
        """Called by a timer that is cancelled."""
        self._cancelled_count += 1
        if len(self._heap) >= MIN_COMPACTED_TIMERS and self._cancelled_count > len(self._heap) / 2:
            self._heap = [entry for entry in self._heap if entry[2].callback is not None]
            heapq.heapify(self._heap)
            self._cancelled_count = 0
