"""A model of the CPU cores of one server, which all its jobs share evenly. Too many jobs slow it down.

Processor sharing by virtual work: all jobs get the same amount of work per ms, so that one running sum tells
the progress of each job, and a heap of sums tells which job ends next. To add, end or cancel a job takes
logarithmic time."""

import heapq
from collections import deque
from collections.abc import Callable

from otterrudder.lab.engine import Engine

JOBS_MEAN_MS = 2000.0  # time constant of the moving mean of jobs per core
BUSY_MEAN_MS = 200.0  # time constant of the moving mean of core utilization
MIN_WORK_MS = 1e-6


class Job:
    """One job. It ends when the virtual work reaches `ends_at` and then calls `on_end`, unless it was
    cancelled."""

    __slots__ = ("ends_at", "is_over", "on_end")

    def __init__(self, ends_at: float, on_end: Callable[[], None]) -> None:
        self.ends_at = ends_at
        self.on_end = on_end
        self.is_over = False  # ended or cancelled


class Cores:
    """Cores that share their time evenly among all jobs.

    Above `contention_from` jobs per core, contention divides the speed by 1 + `contention_loss` * excess,
    where excess is the number of further jobs per core.
    """

    def __init__(
        self, engine: Engine, cores: int, speed: float, contention_from: float, contention_loss: float
    ) -> None:
        self.engine = engine
        self.cores = cores
        self.speed = speed
        self.contention_from = contention_from
        self.contention_loss = contention_loss
        self.factor = 1.0  # share of the speed under a fault; 0: frozen
        self.started_at = 0.0
        self.cold_from = 1.0  # share of the speed right after the start
        self.cold_ms = 0.0  # time from the start until the full speed is reached
        self.jobs = 0  # number of jobs that run
        self.reading = 0  # number of these jobs that read a request
        self.unread: deque[tuple[float, Callable[[], None]]] = deque()
        self.busy = 0.0  # moving mean of the share of the cores in use
        self.jobs_per_core = 0.0  # moving mean of the number of jobs per core
        self.done_ms = 0.0  # work done, in ms on a core of speed 1
        self._sum = 0.0  # virtual work that each job has received so far
        self._rate = 0.0  # virtual work per ms
        self._as_of = engine.now
        self._heap: list[tuple[float, int, Job]] = []
        self._count = 0
        self._version = 0

    def start(self, cold_from: float, cold_ms: float) -> None:
        """A process has just started on these cores."""
        self.started_at = self.engine.now
        self.cold_from = cold_from
        self.cold_ms = cold_ms
        self._reschedule()

    def warmth(self) -> float:
        """The share of the full speed that the process has reached since its start."""
        share = (self.engine.now - self.started_at) / self.cold_ms if self.cold_ms > 0 else 1.0
        return min(self.cold_from + (1 - self.cold_from) * share, 1.0)

    def set_factor(self, factor: float) -> None:
        """Slows all jobs down to this share of the normal speed; 1 restores it."""
        self._reschedule()
        self.factor = factor
        self._reschedule()

    def clear(self) -> None:
        """The process has ended: drops all jobs and reads."""
        self._reschedule()
        for _, _, job in self._heap:
            job.is_over = True
        self._heap.clear()
        self.unread.clear()
        self.jobs = self.reading = 0
        self.busy = 0.0
        self.jobs_per_core = 0.0
        self._reschedule()

    def run(self, work: float, on_end: Callable[[], None]) -> Job:
        """Starts a job of `work` ms on a core of speed 1; `on_end` is called when it ends."""
        self._reschedule()
        self._count += 1
        job = Job(self._sum + max(work, MIN_WORK_MS), on_end)
        heapq.heappush(self._heap, (job.ends_at, self._count, job))
        self.jobs += 1
        self._reschedule()
        return job

    def cancel(self, job: Job) -> None:
        """Cancels a job; its `on_end` is not called."""
        if not job.is_over:
            self._reschedule()
            job.is_over = True
            self.jobs -= 1
            self._reschedule()

    def read(self, work: float, on_end: Callable[[], None]) -> None:
        """Reads a request. Each core reads one request at a time; further requests wait."""
        self.unread.append((work, on_end))
        self._read_next()

    def _read_next(self) -> None:
        while self.unread and self.reading < self.cores:
            work, on_end = self.unread.popleft()
            self.reading += 1
            self.run(work, lambda on_end=on_end: self._read_finished(on_end))  # type: ignore[misc]

    def _read_finished(self, on_end: Callable[[], None]) -> None:
        self.reading -= 1
        self._read_next()
        on_end()

    def gauges(self) -> tuple[float, float]:
        """The moving mean of the share of cores in use, and the present number of jobs."""
        self._advance()
        return self.busy, float(self.jobs)

    def _advance(self) -> None:
        """Updates the virtual work and the moving means to the present time."""
        now = self.engine.now
        span = now - self._as_of
        if span > 0:
            self._sum += span * self._rate
            self.done_ms += span * self._rate * self.jobs
            jobs_per_core = self.jobs / self.cores
            utilization = min(jobs_per_core, 1.0) if self.factor > 0 else 1.0
            self.busy += min(span / BUSY_MEAN_MS, 1.0) * (utilization - self.busy)
            self.jobs_per_core += min(span / JOBS_MEAN_MS, 1.0) * (
                self.jobs / self.cores - self.jobs_per_core
            )
            self._as_of = now

    def _reschedule(self) -> None:
        """Updates the state to the present time, and schedules the next end of a job at the present rate."""
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
            delay_ms = (self._heap[0][0] - self._sum) / rate
            self.engine.at(self.engine.now + max(delay_ms, 0.0), self._end, self._version)

    def _current_rate(self) -> float:
        """The virtual work per ms with the present number of jobs."""
        jobs_per_core = self.jobs / self.cores
        excess = max(jobs_per_core - self.contention_from, 0.0)
        share = min(1.0, 1.0 / jobs_per_core) / (1.0 + self.contention_loss * excess)
        return self.speed * self.factor * self.warmth() * share

    def _end(self, version: int) -> None:
        if version != self._version:
            return
        self._reschedule()
        ended = []
        while self._heap and (self._heap[0][2].is_over or self._heap[0][0] <= self._sum + 1e-6):
            job = heapq.heappop(self._heap)[2]
            if not job.is_over:
                job.is_over = True
                self.jobs -= 1
                ended.append(job)
        self._reschedule()
        for job in ended:
            job.on_end()
