"""Deadlines: every request is answered by its deadline at the latest."""

from otterrudder.admission.context import AdmissionContext, Stage
from otterrudder.admission.requests import Request

RETRY_WAIT_FACTOR = 2.0  # mean waits here that a retry is taken to have spent at other servers
MIN_TIME_LEFT_MS = 0.1  # a request with less left is rejected at once


class Deadlines(Stage):
    """Sets each request's deadlines and answers the request when its deadline comes."""

    def __init__(self, context: AdmissionContext) -> None:
        self._context = context
        self._flow = context.flow

    def assign(self, request: Request, time_left_ms: float, wait_share: float) -> None:
        """Set the deadlines of a request that just arrived.

        `time_left_ms` is what its caller states, 0 for nothing. `wait_share` is the part of the latency
        objective that requests wait here: a retry is taken to have waited likewise elsewhere, so it has less
        left to be on time. Its deadline is not moved, as many runs end in the last moments."""
        request_class = request.request_class
        if time_left_ms:
            total_ms = time_left_ms + self._context.now - request.arrived_at
        else:
            total_ms = request_class.deadline_ms
        spent_ms = 0.0
        if request.is_retry:
            spent_ms = RETRY_WAIT_FACTOR * wait_share * request_class.latency_objective_ms
        request.deadline = request.arrived_at + total_ms
        request.soft_deadline = min(
            request.arrived_at + request_class.latency_objective_ms - spent_ms, request.deadline
        )

    def admit(self, request: Request) -> bool:
        """Reject what is too late already; otherwise answer it when its deadline comes."""
        # Until deduplication knows better, an earlier attempt may have had its side effects.
        request.may_have_run = request.earlier_attempt_id != 0 and request.has_side_effects
        if request.deadline <= self._context.now + MIN_TIME_LEFT_MS:
            return self._flow.reject(request)
        self._context.timers.schedule(request.deadline, lambda: self._flow.reject(request))
        return True
