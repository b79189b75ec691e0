"""The server without its sockets: decoded messages and the time in, the Rudder's steps carried out, addressed
messages out. No I/O, no clock, no decision.

What it sends is a list of (address, word, ...). Addresses: a gateway's peer, or one of the words below.

    peer        ("settled", rpc, body, load)  ("declined", rpc, terminal, stay_away_ms, load)
                ("voided", rpc, why, load)  ("rejected", rpc, why)  ("health", rpc, good, load)
    RUNTIME     ("start", call, product, body)  ("give", call, body)  ("stop", call)  ("omit", call)
                ("gauges", tag)  ("leave", tag)
    RECORDS     ("call", call, wait_ms, body)  ("hang up", call)
    GATEWAYS    ("idle", ms)  ("close",)
    DISPATCHER  ("wake", ms)  ("log", text, facts)

Owners: a txn's entry is given back in `_release`, a reference in `_lapse`, a run in `_run_over`, a call in
`_call_over`, each on every way out.
"""

import heapq
import math
from collections.abc import Callable, Hashable
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

from otterrudder.admission.controller import Rudder
from otterrudder.admission.interface import (
    Cut,
    Effect,
    Limits,
    Outcome,
    Part,
    Product,
    Relief,
    Step,
    Tenant,
    Trim,
)

if TYPE_CHECKING:  # a server without levels does not carry them
    from otterrudder.levels import LevelController, LevelUpdate, Table

RUNTIME, RECORDS, GATEWAYS, DISPATCHER = "runtime", "records", "gateways", "dispatcher"
Outgoing = tuple[Any, ...]  # (address, word, ...), in the forms above
# Of what was sent to the runtime, beside the number of gauges. In doubt: a lost link may have swallowed it,
# and no gauges on a later link say anything of it.
UNSENT, PROVED, IN_DOUBT = 0, -1, math.inf


class Reference:
    """What is known of a referenced txn by its mark, whichever of its tries holds it."""

    __slots__ = ("holder", "digest", "until", "result", "over", "waiting")

    def __init__(self, holder: int, digest: bytes) -> None:
        self.holder, self.digest, self.until = holder, digest, 0.0
        self.result: bytes | None = None  # of the run that settled
        self.over = False  # the run has ended, with or without a result
        self.waiting: list[int] = []  # tries to be answered from it


def request_digest(product: int, body: bytes) -> bytes:
    """A digest of what is asked for: all tries of a referenced txn agree in it."""
    return blake2b(body, digest_size=12, salt=b"%d" % product).digest()


class Txn:
    """A txn that is owed an answer, or whose run is not over."""

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
        boot: Callable[..., Rudder],
        products: list[Product],
        gauges: list[str],
        levels: "LevelController | None" = None,
    ) -> None:
        """`boot` makes the Rudder once the runtime has said how it stands: boot(now, warm, up_ms). `levels`:
        the ladder of reduced service, if there is one."""
        self.levels = levels
        self.left_parts: list[Part] = []  # served by another, as the gate last said
        self.is_aside = False  # it does not know which policy is in force, and admits nothing
        self.values: tuple[list[Product], list[Tenant], Limits] | None = None  # as a policy has them
        self.aside = Relief("aside", ((Trim(Cut.DECLINE),),) * len(products), elsewhere=True)
        self.boot, self.products, self.gauges = boot, products, gauges
        self.names = {product.name: n for n, product in enumerate(products)}
        self.rudder: Rudder | None = None
        self.unix = self.now = 0.0
        self.out: list[Outgoing] = []
        self.txns: dict[int, Txn] = {}
        self.calls: dict[str, Txn] = {}  # the same entries by the id the wires know
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
    def _module(self) -> Rudder:
        """The Rudder, where it is known to be there: no txn is taken and no ring is due before it begins."""
        assert self.rudder
        return self.rudder

    # The batch: the time first, then what came, then the steps.

    def at(self, unix: float, now: float) -> None:
        self.unix, self.now = unix, now
        while self.lapses and self.lapses[0][0] <= now:
            self._lapse(heapq.heappop(self.lapses)[1])
        if self.rudder:
            self.rudder.at(now)

    def done(self) -> list[Outgoing]:
        """Carries the steps out, and those that follow from them, and hands over what is to be sent."""
        while self.rudder and (steps := self.rudder.done()):
            for step in steps:
                try:
                    self._carry_out(step)
                except Exception as trouble:  # one txn's failure is not the others'
                    self.out.append(
                        (DISPATCHER, "log", "a step failed", {"step": step, "trouble": repr(trouble)})
                    )
                    if len(step) > 1 and (txn := self.txns.get(step[1])):
                        self._void(txn)
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
        if not self.rudder:  # no module yet that could decide, and nothing runs
            self.out.append((peer, "declined", rpc, False, 0.0, self.load))
            return
        spec = self.products[product]
        mark, known, digest = dedupe if spec.effect is Effect.REFERENCED else "", None, b""
        if mark:
            digest = request_digest(product, body)
            known = self.references.get(mark) or self.fresh.get(mark)
            if known and known.digest != digest:  # its result would be served to another request
                self.out.append((peer, "rejected", rpc, "this mark came with another body or method"))
                return
        self.numbered += 1
        txn = Txn(self.numbered, call, peer, rpc, product, body, mark, digest)
        self.txns[txn.number] = self.calls[call] = txn
        if mark and not known:
            self.fresh[mark] = Reference(txn.number, digest)
        age = max(self.unix - recv, 0.0)
        left = 0.0 if ttl is None else max(ttl - age, 1e-3)  # 0 would say that nothing is known
        self.rudder.arrive(
            txn.number,
            product,
            tenant=tenant,
            key=key,
            kb=kb,
            age_ms=age,
            left_ms=left,
            earlier=known.holder if known else 0,
            retry=retry,
            rank=rank,
        )

    def left(self, call: str) -> None:
        """Its caller waits no more, or its connection has gone: no answer is owed."""
        txn = self.calls.get(call)
        if txn and not txn.answered:
            self._close(txn)
            self._module.left(txn.number)
            self._release(txn)

    def check(self, peer: Hashable, rpc: int) -> None:
        self.out.append((peer, "health", rpc, self.healthy, self.load))

    # From the runtime.

    def begin(self, warm: bool, up_ms: float) -> None:
        """The runtime is up for the first time in this life of the process."""
        if self.retiring:  # what it would admit could not be answered by the end
            return
        self.rudder = self.boot(self.now, warm, up_ms)
        if self.values:
            self.rudder.revalue(*self.values)
        if self.levels or self.is_aside:
            self._enforce()
        for part in self.left_parts:
            self.rudder.step_down(part, 0.0)

    def linked(self) -> None:
        """A link stands and all that the runtime told meanwhile was heard: what it shows to be missing goes
        out again. What was sent before gauges that were answered was read; of the little sent after them
        nothing is known. Inquiry-like txns are started again (if they run, nothing happens). One with an
        effect may just have ended, so it is in doubt until it is answered: from then on a start does no harm.
        Nor is a reply sent again, for the run may stand at its next call."""
        self.is_linked = True
        for txn in [txn for txn in self.txns.values() if txn.started]:
            if txn.given is not None:
                if txn.proof == UNSENT and not txn.answered:  # if it is, its run ends at its call by itself
                    self._give(txn)
            elif txn.proof == UNSENT and txn.answered:
                self._run_over(txn, Outcome.MOOT)
            elif txn.proof > self.heard and self._effectful(txn) and not txn.answered:
                txn.proof = IN_DOUBT
            elif txn.proof == UNSENT or txn.proof > self.heard:
                self._start(txn)

    def restarted(self) -> None:
        """The runtime has started anew by itself: what ran is gone, and nothing says how it ended."""
        for txn in [txn for txn in self.txns.values() if txn.started]:
            if txn.proof != UNSENT or txn.given is not None:
                self._run_over(txn, Outcome.RESET)

    def unlinked(self) -> None:
        self.is_linked, self.told = False, {}

    def leave_link(self) -> None:
        """The runtime has another address: what is decided from now on goes out on the link to that one.
        A last question on the old link proves what it has read."""
        self.asked += 1
        self.out.append((RUNTIME, "leave", self.asked))
        self.unlinked()

    def ended(self, call: str, outcome: Outcome, body: bytes) -> None:
        if (txn := self.calls.get(call)) and txn.started:
            self._run_over(txn, outcome, body)

    def wants(self, call: str, body: bytes) -> None:
        if (txn := self.calls.get(call)) and txn.started and txn.wants is None:
            txn.wants, txn.given, txn.proof = body, None, PROVED
            self._module.needs_call(txn.number)

    def gauged(self, tag: int, values: list[float]) -> None:
        if tag == self.asked:  # an older answer proves what was read, but says nothing of now
            told = zip(self.gauges, values, strict=False)
            self.told = {name: value for name, value in told if name and math.isfinite(value)}
        self.heard = max(self.heard, tag)

    def refused(self, word: str, call: str) -> None:
        """A command that the runtime did not carry out."""
        txn = self.calls.get(call)
        self.out.append((DISPATCHER, "log", "runtime refused a command", {"command": word, "call": call}))
        if txn and txn.started and word == "start" and txn.proof != UNSENT:
            if not txn.answered:
                self.out.append((txn.peer, "rejected", txn.rpc, "the runtime does not know this request"))
                self._close(txn)
            self._run_over(txn, Outcome.MOOT)
        elif txn and word == "give":
            self._void(txn)

    # From the records service.

    def replied(self, call: str, outcome: Outcome, body: bytes = b"") -> None:
        txn = self.calls.get(call)
        if not txn or not txn.calling:
            return  # late: it was given up
        self._call_over(txn)
        if outcome is Outcome.OK:
            txn.wants, txn.given, txn.proof = None, body, UNSENT
            if self.is_linked:  # else it goes out with the next link, for the run waits for it
                self._give(txn)
        self._module.call_ended(txn.number, outcome)

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
        self._module.ring(**told)
        # a drain declines by its own rule, and nothing else moves in it
        if self.levels and not self.retiring:
            facts = self._module.facts() | {"late_ms": late_ms}
            if "busy" not in told:
                del facts["busy"]
            self._tell_level(self.levels.step(self.now, facts))

    def take_levels(self, table: "Table") -> None:
        """Another table of levels, also while one is in force."""
        if self.levels and not self.retiring:
            self._tell_level(self.levels.take(table, self.now))

    def take_policy(
        self,
        table: "Table | None",
        make: "Callable[[Table], LevelController]",
        products: list[Product],
        tenants: list[Tenant],
        limits: Limits,
    ) -> None:
        """A policy is in force: its table of levels takes the place of any other, or of none; what comes from
        now on is worth what it says."""
        self.values = products, tenants, limits
        if self.rudder:
            self.rudder.revalue(*self.values)
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
        if self.rudder and not self.retiring:
            self.rudder.reduce(self.aside if self.is_aside else self.levels.relief if self.levels else None)

    def _tell_level(self, update: "LevelUpdate | None") -> None:
        if update and update.relief and self.rudder and not self.is_aside:
            self.rudder.reduce(update.relief)
        if update:
            self.out.append((DISPATCHER, "log", update.text, update.facts))

    def counters(self) -> dict[str, Any]:
        """What the module counts beside what is known here, for the log: they must agree."""
        if not self.rudder:
            return {}
        slots = self.rudder.slots
        return dict(
            in_hand=slots.in_hand,
            running=slots.running,
            held=self.rudder.sessions.held,
            runs=sum(txn.started for txn in self.txns.values()),
            at_calls=sum(txn.wants is not None for txn in self.txns.values()),
            on_cores=self.told_cores,
            gauges_behind=self.asked - self.heard,
            load=self.load,
            **(self.levels.log_fields(self.now) if self.levels else {}),
        )

    def serve_part(self, part: Part, is_up: bool, left_ms: float) -> None:
        """A part of the txns is served here from now on, or left with so long to answer what was read of it.
        Before the runtime is up nothing is; what is left by then is told to the module as it starts."""
        self.left_parts = [p for p in self.left_parts if p != part] + ([] if is_up else [part])
        if self.rudder and is_up:
            self.rudder.step_up(part)
        elif self.rudder:
            self.rudder.step_down(part, left_ms)

    def retire(self, left_ms: float) -> None:
        if self.retiring:
            return
        self.retiring = True
        if self.rudder:
            self.rudder.retire(left_ms)
        else:  # nothing has run, and nothing will: a runtime that comes up now finds nobody
            self.out.append((GATEWAYS, "close"))

    def failed(self, call: str) -> None:
        """An event of this txn could not be dealt with: it is voided, the others go on."""
        if txn := self.calls.get(call):
            self._void(txn)
            self._module.left(txn.number)

    # Steps.

    def _carry_out(self, step: Step) -> None:
        word, *rest = step
        if word in _OF_A_TXN:
            if txn := self.txns.get(rest[0]):
                _OF_A_TXN[word](self, txn, *rest[1:])
            elif word == "run":  # its caller left within this batch: nothing starts, and its slot comes back
                self._module.finished(rest[0], Outcome.MOOT)
        elif word == "wake":
            self.out.append((DISPATCHER, "wake", rest[0]))
        elif word == "advertise":
            self.load = rest[0]
        elif word == "health":
            self.healthy = rest[0]
        elif word == "log":
            self.out.append((DISPATCHER, "log", rest[0], {}))
        else:
            self.out.append((GATEWAYS, word, *rest))

    def _run(self, txn: Txn) -> None:
        txn.started = True
        if self.is_linked:
            self._start(txn)

    def _start(self, txn: Txn) -> None:
        txn.proof = self.asked + 1  # gauges asked for from now on prove that it was read
        self.out.append((RUNTIME, "start", txn.call, self.products[txn.product].name, txn.body))

    def _give(self, txn: Txn) -> None:
        txn.proof = self.asked + 1
        self.out.append((RUNTIME, "give", txn.call, txn.given))

    def _reuse(self, txn: Txn) -> None:
        known = self.references.get(txn.mark)
        if known and not known.over:
            known.waiting.append(txn.number)
            txn.waits_on = known
        else:
            self._serve_from(txn, known.result if known else None)

    def _serve_from(self, txn: Txn, result: bytes | None) -> None:
        self._answer(txn, Outcome.ERROR if result is None else Outcome.OK, result or b"")
        self._module.finished(txn.number, Outcome.ERROR if result is None else Outcome.OK)
        self._release(txn)

    def _stop(self, txn: Txn) -> None:
        self.out.append((RUNTIME, "stop", txn.call))

    def _omit(self, txn: Txn) -> None:
        txn.wants = None
        self.out.append((RUNTIME, "omit", txn.call))

    def _decline(self, txn: Txn, terminal: bool, stay_away_ms: float) -> None:
        if not txn.answered:
            self.out.append((txn.peer, "declined", txn.rpc, terminal, stay_away_ms, self.load))
            self._close(txn)
        self._release(txn)

    def _void(self, txn: Txn) -> None:
        if not txn.answered:
            self.out.append((txn.peer, "voided", txn.rpc, "given up", self.load))
            self._close(txn)
        self._release(txn)

    def _keep(self, txn: Txn, span_ms: float) -> None:
        known = self.references.get(txn.mark)
        if not known:
            known = self.references[txn.mark] = Reference(txn.number, txn.digest)
            heapq.heappush(self.lapses, (self.now + span_ms, txn.mark))
        elif known.holder != txn.number:
            known.holder, known.over, known.result = txn.number, False, None
        # A try of the window may wait unread for as long as its caller does, and no longer.
        known.until = self.now + span_ms + self.products[txn.product].expiry_ms

    def _forget(self, txn: Txn) -> None:
        known = self.references.get(txn.mark)
        if known and known.holder == txn.number:
            del self.references[txn.mark]

    def _call(self, txn: Txn, wait_ms: float) -> None:
        if txn.wants is not None:
            txn.calling = True
            self.out.append((RECORDS, "call", txn.call, wait_ms, txn.wants))

    # The ends of things.

    def _answer(self, txn: Txn, outcome: Outcome, body: bytes) -> None:
        if txn.answered:
            return
        if outcome is Outcome.OK:
            self.out.append((txn.peer, "settled", txn.rpc, body, self.load))
        else:
            self.out.append((txn.peer, "voided", txn.rpc, "failed", self.load))
        self._close(txn)

    def _close(self, txn: Txn) -> None:
        """No answer is owed any more; a run may go on."""
        txn.answered, txn.peer = True, None
        if txn.waits_on:
            txn.waits_on.waiting.remove(txn.number)
            txn.waits_on = None
        if txn.calling:
            self._call_over(txn, hang_up=True)
        if txn.proof == IN_DOUBT and txn.started and self.is_linked:
            self._start(txn)  # as it is answered, nothing starts: it tells whether it runs

    def _run_over(self, txn: Txn, outcome: Outcome, body: bytes = b"") -> None:
        txn.started = False
        known = self.references.get(txn.mark) if txn.mark else None
        if known and known.holder == txn.number:
            known.over, known.result = True, body if outcome is Outcome.OK else None
            if outcome is Outcome.MOOT:  # nothing was started, so the mark is free
                self._forget(txn)
        if outcome in (Outcome.OK, Outcome.ERROR):
            self._answer(txn, outcome, body)
        if txn.calling:
            self._call_over(txn, hang_up=True)
        self._module.finished(txn.number, outcome)
        if known and known.holder == txn.number:
            waiting, known.waiting = known.waiting, []
            for number in waiting:
                if waiter := self.txns.get(number):
                    waiter.waits_on = None
                    self._serve_from(waiter, known.result)
        self._release(txn)

    def _call_over(self, txn: Txn, hang_up: bool = False) -> None:
        txn.calling = False
        if hang_up:
            self.out.append((RECORDS, "hang up", txn.call))

    def _release(self, txn: Txn) -> None:
        if not txn.answered or txn.started:
            return
        if self.txns.pop(txn.number, None):
            del self.calls[txn.call]

    def _lapse(self, mark: str) -> None:
        known = self.references.get(mark)
        if not known:
            return
        if known.until > self.now:
            heapq.heappush(self.lapses, (known.until, mark))
        elif holder := self.txns.get(known.holder):  # not before its run
            heapq.heappush(self.lapses, (self.now + self.products[holder.product].expiry_ms, mark))
        else:
            del self.references[mark]

    def _effectful(self, txn: Txn) -> bool:
        return self.products[txn.product].effect is not Effect.INQUIRY


_OF_A_TXN: dict[str, Any] = {
    "run": Core._run,
    "reuse": Core._reuse,
    "stop": Core._stop,
    "decline": Core._decline,
    "void": Core._void,
    "keep": Core._keep,
    "forget": Core._forget,
    "call": Core._call,
    "omit": Core._omit,
}
