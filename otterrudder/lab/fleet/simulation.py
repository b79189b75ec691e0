"""Whole fleets in simulated time: members, settlers and proposers as they are, on a key space, with latencies
and a plan of faults drawn from the seed.

Measured: from the commit to the last switch, how long past it anybody admitted under the old version, and
what a change costs the store in reads, writes and watch events. The books are the world's: what was committed
is noted where the store wrote it."""

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from otterrudder.fleet.change import ChangeCoordinator, propose
from otterrudder.fleet.effects import (
    Commit,
    Effect,
    GrantLease,
    Lane,
    Outcome,
    Read,
    RenewLease,
    SaveState,
    StoreRequest,
    ValidatePolicy,
)
from otterrudder.fleet.member import Member
from otterrudder.fleet.records import FleetSnapshot, Keys, MemberStatus, PolicyHead, decode
from otterrudder.fleet.state import MemberState, Rules
from otterrudder.fleet.store import CommitResult, Put
from otterrudder.lab.indexed import IndexedKeySpace

KEYS = Keys("f")
LATENCY_MS = (1.0, 12.0)  # of a request and its answer, together
HINT_MS = (1.0, 30.0)  # of a watch event
JUDGE_MS = (0.3, 12.0)  # of a policy: 200 products and 500 tenants take the most
SAVE_MS = (0.5, 8.0)  # of a synced write
LOOK_MS = 50.0  # between checks of what everybody admits under
START_MS = 700.0  # from a restart until a process asks the store
BEGIN_MS = 8000.0  # when the change is proposed: the fleet has come together
END_MS = 40_000.0
DEADLINE_MS = 15_000.0


COUNTED = {
    Read: "reads",
    Commit: "writes",
    GrantLease: "writes",
    RenewLease: "renewals",
}  # a renewal writes no key
KINDS = ("kill", "kill", "freeze", "freeze", "cut", "cut", "store", "proposer", "zone")


@dataclass(slots=True)
class Host:
    name: str
    folder: str
    member: Member | None = None
    coordinator: ChangeCoordinator | None = None
    life: int = 0
    disk: MemberState | None = None
    frozen_until: float = -1.0
    cut_until: float = -1.0
    held: list[Callable[[], None]] = field(default_factory=list)  # what comes while it is frozen
    woken: float = math.inf  # the next time that it looks by itself
    switched: float = math.inf


@dataclass(frozen=True, slots=True)
class Result:
    """What one plan showed."""

    committed: bool
    breaches: int  # looks at which somebody admitted past the bound
    worst_old_ms: float  # how long past the commit anybody admitted under the old version
    last_switch_ms: float  # from the commit until the last that could hear had switched; 0: none was
    aside_share: float  # of all looks at servers that ran
    agreed: bool  # at the end all that run admit under one version, and no change is open
    reads: int
    writes: int
    hints: int
    reads_calm_per_s: float


class Simulation:
    def __init__(self, servers: int, seed: int, rules: Rules, faults: int) -> None:
        self.chance = random.Random(f"hours/{seed}/{servers}")
        self.rules, self.faults = rules, faults
        self.store, self.now = IndexedKeySpace(), 0.0
        self.hosts = [Host(f"n{n:04}", f"folder {n}") for n in range(servers)]
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.store_away_until = -1.0
        self.committed_at = math.inf
        self.version = 0
        self.counts: Counter[str] = Counter()
        self.calm_reads = 0
        self.old_ms, self.breaches, self.looks, self.asides = 0.0, 0, 0, 0
        self.proposer = ChangeCoordinator(KEYS, "proposer", requires_leadership=False)
        self.proposer_lives = True

    def at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (when, next(self.numbers), act))

    def between(self, bounds: tuple[float, float]) -> float:
        return self.chance.uniform(*bounds)

    def play(self) -> Result:
        for host in self.hosts:
            self.at(self.chance.uniform(0, 500.0), lambda host=host: self._boot(host))  # type: ignore[misc]
        self.at(BEGIN_MS, self._propose)
        self.at(BEGIN_MS - 2000.0, lambda: setattr(self, "calm_reads", -self.counts["reads"]))
        self.at(BEGIN_MS - 1.0, lambda: setattr(self, "calm_reads", self.calm_reads + self.counts["reads"]))
        self.at(BEGIN_MS - 0.5, self.counts.clear)
        for _ in range(self.faults):
            self._draw()
        self.at(LOOK_MS, self._look)
        while self.queue and self.queue[0][0] <= END_MS:
            self.now, _, act = heapq.heappop(self.queue)
            act()
        return self._result()

    def _draw(self) -> None:
        """One fault, round the time of the change."""
        at, span = BEGIN_MS + self.chance.uniform(-4000, 800), self.chance.uniform(300, 9000)
        kind = self.chance.choice(KINDS)
        some = [self.chance.choice(self.hosts)]
        if kind == "zone":
            some = self.hosts[:: max(self.chance.randint(3, 8), 1)]
        for host in some:
            if kind == "kill":
                self.at(at, lambda host=host: self._kill(host, span))  # type: ignore[misc]
            elif kind == "freeze":
                self.at(at, lambda host=host: self._freeze(host, span))  # type: ignore[misc]
            elif kind in ("cut", "zone"):
                self.at(at, lambda host=host: setattr(host, "cut_until", self.now + span))  # type: ignore[misc]
        if kind == "store":
            self.at(at, lambda: setattr(self, "store_away_until", self.now + min(span, 5000.0)))
        elif kind == "proposer":
            at = max(at, BEGIN_MS + self.chance.uniform(1, 400))
            self.at(at, lambda: setattr(self, "proposer_lives", False))

    # Hosts.

    def _boot(self, host: Host) -> None:
        host.life += 1
        host.frozen_until, host.held = -1.0, []
        incarnation = f"{host.name}.{host.life}"
        host.member = Member(
            self.now,
            KEYS,
            host.name,
            incarnation,
            host.folder,
            self.rules,
            lambda text: "",
            record=host.disk,
            status=MemberStatus(incarnation),
        )
        host.coordinator = ChangeCoordinator(KEYS, host.name)
        self._turn(host, host.life)

    def _kill(self, host: Host, span: float) -> None:
        if host.member:
            host.member = None
            self.at(self.now + max(span, START_MS), lambda: self._boot(host))

    def _freeze(self, host: Host, span: float) -> None:
        if host.member:
            host.frozen_until = self.now + span
            self.at(host.frozen_until, lambda: self._thaw(host, host.life))

    def _thaw(self, host: Host, life: int) -> None:
        if host.life != life or self.now < host.frozen_until:
            return
        held, host.held = host.held, []
        self._check(host)  # an arrival that waited is the first thing that it sees
        for act in held:
            act()
        self._turn(host, life)

    def _turn(self, host: Host, life: int) -> None:
        """The host's loop goes round once."""
        if host.life != life or not host.member or not host.coordinator:
            return
        if self.now < host.frozen_until:
            host.held.append(lambda: self._turn(host, life))
            return
        member = host.member
        effects, settle = member.effects(self.now), host.coordinator.effects_for(self.now, member)
        for effect in [*effects, settle] if settle else effects:
            self._send(host, life, effect)
        due = max(min(member.due(), host.coordinator.due()), self.now + 1.0)
        if due < host.woken or host.woken <= self.now:
            host.woken = due
            if due < END_MS:
                self.at(due, lambda: self._turn(host, life))

    def _send(self, host: Host, life: int, effect: Effect) -> None:
        sent = self.now
        if isinstance(effect, ValidatePolicy):
            self.at(sent + self.between(JUDGE_MS), lambda: self._told(host, life, effect, sent, ""))
            return
        if isinstance(effect, SaveState):

            def saved() -> None:
                host.disk = effect.record if host.life == life else host.disk
                self._told(host, life, effect, sent, True)

            self.at(sent + self.between(SAVE_MS), saved)
            return
        timeout = self.rules.bound_ms / 4
        there = self.between(LATENCY_MS) / 2
        if self.now < host.cut_until or self.now + there < self.store_away_until:
            self.at(sent + timeout, lambda: self._told(host, life, effect, sent, None))
            return

        def arrive() -> None:
            outcome = self._serve(effect)
            lost = self.now < host.cut_until or self.now < self.store_away_until
            when = sent + timeout if lost else self.now + there
            self.at(when, lambda: self._told(host, life, effect, sent, None if lost else outcome))

        self.at(sent + there, arrive)

    def _told(self, host: Host, life: int, effect: Effect, sent: float, outcome: Outcome) -> None:
        if host.life != life or not host.member or not host.coordinator:
            return
        if self.now < host.frozen_until:
            host.held.append(lambda: self._told(host, life, effect, sent, outcome))
            return
        if effect.lane is Lane.COORDINATE:
            if isinstance(effect, Commit):
                host.member.handle_watch_event()
            more = host.coordinator.handle_result(self.now, effect, outcome)
            if more:
                self._send(host, life, more)
        else:
            host.member.handle_result(self.now, effect, sent, outcome)
            if host.member.known.version == self.version and host.switched == math.inf:
                host.switched = self.now
        self._turn(host, life)

    # The store.

    def _serve(self, effect: StoreRequest) -> Outcome:
        self.counts[COUNTED[type(effect)]] += 1
        outcome = self.store.answer(self.now, effect)
        is_held = isinstance(outcome, CommitResult) and outcome.succeeded
        if is_held and isinstance(effect, Commit) and any(w.key.startswith(KEYS.head) for w in effect.writes):
            self._note(effect)
            for host in self.hosts:
                if host.member and self.now >= host.cut_until:
                    self.counts["hints"] += 1
                    self.at(self.now + self.between(HINT_MS), lambda host=host: self._hint(host))  # type: ignore[misc]
        return outcome

    def _hint(self, host: Host) -> None:
        if host.member:
            host.member.handle_watch_event()
            self._turn(host, host.life)

    def _note(self, commit: Commit) -> None:
        for put in commit.writes:
            if isinstance(put, Put) and put.key == KEYS.policy:
                self.version, self.committed_at = decode(put.value, PolicyHead).version, self.now
                for host in self.hosts:
                    host.switched = math.inf

    # The change.

    def _propose(self) -> None:
        if self.now < self.store_away_until:
            self.at(self.store_away_until + LOOK_MS, self._propose)
            return
        view = FleetSnapshot(KEYS, self.store.read([KEYS.head]))
        commit = propose(view, "A", "policy A", "lab", "", 0.0, DEADLINE_MS)
        self._serve(commit)
        self.at(self.now + 50.0, self._settle)

    def _settle(self) -> None:
        """The proposer's own program counts as well, for as long as it lives."""
        if not self.proposer_lives:
            return
        if self.now >= self.store_away_until:
            view = FleetSnapshot(KEYS, self.store.read([KEYS.change]))
            if not view.change:
                return
            effect = self.proposer.effects(self.now, view.change.id, False, False, 0, 0)
            if effect:
                commit = self.proposer.handle_result(self.now, effect, self._serve(effect))
                if commit:
                    self.proposer.handle_result(self.now, commit, self._serve(commit))
        self.at(self.now + 100.0, self._settle)

    # The books.

    def _look(self) -> None:
        for host in self.hosts:
            self._check(host)
        self.at(self.now + LOOK_MS, self._look)

    def _check(self, host: Host) -> None:
        if not host.member or self.now < host.frozen_until:
            return
        version = host.member.admits(self.now)
        if self.now >= BEGIN_MS:
            self.looks += 1
            self.asides += version is None
        if version is not None and version < self.version:
            old = self.now - self.committed_at
            self.old_ms = max(self.old_ms, old)
            self.breaches += old > self.rules.bound_ms

    def _result(self) -> Result:
        up = [host.member for host in self.hosts if host.member and self.now >= host.frozen_until]
        opened = FleetSnapshot(KEYS, self.store.read([KEYS.change])).change
        agreed = not opened and all(member.admits(self.now) == self.version for member in up)
        switched = [host.switched for host in self.hosts if host.member and host.switched < math.inf]
        last = max(switched, default=0.0) - self.committed_at if self.version else 0.0
        return Result(
            self.version > 0,
            self.breaches,
            self.old_ms,
            max(last, 0.0),
            self.asides / max(self.looks, 1),
            agreed,
            self.counts["reads"],
            self.counts["writes"],
            self.counts["hints"],
            self.calm_reads / 2.0,
        )


def play(
    servers: int,
    seed: int,
    faults: int,
    absent: str = "wait",
    bound_ms: float = 2000.0,
    lease_ms: float = 6000.0,
) -> Result:
    """One plan."""
    rules = replace(Rules(), absent=absent, bound_ms=bound_ms, lease_ms=lease_ms)  # type: ignore[arg-type]
    return Simulation(servers, seed, rules, faults).play()
