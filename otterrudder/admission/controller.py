"""The admission controller, which passes each request through a chain of stages.

An adapter (`otterrudder.drill`, `otterrudder.net`) creates one controller for each server process. For each
event it sets the time by `advance_to`, calls the event's method, and executes the commands that
`take_commands` returns, in order.

A request passes through the chain from the first stage to the last. Each stage passes it on, holds it or
answers it. When the request is answered or released, the hooks of the stages run in reverse order.
docs/design.md explains this design.
"""

import zlib

from otterrudder.admission.admission_queues import AdmissionQueues
from otterrudder.admission.commands import (
    Command,
    FailRequest,
    LogMessage,
    RejectRequest,
    ReplayResponse,
    ScheduleTick,
    SetHealth,
    StopRequest,
)
from otterrudder.admission.concurrency_limiter import ConcurrencyLimiter
from otterrudder.admission.context import TICK_MS, AdmissionContext, RejectionReason, Stage
from otterrudder.admission.deadlines import Deadlines
from otterrudder.admission.deduplication import Deduplication
from otterrudder.admission.downstream_calls import DownstreamCalls
from otterrudder.admission.draining import Draining
from otterrudder.admission.interface import (
    Arrival,
    Limits,
    Outcome,
    RequestClass,
    RequestScope,
    ServiceLevel,
    Tenant,
)
from otterrudder.admission.load_reporter import LoadReporter
from otterrudder.admission.memory_budget import MemoryBudget
from otterrudder.admission.request_starter import RequestStarter
from otterrudder.admission.requests import IN_FLIGHT_STATES, Request, RequestState
from otterrudder.admission.service_level import ActiveServiceLevel
from otterrudder.admission.service_level_stage import ServiceLevelStage
from otterrudder.admission.session_table import SessionTable
from otterrudder.admission.settings import ControllerSettings
from otterrudder.admission.tenant_quotas import TenantQuotas


class AdmissionController:
    """Makes the admission decisions of one server."""

    def __init__(self, now: float, settings: ControllerSettings, *, instance: int, seed: int) -> None:
        self.settings = settings
        self._instance = instance
        self._random_count = seed
        self.context = AdmissionContext(now, settings, self)
        self._create_stages()
        self._chain: tuple[Stage, ...] = (
            self.deadlines,
            self.draining,
            self.deduplication,
            self.sessions,
            self.service_level_stage,
            self.memory_budget,
            self.queues,
            self.limiter,
            self.starter,
        )
        # Stages that implement a hook, in the reverse order of the chain.
        self._on_answered = (self.queues, self.sessions, self.deduplication)
        self._on_released = (self.downstream_calls, self.limiter, self.memory_budget, self.deduplication)

    def _create_stages(self) -> None:
        context = self.context
        active_level = ActiveServiceLevel()
        self.deadlines = Deadlines(context)
        self.draining = Draining(context)
        self.deduplication = Deduplication(context)
        self.sessions = SessionTable(context)
        self.tenant_quotas = TenantQuotas(context)
        self.memory_budget = MemoryBudget(context, self.deduplication)
        self.limiter = ConcurrencyLimiter(context, self.memory_budget)
        self.load_reporter = LoadReporter(context, self.limiter, self.draining)
        self.downstream_calls = DownstreamCalls(context, self.limiter, active_level)
        self.queues = AdmissionQueues(
            context, self.tenant_quotas, self.limiter, self.downstream_calls, self.load_reporter
        )
        self.service_level_stage = ServiceLevelStage(context, active_level, self.queues, self.limiter)
        self.starter = RequestStarter(
            context, self.memory_budget, self.deduplication, self.tenant_quotas, self.queues
        )

    @property
    def now(self) -> float:
        """The time of the last event."""
        return self.context.now

    @property
    def requests(self) -> dict[int, Request]:
        """The open requests, by id."""
        return self.context.requests

    @property
    def request_classes(self) -> list[RequestClass]:
        """The request classes of the policy in force."""
        return self.context.request_classes

    @property
    def limits(self) -> Limits:
        """The limits of the policy in force."""
        return self.context.limits

    @property
    def in_flight_count(self) -> int:
        """The number of requests that run or make downstream calls."""
        return self.limiter.in_flight

    @property
    def running_count(self) -> int:
        """The number of requests on the cores."""
        return self.limiter.running

    @property
    def queued_count(self) -> int:
        """The number of requests that wait for admission."""
        return self.queues.count

    # Called by the adapter: time, commands, events.

    def advance_to(self, now: float) -> None:
        """Sets the time and runs the timers that are due."""
        context = self.context
        context.now = now
        context.timers.run_due(now)

    def take_commands(self) -> list[Command]:
        """Returns the commands since the last call, in order."""
        commands = self.context.commands
        self.context.commands = []
        return commands

    def start(self) -> None:
        """Starts serving. The first tick has a random delay, so that servers do not tick at the same time."""
        self.load_reporter.on_tick()
        delay_ms = TICK_MS * (0.5 + self.random_fraction(self._instance) / 2)
        self.context.commands += [SetHealth(True), ScheduleTick(delay_ms)]

    def tick(self, busy: float = 1.0, on_cores: float = 0.0) -> None:
        """Handles the tick. `busy` is the share of the cores in use, `on_cores` their number if known."""
        self.limiter.on_tick(busy, on_cores, self.queues.count)
        self.service_level_stage.on_tick()
        self.queues.refill()
        self.downstream_calls.send_waiting()
        self.deduplication.on_tick()
        self.load_reporter.on_tick()
        self.context.commands.append(ScheduleTick(TICK_MS))

    def handle_arrival(self, arrival: Arrival) -> None:
        """Handles a request that was read."""
        request_class = self.context.request_classes[arrival.class_index]
        request = Request(arrival, request_class, self.context.now - arrival.age_ms)
        self.context.requests[request.request_id] = request
        self.memory_budget.add(request)
        self.deduplication.add(request)
        self.load_reporter.record_arrival(request.is_retry)
        self.deadlines.assign(request, arrival.time_left_ms, self.load_reporter.wait_share)
        self._admit(request, self._chain)

    def handle_finished(self, request_id: int, outcome: Outcome) -> None:
        """Handles the end of a run."""
        request = self.context.requests.get(request_id)
        if request is None:
            return
        request.is_completed = outcome is Outcome.OK
        if outcome is Outcome.NEVER_STARTED:  # a retry may then run
            request.may_have_run = False
        if outcome not in (Outcome.OK, Outcome.ERROR):  # the run produced no answer
            self.fail(request)
        self._mark_answered(request)
        self._release(request)

    def handle_call_needed(self, request_id: int) -> None:
        """Handles a running request that has reached a downstream call."""
        request = self.context.requests.get(request_id)
        if request is not None and request.state is RequestState.RUNNING:
            self.limiter.leave_cores(request)
            self.downstream_calls.request_call(request)
            self.queues.refill()

    def handle_call_ended(self, request_id: int, outcome: Outcome) -> None:
        """Handles the end of a request's downstream call."""
        request = self.context.requests.get(request_id)
        if request is not None and request.state is RequestState.CALLING:
            self.downstream_calls.handle_ended(request, outcome)

    def handle_disconnect(self, request_id: int) -> None:
        """Handles a caller that disconnected or no longer waits for its request."""
        request = self.context.requests.get(request_id)
        if request is not None:
            self._close(request)

    # Called for the operator: drains, service levels, policy.

    def begin_graceful_shutdown(self, time_left_ms: float) -> None:
        """Answers all requests within `time_left_ms`, then closes the connections."""
        text = f"draining: {len(self.context.requests)} in hand, {time_left_ms:.0f} ms to the stop"
        self.context.commands += [SetHealth(False), LogMessage(text)]
        self.draining.begin_shutdown(time_left_ms)

    def drain(self, scope: RequestScope, time_left_ms: float) -> None:
        """Drains a scope that other servers now serve: answers its open requests within `time_left_ms`."""
        self.draining.begin(scope, time_left_ms)
        self._set_health()

    def resume(self, scope: RequestScope) -> None:
        """Serves the scope again, with the limits of a cold start."""
        if self.draining.end(scope):
            self.limiter.restart_cold()
            self._set_health()

    def set_service_level(self, level: ServiceLevel | None) -> None:
        """Puts a service level in force. None turns service levels off."""
        self.service_level_stage.apply(level)

    def update_policy(
        self, request_classes: list[RequestClass], tenants: list[Tenant], limits: Limits
    ) -> None:
        """Puts a policy in force for new requests. Open requests keep their class."""
        self.context.request_classes = request_classes
        self.context.limits = limits
        self.tenant_quotas.tenants = tenants

    def load_report(self) -> dict[str, float]:
        """Returns the measurements by which service levels are selected.

        While no request is in flight, no run counts as slow or wasted."""
        is_idle = not self.limiter.in_flight
        report = {
            "pressure": self.load_reporter.pressure,
            "waits": self.load_reporter.wait_share,
            "retries": self.load_reporter.retry_share,
            "stretch": 1.0 if is_idle else self.limiter.latency_to_lowest,
            "given_up": 0.0 if is_idle else self.limiter.wasted_share,
            "memory": self.memory_budget.used_share,
            "busy": self.limiter.busy_share,
        }
        if self.service_level_stage.is_demand_known():
            report["demand"] = self.service_level_stage.demand
        return report

    # Called by the stages: see `RequestFlow`.

    def forward(self, request: Request, after: Stage) -> None:
        """Passes a request that a stage held to the stages after it."""
        self._admit(request, self._chain[self._chain.index(after) + 1 :])

    def reject(
        self,
        request: Request,
        reason: RejectionReason = RejectionReason.OVERLOAD,
        retry_after_ms: float | None = None,
    ) -> bool:
        """Rejects a request that never ran; fails it instead if it may have run."""
        if request.may_have_run:
            return self.fail(request)
        if not request.is_answered:
            self.load_reporter.record_rejection()
            advice = self.load_reporter.rejection_advice(reason, request.is_retry, retry_after_ms)
            command = RejectRequest(request.request_id, advice.is_final, advice.retry_after_ms)
            self.context.commands.append(command)
            self._close(request)
        return False

    def fail(self, request: Request) -> bool:
        """Answers that the request failed and may have run."""
        if not request.is_answered:
            self.context.commands.append(FailRequest(request.request_id))
            self._close(request)
        return False

    def replay(self, request: Request) -> None:
        """Answers the request with the response of its earlier attempt."""
        request.state = RequestState.REPLAYING
        self.memory_budget.on_started(request)
        self.context.commands.append(ReplayResponse(request.request_id))

    def random_fraction(self, request_id: int) -> float:
        """Returns a pseudo-random number from 0 to 1, reproducible for the same seed and order of events."""
        self._random_count += 1
        return zlib.crc32(f"{self._instance}/{request_id}/{self._random_count}".encode()) / 2**32

    # Steps of a request.

    def _admit(self, request: Request, stages: tuple[Stage, ...]) -> None:
        for stage in stages:
            if not stage.admit(request):
                return

    def _close(self, request: Request) -> None:
        """Closes a request that is answered or whose caller is gone; its run counts until it has ended."""
        if request.is_answered:
            return
        self._mark_answered(request)
        if request.state not in IN_FLIGHT_STATES:
            self._release(request)
        elif self._may_stop(request):
            self.context.commands.append(StopRequest(request.request_id))

    def _may_stop(self, request: Request) -> bool:
        is_running = request.state is RequestState.RUNNING
        return self.settings.can_stop_requests and is_running and not request.has_side_effects

    def _mark_answered(self, request: Request) -> None:
        if request.is_answered:
            return
        request.is_answered = True
        request.cancel_timers()
        for stage in self._on_answered:
            stage.on_answered(request)

    def _release(self, request: Request) -> None:
        if self.context.requests.pop(request.request_id, None) is None:
            return
        for stage in self._on_released:
            stage.on_released(request)
        request.state = RequestState.FINISHED
        self.queues.refill()

    def _set_health(self) -> None:
        self.context.commands.append(SetHealth(not self.draining.covers_everything))
