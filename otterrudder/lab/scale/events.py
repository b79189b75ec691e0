"""An event queue in simulated time: a heap of plain tuples, fast enough for tens of millions of events."""

import heapq
from collections.abc import Callable
from typing import Any

Handler = Callable[[Any, Any], None]


class EventQueue:
    """A queue of events ordered by time, in ms from the start of the run."""

    __slots__ = ("_sequence", "_heap", "now", "executed")

    def __init__(self) -> None:
        self.now = 0.0
        self.executed = 0
        self._heap: list[tuple[float, int, Handler, Any, Any]] = []
        self._sequence = 0

    def at(self, when: float, handler: Handler, subject: Any, argument: Any = None) -> None:
        """Schedules `handler(subject, argument)` at the time `when`.

        Events at the same time run in the order in which they were scheduled."""
        self._sequence += 1
        heapq.heappush(self._heap, (when, self._sequence, handler, subject, argument))

    def run(self, until: float) -> None:
        """Runs all events that are due up to the time `until`."""
        heap, pop = self._heap, heapq.heappop
        while heap and heap[0][0] <= until:
            self.now, _, handler, subject, argument = pop(heap)
            self.executed += 1
            handler(subject, argument)
        self.now = until
