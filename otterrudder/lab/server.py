"""One server of a site: a real core driven as the dispatcher drives it, on modelled cores.

A batch is the time first, then what the runtime and the records tier said, then arrivals, the ring if it is
due, then what the core sends; what comes at one instant makes one batch. The process may be killed, frozen,
slowed or drained by faults, and dies by itself of memory or a crowd, as the platform's would."""

import math
from collections.abc import Callable, Iterator
from typing import Any, Protocol

from otterrudder.admission.commands import CloseConnections
from otterrudder.admission.interface import Idempotency, Outcome
from otterrudder.lab.arrivals import Ask
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

UNIX = 1.7e12  # ms: the Unix time of the day's start
GAUGES = ["busy", "on_cores"]
Logged = Callable[[float, int, str, dict[str, Any]], None]


class Attempt(Protocol):
    """One try of a request at this server, as its gateway made it; the core's answers go to it."""

    number: int
    ask: Ask
    at: float  # ms: when it reached the machine
    wait: float  # ms that its gateway waits for an answer
    is_marked: bool  # as a later try
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
    def __init__(
        self,
        number: int,
        site: Site,
        engine: Engine,
        below: Downstream,
        checker: Checker,
        *,
        seed: int,
        lives: "Iterator[int]",
        levels: LevelTable | None,
        kind: type[LevelSelector],
        logged: Logged,
    ) -> None:
        self.number, self.site, self.engine, self.below, self.checker = number, site, engine, below, checker
        self.seed, self.lives, self.table, self.kind = seed, lives, levels, kind
        self.logged = logged
        self.products = site.products
        s = site.server
        self.cores = Cores(engine, s.cores, s.speed[number % len(s.speed)], s.crowd_at, s.crowd_loss)
        self.is_up = self.is_frozen = self.is_draining = self.is_listed = False
        self.core: RequestCore
        self.life = 0
        self.memory_most = s.memory_kb
        self.memory_peak = self.crowd_peak = 0.0

    def spread(self) -> float:
        return ((self.number * 0.618034) + 0.1) % 1.0

    def start(self, warm: bool) -> None:
        """The process comes up; cold but at the day's start."""
        self.life = next(self.lives)  # a number for each start, of all servers of the day
        s = self.site.server
        self.cores.start(1.0 if warm else s.cold_from, 0.0 if warm else s.cold_s * 1000)
        controller = LevelController(self.table, self.spread(), self.kind) if self.table else None
        create_controller = self.site.create_controller(self.number + 1, self.seed * 1000 + self.life)
        self.core = RequestCore(create_controller, self.products, GAUGES, controller)
        self.tries: dict[str, Attempt] = {}
        self.runs: dict[str, Run] = {}
        self.urgent: list[tuple[Callable[..., object], tuple[object, ...]]] = []
        self.arrivals: list[tuple[Callable[..., object], tuple[object, ...]]] = []
        self.ring_at = math.inf
        self.is_planned = False
        self.is_up, self.is_draining, self.is_frozen = True, False, False
        self.post(self.core.handle_runtime_ready, warm, s.cold_s * 1000 if warm else 0.0)
        self.post(self.core.handle_link_established)

    # The mailbox.

    def post(self, act: Callable[..., object], *args: object) -> None:
        self.urgent.append((act, args))
        self._plan()

    def post_arrival(self, act: Callable[..., object], *args: object) -> None:
        self.arrivals.append((act, args))
        self._plan()

    def _plan(self) -> None:
        if not self.is_planned and not self.is_frozen:
            self.is_planned = True
            self.engine.at(self.engine.now, self._turn, self.life)

    def _turn(self, life: int) -> None:
        if life != self.life or not self.is_up or self.is_frozen:
            return
        self.is_planned = False
        now = self.engine.now
        urgent, self.urgent = self.urgent, []
        arrivals, self.arrivals = self.arrivals, []
        self.core.advance_to(UNIX + now, now)
        for act, args in urgent + arrivals:
            act(*args)
        if now >= self.ring_at:
            late, self.ring_at = now - self.ring_at, math.inf
            self.core.query_gauges()
            self.core.handle_gauges(self.core.delivery.last_query, list(self.cores.gauges()))
            self.core.tick(late)
            self._check_falls()
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
                self.engine.after(1.0, self._stopped, self.life)
        elif destination is not None:
            destination.receive(self, message)

    def _dispatcher(self, message: DispatcherMessage) -> None:
        if isinstance(message, LogEntry):
            self.logged(self.engine.now, self.number, message.text, message.fields)
        else:
            self.ring_at = self.engine.now + message.delay_ms
            self.engine.at(self.ring_at, self._ring, self.life)

    def _ring(self, life: int) -> None:
        if life == self.life and self.is_up and not self.is_frozen:
            self._turn(life)

    # Arrivals.

    def take(self, attempt: Attempt) -> None:
        """A try reaches the machine: its read waits for a core."""
        self.cores.read(self.site.read_ms, lambda: self._was_read(attempt, self.life))

    def _was_read(self, attempt: Attempt, life: int) -> None:
        if life != self.life or not self.is_up:
            return
        ask, call = attempt.ask, f"{attempt.number:016x}"
        spec = self.products[ask.product]
        referenced = spec.idempotency is Idempotency.IDEMPOTENT
        self.tries[call] = attempt
        self.checker.received(
            self.engine.now,
            attempt.number,
            self.life,
            attempt.at,
            attempt.at + attempt.wait,
            0 if spec.idempotency is Idempotency.SAFE else ask.number,
        )
        fields = RequestFields(
            request_id=call,
            received_at=UNIX + attempt.at,
            ttl_ms=attempt.wait,
            size_kb=self.site.server.held_kb,
            tenant_index=ask.tenant,
            session_key=0 if referenced else ask.key,
            is_retry=attempt.is_marked,
            idempotency_key=f"{ask.number:x}" if referenced else "",
            body=b"",
            criticality=ask.rank,
        )
        self.post_arrival(self.core.handle_arrival, attempt, attempt.number, ask.product, fields)

    def left(self, attempt: Attempt) -> None:
        """Its caller has gone away."""
        self.checker.disconnected(attempt.number)
        self.post_arrival(self.core.handle_disconnect, f"{attempt.number:016x}")

    # The runtime and what lies below it.

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
        attempt = self.tries[call]
        self.checker.started(self.engine.now, attempt.number, self.products[attempt.ask.product].retention_ms)
        ask = attempt.ask
        run = self.runs[call] = Run(ask.work / (ask.calls + 1), ask.calls)
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
            if self.tries[call].is_over:
                del self.tries[call]
            self.post(self.core.handle_run_ended, call, Outcome.OK, b"done")

    def _records(self, message: RecordsMessage) -> None:
        if isinstance(message, SendCall):
            life, call = self.life, message.request_id
            self.below.call(lambda outcome: self._replied(life, call, outcome))

    def _replied(self, life: int, call: str, outcome: Outcome) -> None:
        if life == self.life and self.is_up:
            self.post(self.core.handle_call_ended, call, outcome, b"")

    # Its life.

    def retire(self) -> None:
        """The notice to leave: it drains and ends by itself."""
        if self.is_up and not self.is_draining:
            s = self.site.server
            self.is_draining = True
            now = self.engine.now
            self.checker.shutdown_began(self.life, now + s.grace_ms)
            self.post(self.core.begin_graceful_shutdown, s.stop_ms)
            self.engine.after(s.stop_ms, self._stopped, self.life)

    def _stopped(self, life: int) -> None:
        if life == self.life and self.is_up:
            self.checker.stopped(self.life)
            self._gone()

    def kill(self) -> None:
        if self.is_up:
            self.checker.killed(self.life)
            self._gone()

    def _gone(self) -> None:
        self.is_up = False
        self.cores.clear()
        attempts, self.tries = list(self.tries.values()), {}
        for attempt in attempts:
            attempt.reset(self)

    def freeze(self, on: bool) -> None:
        """The process and its cores stand still; what comes waits."""
        if not self.is_up:
            return
        self.is_frozen = on
        self.cores.set_factor(0.0 if on else 1.0)
        if not on:
            self.checker.resumed(self.engine.now, self.life)
            self.is_planned = False
            self._plan()

    def over(self, attempt: Attempt) -> None:
        """Its answer has gone out, or its caller has; a run that goes on keeps the entry."""
        call = f"{attempt.number:016x}"
        if call not in self.runs:
            self.tries.pop(call, None)

    def _check_falls(self) -> None:
        s = self.site.server
        warm = self.cores.warmth()
        counters = self.core.log_fields()
        refs = len(self.core.idempotency) * s.ref_kb
        used = (counters["queued"] + counters["runs"] * s.run_factor) * s.held_kb + refs
        self.memory_peak = max(self.memory_peak, used / self.memory_most)
        crowd = self.cores.jobs_per_core / (1 + (s.falls_at - 1) * warm)
        self.crowd_peak = max(self.crowd_peak, crowd)
        why = "memory" if used > self.memory_most else "a crowd on its cores" if crowd > 1 else ""
        if why:
            self.checker.crashed(self.engine.now, self.life, why)
            self._gone()
