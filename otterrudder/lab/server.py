"""One server of a site: a real request core driven as the dispatcher drives it, on modelled cores.

A batch is the time first, then events of the runtime and the downstream service, then arrivals, the tick if
it is due, then what the core sends; what comes at one instant makes one batch. The process may be killed,
frozen, slowed or drained by faults, and crashes by itself for want of memory or by contention, as the
platform's would."""

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

DAY_START_UNIX_MS = 1.7e12
CLOSE_DELAY_MS = 1.0  # from the command to close to the end of the process
SPREAD_STEP = 0.618034  # spreads the servers' lags evenly, however many there are
SPREAD_START = 0.1
GAUGES = ["busy", "on_cores"]
Logged = Callable[[float, int, str, dict[str, Any]], None]


class Attempt(Protocol):
    """One attempt of a request at this server, as its gateway made it; the core's answers go to it."""

    number: int
    offered: OfferedRequest
    at: float  # ms: when it reached the machine
    wait: float  # ms that its gateway waits for an answer
    is_marked: bool  # as a retry
    is_over: bool

    def receive(self, server: "Server", message: ConnectionMessage) -> None:
        """An answer of the server."""

    def reset(self, server: "Server") -> None:
        """Its connection breaks with the server."""


class Run:
    """A started request on the cores or at a call."""

    __slots__ = ("calls_left", "job", "part")

    def __init__(self, part: float, calls: int) -> None:
        self.part, self.calls_left = part, calls  # ms of work between two calls
        self.job: Job | None = None


class Server:
    """A server's process, which may be started more than once."""

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
        kind: type[LevelSelector],
        logged: Logged,
    ) -> None:
        self.number = number
        self.site = site
        self.engine = engine
        self.downstream = downstream
        self.checker = checker
        self.seed = seed
        self.incarnations = incarnations
        self.table = levels
        self.selector_type = kind
        self.logged = logged
        self.products = site.products
        part = site.server
        speed = part.speed[number % len(part.speed)]
        self.cores = Cores(engine, part.cores, speed, part.crowd_at, part.crowd_loss)
        self.is_up = False
        self.is_frozen = False
        self.is_draining = False
        self.core: RequestCore
        self.incarnation = 0
        self.memory_limit_kb = part.memory_kb
        self.memory_peak = 0.0  # share of the limit
        self.contention_peak = 0.0  # jobs a core over those at which a server crashes

    def spread(self) -> float:
        """Which share of the longest lag this server's levels have."""
        return (self.number * SPREAD_STEP + SPREAD_START) % 1.0

    def start(self, warm: bool) -> None:
        """The process comes up; cold but at the day's start."""
        self.incarnation = next(self.incarnations)  # a number for each start, of all servers of the day
        part = self.site.server
        self.cores.start(1.0 if warm else part.cold_from, 0.0 if warm else part.cold_s * 1000)
        controller = LevelController(self.table, self.spread(), self.selector_type) if self.table else None
        create_controller = self.site.create_controller(self.number + 1, self.seed * 1000 + self.incarnation)
        self.core = RequestCore(create_controller, self.products, GAUGES, controller)
        self.attempts: dict[str, Attempt] = {}
        self.runs: dict[str, Run] = {}
        self.urgent: list[tuple[Callable[..., object], tuple[object, ...]]] = []
        self.arrivals: list[tuple[Callable[..., object], tuple[object, ...]]] = []
        self.tick_at = math.inf
        self.is_batch_scheduled = False
        self.is_up = True
        self.is_draining = False
        self.is_frozen = False
        self.post(self.core.handle_runtime_ready, warm, part.cold_s * 1000 if warm else 0.0)
        self.post(self.core.handle_link_established)

    # The mailbox.

    def post(self, act: Callable[..., object], *args: object) -> None:
        """Puts an event of the runtime or the downstream service into the mailbox."""
        self.urgent.append((act, args))
        self._schedule_batch()

    def post_arrival(self, act: Callable[..., object], *args: object) -> None:
        """Puts an event of a gateway into the mailbox, to be played after the others."""
        self.arrivals.append((act, args))
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
        urgent, self.urgent = self.urgent, []
        arrivals, self.arrivals = self.arrivals, []
        self.core.advance_to(DAY_START_UNIX_MS + now, now)
        for act, args in urgent + arrivals:
            act(*args)
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
            self._runtime(message)
        elif destination is Destination.RECORDS:
            self._records(message)
        elif destination is Destination.DISPATCHER:
            self._dispatcher(message)
        elif destination is Destination.GATEWAYS:
            if isinstance(message, CloseConnections):
                self.engine.after(CLOSE_DELAY_MS, self._stopped, self.incarnation)
        elif destination is not None:
            destination.receive(self, message)

    def _dispatcher(self, message: DispatcherMessage) -> None:
        if isinstance(message, LogEntry):
            self.logged(self.engine.now, self.number, message.text, message.fields)
        else:
            self.tick_at = self.engine.now + message.delay_ms
            self.engine.at(self.tick_at, self._tick, self.incarnation)

    def _tick(self, incarnation: int) -> None:
        if incarnation == self.incarnation and self.is_up and not self.is_frozen:
            self._run_batch(incarnation)

    # Arrivals.

    def take(self, attempt: Attempt) -> None:
        """An attempt reaches the machine: its read waits for a core."""
        self.cores.read(self.site.read_ms, lambda: self._was_read(attempt, self.incarnation))

    def _was_read(self, attempt: Attempt, incarnation: int) -> None:
        if incarnation != self.incarnation or not self.is_up:
            return
        offered, call = attempt.offered, f"{attempt.number:016x}"
        request_class = self.products[offered.product]
        is_idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
        self.attempts[call] = attempt
        self.checker.received(
            self.engine.now,
            attempt.number,
            self.incarnation,
            attempt.at,
            attempt.at + attempt.wait,
            0 if request_class.idempotency is Idempotency.SAFE else offered.number,
        )
        fields = RequestFields(
            request_id=call,
            received_at=DAY_START_UNIX_MS + attempt.at,
            ttl_ms=attempt.wait,
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
        """Its caller has gone away."""
        self.checker.disconnected(attempt.number)
        self.post_arrival(self.core.handle_disconnect, f"{attempt.number:016x}")

    # The runtime and the downstream service.

    def _runtime(self, message: RuntimeMessage) -> None:
        match message:
            case StartRun(call):
                self._start_run(call)
            case DeliverReply(call) | SkipDownstreamCall(call) if call in self.runs:
                self._work(call, self.runs[call])
            case StopRun(call) if call in self.runs:
                stopped = self.runs.pop(call)
                if stopped.job:
                    self.cores.cancel(stopped.job)
                self.post(self.core.handle_run_ended, call, Outcome.CANCELLED, b"")

    def _start_run(self, call: str) -> None:
        attempt = self.attempts[call]
        self.checker.started(
            self.engine.now, attempt.number, self.products[attempt.offered.product].retention_ms
        )
        offered = attempt.offered
        run = self.runs[call] = Run(offered.work_ms / (offered.calls + 1), offered.calls)
        self._work(call, run)

    def _work(self, call: str, run: Run) -> None:
        run.job = self.cores.run(run.part, lambda: self._worked(call, run))

    def _worked(self, call: str, run: Run) -> None:
        run.job = None
        if run.calls_left:
            run.calls_left -= 1
            self.post(self.core.handle_call_needed, call, b"")
        else:
            self.runs.pop(call, None)
            if self.attempts[call].is_over:
                del self.attempts[call]
            self.post(self.core.handle_run_ended, call, Outcome.OK, b"done")

    def _records(self, message: RecordsMessage) -> None:
        if isinstance(message, SendCall):
            incarnation, call = self.incarnation, message.request_id
            self.downstream.call(lambda outcome: self._replied(incarnation, call, outcome))

    def _replied(self, incarnation: int, call: str, outcome: Outcome) -> None:
        if incarnation == self.incarnation and self.is_up:
            self.post(self.core.handle_call_ended, call, outcome, b"")

    # Its process.

    def begin_shutdown(self) -> None:
        """The notice to leave: it drains and ends by itself."""
        if self.is_up and not self.is_draining:
            part = self.site.server
            self.is_draining = True
            now = self.engine.now
            self.checker.shutdown_began(self.incarnation, now + part.grace_ms)
            self.post(self.core.begin_graceful_shutdown, part.stop_ms)
            self.engine.after(part.stop_ms, self._stopped, self.incarnation)

    def _stopped(self, incarnation: int) -> None:
        if incarnation == self.incarnation and self.is_up:
            self.checker.stopped(self.incarnation)
            self._end_process()

    def kill(self) -> None:
        """The process is killed from outside."""
        if self.is_up:
            self.checker.killed(self.incarnation)
            self._end_process()

    def _end_process(self) -> None:
        self.is_up = False
        self.cores.clear()
        attempts, self.attempts = list(self.attempts.values()), {}
        for attempt in attempts:
            attempt.reset(self)

    def freeze(self, on: bool) -> None:
        """The process and its cores stand still; what comes waits."""
        if not self.is_up:
            return
        self.is_frozen = on
        self.cores.set_factor(0.0 if on else 1.0)
        if not on:
            self.checker.resumed(self.engine.now, self.incarnation)
            self.is_batch_scheduled = False
            self._schedule_batch()

    def attempt_over(self, attempt: Attempt) -> None:
        """Its answer has gone out, or its caller has; a run that goes on keeps the entry."""
        call = f"{attempt.number:016x}"
        if call not in self.runs:
            self.attempts.pop(call, None)

    def _check_crash(self) -> None:
        part = self.site.server
        counters = self.core.log_fields()
        entries_kb = len(self.core.idempotency) * part.ref_kb
        used = (counters["queued"] + counters["runs"] * part.run_factor) * part.held_kb + entries_kb
        self.memory_peak = max(self.memory_peak, used / self.memory_limit_kb)
        max_jobs_per_core = 1 + (part.falls_at - 1) * self.cores.warmth()
        contention = self.cores.jobs_per_core / max_jobs_per_core
        self.contention_peak = max(self.contention_peak, contention)
        why = "memory" if used > self.memory_limit_kb else "a crowd on its cores" if contention > 1 else ""
        if why:
            self.checker.crashed(self.engine.now, self.incarnation, why)
            self._end_process()
