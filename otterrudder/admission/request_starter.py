"""The last stage of the admission chain, which starts admitted requests."""

from otterrudder.admission.admission_queues import AdmissionQueues
from otterrudder.admission.commands import StartRequest
from otterrudder.admission.context import AdmissionContext, Stage
from otterrudder.admission.deduplication import Deduplication
from otterrudder.admission.memory_budget import MemoryBudget
from otterrudder.admission.requests import IN_FLIGHT_STATES, Request
from otterrudder.admission.tenant_quotas import TenantQuotas


class RequestStarter(Stage):
    """Starts requests, and abandons running requests whose answer has become worthless."""

    def __init__(
        self,
        context: AdmissionContext,
        memory_budget: MemoryBudget,
        deduplication: Deduplication,
        quotas: TenantQuotas,
        queues: AdmissionQueues,
    ) -> None:
        self._context = context
        self._flow = context.flow
        self._memory_budget = memory_budget
        self._deduplication = deduplication
        self._quotas = quotas
        self._queues = queues
        self._can_stop_requests = context.settings.can_stop_requests

    def admit(self, request: Request) -> bool:
        """Starts the request."""
        self._memory_budget.on_started(request)
        self._context.commands.append(StartRequest(request.request_id))
        self._deduplication.on_started(request)
        self._quotas.on_started(request)
        if self._is_late_run_worthless(request):
            self._context.schedule_until_answered(
                request, request.soft_deadline, lambda: self._abandon(request)
            )
        return True

    def _is_late_run_worthless(self, request: Request) -> bool:
        """Returns whether a late answer has no weight and the run can be stopped."""
        may_stop = self._can_stop_requests and not request.has_side_effects
        return may_stop and not request.request_class.late_weight_factor

    def _abandon(self, request: Request) -> None:
        """Fails a request that runs late if other requests are queued."""
        if self._queues.count and request.state in IN_FLIGHT_STATES:
            self._flow.fail(request)
