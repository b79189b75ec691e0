"""Deadlines: every request is answered by its deadline."""

from otterrudder.admission.context import AdmissionContext, Stage
from otterrudder.admission.requests import Request

RETRY_WAIT_FACTOR = 2.0  # assumed wait of a retry on other servers, in mean waits of this server
MIN_TIME_LEFT_MS = 0.1  # a request with less time left is rejected at once


class Deadlines(Stage):
    """Sets the deadlines of each request and answers it when its deadline expires."""

    def __init__(self, context: AdmissionContext) -> None:
        self._context = context
        self._flow = context.flow

    def assign(self, request: Request, time_left_ms: float, wait_share: float) -> None:
        """Sets the deadlines of a request that has just arrived.

        `time_left_ms` is the time that its caller states, or 0. `wait_share` is the share of the latency
        objective that requests spend waiting on this server. A retry is assumed to have waited as long on
        other servers, so its soft deadline is earlier. Its deadline does not change, because many runs end
        shortly before it."""
        request_class = request.request_class
        total_ms = request_class.deadline_ms  # no caller waits longer, whatever it states
        if time_left_ms:
            total_ms = min(time_left_ms + self._context.now - request.arrived_at, total_ms)
        spent_ms = 0.0
        if request.is_retry:
            spent_ms = RETRY_WAIT_FACTOR * wait_share * request_class.latency_objective_ms
        request.deadline = request.arrived_at + total_ms
        request.soft_deadline = min(
            request.arrived_at + request_class.latency_objective_ms - spent_ms, request.deadline
        )

    def admit(self, request: Request) -> bool:
        """Rejects a request that is already too late; schedules the answer of others at their deadline."""
        # An earlier attempt may have had side effects, until deduplication finds that it never ran.
        request.may_have_run = request.earlier_attempt_id != 0 and request.has_side_effects
        if request.deadline <= self._context.now + MIN_TIME_LEFT_MS:
            return self._flow.reject(request)
        self._context.schedule_until_answered(request, request.deadline, lambda: self._flow.reject(request))
        return True
