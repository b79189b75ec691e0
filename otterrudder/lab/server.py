"""One server of a site: a real request core, driven as the dispatcher drives it, on a model of CPU cores.

All events of one instant form a batch. A batch sets the core's time, handles events of the runtime and the
downstream service, then arrivals, then the tick if it is due, and delivers the messages that the core sends.
Faults may kill, freeze, slow down or drain the process. It crashes by itself when its memory is exhausted or
when too many requests run on its cores."""

import math
from collections.abc import Callable, Iterator
from typing import Any, Protocol

from otterrudder.admission.commands import CloseConnections
from otterrudder.admission.interface import Idempotency, Outcome
from otterrudder.lab.arrivals import OfferedRequest
from otterrudder.lab.checker import Checker
from otterrudder.lab.cores import Cores, Job
from otterrudder.lab.downstream import Downstream
from otterrudder.lab.engine import Engine
from otterrudder.lab.site import Site
from otterrudder.levels import LevelController, LevelSelector, LevelTable
from otterrudder.net.core import RequestCore
from otterrudder.net.messages import (
    ConnectionMessage,
    DeliverReply,
    Destination,
    DispatcherMessage,
    LogEntry,
    RecordsMessage,
    RuntimeMessage,
    SendCall,
    SkipDownstreamCall,
    StartRun,
    StopRun,
)
from otterrudder.net.requests import RequestFields

START_UNIX_MS = 1.7e12  # wall-clock time at the start of the simulation
CLOSE_DELAY_MS = 1.0  # time from the command to close connections to the end of the process
SPREAD_STEP = 0.618034  # reciprocal of the golden ratio: spreads any number of servers evenly
SPREAD_START = 0.1
GAUGES = ["busy", "on_cores"]
LogCallback = Callable[[float, int, str, dict[str, Any]], None]


class Attempt(Protocol):
    """One attempt of a request at this server. The core addresses its answers to this object."""

    number: int
    offered: OfferedRequest
    at: float  # time at which it reaches the server, in ms
    max_wait_ms: float  # time for which its gateway waits for an answer, in ms
    is_marked: bool  # marked as a retry
    is_over: bool

    def receive(self, server: "Server", message: ConnectionMessage) -> None:
        """The server sends an answer."""

    def reset(self, server: "Server") -> None:
        """The connection is reset because the server's process has ended."""


class ActiveRun:
    """A started request, which is running on the cores or waiting for a downstream call.

    Its work is divided evenly into stages, with one downstream call between two stages.
    """

    __slots__ = ("calls_left", "job", "stage_work_ms")

    def __init__(self, stage_work_ms: float, calls: int) -> None:
        self.stage_work_ms, self.calls_left = stage_work_ms, calls
        self.job: Job | None = None


class Server:
    """A server, whose process may be started more than once."""

    def __init__(
        self,
        number: int,
        site: Site,
        engine: Engine,
        downstream: Downstream,
        checker: Checker,
        *,
        seed: int,
        incarnations: "Iterator[int]",
        levels: LevelTable | None,
        selector_type: type[LevelSelector],
        on_log: LogCallback,
    ) -> None:
        self.number = number
        self.site = site
        self.engine = engine
        self.downstream = downstream
        self.checker = checker
        self.seed = seed
        self.incarnations = incarnations
        self.level_table = levels
        self.selector_type = selector_type
        self.on_log = on_log
        self.products = site.products
        section = site.server
        speed = section.speed[number % len(section.speed)]
        self.cores = Cores(engine, section.cores, speed, section.crowd_at, section.crowd_loss)
        self.is_up = False
        self.is_frozen = False
        self.is_draining = False
        self.core: RequestCore
        self.incarnation = 0
        self.memory_limit_kb = section.memory_kb
        self.memory_peak = 0.0  # maximum of the memory in use, as a share of the limit
        # maximum of the recent jobs per core, as a share of the number at which the server crashes
        self.contention_peak = 0.0

    def spread(self) -> float:
        """This server's position in the range of delays by which servers spread their level changes, from 0
        to 1."""
        return (self.number * SPREAD_STEP + SPREAD_START) % 1.0

    def start(self, warm: bool) -> None:
        """Starts the process, `warm` only at the start of the simulation."""
        self.incarnation = next(self.incarnations)  # unique over all servers and starts
        section = self.site.server
        self.cores.start(1.0 if warm else section.cold_from, 0.0 if warm else section.cold_s * 1000)
        controller = (
            LevelController(self.level_table, self.spread(), self.selector_type) if self.level_table else None
        )
        create_controller = self.site.create_controller(self.number + 1, self.seed * 1000 + self.incarnation)
        self.core = RequestCore(create_controller, self.products, GAUGES, controller)
        self.attempts: dict[str, Attempt] = {}
        self.runs: dict[str, ActiveRun] = {}
        self.internal_events: list[tuple[Callable[..., object], tuple[object, ...]]] = []
        self.gateway_events: list[tuple[Callable[..., object], tuple[object, ...]]] = []
        self.tick_at = math.inf
        self.is_batch_scheduled = False
        self.is_up = True
        self.is_draining = False
        self.is_frozen = False
        self.post(self.core.handle_runtime_ready, warm, section.cold_s * 1000 if warm else 0.0)
        self.post(self.core.handle_link_established)

    # Batches of events.

    def post(self, handler: Callable[..., object], *args: object) -> None:
        """Adds an event of the runtime or the downstream service to the next batch."""
        self.internal_events.append((handler, args))
        self._schedule_batch()

    def post_arrival(self, handler: Callable[..., object], *args: object) -> None:
        """Adds an event of a gateway to the next batch, to be handled after the other events."""
        self.gateway_events.append((handler, args))
        self._schedule_batch()

    def _schedule_batch(self) -> None:
        if not self.is_batch_scheduled and not self.is_frozen:
            self.is_batch_scheduled = True
            self.engine.at(self.engine.now, self._run_batch, self.incarnation)

    def _run_batch(self, incarnation: int) -> None:
        if incarnation != self.incarnation or not self.is_up or self.is_frozen:
            return
        self.is_batch_scheduled = False
        now = self.engine.now
        internal_events, self.internal_events = self.internal_events, []
        gateway_events, self.gateway_events = self.gateway_events, []
        self.core.advance_to(START_UNIX_MS + now, now)
        for handler, args in internal_events + gateway_events:
            handler(*args)
        if now >= self.tick_at:
            late_ms = now - self.tick_at
            self.tick_at = math.inf
            self.core.query_gauges()
            self.core.handle_gauges(self.core.delivery.last_query, list(self.cores.gauges()))
            self.core.tick(late_ms)
            self._check_crash()
        for destination, message in self.core.take_messages():
            self._deliver(destination, message)

    def _deliver(self, destination: Any, message: Any) -> None:
        if destination is Destination.RUNTIME:
            self._handle_runtime_message(message)
        elif destination is Destination.RECORDS:
            self._handle_records_message(message)
        elif destination is Destination.DISPATCHER:
            self._handle_dispatcher_message(message)
        elif destination is Destination.GATEWAYS:
            if isinstance(message, CloseConnections):
                self.engine.after(CLOSE_DELAY_MS, self._process_stopped, self.incarnation)
        elif destination is not None:
            destination.receive(self, message)

    def _handle_dispatcher_message(self, message: DispatcherMessage) -> None:
        if isinstance(message, LogEntry):
            self.on_log(self.engine.now, self.number, message.text, message.fields)
        else:
            self.tick_at = self.engine.now + message.delay_ms
            self.engine.at(self.tick_at, self._tick, self.incarnation)

    def _tick(self, incarnation: int) -> None:
        if incarnation == self.incarnation and self.is_up and not self.is_frozen:
            self._run_batch(incarnation)

    # Arrivals.

    def receive(self, attempt: Attempt) -> None:
        """An attempt reaches the server and waits to be read by a core."""
        self.cores.read(self.site.read_ms, lambda: self._read_finished(attempt, self.incarnation))

    def _read_finished(self, attempt: Attempt, incarnation: int) -> None:
        if incarnation != self.incarnation or not self.is_up:
            return
        offered, request_id = attempt.offered, f"{attempt.number:016x}"
        request_class = self.products[offered.product]
        is_idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
        self.attempts[request_id] = attempt
        self.checker.received(
            self.engine.now,
            attempt.number,
            self.incarnation,
            attempt.at,
            attempt.at + attempt.max_wait_ms,
            0 if request_class.idempotency is Idempotency.SAFE else offered.number,
        )
        fields = RequestFields(
            request_id=request_id,
            received_at=START_UNIX_MS + attempt.at,
            ttl_ms=attempt.max_wait_ms,
            size_kb=self.site.server.held_kb,
            tenant_index=offered.tenant,
            session_key=0 if is_idempotent else offered.key,
            is_retry=attempt.is_marked,
            idempotency_key=f"{offered.number:x}" if is_idempotent else "",
            body=b"",
            criticality=offered.criticality,
        )
        self.post_arrival(self.core.handle_arrival, attempt, attempt.number, offered.product, fields)

    def disconnected(self, attempt: Attempt) -> None:
        """The caller of the attempt has disconnected."""
        self.checker.disconnected(attempt.number)
        self.post_arrival(self.core.handle_disconnect, attempt, f"{attempt.number:016x}")

    # The runtime and the downstream service.

    def _handle_runtime_message(self, message: RuntimeMessage) -> None:
        match message:
            case StartRun(request_id):
                self._start_run(request_id)
            case DeliverReply(request_id) | SkipDownstreamCall(request_id) if request_id in self.runs:
                self._run_stage(request_id, self.runs[request_id])
            case StopRun(request_id) if request_id in self.runs:
                stopped = self.runs.pop(request_id)
                if stopped.job:
                    self.cores.cancel(stopped.job)
                self.post(self.core.handle_run_ended, request_id, Outcome.CANCELLED, b"")

    def _start_run(self, request_id: str) -> None:
        attempt = self.attempts[request_id]
        self.checker.started(
            self.engine.now, attempt.number, self.products[attempt.offered.product].retention_ms
        )
        offered = attempt.offered
        run = self.runs[request_id] = ActiveRun(offered.work_ms / (offered.calls + 1), offered.calls)
        self._run_stage(request_id, run)

    def _run_stage(self, request_id: str, run: ActiveRun) -> None:
        run.job = self.cores.run(run.stage_work_ms, lambda: self._stage_finished(request_id, run))

    def _stage_finished(self, request_id: str, run: ActiveRun) -> None:
        run.job = None
        if run.calls_left:
            run.calls_left -= 1
            self.post(self.core.handle_call_needed, request_id, b"")
        else:
            self.runs.pop(request_id, None)
            if self.attempts[request_id].is_over:
                del self.attempts[request_id]
            self.post(self.core.handle_run_ended, request_id, Outcome.OK, b"done")

    def _handle_records_message(self, message: RecordsMessage) -> None:
        if isinstance(message, SendCall):
            incarnation, request_id = self.incarnation, message.request_id
            self.downstream.call(lambda outcome: self._downstream_replied(incarnation, request_id, outcome))

    def _downstream_replied(self, incarnation: int, request_id: str, outcome: Outcome) -> None:
        if incarnation == self.incarnation and self.is_up:
            self.post(self.core.handle_call_ended, request_id, outcome, b"")

    # The process.

    def begin_shutdown(self) -> None:
        """The process is told to shut down: it drains and then ends."""
        if self.is_up and not self.is_draining:
            section = self.site.server
            self.is_draining = True
            now = self.engine.now
            self.checker.shutdown_began(self.incarnation, now + section.grace_ms)
            self.post(self.core.begin_graceful_shutdown, section.stop_ms)
            self.engine.after(section.stop_ms, self._process_stopped, self.incarnation)

    def _process_stopped(self, incarnation: int) -> None:
        if incarnation == self.incarnation and self.is_up:
            self.checker.stopped(self.incarnation)
            self._end_process()

    def kill(self) -> None:
        """A fault kills the process."""
        if self.is_up:
            self.checker.killed(self.incarnation)
            self._end_process()

    def _end_process(self) -> None:
        self.is_up = False
        self.cores.clear()
        attempts, self.attempts = list(self.attempts.values()), {}
        for attempt in attempts:
            attempt.reset(self)

    def set_frozen(self, is_frozen: bool) -> None:
        """Stops or resumes the process and its cores. Events wait while it is frozen."""
        if not self.is_up:
            return
        self.is_frozen = is_frozen
        self.cores.set_factor(0.0 if is_frozen else 1.0)
        if not is_frozen:
            self.checker.resumed(self.engine.now, self.incarnation)
            self.is_batch_scheduled = False
            self._schedule_batch()

    def attempt_over(self, attempt: Attempt) -> None:
        """The attempt was answered or its caller has disconnected. While its run continues, the entry is
        kept."""
        request_id = f"{attempt.number:016x}"
        if request_id not in self.runs:
            self.attempts.pop(request_id, None)

    def _check_crash(self) -> None:
        section = self.site.server
        counters = self.core.log_fields()
        entries_kb = len(self.core.idempotency) * section.ref_kb
        used_kb = (counters["queued"] + counters["runs"] * section.run_factor) * section.held_kb + entries_kb
        self.memory_peak = max(self.memory_peak, used_kb / self.memory_limit_kb)
        max_jobs_per_core = 1 + (section.falls_at - 1) * self.cores.warmth()
        contention = self.cores.jobs_per_core / max_jobs_per_core
        self.contention_peak = max(self.contention_peak, contention)
        reason = (
            "out of memory"
            if used_kb > self.memory_limit_kb
            else "contention on its cores"
            if contention > 1
            else ""
        )
        if reason:
            self.checker.crashed(self.engine.now, self.incarnation, reason)
            self._end_process()
