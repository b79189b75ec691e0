"""The downstream service: so many calls at a time, a bounded queue behind them, the rest rejected at once."""

from collections import deque
from collections.abc import Callable

import numpy as np

from otterrudder.admission.interface import Outcome
from otterrudder.lab.engine import Engine
from otterrudder.lab.streams import lognormal_parameters

REJECTION_MS = 0.2  # until a call that finds the queue full hears so

Reply = Callable[[Outcome], None]


class Call:
    """One call: the work that it needs in ms, and who gets its outcome."""

    __slots__ = ("reply", "work")

    def __init__(self, work: float, reply: Reply) -> None:
        self.work = work
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
        chance: np.random.Generator,
    ) -> None:
        self.engine = engine
        self.slots = slots
        self.max_queued = max_queued
        self.size = 1.0  # share of the slots in use, less under a fault
        self.busy = 0
        self.calls = 0  # ever made
        self.full = 0  # of these, rejected
        self._queue: deque[Call] = deque()
        self._mean, self._sigma = lognormal_parameters(call_ms, cv)
        self._chance = chance

    def call(self, reply: Reply) -> None:
        """`reply` gets OK once the call has run, or FULL shortly, and then it never ran."""
        self.calls += 1
        call = Call(float(self._chance.lognormal(self._mean, self._sigma)), reply)
        if self.busy < self._slots:
            self._run(call)
        elif len(self._queue) < self.max_queued:
            self._queue.append(call)
        else:
            self.full += 1
            self.engine.after(REJECTION_MS, reply, Outcome.FULL)

    @property
    def _slots(self) -> int:
        return max(int(self.slots * self.size), 1)

    def _run(self, call: Call) -> None:
        self.busy += 1
        self.engine.after(call.work, self._finish, call)

    def _finish(self, call: Call) -> None:
        self.busy -= 1
        while self._queue and self.busy < self._slots:
            self._run(self._queue.popleft())
        call.reply(Outcome.OK)
