"""Statistics on the lag of the event loop, and the periodic status line in the log."""

import gc
import math
import resource

from otterrudder import clock
from otterrudder.log import log
from otterrudder.net.core import RequestCore
from otterrudder.net.memory import resident_bytes

LATE_TICK_MS = 40.0  # delay of a tick, one whole tick interval, from which on the process is short of CPU
LATE_PERIOD_MS = 1000.0  # time after a late tick during which the process counts as late
REPORT_INTERVAL_MS = 10_000.0
OLDEST_GENERATION = 2  # oldest generation of the garbage collector


class LoopStatistics:
    """Counts batches, events and delays. The counts are logged and reset with each report."""

    def __init__(self) -> None:
        self.next_report = clock.monotonic() + REPORT_INTERVAL_MS
        self._last_late_tick = -math.inf
        self._reported_cpu_s = 0.0
        self._worst_tick_late_ms = 0.0
        self._worst_batch_ms = 0.0
        self._largest_batch = 0  # number of events
        self._batches = 0
        self._events = 0

    def record_tick(self, late_ms: float) -> None:
        """Records a tick that was handled `late_ms` late."""
        self._worst_tick_late_ms = max(self._worst_tick_late_ms, late_ms)
        if late_ms > LATE_TICK_MS:
            self._last_late_tick = clock.monotonic()

    def is_late(self) -> bool:
        """Whether a recent tick was so late that answers due at their deadline may be late too."""
        return clock.monotonic() - self._last_late_tick < LATE_PERIOD_MS

    def record_batch(self, started_at: float, event_count: int, core: RequestCore) -> None:
        """Records a batch that began at `started_at` and had `event_count` events. Logs the report if it is
        due."""
        now = clock.monotonic()
        self._worst_batch_ms = max(self._worst_batch_ms, now - started_at)
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
            idempotency_mb=round(core.idempotency.held_bytes / 2**20, 1),
            dropped_responses=core.idempotency.dropped_responses,
            arrivals=core.requests.arrival_count,
            worst_tick_late_ms=round(self._worst_tick_late_ms, 1),
            worst_batch_ms=round(self._worst_batch_ms, 1),
            largest_batch=self._largest_batch,
            batches=self._batches,
            events=self._events,
            cpu_s=round(cpu_s - self._reported_cpu_s, 3),
            rss_mb=round(resident_bytes() / 2**20, 1),
            peak_rss_mb=round(usage.ru_maxrss / 1024, 1),
            collections=gc.get_stats()[OLDEST_GENERATION]["collections"],
        )
        self.next_report = now + REPORT_INTERVAL_MS
        self._reported_cpu_s = cpu_s
        self._reset()

    def _reset(self) -> None:
        self._worst_tick_late_ms = 0.0
        self._worst_batch_ms = 0.0
        self._largest_batch = 0
        self._batches = 0
        self._events = 0
