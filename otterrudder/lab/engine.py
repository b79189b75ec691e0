"""Simulated time: one queue of timers. Times are ms from the day's start."""

import heapq
from collections.abc import Callable


class Engine:
    """Plays timers in the order of their due times, those of one time in the order in which they were set."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., object], tuple[object, ...]]] = []
        self._count = 0

    def at(self, due: float, act: Callable[..., object], *args: object) -> None:
        """Calls `act` at `due` ms, or now if that has passed."""
        self._count += 1
        heapq.heappush(self._heap, (max(due, self.now), self._count, act, args))

    def after(self, delay: float, act: Callable[..., object], *args: object) -> None:
        """Calls `act` after `delay` ms."""
        self.at(self.now + delay, act, *args)

    def run(self, until: float) -> None:
        """Plays everything due up to `until` ms."""
        heap, pop = self._heap, heapq.heappop
        while heap and heap[0][0] <= until:
            self.now, _, act, args = pop(heap)
            act(*args)
        self.now = until
