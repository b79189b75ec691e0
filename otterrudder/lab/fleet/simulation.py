"""Simulates whole fleets: unchanged members, coordinators and a proposer on a key space in simulated time.

Latencies and a plan of faults are drawn from a seed. The simulation measures the time from the commit to the
last switch, how long after the commit a member admitted under the old version, and the reads, writes and
watch events that a change causes at the store. Commits are recorded as the store writes them."""

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

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
# Ranges of durations.
LATENCY_MS = (1.0, 12.0)  # round trip of a request and its answer
WATCH_MS = (1.0, 30.0)  # delivery of a watch event
VALIDATION_MS = (0.3, 12.0)  # validation of a policy; one of 200 products and 500 tenants takes the longest
SAVE_MS = (0.5, 8.0)  # synced write to the disk
CHECK_INTERVAL_MS = 50.0  # interval between checks of the versions under which members admit
START_MS = 700.0  # minimum time from a crash until the next process sends requests to the store
BEGIN_MS = 8000.0  # time of the proposal, when all members have registered
END_MS = 40_000.0  # end of the simulation
DEADLINE_MS = 15_000.0


REQUEST_COUNTERS = {
    Read: "reads",
    Commit: "writes",
    GrantLease: "writes",
    RenewLease: "renewals",  # a renewal writes no key
}
FAULT_KINDS = ("kill", "kill", "freeze", "freeze", "cut", "cut", "store", "proposer", "zone")


@dataclass(slots=True)
class Host:
    """A host that runs a member's process, and its state directory."""

    name: str
    directory_id: str
    member: Member | None = None
    coordinator: ChangeCoordinator | None = None
    incarnation: int = 0
    disk: MemberState | None = None
    frozen_until: float = -1.0
    cut_until: float = -1.0
    deferred: list[Callable[[], None]] = field(default_factory=list)  # deliveries while it is frozen
    next_run: float = math.inf  # next scheduled run of its loop
    switched_at: float = math.inf  # time of the switch to the committed version


@dataclass(frozen=True, slots=True)
class Result:
    """The result of one plan."""

    committed: bool
    breaches: int  # checks at which a member admitted under the old version after the bound
    max_old_version_ms: (
        float  # longest time after the commit at which a member admitted under the old version
    )
    last_switch_ms: float  # time from the commit to the last switch of a running member; 0: no switch
    suspended_share: float  # share of the checks of running members at which admission was suspended
    agreed: bool  # at the end all running members admit under one version, and no change is open
    reads: int
    writes: int
    watch_events: int
    quiescent_reads_per_s: float


class Simulation:
    """The simulation of one plan, from the start of all servers to END_MS."""

    def __init__(self, servers: int, seed: int, rules: Rules, faults: int) -> None:
        self.rng = random.Random(f"hours/{seed}/{servers}")
        self.rules, self.faults = rules, faults
        self.store, self.now = IndexedKeySpace(), 0.0
        self.hosts = [Host(f"n{n:04}", f"folder {n}") for n in range(servers)]
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence_numbers = itertools.count()
        self.store_unavailable_until = -1.0
        self.committed_at = math.inf
        self.version = 0
        self.counts: Counter[str] = Counter()
        self.quiescent_reads = 0
        self.max_old_version_age_ms, self.breaches, self.checks, self.suspended_checks = 0.0, 0, 0, 0
        self.proposer = ChangeCoordinator(KEYS, "proposer", requires_leadership=False)
        self.proposer_is_up = True

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedules a call of `action` at the given time."""
        heapq.heappush(self.queue, (when, next(self.sequence_numbers), action))

    def _draw_duration(self, bounds: tuple[float, float]) -> float:
        """Draws a duration from a range."""
        return self.rng.uniform(*bounds)

    def play(self) -> Result:
        """Runs the simulation to its end."""
        for host in self.hosts:
            self.at(self.rng.uniform(0, 500.0), partial(self._start, host))
        self.at(BEGIN_MS, self._propose)
        self.at(BEGIN_MS - 2000.0, lambda: setattr(self, "quiescent_reads", -self.counts["reads"]))
        self.at(
            BEGIN_MS - 1.0,
            lambda: setattr(self, "quiescent_reads", self.quiescent_reads + self.counts["reads"]),
        )
        self.at(BEGIN_MS - 0.5, self.counts.clear)
        for _ in range(self.faults):
            self._schedule_fault()
        self.at(CHECK_INTERVAL_MS, self._check_all)
        while self.queue and self.queue[0][0] <= END_MS:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        return self._result()

    def _schedule_fault(self) -> None:
        """Draws a fault and schedules it around the time of the change."""
        at, span = BEGIN_MS + self.rng.uniform(-4000, 800), self.rng.uniform(300, 9000)
        kind = self.rng.choice(FAULT_KINDS)
        hosts_hit = [self.rng.choice(self.hosts)]
        if kind == "zone":
            hosts_hit = self.hosts[:: max(self.rng.randint(3, 8), 1)]
        for host in hosts_hit:
            if kind == "kill":
                self.at(at, partial(self._kill, host, span))
            elif kind == "freeze":
                self.at(at, partial(self._freeze, host, span))
            elif kind in ("cut", "zone"):
                self.at(at, partial(self._cut, host, span))
        if kind == "store":
            self.at(at, lambda: setattr(self, "store_unavailable_until", self.now + min(span, 5000.0)))
        elif kind == "proposer":
            at = max(at, BEGIN_MS + self.rng.uniform(1, 400))
            self.at(at, lambda: setattr(self, "proposer_is_up", False))

    # Processes of the hosts.

    def _start(self, host: Host) -> None:
        host.incarnation += 1
        host.frozen_until, host.deferred = -1.0, []
        incarnation = f"{host.name}.{host.incarnation}"
        host.member = Member(
            self.now,
            KEYS,
            host.name,
            incarnation,
            host.directory_id,
            self.rules,
            lambda text: "",
            record=host.disk,
            status=MemberStatus(incarnation),
        )
        host.coordinator = ChangeCoordinator(KEYS, host.name)
        self._run(host, host.incarnation)

    def _kill(self, host: Host, span: float) -> None:
        if host.member:
            host.member = None
            self.at(self.now + max(span, START_MS), lambda: self._start(host))

    def _freeze(self, host: Host, span: float) -> None:
        if host.member:
            host.frozen_until = self.now + span
            self.at(host.frozen_until, lambda: self._thaw(host, host.incarnation))

    def _cut(self, host: Host, span: float) -> None:
        host.cut_until = self.now + span

    def _thaw(self, host: Host, incarnation: int) -> None:
        if host.incarnation != incarnation or self.now < host.frozen_until:
            return
        deferred, host.deferred = host.deferred, []
        # An admission may precede the deferred deliveries, so the member is checked before it handles them.
        self._check(host)
        for action in deferred:
            action()
        self._run(host, incarnation)

    def _run(self, host: Host, incarnation: int) -> None:
        """Runs one iteration of the host's loop."""
        if host.incarnation != incarnation or not host.member or not host.coordinator:
            return
        if self.now < host.frozen_until:
            host.deferred.append(lambda: self._run(host, incarnation))
            return
        member = host.member
        effects, coordination = member.effects(self.now), host.coordinator.effects_for(self.now, member)
        for effect in [*effects, coordination] if coordination else effects:
            self._send(host, incarnation, effect)
        due = max(min(member.due(), host.coordinator.due()), self.now + 1.0)
        if due < host.next_run or host.next_run <= self.now:
            host.next_run = due
            if due < END_MS:
                self.at(due, lambda: self._run(host, incarnation))

    def _send(self, host: Host, incarnation: int, effect: Effect) -> None:
        sent = self.now
        if isinstance(effect, ValidatePolicy):
            self.at(
                sent + self._draw_duration(VALIDATION_MS),
                lambda: self._handle_result(host, incarnation, effect, sent, ""),
            )
            return
        if isinstance(effect, SaveState):

            def complete_save() -> None:
                host.disk = effect.record if host.incarnation == incarnation else host.disk
                self._handle_result(host, incarnation, effect, sent, True)

            self.at(sent + self._draw_duration(SAVE_MS), complete_save)
            return
        timeout = self.rules.bound_ms / 4
        latency_ms = self._draw_duration(LATENCY_MS) / 2
        if self.now < host.cut_until or self.now + latency_ms < self.store_unavailable_until:
            self.at(sent + timeout, lambda: self._handle_result(host, incarnation, effect, sent, None))
            return

        def arrive() -> None:
            outcome = self._serve(effect)
            is_lost = self.now < host.cut_until or self.now < self.store_unavailable_until
            when = sent + timeout if is_lost else self.now + latency_ms
            self.at(
                when,
                lambda: self._handle_result(host, incarnation, effect, sent, None if is_lost else outcome),
            )

        self.at(sent + latency_ms, arrive)

    def _handle_result(
        self, host: Host, incarnation: int, effect: Effect, sent: float, outcome: Outcome
    ) -> None:
        if host.incarnation != incarnation or not host.member or not host.coordinator:
            return
        if self.now < host.frozen_until:
            host.deferred.append(lambda: self._handle_result(host, incarnation, effect, sent, outcome))
            return
        if effect.lane is Lane.COORDINATE:
            if isinstance(effect, Commit):
                host.member.handle_watch_event()
            commit_after = host.coordinator.handle_result(self.now, effect, outcome)
            if commit_after:
                self._send(host, incarnation, commit_after)
        else:
            host.member.handle_result(self.now, effect, sent, outcome)
            if host.member.applied_policy.version == self.version and host.switched_at == math.inf:
                host.switched_at = self.now
        self._run(host, incarnation)

    # The store.

    def _serve(self, effect: StoreRequest) -> Outcome:
        self.counts[REQUEST_COUNTERS[type(effect)]] += 1
        outcome = self.store.answer(self.now, effect)
        has_succeeded = isinstance(outcome, CommitResult) and outcome.succeeded
        if (
            has_succeeded
            and isinstance(effect, Commit)
            and any(w.key.startswith(KEYS.head) for w in effect.writes)
        ):
            self._record_commit(effect)
            for host in self.hosts:
                if host.member and self.now >= host.cut_until:
                    self.counts["watch_events"] += 1
                    due = self.now + self._draw_duration(WATCH_MS)
                    self.at(due, partial(self._deliver_watch_event, host))
        return outcome

    def _deliver_watch_event(self, host: Host) -> None:
        if host.member:
            host.member.handle_watch_event()
            self._run(host, host.incarnation)

    def _record_commit(self, commit: Commit) -> None:
        for put in commit.writes:
            if isinstance(put, Put) and put.key == KEYS.policy:
                self.version, self.committed_at = decode(put.value, PolicyHead).version, self.now
                for host in self.hosts:
                    host.switched_at = math.inf

    # The change.

    def _propose(self) -> None:
        if self.now < self.store_unavailable_until:
            self.at(self.store_unavailable_until + CHECK_INTERVAL_MS, self._propose)
            return
        view = FleetSnapshot(KEYS, self.store.read([KEYS.head]))
        commit = propose(view, "A", "policy A", "lab", "", 0.0, DEADLINE_MS)
        self._serve(commit)
        self.at(self.now + 50.0, self._coordinate)

    def _coordinate(self) -> None:
        """The proposer also coordinates its change while it runs."""
        if not self.proposer_is_up:
            return
        if self.now >= self.store_unavailable_until:
            view = FleetSnapshot(KEYS, self.store.read([KEYS.change]))
            if not view.change:
                return
            effect = self.proposer.effects(self.now, view.change.id, False, False, 0, 0)
            if effect:
                commit = self.proposer.handle_result(self.now, effect, self._serve(effect))
                if commit:
                    self.proposer.handle_result(self.now, commit, self._serve(commit))
        self.at(self.now + 100.0, self._coordinate)

    # Checks.

    def _check_all(self) -> None:
        for host in self.hosts:
            self._check(host)
        self.at(self.now + CHECK_INTERVAL_MS, self._check_all)

    def _check(self, host: Host) -> None:
        if not host.member or self.now < host.frozen_until:
            return
        version = host.member.admits(self.now)
        if self.now >= BEGIN_MS:
            self.checks += 1
            self.suspended_checks += version is None
        if version is not None and version < self.version:
            age_ms = self.now - self.committed_at
            self.max_old_version_age_ms = max(self.max_old_version_age_ms, age_ms)
            self.breaches += age_ms > self.rules.bound_ms

    def _result(self) -> Result:
        running = [host.member for host in self.hosts if host.member and self.now >= host.frozen_until]
        change = FleetSnapshot(KEYS, self.store.read([KEYS.change])).change
        agreed = not change and all(member.admits(self.now) == self.version for member in running)
        switched_at = [host.switched_at for host in self.hosts if host.member and host.switched_at < math.inf]
        last = max(switched_at, default=0.0) - self.committed_at if self.version else 0.0
        return Result(
            self.version > 0,
            self.breaches,
            self.max_old_version_age_ms,
            max(last, 0.0),
            self.suspended_checks / max(self.checks, 1),
            agreed,
            self.counts["reads"],
            self.counts["writes"],
            self.counts["watch_events"],
            self.quiescent_reads / 2.0,
        )


def play(
    servers: int,
    seed: int,
    faults: int,
    absent: str = "wait",
    bound_ms: float = 2000.0,
    lease_ms: float = 6000.0,
) -> Result:
    """Runs the plan of one seed."""
    rules = replace(Rules(), absent=absent, bound_ms=bound_ms, lease_ms=lease_ms)  # type: ignore[arg-type]
    return Simulation(servers, seed, rules, faults).play()
