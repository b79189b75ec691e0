"""The records tier: so many calls at a time, a bounded line behind them, the rest turned away at once."""

from collections import deque
from collections.abc import Callable

import numpy as np

from otterrudder.admission.interface import Outcome
from otterrudder.lab.engine import Engine
from otterrudder.lab.streams import lognormal

Reply = Callable[[Outcome], None]


class Call:
    __slots__ = ("reply", "work")

    def __init__(self, work: float, reply: Reply) -> None:
        self.work, self.reply = work, reply


class Below:
    def __init__(
        self, engine: Engine, slots: int, line: int, call_ms: float, cv: float, chance: np.random.Generator
    ) -> None:
        self.engine, self.slots, self.most = engine, slots, line
        self.size = 1.0  # of a trouble: the share of the slots in use
        self.busy = self.calls = self.full = 0
        self._line: deque[Call] = deque()
        self._mean, self._sigma = lognormal(call_ms, cv)
        self._chance = chance

    def call(self, reply: Reply) -> None:
        """`reply` hears OK, or FULL at once: then it never ran."""
        self.calls += 1
        call = Call(float(self._chance.lognormal(self._mean, self._sigma)), reply)
        if self.busy < self._slots:
            self._run(call)
        elif len(self._line) < self.most:
            self._line.append(call)
        else:
            self.full += 1
            self.engine.after(0.2, reply, Outcome.FULL)

    @property
    def _slots(self) -> int:
        return max(int(self.slots * self.size), 1)

    def _run(self, call: Call) -> None:
        self.busy += 1
        self.engine.after(call.work, self._ends, call)

    def _ends(self, call: Call) -> None:
        self.busy -= 1
        while self._line and self.busy < self._slots:
            self._run(self._line.popleft())
        call.reply(Outcome.OK)
