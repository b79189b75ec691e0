"""Reports the load to callers by an advertised load value, retry delays and the idle timeout."""

import math
from typing import NamedTuple

from otterrudder.admission.commands import AdvertiseLoad, SetIdleTimeout
from otterrudder.admission.concurrency_limiter import ConcurrencyLimiter
from otterrudder.admission.context import RECENT_WEIGHT, AdmissionContext, RejectionReason
from otterrudder.admission.draining import Draining
from otterrudder.admission.interface import LoadSignal
from otterrudder.admission.requests import Request

DEFAULT_RETRY_AFTER_MS = 200.0  # about the duration of a run

# Backpressure, from 0 to 1. It follows the share of the latency objective that requests spend waiting.
TARGET_WAIT_SHARE = 0.12  # share above which the pressure rises
PRESSURE_STEP = 0.01  # change per tick for each TARGET_WAIT_SHARE above the target
MAX_PRESSURE_EXCESS = 2.0  # maximum steps per tick, so that a burst does not raise the pressure to 1 at once
PRESSURE_DECAY_FACTOR = 0.5  # factor on a decrease; slow, because all callers react to it at once
MAX_CREDIT_FACTOR = 8.0  # credit of a caller at zero pressure, as a multiple of its even share of the limit
MAX_ADVERTISED_CRITICALITY = 0.3  # criticality below which callers hold requests back at full pressure

# Rejections: estimate whether other servers are full too.
SLOW_SERVER_RATIO = 1.5  # `latency_to_mean` above which this server is slow, not only full
MAX_RETRY_SHARE = 0.15  # retry share of arrivals above which other servers are assumed to be full
RETRY_STORM_SHARE = 0.5  # retry share of arrivals above which callers get the longest delay

# Idle timeout of callers' connections.
INITIAL_ARRIVAL_GAP_MS = 100.0
MAX_CALLER_GAP_MS = 15_000.0  # interval between a caller's requests above which its connection may be closed
HIGH_REJECTION_SHARE = 0.7  # rejected share of arrivals above which idle connections are kept longer
LOW_REJECTION_SHARE = 0.4  # rejected share of arrivals below which idle connections are closed earlier
REJECTION_WEIGHT = 1 / 40  # weight of an arrival in the rejected share of arrivals
IDLE_TIMEOUT_GROWTH = 1.2  # factor per tick
IDLE_TIMEOUT_DECAY = 0.95  # factor per tick
MIN_IDLE_TIMEOUT_MS = 100.0
MIN_IDLE_TIMEOUT_CHANGE = 1 / 8  # relative change of the timeout from which a command is sent


class RejectionAdvice(NamedTuple):
    """The advice that is sent with a rejection."""

    is_final: bool
    retry_after_ms: float


class LoadReporter:
    """Measures waiting times and rejections, and derives the load values that are sent to callers."""

    def __init__(self, context: AdmissionContext, limiter: ConcurrencyLimiter, draining: Draining) -> None:
        settings = context.settings
        self._context = context
        self._limiter = limiter
        self._draining = draining
        self.signal = settings.load_signal
        self.are_retries_marked = settings.are_retries_marked
        self._callers = max(settings.callers, 1)
        self._arrival_gap_ms = INITIAL_ARRIVAL_GAP_MS  # mean time between arrivals
        self._last_arrival_at = context.now
        self._advertised: float | None = None
        self._max_idle_timeout_ms = settings.max_idle_timeout_ms
        self._idle_timeout_ms = settings.max_idle_timeout_ms
        if self._are_requests_rare():
            self._idle_timeout_ms = MIN_IDLE_TIMEOUT_MS
        self._sent_idle_timeout_ms = settings.max_idle_timeout_ms
        self._rejected_share = 0.0  # rejected share of recent arrivals
        self.retry_share = 0.0  # share of retries in recent arrivals
        self.wait_share = 0.0  # recent mean share of the latency objective that requests spend waiting
        self.pressure = 0.0

    def rejection_advice(
        self, reason: RejectionReason, is_retry: bool, retry_after_ms: float | None
    ) -> RejectionAdvice:
        """Returns whether a rejection is final, and the delay after which the caller may retry.

        A slow, cold or draining server lets callers try other servers. A server that is full at its usual
        speed assumes that the others are full too, because callers spread their load: a retry would only
        cost a read. While a service level is in force, it sets `retry_after_ms` from its duration."""
        max_retry_after_ms = self._context.limits.max_retry_after_ms
        if reason is RejectionReason.SERVED_ELSEWHERE or self._draining.covers_everything:
            return RejectionAdvice(False, max_retry_after_ms)
        if retry_after_ms is None:
            retry_after_ms = math.inf if self.retry_share > RETRY_STORM_SHARE else DEFAULT_RETRY_AFTER_MS
        is_slow_itself = self._limiter.warm_share() < 1.0 or self._limiter.latency_to_mean > SLOW_SERVER_RATIO
        are_others_full = reason is RejectionReason.OVERLOAD and not is_slow_itself
        is_final = are_others_full or is_retry or self.retry_share > MAX_RETRY_SHARE
        return RejectionAdvice(is_final, min(retry_after_ms, max_retry_after_ms))

    def record_arrival(self, is_retry: bool) -> None:
        """Counts an arrival."""
        # If retries are not marked, the rejected share is used: most rejected requests are retried somewhere.
        sample = is_retry if self.are_retries_marked else self._rejected_share
        self.retry_share += RECENT_WEIGHT * (sample - self.retry_share)
        self._rejected_share -= REJECTION_WEIGHT * self._rejected_share
        gap_ms = self._context.now - self._last_arrival_at
        self._arrival_gap_ms += RECENT_WEIGHT * (gap_ms - self._arrival_gap_ms)
        self._last_arrival_at = self._context.now

    def record_rejection(self) -> None:
        """Counts a rejection."""
        self._rejected_share += REJECTION_WEIGHT

    def record_wait(self, request: Request, wait_ms: float) -> None:
        """Counts a request that waits for `wait_ms` in the queue.

        The time before it was read counts too: a server that reads late is short of cores."""
        unread_ms = self._context.now - request.arrived_at
        share = min((unread_ms + wait_ms) / request.request_class.latency_objective_ms, 1.0)
        self.wait_share += RECENT_WEIGHT * (share - self.wait_share)

    def on_tick(self) -> None:
        """Updates the pressure, the idle timeout and the advertised load."""
        self._update_pressure()
        self._update_idle_timeout()
        value = self._advertised_value()
        if value is not None and value != self._advertised:
            self._advertised = value
            self._context.commands.append(AdvertiseLoad(value))

    def _are_requests_rare(self) -> bool:
        """Returns whether callers send so rarely that idle connections only fill the connection table."""
        return self._arrival_gap_ms * self._callers > MAX_CALLER_GAP_MS

    def _update_pressure(self) -> None:
        excess = min(self.wait_share / TARGET_WAIT_SHARE - 1, MAX_PRESSURE_EXCESS)
        change = PRESSURE_STEP * excess * (1.0 if excess > 0 else PRESSURE_DECAY_FACTOR)
        self.pressure = min(max(self.pressure + change, 0.0), 1.0)
        if not self._limiter.in_flight:  # no wait is measured while no request is in flight
            self.wait_share *= 1 - RECENT_WEIGHT

    def _update_idle_timeout(self) -> None:
        # While most arrivals are rejected, a full connection table is the cheapest way to reject. The timeout
        # changes gradually, because callers that are disconnected together reconnect together.
        factor = 1.0
        if self._rejected_share > HIGH_REJECTION_SHARE or not self._are_requests_rare():
            factor = IDLE_TIMEOUT_GROWTH
        elif self._rejected_share < LOW_REJECTION_SHARE:
            factor = IDLE_TIMEOUT_DECAY
        self._idle_timeout_ms = min(
            max(self._idle_timeout_ms * factor, MIN_IDLE_TIMEOUT_MS), self._max_idle_timeout_ms
        )
        change_ms = abs(self._idle_timeout_ms - self._sent_idle_timeout_ms)
        if change_ms > self._sent_idle_timeout_ms * MIN_IDLE_TIMEOUT_CHANGE:
            self._sent_idle_timeout_ms = self._idle_timeout_ms
            self._context.commands.append(SetIdleTimeout(self._idle_timeout_ms))

    def _advertised_value(self) -> float | None:
        if self.signal is LoadSignal.CRITICALITY:
            return round(MAX_ADVERTISED_CRITICALITY * self.pressure, 2)
        if self.signal is LoadSignal.CREDIT:
            even_share = self._limiter.limit / self._callers
            max_credit = min(self._limiter.ceiling(), max(MAX_CREDIT_FACTOR * even_share, 1.0))
            credit: float = max_credit * (even_share / max_credit) ** self.pressure
            return round(credit, 2)
        return None
