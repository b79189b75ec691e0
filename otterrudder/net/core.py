"""The server without its sockets: decoded messages and the time in, the AdmissionController's steps carried
out, addressed messages out. No I/O, no clock, no decision.

What it sends is a list of (address, word, ...). Addresses: a gateway's peer, or one of the words below.

    peer        ("settled", rpc, body, load)  ("declined", rpc, terminal, stay_away_ms, load)
                ("voided", rpc, why, load)  ("rejected", rpc, why)  ("health", rpc, good, load)
    RUNTIME     ("start", call, product, body)  ("give", call, body)  ("stop", call)  ("omit", call)
                ("gauges", tag)  ("leave", tag)
    RECORDS     ("call", call, wait_ms, body)  ("hang up", call)
    GATEWAYS    ("idle", ms)  ("close",)
    DISPATCHER  ("wake", ms)  ("log", text, facts)

Owners: a request's entry is given back in `_release`, a reference in `_lapse`, a run in `_run_over`, a call
in `_call_over`, each on every way out.
"""

import heapq
import math
from collections.abc import Callable, Hashable
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

from otterrudder.admission import commands
from otterrudder.admission.commands import Command
from otterrudder.admission.controller import AdmissionController
from otterrudder.admission.interface import (
    Idempotency,
    Limits,
    Outcome,
    RequestClass,
    RequestScope,
    Restriction,
    RestrictionKind,
    ServiceLevel,
    Tenant,
)

if TYPE_CHECKING:  # a server without levels does not carry them
    from otterrudder.levels import LevelController, LevelTable, LevelUpdate

RUNTIME, RECORDS, GATEWAYS, DISPATCHER = "runtime", "records", "gateways", "dispatcher"
Outgoing = tuple[Any, ...]  # (address, word, ...), in the forms above
# Of what was sent to the runtime, beside the number of gauges. In doubt: a lost link may have swallowed it,
# and no gauges on a later link say anything of it.
UNSENT, PROVED, IN_DOUBT = 0, -1, math.inf


class Reference:
    """What is known of a referenced request by its mark, whichever of its tries holds it."""

    __slots__ = ("holder", "digest", "until", "result", "over", "waiting")

    def __init__(self, holder: int, digest: bytes) -> None:
        self.holder, self.digest, self.until = holder, digest, 0.0
        self.result: bytes | None = None  # of the run that settled
        self.over = False  # the run has ended, with or without a result
        self.waiting: list[int] = []  # tries to be answered from it


def request_digest(product: int, body: bytes) -> bytes:
    """A digest of what is asked for: all tries of a referenced request agree in it."""
    return blake2b(body, digest_size=12, salt=b"%d" % product).digest()


class PendingRequest:
    """A request that is owed an answer, or whose run is not over."""

    __slots__ = (
        "number",
        "call",
        "peer",
        "rpc",
        "product",
        "body",
        "mark",
        "digest",
        "answered",
        "started",
        "proof",
        "wants",
        "given",
        "calling",
        "waits_on",
    )

    def __init__(
        self,
        number: int,
        call: str,
        peer: Hashable,
        rpc: int,
        product: int,
        body: bytes,
        mark: str,
        digest: bytes,
    ) -> None:
        self.number, self.call, self.peer, self.rpc, self.product = number, call, peer, rpc, product
        self.body, self.mark, self.digest = body, mark, digest
        self.answered = self.started = self.calling = False
        self.proof: float = UNSENT  # the gauges whose answer proves that its start or reply was read
        self.wants: bytes | None = None  # the body of the call it stands at
        self.given: bytes | None = None  # the reply to its last call, from when it came to the next call
        self.waits_on: Reference | None = None


class Core:
    def __init__(
        self,
        create_controller: Callable[..., AdmissionController],
        products: list[RequestClass],
        gauges: list[str],
        levels: "LevelController | None" = None,
    ) -> None:
        """`create_controller` makes the AdmissionController once the runtime has said how it stands:
        create_controller(now, warm, up_ms). `levels`: the ladder of reduced service, if there is one."""
        self.levels = levels
        self.left_parts: list[RequestScope] = []  # served by another, as the gate last said
        self.is_aside = False  # it does not know which policy is in force, and admits nothing
        self.values: tuple[list[RequestClass], list[Tenant], Limits] | None = None  # as a policy has them
        self.aside = ServiceLevel(
            "aside", ((Restriction(RestrictionKind.DECLINE),),) * len(products), served_elsewhere=True
        )
        self.create_controller, self.products, self.gauges = create_controller, products, gauges
        self.names = {product.name: n for n, product in enumerate(products)}
        self.controller: AdmissionController | None = None
        self.unix = self.now = 0.0
        self.out: list[Outgoing] = []
        self.requests: dict[int, PendingRequest] = {}
        self.calls: dict[str, PendingRequest] = {}  # the same entries by the id the wires know
        self.references: dict[str, Reference] = {}
        self.lapses: list[tuple[float, str]] = []
        self.fresh: dict[str, Reference] = {}  # of marks that came in this batch: two tries in one are linked
        self.numbered = 0
        self.load: float | None = None
        self.healthy = self.retiring = False
        self.is_linked = False  # a runtime link stands and its replay is over
        self.asked = self.heard = 0  # the last gauges asked for, and those last answered
        self.told_cores = -1.0  # on the cores as the last ring heard, for the log
        self.told: dict[str, float] = {}  # the answered gauges, until a ring takes them

    @property
    def _module(self) -> AdmissionController:
        """The AdmissionController, where it is known to be there: no request is taken and no ring is due
        before it begins."""
        assert self.controller
        return self.controller

    # The batch: the time first, then what came, then the steps.

    def at(self, unix: float, now: float) -> None:
        self.unix, self.now = unix, now
        while self.lapses and self.lapses[0][0] <= now:
            self._lapse(heapq.heappop(self.lapses)[1])
        if self.controller:
            self.controller.advance_to(now)

    def done(self) -> list[Outgoing]:
        """Carries the steps out, and those that follow from them, and hands over what is to be sent."""
        while self.controller and (pending := self.controller.take_commands()):
            for command in pending:
                try:
                    self._carry_out(command)
                except Exception as error:  # one request's failure is not the others'
                    facts = {"command": command, "error": repr(error)}
                    self.out.append((DISPATCHER, "log", "a command failed", facts))
                    if request := self.requests.get(getattr(command, "request_id", 0)):
                        self._void(request)
        self.fresh.clear()
        out, self.out = self.out, []
        return out

    # From the gateways.

    def arrive(
        self,
        peer: Hashable,
        rpc: int,
        product: int,
        *,
        call: str,
        recv: float,
        ttl: float | None,
        kb: float,
        tenant: int,
        key: int,
        retry: bool,
        dedupe: str,
        body: bytes,
        rank: float = 1.0,
    ) -> None:
        if call in self.calls:
            self.out.append((peer, "rejected", rpc, "this call is open already"))
            return
        if not self.controller:  # no module yet that could decide, and nothing runs
            self.out.append((peer, "declined", rpc, False, 0.0, self.load))
            return
        spec = self.products[product]
        mark, known, digest = dedupe if spec.idempotency is Idempotency.IDEMPOTENT else "", None, b""
        if mark:
            digest = request_digest(product, body)
            known = self.references.get(mark) or self.fresh.get(mark)
            if known and known.digest != digest:  # its result would be served to another request
                self.out.append((peer, "rejected", rpc, "this mark came with another body or method"))
                return
        self.numbered += 1
        request = PendingRequest(self.numbered, call, peer, rpc, product, body, mark, digest)
        self.requests[request.number] = self.calls[call] = request
        if mark and not known:
            self.fresh[mark] = Reference(request.number, digest)
        age = max(self.unix - recv, 0.0)
        left = 0.0 if ttl is None else max(ttl - age, 1e-3)  # 0 would say that nothing is known
        self.controller.handle_arrival(
            request.number,
            product,
            tenant=tenant,
            key=key,
            size_kb=kb,
            age_ms=age,
            time_left_ms=left,
            earlier_attempt_id=known.holder if known else 0,
            is_retry=retry,
            criticality=rank,
        )

    def left(self, call: str) -> None:
        """Its caller waits no more, or its connection has gone: no answer is owed."""
        request = self.calls.get(call)
        if request and not request.answered:
            self._close(request)
            self._module.handle_disconnect(request.number)
            self._release(request)

    def check(self, peer: Hashable, rpc: int) -> None:
        self.out.append((peer, "health", rpc, self.healthy, self.load))

    # From the runtime.

    def begin(self, warm: bool, up_ms: float) -> None:
        """The runtime is up for the first time in this life of the process."""
        if self.retiring:  # what it would admit could not be answered by the end
            return
        self.controller = self.create_controller(self.now, warm, up_ms)
        if self.values:
            self.controller.update_policy(*self.values)
        if self.levels or self.is_aside:
            self._enforce()
        for part in self.left_parts:
            self.controller.drain(part, 0.0)

    def linked(self) -> None:
        """A link stands and all that the runtime told meanwhile was heard: what it shows to be missing goes
        out again. What was sent before gauges that were answered was read; of the little sent after them
        nothing is known. Inquiry-like requests are started again (if they run, nothing happens). One with an
        effect may just have ended, so it is in doubt until it is answered: from then on a start does no harm.
        Nor is a reply sent again, for the run may stand at its next call."""
        self.is_linked = True
        for request in [request for request in self.requests.values() if request.started]:
            if request.given is not None:
                if (
                    request.proof == UNSENT and not request.answered
                ):  # if it is, its run ends at its call by itself
                    self._give(request)
            elif request.proof == UNSENT and request.answered:
                self._run_over(request, Outcome.NEVER_STARTED)
            elif request.proof > self.heard and self._effectful(request) and not request.answered:
                request.proof = IN_DOUBT
            elif request.proof == UNSENT or request.proof > self.heard:
                self._start(request)

    def restarted(self) -> None:
        """The runtime has started anew by itself: what ran is gone, and nothing says how it ended."""
        for request in [request for request in self.requests.values() if request.started]:
            if request.proof != UNSENT or request.given is not None:
                self._run_over(request, Outcome.RESET)

    def unlinked(self) -> None:
        self.is_linked, self.told = False, {}

    def leave_link(self) -> None:
        """The runtime has another address: what is decided from now on goes out on the link to that one.
        A last question on the old link proves what it has read."""
        self.asked += 1
        self.out.append((RUNTIME, "leave", self.asked))
        self.unlinked()

    def ended(self, call: str, outcome: Outcome, body: bytes) -> None:
        if (request := self.calls.get(call)) and request.started:
            self._run_over(request, outcome, body)

    def wants(self, call: str, body: bytes) -> None:
        if (request := self.calls.get(call)) and request.started and request.wants is None:
            request.wants, request.given, request.proof = body, None, PROVED
            self._module.handle_call_needed(request.number)

    def gauged(self, tag: int, values: list[float]) -> None:
        if tag == self.asked:  # an older answer proves what was read, but says nothing of now
            told = zip(self.gauges, values, strict=False)
            self.told = {name: value for name, value in told if name and math.isfinite(value)}
        self.heard = max(self.heard, tag)

    def refused(self, word: str, call: str) -> None:
        """A command that the runtime did not carry out."""
        request = self.calls.get(call)
        self.out.append((DISPATCHER, "log", "runtime refused a command", {"command": word, "call": call}))
        if request and request.started and word == "start" and request.proof != UNSENT:
            if not request.answered:
                self.out.append(
                    (request.peer, "rejected", request.rpc, "the runtime does not know this request")
                )
                self._close(request)
            self._run_over(request, Outcome.NEVER_STARTED)
        elif request and word == "give":
            self._void(request)

    # From the records service.

    def replied(self, call: str, outcome: Outcome, body: bytes = b"") -> None:
        request = self.calls.get(call)
        if not request or not request.calling:
            return  # late: it was given up
        self._call_over(request)
        if outcome is Outcome.OK:
            request.wants, request.given, request.proof = None, body, UNSENT
            if self.is_linked:  # else it goes out with the next link, for the run waits for it
                self._give(request)
        self._module.handle_call_ended(request.number, outcome)

    # From the dispatcher.

    def ask(self) -> None:
        """Asks for gauges, ahead of a ring."""
        self.asked += 1
        self.told = {}
        if self.is_linked:
            self.out.append((RUNTIME, "gauges", self.asked))

    def ring(self, late_ms: float = 0.0) -> None:
        """Without gauges that answer the last question the module keeps to what it takes to be safe, and the
        ladder of levels takes the cores' use for unknown. `late_ms`: how late this ring itself is."""
        told, self.told = self.told, {}
        self.told_cores = told.get("on_cores", -1.0)
        self._module.tick(**told)
        # a drain declines by its own rule, and nothing else moves in it
        if self.levels and not self.retiring:
            facts = self._module.load_report() | {"late_ms": late_ms}
            if "busy" not in told:
                del facts["busy"]
            self._tell_level(self.levels.step(self.now, facts))

    def take_levels(self, table: "LevelTable") -> None:
        """Another table of levels, also while one is in force."""
        if self.levels and not self.retiring:
            self._tell_level(self.levels.replace_table(table, self.now))

    def take_policy(
        self,
        table: "LevelTable | None",
        make: "Callable[[LevelTable], LevelController]",
        products: list[RequestClass],
        tenants: list[Tenant],
        limits: Limits,
    ) -> None:
        """A policy is in force: its table of levels takes the place of any other, or of none; what comes from
        now on is worth what it says."""
        self.values = products, tenants, limits
        if self.controller:
            self.controller.update_policy(*self.values)
        if table and self.levels:
            self.take_levels(table)
        else:
            self.levels = make(table) if table else None
            self._enforce()

    def stand_aside(self, is_aside: bool) -> None:
        """Whether all that comes is declined, and not for good: others may know which policy is in force.
        What is held or runs is answered, and a repeat of what ran."""
        self.is_aside = is_aside
        self._enforce()

    def _enforce(self) -> None:
        if self.controller and not self.retiring:
            self.controller.set_service_level(
                self.aside if self.is_aside else self.levels.service_level if self.levels else None
            )

    def _tell_level(self, update: "LevelUpdate | None") -> None:
        if update and update.service_level and self.controller and not self.is_aside:
            self.controller.set_service_level(update.service_level)
        if update:
            self.out.append((DISPATCHER, "log", update.text, update.facts))

    def counters(self) -> dict[str, Any]:
        """What the module counts beside what is known here, for the log: they must agree."""
        if not self.controller:
            return {}
        return dict(
            in_hand=self.controller.in_flight_count,
            running=self.controller.running_count,
            held=self.controller.queued_count,
            runs=sum(request.started for request in self.requests.values()),
            at_calls=sum(request.wants is not None for request in self.requests.values()),
            on_cores=self.told_cores,
            gauges_behind=self.asked - self.heard,
            load=self.load,
            **(self.levels.log_fields(self.now) if self.levels else {}),
        )

    def serve_part(self, part: RequestScope, is_up: bool, left_ms: float) -> None:
        """A part of the requests is served here from now on, or left with so long to answer what was read of
        it. Before the runtime is up nothing is; what is left by then is told to the module as it starts."""
        self.left_parts = [p for p in self.left_parts if p != part] + ([] if is_up else [part])
        if self.controller and is_up:
            self.controller.resume(part)
        elif self.controller:
            self.controller.drain(part, left_ms)

    def retire(self, left_ms: float) -> None:
        if self.retiring:
            return
        self.retiring = True
        if self.controller:
            self.controller.begin_graceful_shutdown(left_ms)
        else:  # nothing has run, and nothing will: a runtime that comes up now finds nobody
            self.out.append((GATEWAYS, "close"))

    def failed(self, call: str) -> None:
        """An event of this request could not be dealt with: it is voided, the others go on."""
        if request := self.calls.get(call):
            self._void(request)
            self._module.handle_disconnect(request.number)

    # Steps.

    def _carry_out(self, command: Command) -> None:
        if commands.is_request_command(command):
            if request := self.requests.get(command.request_id):
                _REQUEST_COMMANDS[type(command)](self, request, *command[1:])
            elif isinstance(command, commands.StartRequest):
                # Its caller left within this batch: nothing starts, and its slot comes back.
                self._module.handle_finished(command.request_id, Outcome.NEVER_STARTED)
            return
        match command:
            case commands.ScheduleTick():
                self.out.append((DISPATCHER, "wake", command.delay_ms))
            case commands.AdvertiseLoad():
                self.load = command.value
            case commands.SetHealth():
                self.healthy = command.is_healthy
            case commands.LogMessage():
                self.out.append((DISPATCHER, "log", command.text, {}))
            case commands.SetIdleTimeout():
                self.out.append((GATEWAYS, "idle", command.timeout_ms))
            case commands.CloseConnections():
                self.out.append((GATEWAYS, "close"))

    def _run(self, request: PendingRequest) -> None:
        request.started = True
        if self.is_linked:
            self._start(request)

    def _start(self, request: PendingRequest) -> None:
        request.proof = self.asked + 1  # gauges asked for from now on prove that it was read
        self.out.append((RUNTIME, "start", request.call, self.products[request.product].name, request.body))

    def _give(self, request: PendingRequest) -> None:
        request.proof = self.asked + 1
        self.out.append((RUNTIME, "give", request.call, request.given))

    def _reuse(self, request: PendingRequest) -> None:
        known = self.references.get(request.mark)
        if known and not known.over:
            known.waiting.append(request.number)
            request.waits_on = known
        else:
            self._serve_from(request, known.result if known else None)

    def _serve_from(self, request: PendingRequest, result: bytes | None) -> None:
        self._answer(request, Outcome.ERROR if result is None else Outcome.OK, result or b"")
        self._module.handle_finished(request.number, Outcome.ERROR if result is None else Outcome.OK)
        self._release(request)

    def _stop(self, request: PendingRequest) -> None:
        self.out.append((RUNTIME, "stop", request.call))

    def _omit(self, request: PendingRequest) -> None:
        request.wants = None
        self.out.append((RUNTIME, "omit", request.call))

    def _decline(self, request: PendingRequest, terminal: bool, stay_away_ms: float) -> None:
        if not request.answered:
            self.out.append((request.peer, "declined", request.rpc, terminal, stay_away_ms, self.load))
            self._close(request)
        self._release(request)

    def _void(self, request: PendingRequest) -> None:
        if not request.answered:
            self.out.append((request.peer, "voided", request.rpc, "given up", self.load))
            self._close(request)
        self._release(request)

    def _keep(self, request: PendingRequest, span_ms: float) -> None:
        known = self.references.get(request.mark)
        if not known:
            known = self.references[request.mark] = Reference(request.number, request.digest)
            heapq.heappush(self.lapses, (self.now + span_ms, request.mark))
        elif known.holder != request.number:
            known.holder, known.over, known.result = request.number, False, None
        # A try of the window may wait unread for as long as its caller does, and no longer.
        known.until = self.now + span_ms + self.products[request.product].deadline_ms

    def _forget(self, request: PendingRequest) -> None:
        known = self.references.get(request.mark)
        if known and known.holder == request.number:
            del self.references[request.mark]

    def _call(self, request: PendingRequest, wait_ms: float) -> None:
        if request.wants is not None:
            request.calling = True
            self.out.append((RECORDS, "call", request.call, wait_ms, request.wants))

    # The ends of things.

    def _answer(self, request: PendingRequest, outcome: Outcome, body: bytes) -> None:
        if request.answered:
            return
        if outcome is Outcome.OK:
            self.out.append((request.peer, "settled", request.rpc, body, self.load))
        else:
            self.out.append((request.peer, "voided", request.rpc, "failed", self.load))
        self._close(request)

    def _close(self, request: PendingRequest) -> None:
        """No answer is owed any more; a run may go on."""
        request.answered, request.peer = True, None
        if request.waits_on:
            request.waits_on.waiting.remove(request.number)
            request.waits_on = None
        if request.calling:
            self._call_over(request, hang_up=True)
        if request.proof == IN_DOUBT and request.started and self.is_linked:
            self._start(request)  # as it is answered, nothing starts: it tells whether it runs

    def _run_over(self, request: PendingRequest, outcome: Outcome, body: bytes = b"") -> None:
        request.started = False
        known = self.references.get(request.mark) if request.mark else None
        if known and known.holder == request.number:
            known.over, known.result = True, body if outcome is Outcome.OK else None
            if outcome is Outcome.NEVER_STARTED:  # nothing was started, so the mark is free
                self._forget(request)
        if outcome in (Outcome.OK, Outcome.ERROR):
            self._answer(request, outcome, body)
        if request.calling:
            self._call_over(request, hang_up=True)
        self._module.handle_finished(request.number, outcome)
        if known and known.holder == request.number:
            waiting, known.waiting = known.waiting, []
            for number in waiting:
                if waiter := self.requests.get(number):
                    waiter.waits_on = None
                    self._serve_from(waiter, known.result)
        self._release(request)

    def _call_over(self, request: PendingRequest, hang_up: bool = False) -> None:
        request.calling = False
        if hang_up:
            self.out.append((RECORDS, "hang up", request.call))

    def _release(self, request: PendingRequest) -> None:
        if not request.answered or request.started:
            return
        if self.requests.pop(request.number, None):
            del self.calls[request.call]

    def _lapse(self, mark: str) -> None:
        known = self.references.get(mark)
        if not known:
            return
        if known.until > self.now:
            heapq.heappush(self.lapses, (known.until, mark))
        elif holder := self.requests.get(known.holder):  # not before its run
            heapq.heappush(self.lapses, (self.now + self.products[holder.product].deadline_ms, mark))
        else:
            del self.references[mark]

    def _effectful(self, request: PendingRequest) -> bool:
        return self.products[request.product].idempotency is not Idempotency.SAFE


_REQUEST_COMMANDS: dict[type[Command], Callable[..., None]] = {
    commands.StartRequest: Core._run,
    commands.ReplayResponse: Core._reuse,
    commands.StopRequest: Core._stop,
    commands.RejectRequest: Core._decline,
    commands.FailRequest: Core._void,
    commands.RetainKey: Core._keep,
    commands.EvictKey: Core._forget,
    commands.CallDownstream: Core._call,
    commands.SkipCall: Core._omit,
}
