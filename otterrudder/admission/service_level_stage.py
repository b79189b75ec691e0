"""Reduced service: requests that the level in force restricts are rejected before they reach the queues.

Requests of which an earlier attempt has run never reach this stage, see `deduplication`."""

from otterrudder.admission.admission_queues import AdmissionQueues
from otterrudder.admission.concurrency_limiter import ConcurrencyLimiter
from otterrudder.admission.context import AdmissionContext, RejectionReason, Stage
from otterrudder.admission.interface import Restriction, RestrictionKind, ServiceLevel
from otterrudder.admission.load_reporter import DEFAULT_RETRY_AFTER_MS
from otterrudder.admission.requests import Request
from otterrudder.admission.service_level import ActiveServiceLevel

DEMAND_WINDOW_MS = 2000.0  # period over which the demand is averaged


class ServiceLevelStage(Stage):
    """Applies the level in force, and measures the demand by which levels are selected."""

    def __init__(
        self,
        context: AdmissionContext,
        active: ActiveServiceLevel,
        queues: AdmissionQueues,
        limiter: ConcurrencyLimiter,
    ) -> None:
        self._context = context
        self._flow = context.flow
        self._active = active
        self._queues = queues
        self._limiter = limiter
        self._requested_ms = 0.0  # expected time on the cores of first attempts since `_measured_at`
        self._measured_at = context.now
        self.demand = 0.0  # recently requested work, rejected or not, relative to the concurrency limit
        self._share_credit = 0.0  # admissions accrued by restrictions of kind SHARE
        self._earliest_end_at = 0.0  # earliest time at which the level may end

    def apply(self, level: ServiceLevel | None) -> None:
        """Puts a level in force. None turns service levels off."""
        self._active.level = level
        self._share_credit = 0.0
        self._earliest_end_at = self._context.now + level.min_duration_ms if level else 0.0
        if level and level.rejects_queued:
            self._reject_queued(level)

    def admit(self, request: Request) -> bool:
        """Rejects a request that the level restricts. The request counts as demand in any case."""
        level = self._active.level
        if not level:
            return True
        if not request.is_retry:  # a retry adds no new demand
            self._requested_ms += self._limiter.expected_cores_ms(request)
        restriction = self._active.restriction_for(request)
        if restriction and self._rejects(request, restriction):
            return self._reject(request, level)
        return True

    def is_demand_known(self) -> bool:
        """Returns whether the demand is known: a restricted class that never ran has no estimated cost."""
        level = self._active.level
        restrictions = level.restrictions if level else ()
        run_counts = self._limiter.latencies.run_counts
        return all(run_counts[n] for n, class_restrictions in enumerate(restrictions) if class_restrictions)

    def on_tick(self) -> None:
        """Updates the demand."""
        elapsed_ms = self._context.now - self._measured_at
        if self._active.level and elapsed_ms > 0:
            demand = self._requested_ms / elapsed_ms / self._limiter.limit
            self.demand += min(elapsed_ms / DEMAND_WINDOW_MS, 1.0) * (demand - self.demand)
        self._requested_ms = 0.0
        self._measured_at = self._context.now

    def _reject_queued(self, level: ServiceLevel) -> None:
        for request in self._queues.requests():
            restriction = self._active.restriction_for(request)
            if not request.is_queued or not restriction or restriction.kind is RestrictionKind.SHARE:
                continue
            if self._rejects(request, restriction):
                self._reject(request, level)

    def _rejects(self, request: Request, restriction: Restriction) -> bool:
        match restriction.kind:
            case RestrictionKind.SHARE:
                return not self._take_share_credit(restriction.admitted_share)
            case RestrictionKind.SPARE:
                return not self._queues.is_free_for(request)
            case RestrictionKind.ESTABLISHED:
                return not request.is_established
            case RestrictionKind.REJECT:
                return True
            case RestrictionKind.OMIT:
                return False

    def _take_share_credit(self, admitted_share: float) -> bool:
        # Counts instead of drawing at random: the share is exact, and a burst cannot pass by chance.
        self._share_credit += admitted_share
        if self._share_credit < 1.0:
            return False
        self._share_credit -= 1.0
        return True

    def _reject(self, request: Request, level: ServiceLevel) -> bool:
        retry_after_ms = 0.0
        if level.sends_retry_after:
            retry_after_ms = max(self._earliest_end_at - self._context.now, DEFAULT_RETRY_AFTER_MS)
        reason = RejectionReason.SERVED_ELSEWHERE if level.served_elsewhere else RejectionReason.OVERLOAD
        return self._flow.reject(request, reason, retry_after_ms)
