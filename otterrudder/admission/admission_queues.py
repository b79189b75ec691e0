"""The admission queues: established requests are served first, newcomers once no established one is queued.

The queues are bounded by waiting time, not by length: a request is queued if it can still be on time after
the work ahead of it."""

from collections import deque

from otterrudder.admission.concurrency_limiter import ConcurrencyLimiter
from otterrudder.admission.context import (
    RECENT_WEIGHT,
    AdmissionContext,
    RejectionReason,
    Stage,
)
from otterrudder.admission.downstream_calls import DownstreamCalls
from otterrudder.admission.load_reporter import LoadReporter
from otterrudder.admission.requests import Request
from otterrudder.admission.tenant_quotas import TenantQuotas

# Share of the time until the soft deadline that may be spent queued; the rest is for calls and errors.
QUEUE_WAIT_SHARE = 0.4
MAX_QUEUE_WAIT_SHARE = 0.8  # upper bound of that share, for requests of the greatest weight
MIN_EXPECTED_TIME_SHARE = 0.45  # share of its expected time; a request with less time left cannot be on time
MIN_NEWCOMER_SHARE = 0.1  # minimum share of the starts that is assumed to go to newcomers
MAX_KEY_SHARE = 0.25  # share of the queue for one session key, or for all requests without a key
MIN_KEY_ALLOWANCE = 3  # requests that a session key may always have queued


class WorkQueue:
    """A queue of requests and the sum of their expected work."""

    def __init__(self) -> None:
        self.requests: deque[Request] = deque()
        self.work_ms = 0.0  # expected time on the cores

    def append(self, request: Request) -> None:
        """Appends a request to the queue."""
        self.requests.append(request)
        self.work_ms += request.cost_ms

    def remove(self, request: Request) -> None:
        """Removes a request from any position in the queue."""
        self.requests.remove(request)
        self.work_ms -= request.cost_ms


class AdmissionQueues(Stage):
    """The two FIFO queues of requests that wait for the concurrency limit."""

    def __init__(
        self,
        context: AdmissionContext,
        quotas: TenantQuotas,
        limiter: ConcurrencyLimiter,
        downstream_calls: DownstreamCalls,
        load_reporter: LoadReporter,
    ) -> None:
        self._context = context
        self._flow = context.flow
        self._quotas = quotas
        self._limiter = limiter
        self._downstream_calls = downstream_calls
        self._load_reporter = load_reporter
        self._established = WorkQueue()
        self._newcomers = WorkQueue()
        self._queued_by_key: dict[int, int] = {}
        self.count = 0  # number of queued requests
        # Recent mean priority weight of newcomers, divided by their expected time on the cores.
        self._newcomer_weight_per_ms = 0.0
        self._established_share = 0.0  # established share of recent starts from the queues

    def requests(self) -> list[Request]:
        """Returns all queued requests, newcomers first."""
        return [*self._newcomers.requests, *self._established.requests]

    def admit(self, request: Request) -> bool:
        """Passes on a request that may start at once, queues one that can be on time, and rejects others."""
        self.refill()
        off_cores_ms = self._limiter.expected_off_cores_ms(request)
        request.cost_ms = self._limiter.expected_cores_ms(request)
        expected_ms = request.cost_ms + off_cores_ms
        if self._cannot_be_on_time(request, expected_ms):
            self._load_reporter.record_wait(request, off_cores_ms)
            return self._flow.reject(request, RejectionReason.LOCAL)
        if self.is_free_for(request):
            self._load_reporter.record_wait(request, 0.0)
            return True
        if not self._may_be_queued(request, expected_ms):
            return self._flow.reject(request)
        self._enqueue(request)
        # A late answer has little weight, so the request is rejected once it can no longer be on time.
        self._context.schedule_until_answered(
            request,
            request.soft_deadline - expected_ms * MIN_EXPECTED_TIME_SHARE,
            lambda: self._reject_if_queued(request),
        )
        return False

    def is_free_for(self, request: Request) -> bool:
        """Returns whether the request may start at once."""
        if self._established.requests or self._newcomers.requests:
            return False
        return self._may_start(request)

    def refill(self) -> None:
        """Starts queued requests while there is room."""
        while queue := self._established.requests or self._newcomers.requests:
            request = queue[0]
            if not self._may_start(request):
                return
            self._dequeue(request)
            self._established_share += RECENT_WEIGHT * (request.is_established - self._established_share)
            self._flow.forward(request, after=self)

    def on_answered(self, request: Request) -> None:
        """Removes a queued request that is answered from its queue."""
        if request.is_queued:
            self._dequeue(request)

    def _may_start(self, request: Request) -> bool:
        # A request that needs a call would only wait if others already wait for permission to call.
        request_class = request.request_class
        is_blocked = (
            request_class.may_call and self._downstream_calls.waiting and not request_class.skip_weight_factor
        )
        return not is_blocked and self._limiter.may_start(request)

    def _cannot_be_on_time(self, request: Request, expected_ms: float) -> bool:
        """Returns whether the request would be late even if it started now; a faster server may be on time.

        Returns False if no request is in flight, so that a slow server notices when it is fast again."""
        left_ms = request.soft_deadline - self._context.now
        return left_ms < expected_ms * MIN_EXPECTED_TIME_SHARE and self._limiter.in_flight > 0

    def _may_be_queued(self, request: Request, expected_ms: float) -> bool:
        """Returns whether the request may be queued. A request beyond its key's share becomes a newcomer."""
        weight_per_ms = self._quotas.priority_weight(request) / request.cost_ms
        if not request.is_established:
            self._update_newcomer_weight(weight_per_ms)
        is_over_key_share = self._is_over_key_share(request)
        is_excess_newcomer = is_over_key_share and not request.is_established
        request.is_established = request.is_established and not is_over_key_share
        wait_ms = self._expected_wait_ms(request)
        self._load_reporter.record_wait(request, wait_ms)
        mean_weight_per_ms = self._newcomer_weight_per_ms or weight_per_ms or 1.0
        wait_share = min(QUEUE_WAIT_SHARE * weight_per_ms / mean_weight_per_ms, MAX_QUEUE_WAIT_SHARE)
        max_wait_ms = (request.soft_deadline - self._context.now - expected_ms) * wait_share
        return not is_excess_newcomer and wait_ms <= max_wait_ms

    def _update_newcomer_weight(self, weight_per_ms: float) -> None:
        if self._newcomer_weight_per_ms:
            self._newcomer_weight_per_ms += RECENT_WEIGHT * (weight_per_ms - self._newcomer_weight_per_ms)
        else:
            self._newcomer_weight_per_ms = weight_per_ms

    def _is_over_key_share(self, request: Request) -> bool:
        if not request.session_key and not request.has_side_effects:
            return False
        queued = self._queued_by_key.get(request.session_key, 0)
        return queued >= max(MIN_KEY_ALLOWANCE, MAX_KEY_SHARE * self.count)

    def _expected_wait_ms(self, request: Request) -> float:
        if request.is_established:
            return self._established.work_ms / self._limiter.limit
        # Established requests that arrive later go first: a newcomer's wait grows with their share of starts.
        work_ms = self._newcomers.work_ms + self._established.work_ms
        newcomer_share = max(1 - self._established_share, MIN_NEWCOMER_SHARE)
        return work_ms / newcomer_share / self._limiter.limit

    def _queue_for(self, request: Request) -> WorkQueue:
        return self._established if request.is_established else self._newcomers

    def _enqueue(self, request: Request) -> None:
        request.is_queued = True
        self._queue_for(request).append(request)
        self.count += 1
        self._queued_by_key[request.session_key] = self._queued_by_key.get(request.session_key, 0) + 1

    def _dequeue(self, request: Request) -> None:
        request.is_queued = False
        self._queue_for(request).remove(request)
        self.count -= 1
        queued = self._queued_by_key[request.session_key] - 1
        if queued:
            self._queued_by_key[request.session_key] = queued
        else:
            del self._queued_by_key[request.session_key]

    def _reject_if_queued(self, request: Request) -> None:
        if request.is_queued:
            self._flow.reject(request)
