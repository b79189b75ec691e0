"""The request core: the server without its sockets. It performs no I/O, reads no clock, and leaves admission
decisions to the admission controller.

The dispatcher drives the core in batches: it calls `advance_to` with the time, then a handler for each event,
then `take_messages`, which executes the admission controller's commands and returns the messages to send. The
message types are in `messages.py`. The simulations in the lab drive the same code.

The core consists of `request_table` (pending requests and how they end), `idempotency` (idempotency keys and
the responses to replay), `run_delivery` (commands to the runtime, and which of them it has read),
`downstream` (calls to the records service) and `service_state` (restrictions on admission from outside the
controller)."""

from collections.abc import Callable, Hashable
from typing import TYPE_CHECKING, Any

from otterrudder.admission import commands
from otterrudder.admission.commands import Command
from otterrudder.admission.controller import AdmissionController
from otterrudder.admission.interface import (
    Arrival,
    Idempotency,
    Limits,
    Outcome,
    RequestClass,
    RequestScope,
    Tenant,
)
from otterrudder.net.downstream import DownstreamCalls
from otterrudder.net.idempotency import IdempotencyTable, request_digest
from otterrudder.net.memory import UNLIMITED, MemoryLimits, SharedMemory
from otterrudder.net.messages import (
    DeliverReply,
    Destination,
    HealthStatus,
    LogEntry,
    Outgoing,
    RequestFailed,
    RequestInvalid,
    RequestRejected,
    RuntimeMessage,
    StartRun,
)
from otterrudder.net.request_table import RequestTable
from otterrudder.net.requests import PendingRequest, RequestFields
from otterrudder.net.run_delivery import RunDelivery
from otterrudder.net.service_state import ServiceState

if TYPE_CHECKING:  # imported at run time only if levels are configured
    from otterrudder.levels import LevelController, LevelTable, LevelUpdate

MIN_TIME_LEFT_MS = 1e-3  # the controller takes 0 for an unknown time left
UNKNOWN_CORES = -1.0  # number of busy cores if the runtime has not answered the gauges query


class RequestCore:
    """Keeps the pending requests and connects the admission controller with the gateways, the runtime and the
    records service."""

    def __init__(
        self,
        create_controller: Callable[[float, bool, float], AdmissionController],
        request_classes: list[RequestClass],
        gauge_names: list[str],
        levels: "LevelController | None" = None,
        memory: MemoryLimits = UNLIMITED,
    ) -> None:
        """`create_controller` is called once the runtime is up, with the time, whether the runtime is warm
        and its uptime in ms. `gauge_names` has the gauges in the order of the runtime's answers. `levels` is
        the controller of the levels of reduced service; None if no levels are configured. `memory` limits
        what the core keeps."""
        self.request_classes = request_classes
        self._max_request_bytes = memory.request_bytes
        self.class_indices = {
            request_class.name: index for index, request_class in enumerate(request_classes)
        }
        self.controller: AdmissionController | None = None
        self._create_controller = create_controller
        self.unix_ms = 0.0
        self.now = 0.0
        self.outbox: list[Outgoing] = []  # shared with the components created below
        self.shared_memory = SharedMemory(memory.shared_bytes)
        self.idempotency = IdempotencyTable(self.shared_memory)
        method_names = [request_class.name for request_class in request_classes]
        self.delivery = RunDelivery(self.outbox, method_names, gauge_names)
        self.calls = DownstreamCalls(self.outbox)
        self.requests = RequestTable(
            request_classes, self.outbox, self.idempotency, self.delivery, self.calls
        )
        self.service = ServiceState(len(request_classes), levels)
        self.is_healthy = False
        self.busy_cores = UNKNOWN_CORES  # value at the last tick, for the periodic log line

    @property
    def _admission(self) -> AdmissionController:
        """The controller, for callers that run only once it exists: without a controller no request is kept
        and no tick is due."""
        assert self.controller
        return self.controller

    # Batches.

    def advance_to(self, unix_ms: float, now: float) -> None:
        """Begins a batch at the time `now` (monotonic, in ms), and handles the deadlines that have passed by
        then."""
        self.unix_ms = unix_ms
        self.now = now
        self.idempotency.advance_to(now, self.requests.deadline_of)
        if self.controller:
            self.controller.advance_to(now)

    def take_messages(self) -> list[Outgoing]:
        """Ends the batch: executes the controller's commands, including those that result from executing
        others, and returns the messages to send, in order."""
        while self.controller and (pending := self.controller.take_commands()):
            for command in pending:
                try:
                    self._execute(command)
                except Exception as error:  # a failure must not affect other requests
                    self._log("admission command failed", {"command": command, "error": repr(error)})
                    if request := self.requests.by_number.get(getattr(command, "request_id", 0)):
                        self.requests.fail(request)
        self.requests.remove_released()
        self.idempotency.batch_entries.clear()
        messages = self.outbox[:]
        self.outbox.clear()
        return messages

    # Events from gateways.

    def handle_arrival(
        self, connection: Hashable, rpc_id: int, class_index: int, fields: RequestFields
    ) -> None:
        """Handles a request that arrived on a connection; exactly one answer is sent back."""
        if fields.request_id in self.requests.by_id:
            self.outbox.append((connection, RequestInvalid(rpc_id, "call is already open")))
            return
        if fields.request_id in self.idempotency.run_history:
            self.outbox.append((connection, RequestInvalid(rpc_id, "call was used by an earlier request")))
            return
        if not self.controller:  # nothing can run before the runtime is up
            self._refuse(connection, rpc_id, may_have_run=False)
            return
        key = ""
        digest = b""
        earlier_entry = None
        if self.request_classes[class_index].idempotency is Idempotency.IDEMPOTENT:
            key = fields.idempotency_key
        if key:
            digest = request_digest(class_index, fields.body)
            earlier_entry = self.idempotency.find(key)
            # The retained response belongs to a request with another body or method.
            if earlier_entry and earlier_entry.digest != digest:
                reason = "dedupe was used with another body or method"
                self.outbox.append((connection, RequestInvalid(rpc_id, reason)))
                return
        if self.requests.held_bytes >= self._max_request_bytes:
            self._refuse(connection, rpc_id, may_have_run=earlier_entry is not None)
            return
        request = self.requests.add(connection, rpc_id, class_index, fields, digest)
        if key and not earlier_entry:
            self.idempotency.add_to_batch(key, request.number, digest)
        can_retain_key = not key or key in self.idempotency.entries or self.idempotency.has_room()
        age_ms = max(self.unix_ms - fields.received_at, 0.0)
        ttl_ms = fields.ttl_ms
        self.controller.handle_arrival(
            Arrival(
                request.number,
                class_index,
                tenant=fields.tenant_index,
                session_key=fields.session_key,
                size_kb=fields.size_kb,
                age_ms=age_ms,
                time_left_ms=0.0 if ttl_ms is None else max(ttl_ms - age_ms, MIN_TIME_LEFT_MS),
                earlier_attempt_id=earlier_entry.holder if earlier_entry else 0,
                is_retry=fields.is_retry,
                criticality=fields.criticality,
                can_retain_key=can_retain_key,
            )
        )

    def handle_disconnect(self, connection: Hashable, request_id: str) -> None:
        """Closes a request whose caller cancelled it or disconnected; no answer is sent. Ids are chosen by
        the callers, so only the connection on which the request arrived may close it."""
        request = self.requests.by_id.get(request_id)
        if request and request.connection is connection and not request.is_answered:
            self.requests.close(request)
            self._admission.handle_disconnect(request.number)
            self.requests.release(request)

    def handle_health_check(self, connection: Hashable, rpc_id: int) -> None:
        """Answers a gateway's health check."""
        self.outbox.append((connection, HealthStatus(rpc_id, self.is_healthy, self.requests.advertised_load)))

    # Events from the runtime.

    def handle_runtime_ready(self, is_warm: bool, uptime_ms: float) -> None:
        """Creates the admission controller: the runtime is up for the first time since this process
        started."""
        if self.service.is_shutting_down:  # a request admitted now could not be answered in time
            return
        self.controller = self._create_controller(self.now, is_warm, uptime_ms)
        self.requests.controller = self.controller
        self.service.attach(self.controller)

    def handle_link_established(self) -> None:
        """Resends what earlier links lost: a link to the runtime is established, and all notices that the
        runtime issued in the meantime were received."""
        self.delivery.handle_link_established()
        for request in self.requests.running():
            is_safe = self.request_classes[request.class_index].idempotency is Idempotency.SAFE
            if not self.delivery.resume(request, is_safe):
                self.requests.finish_run(request, Outcome.NEVER_STARTED)

    def handle_link_lost(self) -> None:
        """Stops sending commands: the link to the runtime is lost."""
        self.delivery.handle_link_lost()

    def handle_runtime_restart(self) -> None:
        """Ends all runs that the runtime may have received: it has restarted, and how they ended is
        unknown."""
        for request in self.requests.running():
            if self.delivery.may_have_reached(request):
                self.requests.finish_run(request, Outcome.RESET)

    def close_runtime_link(self) -> None:
        """Stops using the link because the runtime's address changed; later commands wait for the new
        link."""
        self.delivery.close_link()

    def handle_run_ended(self, request_id: str, outcome: Outcome, body: bytes) -> None:
        """Handles the end of a run; `body` is its response."""
        request = self.requests.by_id.get(request_id)
        if request and request.is_running:
            self.requests.finish_run(request, outcome, body)

    def handle_call_needed(self, request_id: str, body: bytes) -> None:
        """Handles a run that waits for a downstream call with this body."""
        request = self.requests.by_id.get(request_id)
        if request and request.is_running and request.pending_call is None:
            self.delivery.handle_call_needed(request, body)
            self.requests.count_bytes(request)
            self._admission.handle_call_needed(request.number)

    def handle_gauges(self, tag: int, values: list[float]) -> None:
        """Handles the answer to the gauges query with this tag."""
        self.delivery.handle_gauges(tag, values)

    def handle_command_refused(self, command: type[RuntimeMessage] | None, request_id: str) -> None:
        """Handles a command that the runtime refused; `command` is its type, None if the type is unknown."""
        request = self.requests.by_id.get(request_id)
        if not request:
            return
        if command is StartRun and request.is_running and self.delivery.was_sent(request):
            if not request.is_answered:
                reason = "the runtime does not know this request"
                self.outbox.append((request.connection, RequestInvalid(request.rpc_id, reason)))
                self.requests.close(request)
            self.requests.finish_run(request, Outcome.NEVER_STARTED)
        elif command is DeliverReply:
            self.requests.fail(request)

    # Events from the records service.

    def handle_call_ended(self, request_id: str, outcome: Outcome, body: bytes = b"") -> None:
        """Handles the end of a downstream call; `body` is its reply."""
        request = self.requests.by_id.get(request_id)
        if not request or not request.is_calling:
            return  # the call was cancelled before its end was handled
        self.calls.finish(request)
        if outcome is Outcome.OK:
            self.delivery.deliver_reply(request, body)
            self.requests.count_bytes(request)
        self._admission.handle_call_ended(request.number, outcome)

    # Calls from the dispatcher and from the server's other components.

    def query_gauges(self) -> None:
        """Queries the runtime's gauges before a tick."""
        self.delivery.query_gauges()

    def tick(self, late_ms: float = 0.0) -> None:
        """Runs the admission controller's periodic tick, which is `late_ms` late. Without an answer to the
        last gauges query the controller assumes that all cores are busy, and the level controller treats the
        core utilization as unknown."""
        gauges = self.delivery.take_gauges()
        self.busy_cores = gauges.get("on_cores", UNKNOWN_CORES)
        self._admission.tick(**gauges)
        self._log_update(self.service.step_levels(self.now, late_ms, "busy" in gauges))

    def replace_level_table(self, table: "LevelTable") -> None:
        """Replaces the table of levels, if levels are configured."""
        self._log_update(self.service.replace_table(table, self.now))

    def update_policy(
        self,
        table: "LevelTable | None",
        create_levels: "Callable[[LevelTable], LevelController]",
        request_classes: list[RequestClass],
        tenants: list[Tenant],
        limits: Limits,
    ) -> None:
        """Puts a policy of the fleet into force."""
        policy = (request_classes, tenants, limits)
        self._log_update(self.service.update_policy(table, create_levels, policy, self.now))

    def set_suspended(self, is_suspended: bool) -> None:
        """Suspends admission or resumes it."""
        self.service.set_suspended(is_suspended)

    def set_scope_served(self, scope: RequestScope, is_served: bool, drain_ms: float) -> None:
        """Starts serving the scope's requests, or drains them within `drain_ms`."""
        self.service.set_scope_served(scope, is_served, drain_ms)

    def begin_graceful_shutdown(self, time_left_ms: float) -> None:
        """Answers all pending requests within `time_left_ms`, then closes the connections."""
        if not self.service.is_shutting_down and not self.service.begin_shutdown(time_left_ms):
            self.outbox.append((Destination.GATEWAYS, commands.CloseConnections()))

    def fail_request(self, request_id: str) -> None:
        """Fails a request because one of its events could not be handled; other requests are not affected."""
        if request := self.requests.by_id.get(request_id):
            self.requests.fail(request)
            self._admission.handle_disconnect(request.number)

    def log_fields(self) -> dict[str, Any]:
        """Returns the fields for the periodic log line. They include the controller's counts and the core's
        own counts, which must agree."""
        if not self.controller:
            return {}
        fields: dict[str, Any] = dict(
            in_flight=self.controller.in_flight_count,
            running=self.controller.running_count,
            queued=self.controller.queued_count,
            runs=len(self.requests.running()),
            pending_calls=self.requests.pending_call_count(),
            busy_cores=self.busy_cores,
            gauge_queries_unanswered=self.delivery.last_query - self.delivery.last_answer,
            load=self.requests.advertised_load,
        )
        if levels := self.service.levels:
            fields |= levels.log_fields(self.now)
        return fields

    # Commands of the admission controller.

    def _execute(self, command: Command) -> None:
        if commands.is_request_command(command):
            self._execute_on_request(command)
            return
        match command:
            case commands.ScheduleTick():
                self.outbox.append((Destination.DISPATCHER, command))
            case commands.AdvertiseLoad():
                self.requests.advertised_load = command.value
            case commands.SetHealth():
                self.is_healthy = command.is_healthy
            case commands.LogMessage():
                self._log(command.text, {})
            case commands.SetIdleTimeout() | commands.CloseConnections():
                self.outbox.append((Destination.GATEWAYS, command))

    def _execute_on_request(self, command: commands.RequestCommand) -> None:
        """Executes a command on a request, which may have been released earlier in the batch. Its key has
        an entry of its own, so the commands on the key are executed in any case."""
        request = self.requests.by_number.get(command.request_id)
        if not request:
            return
        if not request.is_released or isinstance(command, commands.RetainKey | commands.EvictKey):
            _REQUEST_COMMANDS[type(command)](self, request, command)
        elif isinstance(command, commands.StartRequest):  # its slot is released without a start
            self._admission.handle_finished(command.request_id, Outcome.NEVER_STARTED)

    def _refuse(self, connection: Hashable, rpc_id: int, may_have_run: bool) -> None:
        """Answers a request that is not passed to the controller. It fails if an earlier attempt may have
        run."""
        load = self.requests.advertised_load
        if may_have_run:
            self.outbox.append((connection, RequestFailed(rpc_id, "out of memory", load)))
        else:
            self.outbox.append((connection, RequestRejected(rpc_id, False, 0.0, load)))

    def _start(self, request: PendingRequest, _: commands.StartRequest) -> None:
        self.delivery.start(request)

    def _replay(self, request: PendingRequest, _: commands.ReplayResponse) -> None:
        self.requests.replay(request)

    def _stop(self, request: PendingRequest, _: commands.StopRequest) -> None:
        self.delivery.stop(request)

    def _reject(self, request: PendingRequest, command: commands.RejectRequest) -> None:
        self.requests.reject(request, command.is_final, command.retry_after_ms)

    def _fail(self, request: PendingRequest, _: commands.FailRequest) -> None:
        self.requests.fail(request)

    def _retain_key(self, request: PendingRequest, command: commands.RetainKey) -> None:
        self.idempotency.retain(
            request.idempotency_key,
            request.number,
            request.digest,
            self.now + command.retention_ms,
            self.request_classes[request.class_index].deadline_ms,
        )

    def _evict_key(self, request: PendingRequest, _: commands.EvictKey) -> None:
        self.requests.evict_key(request)

    def _call_downstream(self, request: PendingRequest, command: commands.CallDownstream) -> None:
        self.calls.start(request, command.timeout_ms)

    def _skip_call(self, request: PendingRequest, _: commands.SkipCall) -> None:
        self.delivery.skip_call(request)

    def _log(self, text: str, fields: dict[str, Any]) -> None:
        self.outbox.append((Destination.DISPATCHER, LogEntry(text, fields)))

    def _log_update(self, update: "LevelUpdate | None") -> None:
        if update:
            self._log(update.text, update.facts)


_REQUEST_COMMANDS: dict[type[Command], Callable[[RequestCore, PendingRequest, Any], None]] = {
    commands.StartRequest: RequestCore._start,
    commands.ReplayResponse: RequestCore._replay,
    commands.StopRequest: RequestCore._stop,
    commands.RejectRequest: RequestCore._reject,
    commands.FailRequest: RequestCore._fail,
    commands.RetainKey: RequestCore._retain_key,
    commands.EvictKey: RequestCore._evict_key,
    commands.CallDownstream: RequestCore._call_downstream,
    commands.SkipCall: RequestCore._skip_call,
}
