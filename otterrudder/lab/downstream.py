"""A model of the downstream service: it runs a fixed number of calls at a time, queues a bounded number, and
rejects further calls."""

from collections import deque
from collections.abc import Callable

import numpy as np

from otterrudder.admission.interface import Outcome
from otterrudder.lab.engine import Engine
from otterrudder.lab.streams import lognormal_parameters

REJECTION_MS = 0.2  # delay until the caller of a rejected call is told

Reply = Callable[[Outcome], None]


class Call:
    """One call: its duration in ms, and the callback that gets its outcome."""

    __slots__ = ("duration_ms", "reply")

    def __init__(self, duration_ms: float, reply: Reply) -> None:
        self.duration_ms = duration_ms
        self.reply = reply


class Downstream:
    """A service with a fixed number of slots and a queue of at most `max_queued` calls."""

    def __init__(
        self,
        engine: Engine,
        slots: int,
        max_queued: int,
        call_ms: float,
        cv: float,
        generator: np.random.Generator,
    ) -> None:
        self.engine = engine
        self.slots = slots
        self.max_queued = max_queued
        self.size = 1.0  # share of the slots that are available; below 1 under a fault
        self.busy = 0  # number of slots in use
        self.calls = 0  # number of calls so far
        self.rejected = 0  # number of calls rejected so far because the queue was full
        self._queue: deque[Call] = deque()
        self._log_mean, self._log_deviation = lognormal_parameters(call_ms, cv)
        self._generator = generator

    def call(self, reply: Reply) -> None:
        """Makes a call. `reply` gets Outcome.OK when the call has run, or Outcome.FULL if the call was
        rejected and did not run."""
        self.calls += 1
        call = Call(float(self._generator.lognormal(self._log_mean, self._log_deviation)), reply)
        if self.busy < self._available_slots:
            self._run(call)
        elif len(self._queue) < self.max_queued:
            self._queue.append(call)
        else:
            self.rejected += 1
            self.engine.after(REJECTION_MS, reply, Outcome.FULL)

    @property
    def _available_slots(self) -> int:
        return max(int(self.slots * self.size), 1)

    def _run(self, call: Call) -> None:
        self.busy += 1
        self.engine.after(call.duration_ms, self._finish, call)

    def _finish(self, call: Call) -> None:
        self.busy -= 1
        while self._queue and self.busy < self._available_slots:
            self._run(self._queue.popleft())
        call.reply(Outcome.OK)
