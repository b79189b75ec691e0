"""The cores of one server: everything on them runs side by side at one speed, slower in a crowd.

Processor sharing by virtual work: all jobs get the same service a ms, so one running sum says how far each
is, and a heap of sums says who ends next. Adding, ending and taking away a job cost a logarithm, however
many run."""

import heapq
from collections import deque
from collections.abc import Callable

from otterrudder.lab.engine import Engine

FALL_MS = 2000.0  # ms over which the crowd is meant, for the fourth rule
BUSY_MS = 200.0  # ms over which the gauge of the cores' use is meant


class Job:
    __slots__ = ("act", "ends", "gone")

    def __init__(self, ends: float, act: Callable[[], None]) -> None:
        self.ends, self.act, self.gone = ends, act, False


class Cores:
    def __init__(self, engine: Engine, cores: int, speed: float, crowd_at: float, crowd_loss: float) -> None:
        self.engine, self.cores, self.speed = engine, cores, speed
        self.crowd_at, self.crowd_loss = crowd_at, crowd_loss
        self.factor = 1.0  # of a trouble: 0 while frozen
        self.born, self.cold_from, self.cold_ms = 0.0, 1.0, 0.0
        self.jobs = self.reading = 0
        self.unread: deque[tuple[float, Callable[[], None]]] = deque()
        self.busy = self.crowd = 0.0  # recent means: share in use; jobs a core
        self.done_ms = 0.0  # work done, in ms on a core of speed 1
        self._sum = self._rate = 0.0  # virtual work each job has had; of it, a ms
        self._as_of = engine.now
        self._heap: list[tuple[float, int, Job]] = []
        self._count = self._version = 0

    def start(self, cold_from: float, cold_ms: float) -> None:
        """A process has just come up on them."""
        self.born, self.cold_from, self.cold_ms = self.engine.now, cold_from, cold_ms
        self._touch()

    def warmth(self) -> float:
        share = (self.engine.now - self.born) / self.cold_ms if self.cold_ms > 0 else 1.0
        return min(self.cold_from + (1 - self.cold_from) * share, 1.0)

    def set_factor(self, factor: float) -> None:
        self._touch()
        self.factor = factor
        self._touch()

    def clear(self) -> None:
        """The process has died: nothing of it goes on."""
        self._touch()
        for _, _, job in self._heap:
            job.gone = True
        self._heap.clear()
        self.unread.clear()
        self.jobs = self.reading = 0
        self.busy = self.crowd = 0.0
        self._touch()

    def run(self, work: float, act: Callable[[], None]) -> Job:
        """`act` is played when `work` ms (on a core of speed 1) are done."""
        self._touch()
        self._count += 1
        job = Job(self._sum + max(work, 1e-6), act)
        heapq.heappush(self._heap, (job.ends, self._count, job))
        self.jobs += 1
        self._touch()
        return job

    def cancel(self, job: Job) -> None:
        if not job.gone:
            self._touch()
            job.gone = True
            self.jobs -= 1
            self._touch()

    def read(self, work: float, act: Callable[[], None]) -> None:
        """A read: one a core at a time, the others wait unread."""
        self.unread.append((work, act))
        self._read_next()

    def _read_next(self) -> None:
        while self.unread and self.reading < self.cores:
            work, act = self.unread.popleft()
            self.reading += 1
            self.run(work, lambda act=act: self._was_read(act))  # type: ignore[misc]

    def _was_read(self, act: Callable[[], None]) -> None:
        self.reading -= 1
        self._read_next()
        act()

    def gauges(self) -> tuple[float, float]:
        """Share of the cores in use of late, and jobs on them now."""
        self._advance()
        return self.busy, float(self.jobs)

    def _advance(self) -> None:
        """Brings the sum and the gauges up to now."""
        now = self.engine.now
        span = now - self._as_of
        if span > 0:
            self._sum += span * self._rate
            self.done_ms += span * self._rate * self.jobs
            used = min(self.jobs / self.cores, 1.0) if self.factor > 0 else 1.0
            self.busy += min(span / BUSY_MS, 1.0) * (used - self.busy)
            self.crowd += min(span / FALL_MS, 1.0) * (self.jobs / self.cores - self.crowd)
            self._as_of = now

    def _touch(self) -> None:
        """Brings all up to now, and plans the next end at the present rate."""
        self._advance()
        if not self.jobs:
            self._rate = 0.0
            self._version += 1
            return
        each = self.jobs / self.cores
        over = max(each - self.crowd_at, 0.0)
        share = min(1.0, 1.0 / each) / (1.0 + self.crowd_loss * over)
        rate = self.speed * self.factor * self.warmth() * share
        self._rate = rate
        self._version += 1
        while self._heap and self._heap[0][2].gone:
            heapq.heappop(self._heap)
        if self._heap and rate > 0:
            due = (self._heap[0][0] - self._sum) / rate
            self.engine.at(self.engine.now + max(due, 0.0), self._end, self._version)

    def _end(self, version: int) -> None:
        if version != self._version:
            return
        self._touch()
        ended = []
        while self._heap and (self._heap[0][2].gone or self._heap[0][0] <= self._sum + 1e-6):
            job = heapq.heappop(self._heap)[2]
            if not job.gone:
                job.gone = True
                self.jobs -= 1
                ended.append(job)
        self._touch()
        for job in ended:
            job.act()
