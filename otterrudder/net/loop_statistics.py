"""How the event loop keeps up, and the periodic log line."""

import gc
import math
import resource
from pathlib import Path

from otterrudder import clock
from otterrudder.log import log
from otterrudder.net.core import RequestCore

LATE_TICK_MS = 40.0  # a tick this late (a whole one) shows that this process is short of CPU
LATE_PERIOD_MS = 1000.0  # for how long one such tick makes the process a late one
REPORT_INTERVAL_MS = 10_000.0
OLDEST_GENERATION = 2  # of the garbage collector


def resident_mb() -> float:
    """The resident memory now, not at its peak: growth shows."""
    pages = int(Path("/proc/self/statm").read_bytes().split()[1])
    return round(pages * resource.getpagesize() / 2**20, 1)


class LoopStatistics:
    """Cheap counts, logged and reset at each report."""

    def __init__(self) -> None:
        self.next_report = clock.monotonic() + REPORT_INTERVAL_MS
        self._last_late_tick = -math.inf
        self._reported_cpu_s = 0.0
        self._worst_tick_late_ms = 0.0
        self._worst_batch_ms = 0.0
        self._largest_batch = 0  # events
        self._batches = 0
        self._events = 0

    def record_tick(self, late_ms: float) -> None:
        """A tick was handled so late."""
        self._worst_tick_late_ms = max(self._worst_tick_late_ms, late_ms)
        if late_ms > LATE_TICK_MS:
            self._last_late_tick = clock.monotonic()

    def is_late(self) -> bool:
        """Whether a tick was lately so late that answers at their deadlines may be late too."""
        return clock.monotonic() - self._last_late_tick < LATE_PERIOD_MS

    def record_batch(self, began: float, event_count: int, core: RequestCore) -> None:
        """A batch that began then had so many events. Writes the report if it is due."""
        now = clock.monotonic()
        self._worst_batch_ms = max(self._worst_batch_ms, now - began)
        self._largest_batch = max(self._largest_batch, event_count)
        self._batches += 1
        self._events += event_count
        if now >= self.next_report:
            self._report(now, core)

    def _report(self, now: float, core: RequestCore) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        cpu_s = usage.ru_utime + usage.ru_stime
        log.info(
            "status",
            **core.log_fields(),
            requests=len(core.requests),
            idempotency_entries=len(core.idempotency),
            arrivals=core.requests.arrival_count,
            worst_tick_late_ms=round(self._worst_tick_late_ms, 1),
            worst_batch_ms=round(self._worst_batch_ms, 1),
            largest_batch=self._largest_batch,
            batches=self._batches,
            events=self._events,
            cpu_s=round(cpu_s - self._reported_cpu_s, 3),
            rss_mb=resident_mb(),
            peak_rss_mb=round(usage.ru_maxrss / 1024, 1),
            collections=gc.get_stats()[OLDEST_GENERATION]["collections"],
        )
        self.next_report = now + REPORT_INTERVAL_MS
        self._reported_cpu_s = cpu_s
        self._reset()

    def _reset(self) -> None:
        self._worst_tick_late_ms = 0.0
        self._worst_batch_ms = 0.0
        self._largest_batch = 0  # events
        self._batches = 0
        self._events = 0
