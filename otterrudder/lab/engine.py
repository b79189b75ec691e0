"""The event loop of simulated time. Times are in ms since the start of the simulation."""

import heapq
from collections.abc import Callable


class Engine:
    """Calls timers in the order of their due times; timers with equal times in the order in which they were
    set."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., object], tuple[object, ...]]] = []
        self._count = 0

    def at(self, due: float, handler: Callable[..., object], *args: object) -> None:
        """Calls `handler` at `due` ms, or at the present time if `due` has passed."""
        self._count += 1
        heapq.heappush(self._heap, (max(due, self.now), self._count, handler, args))

    def after(self, delay: float, handler: Callable[..., object], *args: object) -> None:
        """Calls `handler` after `delay` ms."""
        self.at(self.now + delay, handler, *args)

    def run(self, until: float) -> None:
        """Calls all timers that are due until `until` ms, and sets the time to `until`."""
        heap, pop = self._heap, heapq.heappop
        while heap and heap[0][0] <= until:
            self.now, _, handler, args = pop(heap)
            handler(*args)
        self.now = until
