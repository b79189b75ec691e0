"""Downstream calls: when a request may make a call, its timeout, and retries of failed calls."""

from collections import deque

from otterrudder.admission.circuit_breaker import CircuitBreaker
from otterrudder.admission.commands import CallDownstream, SkipCall
from otterrudder.admission.concurrency_limiter import ConcurrencyLimiter
from otterrudder.admission.context import AdmissionContext, Stage
from otterrudder.admission.interface import DownstreamKind, Outcome
from otterrudder.admission.requests import Request, RequestState
from otterrudder.admission.service_level import ActiveServiceLevel

MAX_QUOTA_DEBT_SHARE = 0.5  # share of a window's quota by which calls may exceed the quota
RETRY_BACKOFF_MS = 60.0  # backoff before a call is retried, times the number of attempts
MIN_TIMEOUT_MS = 1.0
UNSTATED_QUOTA = 1.0  # one call at a time if the settings state no quota


class DownstreamQuota:
    """This server's part of the mean number of outstanding calls to a downstream shared by all servers."""

    def __init__(self, context: AdmissionContext) -> None:
        self._context = context
        self._max_debt_factor = context.settings.downstream_quota_window_ms * MAX_QUOTA_DEBT_SHARE
        self._debt = 0.0  # integral over time of the outstanding calls beyond the quota, in calls * ms
        self._updated_at = context.now
        self.outstanding = 0  # number of outstanding calls

    def allows_call(self) -> bool:
        """Returns whether one more call is within the quota."""
        quota = self._quota()
        return self.outstanding + 1 <= max(quota, 1) and self._debt <= quota * self._max_debt_factor

    def add(self, calls: int) -> None:
        """Adds to the number of outstanding calls; `calls` is negative for calls that ended."""
        elapsed_ms = self._context.now - self._updated_at
        excess = self.outstanding - self._quota()
        self._debt = max(self._debt + excess * elapsed_ms, 0.0)
        self._updated_at = self._context.now
        self.outstanding += calls

    def _quota(self) -> float:
        return self._context.limits.downstream_call_quota or UNSTATED_QUOTA


class DownstreamCalls(Stage):
    """Sends, skips and retries the downstream calls of requests.

    A call of a request with side effects is retried only if its last attempt is known not to have run."""

    def __init__(
        self,
        context: AdmissionContext,
        limiter: ConcurrencyLimiter,
        service_level: ActiveServiceLevel,
    ) -> None:
        settings = context.settings
        self._context = context
        self._flow = context.flow
        self._limiter = limiter
        self._service_level = service_level
        self.is_shared = settings.downstream is DownstreamKind.SHARED
        self._linger_ms = settings.downstream_linger_ms
        self.quota = DownstreamQuota(context)
        self._breaker = CircuitBreaker(context)
        self.waiting: deque[Request] = deque()

    def request_call(self, request: Request) -> None:
        """Handles a request that has reached a downstream call."""
        self.waiting.append(request)
        self.send_waiting()

    def send_waiting(self) -> None:
        """Sends the calls that are allowed now. A request whose call may be skipped continues without it."""
        waiting = self.waiting
        self.waiting = deque()
        for request in waiting:
            is_allowed = self._may_call() and not self._service_level.omits_call(request)
            if request.state is not RequestState.CALLING or request.is_answered:
                continue
            if is_allowed:
                self._send(request)
            elif request.request_class.skip_weight_factor:
                self._skip(request)
            else:
                self.waiting.append(request)

    def handle_ended(self, request: Request, outcome: Outcome) -> None:
        """Handles the end of a request's call."""
        self._close_call(request, 0.0 if outcome.has_ended_downstream else self._linger_ms)
        if outcome is Outcome.OK:
            self._breaker.on_success()
            request.call_attempts = 0
            self._limiter.return_to_cores(request)
        else:
            self._breaker.on_failure(request, outcome)
            self._retry_or_fail(request, outcome)
        self.send_waiting()

    def on_released(self, request: Request) -> None:
        """Closes the call of a request that ended earlier; the downstream may still be working on it."""
        self._close_call(request, self._linger_ms)

    def _may_call(self) -> bool:
        self.quota.add(0)
        return self._breaker.allows_call() and (not self.is_shared or self.quota.allows_call())

    def _send(self, request: Request) -> None:
        request.call_attempts += 1
        request.is_call_open = True
        self._breaker.on_call()
        self.quota.add(1)
        timeout_ms = max(request.deadline - self._context.now, MIN_TIMEOUT_MS)
        self._context.commands.append(CallDownstream(request.request_id, timeout_ms))

    def _skip(self, request: Request) -> None:
        self._context.commands.append(SkipCall(request.request_id))
        self._limiter.return_to_cores(request)

    def _close_call(self, request: Request, linger_ms: float) -> None:
        if request.is_call_open:
            request.is_call_open = False
            self._context.timers.schedule(self._context.now + linger_ms, lambda: self.quota.add(-1))

    def _retry_or_fail(self, request: Request, outcome: Outcome) -> None:
        if request.has_side_effects and not outcome.never_ran:
            self._flow.fail(request)
        elif not request.is_answered:
            jitter = 0.5 + self._flow.random_fraction(request.request_id)
            backoff_ms = RETRY_BACKOFF_MS * request.call_attempts * jitter
            self._context.timers.schedule(self._context.now + backoff_ms, lambda: self.request_call(request))
