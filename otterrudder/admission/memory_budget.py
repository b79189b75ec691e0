"""The memory budget, which keeps the server from running out of memory."""

from otterrudder.admission.context import AdmissionContext, RejectionReason, Stage
from otterrudder.admission.deduplication import Deduplication
from otterrudder.admission.requests import Request, RequestState

MAX_QUEUED_MEMORY_SHARE = 0.85  # share of the memory; the rest is for requests that are still being read
MAX_RUN_MEMORY_SHARE = 0.92  # share of the memory up to which runs start

_UNSTARTED_STATES = (RequestState.QUEUED, RequestState.FOLLOWING)


class MemoryBudget(Stage):
    """Counts the memory of queued and running requests and of retained idempotency keys."""

    def __init__(self, context: AdmissionContext, deduplication: Deduplication) -> None:
        settings = context.settings
        self._context = context
        self._flow = context.flow
        self._deduplication = deduplication
        self._capacity_kb = settings.memory_kb
        self._run_factor = settings.run_memory_factor  # memory of a running request relative to a queued one
        self._entry_kb = settings.idempotency_entry_kb
        self._queue_limit_kb = settings.memory_kb * MAX_QUEUED_MEMORY_SHARE
        self._run_limit_kb = settings.memory_kb * MAX_RUN_MEMORY_SHARE
        self.requests_kb = 0.0

    @property
    def used_kb(self) -> float:
        """The memory in use, by this count."""
        return self.requests_kb + self._deduplication.entry_count * self._entry_kb

    @property
    def used_share(self) -> float:
        """The share of the memory in use."""
        return self.used_kb / max(self._capacity_kb, 1.0)

    def add(self, request: Request) -> None:
        """Counts a request that was read."""
        self.requests_kb += request.size_kb

    def admit(self, request: Request) -> bool:
        """Rejects a request that does not fit into the memory; retains the idempotency key of others."""
        needed_kb = 0.0
        if request.has_idempotency_key and not self._deduplication.is_retained(request):
            if not request.can_retain_key:
                return self._flow.reject(request, RejectionReason.LOCAL)
            needed_kb = self._entry_kb
        if self.used_kb + needed_kb > self._queue_limit_kb:
            return self._flow.reject(request, RejectionReason.LOCAL)
        if request.has_idempotency_key:
            self._deduplication.retain(request)
        return True

    def may_start(self, request: Request) -> bool:
        """Returns whether there is enough memory to run the request."""
        return self.used_kb + request.size_kb * (self._run_factor - 1) <= self._run_limit_kb

    def on_started(self, request: Request) -> None:
        """Counts the additional memory of a request that starts."""
        self.requests_kb += request.size_kb * (self._run_factor - 1)

    def on_released(self, request: Request) -> None:
        """Releases the memory of a request."""
        factor = 1 if request.state in _UNSTARTED_STATES else self._run_factor
        self.requests_kb -= request.size_kb * factor
