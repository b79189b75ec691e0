"""The cores of one server: all jobs run side by side at one speed, slower when there are too many.

Processor sharing by virtual work: all jobs get the same service a ms, so one running sum says how far each
is, and a heap of sums says which ends next. Adding, ending and cancelling a job cost a logarithm, however
many run."""

import heapq
from collections import deque
from collections.abc import Callable

from otterrudder.lab.engine import Engine

JOBS_MEAN_MS = 2000.0  # time constant of the mean of jobs a core
BUSY_MEAN_MS = 200.0  # time constant of the gauge of the cores' use
MIN_WORK_MS = 1e-6


class Job:
    """One job: it ends when the virtual work reaches `ends`, and then calls `act` unless it is cancelled."""

    __slots__ = ("act", "ends", "is_over")

    def __init__(self, ends: float, act: Callable[[], None]) -> None:
        self.ends = ends
        self.act = act
        self.is_over = False  # ended or cancelled


class Cores:
    """Cores that share their time evenly among all jobs.

    Beyond `contention_from` jobs a core, each further job a core costs the share `contention_loss` of the
    speed.
    """

    def __init__(
        self, engine: Engine, cores: int, speed: float, contention_from: float, contention_loss: float
    ) -> None:
        self.engine = engine
        self.cores = cores
        self.speed = speed
        self.contention_from = contention_from
        self.contention_loss = contention_loss
        self.factor = 1.0  # of the speed, less under a fault: 0 while frozen
        self.started_at = 0.0
        self.cold_from = 1.0  # share of the speed right after the start
        self.cold_ms = 0.0  # until the full speed
        self.jobs = 0
        self.reading = 0  # of these, reads of requests
        self.unread: deque[tuple[float, Callable[[], None]]] = deque()
        self.busy = 0.0  # recent mean share of the cores in use
        self.jobs_per_core = 0.0  # recent mean
        self.done_ms = 0.0  # work done, in ms on a core of speed 1
        self._sum = 0.0  # virtual work that each job has had
        self._rate = 0.0  # virtual work a ms
        self._as_of = engine.now
        self._heap: list[tuple[float, int, Job]] = []
        self._count = 0
        self._version = 0

    def start(self, cold_from: float, cold_ms: float) -> None:
        """A process has just started on them."""
        self.started_at = self.engine.now
        self.cold_from = cold_from
        self.cold_ms = cold_ms
        self._touch()

    def warmth(self) -> float:
        """Share of the full speed that the process has reached."""
        share = (self.engine.now - self.started_at) / self.cold_ms if self.cold_ms > 0 else 1.0
        return min(self.cold_from + (1 - self.cold_from) * share, 1.0)

    def set_factor(self, factor: float) -> None:
        """Slows all jobs down to this share of their speed."""
        self._touch()
        self.factor = factor
        self._touch()

    def clear(self) -> None:
        """The process has died: nothing of it goes on."""
        self._touch()
        for _, _, job in self._heap:
            job.is_over = True
        self._heap.clear()
        self.unread.clear()
        self.jobs = self.reading = 0
        self.busy = 0.0
        self.jobs_per_core = 0.0
        self._touch()

    def run(self, work: float, act: Callable[[], None]) -> Job:
        """Calls `act` when `work` ms (on a core of speed 1) are done."""
        self._touch()
        self._count += 1
        job = Job(self._sum + max(work, MIN_WORK_MS), act)
        heapq.heappush(self._heap, (job.ends, self._count, job))
        self.jobs += 1
        self._touch()
        return job

    def cancel(self, job: Job) -> None:
        """Takes a job off the cores; `act` is not called."""
        if not job.is_over:
            self._touch()
            job.is_over = True
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
            jobs_per_core = self.jobs / self.cores
            used = min(jobs_per_core, 1.0) if self.factor > 0 else 1.0
            self.busy += min(span / BUSY_MEAN_MS, 1.0) * (used - self.busy)
            self.jobs_per_core += min(span / JOBS_MEAN_MS, 1.0) * (
                self.jobs / self.cores - self.jobs_per_core
            )
            self._as_of = now

    def _touch(self) -> None:
        """Brings all up to now, and plans the next end at the present rate."""
        self._advance()
        if not self.jobs:
            self._rate = 0.0
            self._version += 1
            return
        rate = self._rate = self._current_rate()
        self._version += 1
        while self._heap and self._heap[0][2].is_over:
            heapq.heappop(self._heap)
        if self._heap and rate > 0:
            due = (self._heap[0][0] - self._sum) / rate
            self.engine.at(self.engine.now + max(due, 0.0), self._end, self._version)

    def _current_rate(self) -> float:
        """Virtual work a ms with the present jobs."""
        jobs_per_core = self.jobs / self.cores
        excess = max(jobs_per_core - self.contention_from, 0.0)
        share = min(1.0, 1.0 / jobs_per_core) / (1.0 + self.contention_loss * excess)
        return self.speed * self.factor * self.warmth() * share

    def _end(self, version: int) -> None:
        if version != self._version:
            return
        self._touch()
        ended = []
        while self._heap and (self._heap[0][2].is_over or self._heap[0][0] <= self._sum + 1e-6):
            job = heapq.heappop(self._heap)[2]
            if not job.is_over:
                job.is_over = True
                self.jobs -= 1
                ended.append(job)
        self._touch()
        for job in ended:
            job.act()
