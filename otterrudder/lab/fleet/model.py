"""A model of a few members of a fleet, the store, and what is between them: a state that one event after
another leads on from.

All that is decided is the fleet's own code. A model state has what a request or an answer in flight may do,
who is up, frozen or down, and its own history of what was committed and when, from the store's writes and
nothing else; `violation` checks the promises against this history. Which events may follow is in
`model_events.py`."""

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from otterrudder.fleet.change import coordination_keys, finish_change
from otterrudder.fleet.effects import (
    Commit,
    Effect,
    GrantLease,
    Outcome,
    RenewLease,
    SaveState,
    ValidatePolicy,
)
from otterrudder.fleet.member import Member
from otterrudder.fleet.records import FleetSnapshot, Keys, PolicyHead, decode
from otterrudder.fleet.state import AdmissionStatus, MemberState, Rules
from otterrudder.fleet.store import Put
from otterrudder.lab.fleet.cloning import clone
from otterrudder.lab.fleet.history_checker import CommittedVersion, admission_violation, commit_violation
from otterrudder.lab.fleet.model_fingerprint import STEP_MS, member_fingerprint, steps_ago, steps_left
from otterrudder.lab.fleet.model_store import STORE_ID
from otterrudder.lab.keyspace import KeySpace

KEYS = Keys("f")
RULES = Rules(bound_ms=2000.0, lease_ms=4000.0)
DEADLINE_MS = 8000.0  # of the changes
RECOVERY_STEPS = 40  # of time in which all have to agree once faults end: some leases, a deadline and polls
MAX_DELIVERIES = 400  # at one time while it recovers; more: it is never quiescent
REJECTED_ENDING = "!"  # of a policy's text that one member may reject


@dataclass(frozen=True, slots=True)
class Variant:
    """The parts that a model is made of; a mutant takes the place of one."""

    member: type[Member] = Member
    finish_change: Callable[[FleetSnapshot, bool], Commit | None] = finish_change
    rules: Rules = RULES
    members: int = 2
    proposers: int = 2
    has_disk: bool = True
    has_name_conflict: bool = False  # a process with another state directory starts under the first name
    fills_disks: bool = False
    rejecting_member: int = -1  # it rejects the second proposer's policy
    has_backups: bool = False  # an engine restored from a backup, or empty, may answer for a while
    alternate_rules: Rules | None = None  # of every second process, by host and incarnation
    has_store_id: bool = False  # the fleet's file says which engine is trusted


@dataclass(slots=True)
class Exchange:
    """A request on its way (`outcome` unset) or the answer to it."""

    host: int
    incarnation: int  # of the process that sent it; negative: it waits for no answer
    effect: Effect
    sent: float
    is_answer: bool = False
    outcome: Outcome = None

    def copy(self) -> "Exchange":
        """One that goes its own way."""
        return Exchange(self.host, self.incarnation, self.effect, self.sent, self.is_answer, self.outcome)


@dataclass(slots=True)
class Host:
    """A place where a member's process runs, with its state directory. `incarnation` counts its processes."""

    name: str
    directory_id: str
    member: Member | None = None
    incarnation: int = 0
    disk: MemberState | None = None
    is_frozen: bool = False
    is_cut: bool = False  # off the store
    started: float = 0.0
    is_removed: bool = False  # by an operator: it comes back with a directory of its own
    is_full: bool = False  # its disk

    @property
    def runs(self) -> bool:
        """Whether its process is up and not frozen."""
        return self.member is not None and not self.is_frozen

    def copy(self) -> "Host":
        """One that goes its own way."""
        return Host(
            self.name,
            self.directory_id,
            self.member and clone(self.member),
            self.incarnation,
            self.disk,
            self.is_frozen,
            self.is_cut,
            self.started,
            self.is_removed,
            self.is_full,
        )


@dataclass(slots=True)
class ModelState:
    """The state of a model at one time."""

    variant: Variant
    store: KeySpace = field(default_factory=lambda: KeySpace(has_history=False))
    hosts: list[Host] = field(default_factory=list)
    exchanges: list[Exchange] = field(default_factory=list)
    pending: dict[str, Commit] = field(default_factory=dict)  # by who computed it and has not sent it yet
    proposed: int = 0
    now: float = 0.0
    committed: dict[int, CommittedVersion] = field(default_factory=dict)  # by version
    injected_faults: int = 0  # faults so far
    trail: tuple[str, ...] = ()  # the events that led here
    recorded_violation: str = ""  # something that must never be written was
    backup: KeySpace | None = None  # an older state of the store that somebody has
    primary: KeySpace | None = None  # the store itself, while another engine answers in its place

    def copy(self, event: str = "", injected_faults: int = 0) -> "ModelState":
        """One that goes its own way, by an event that costs so many faults."""
        return ModelState(
            self.variant,
            self.store.copy(),
            [host.copy() for host in self.hosts],
            [exchange.copy() for exchange in self.exchanges],
            dict(self.pending),
            self.proposed,
            self.now,
            dict(self.committed),
            self.injected_faults + injected_faults,
            (*self.trail, event) if event else self.trail,
            self.recorded_violation,
            self.backup,
            self.primary and self.primary.copy(),
        )

    # What happens in it.

    def start_process(self, n: int) -> None:
        """A process starts at that host, with what its state directory has."""
        host, variant = self.hosts[n], self.variant
        host.incarnation += 1
        host.started, host.is_frozen = self.now, False
        if not variant.has_disk or host.is_removed:
            host.disk, host.directory_id = None, f"{host.directory_id}'"
            host.is_removed = False
        is_other = (n + host.incarnation) % 2 == 0
        host.member = variant.member(
            self.now,
            KEYS,
            host.name,
            f"{n}.{host.incarnation}",
            host.directory_id,
            variant.alternate_rules if is_other and variant.alternate_rules else variant.rules,
            lambda text: self.validate(n, text),
            record=host.disk,
            has_disk=variant.has_disk,
            cluster=STORE_ID if variant.has_store_id else 0,
        )
        self.start_effects()

    def validate(self, n: int, text: str) -> str:
        """What is wrong with the text for that host; "": nothing."""
        is_rejected = n == self.variant.rejecting_member and text.endswith(REJECTED_ENDING)
        return "values.look: not known here" if is_rejected else ""

    def start_effects(self) -> None:
        """The members' effects begin. What no order of events depends on is done at once: leases, saves, and
        reports for operators; their losses are those of a host that is cut off, dies or has a full disk."""
        for n, host in enumerate(self.hosts):
            while host.runs and host.member and (effects := host.member.effects(self.now)):
                for effect in effects:
                    self._start_effect(n, host, effect)

    def _start_effect(self, n: int, host: Host, effect: Effect) -> None:
        exchange = Exchange(n, host.incarnation, effect, self.now)
        if not _is_immediate(effect):
            self.exchanges.append(exchange)
            return
        if isinstance(effect, SaveState):
            is_lost = host.is_full
        else:
            is_lost = host.is_cut and not isinstance(effect, ValidatePolicy)
        exchange.outcome = None if is_lost else self.serve(exchange)
        self.deliver_answer(exchange)

    def serve(self, exchange: Exchange) -> Outcome:
        """A request reaches the store or the disk, whether or not its sender still lives."""
        effect, host = exchange.effect, self.hosts[exchange.host]
        if isinstance(effect, SaveState):
            if exchange.incarnation == host.incarnation:
                host.disk = effect.record
            return True
        if isinstance(effect, ValidatePolicy):
            return self.validate(exchange.host, effect.text)
        return self.write(effect) if isinstance(effect, Commit) else self.store.answer(self.now, effect)

    def write(self, commit: Commit) -> Outcome:
        """A commit at the store, entered in the history, and a watch event to all who can hear it."""
        self.store.expire_leases(self.now)
        before = self.snapshot()
        result = self.store.commit(commit.compares, commit.writes)
        if result.succeeded:
            for put in commit.writes:  # another engine's writes are not the fleet's
                if isinstance(put, Put) and put.key == KEYS.policy and not self.primary:
                    self._record_commit(decode(put.value, PolicyHead), before)
            for host in self.hosts:
                if host.runs and host.member and not host.is_cut and commit.purpose != "tell":
                    host.member.handle_watch_event()
        return result

    def _record_commit(self, head: PolicyHead, before: FleetSnapshot) -> None:
        """A version is in force from now on: all must have accepted it, or been left out by their own
        rule."""
        self.recorded_violation = commit_violation(head, before, self.committed) or self.recorded_violation
        self.committed[head.version] = CommittedVersion(head.change, self.now)

    def deliver_answer(self, exchange: Exchange) -> None:
        """An answer reaches the process that asked, if it lives."""
        host = self.hosts[exchange.host]
        if host.member and host.incarnation == exchange.incarnation:
            host.member.handle_result(self.now, exchange.effect, exchange.sent, exchange.outcome)

    def pass_time(self, span_ms: float = STEP_MS) -> None:
        """Leases lapse as time goes on."""
        self.now += span_ms
        self.store.expire_leases(self.now)
        if self.primary:
            self.primary.expire_leases(self.now)

    def switch_store(self, other: KeySpace | None) -> None:
        """Another engine answers from now on, or (None) the store itself again. Watches end, so all read.
        What was computed from one's state is not sent to the other: whoever computes has one channel."""
        if other:
            self.primary, self.store = self.store, other
        elif self.primary:
            self.store, self.primary = self.primary, None
        self.pending.clear()
        for host in self.hosts:
            if host.runs and host.member and not host.is_cut:
                host.member.handle_watch_event()

    def snapshot(self) -> FleetSnapshot:
        """Of the store that answers now."""
        return FleetSnapshot(KEYS, self.store.read(coordination_keys(KEYS)))

    def deliver_all(self, accepts: Callable[[Exchange], bool] = lambda exchange: True) -> str:
        """All that is in flight and accepted arrives, and what follows from it, at this time. "": it is
        quiescent."""
        for _ in range(MAX_DELIVERIES):
            self.start_effects()
            exchange = next(filter(accepts, self.exchanges), None)
            if not exchange:
                return ""
            self.exchanges.remove(exchange)
            if not exchange.is_answer:
                exchange.outcome = self.serve(exchange)
            self.deliver_answer(exchange)
        return "it is never quiescent"

    # What it promises.

    def violation(self) -> str:
        """Which promise does not hold now; "": all do."""
        if self.recorded_violation:
            return self.recorded_violation
        serving: dict[str, int] = {}
        for n, host in enumerate(self.hosts):
            if not host.runs or not host.member:
                continue
            if (version := host.member.admits(self.now)) is None:
                continue
            if wrong := self._admission_violation(host, host.member, version):
                return f"{n} ({host.name}) admits under {version} at {self.now / 1000:g} s: {wrong}"
            if (other := serving.setdefault(host.name, n)) != n and self._is_registered(other):
                return f"{n} serves under the name of {other}, whose lease has not lapsed"
        return ""

    def _is_registered(self, n: int) -> bool:
        host = self.hosts[n]
        snapshot = FleetSnapshot(KEYS, self.store.read([KEYS.status(host.name)]))
        status = snapshot.status(host.name)
        return bool(status and host.member and status.incarnation == host.member.identity.incarnation)

    def _admission_violation(self, host: Host, member: Member, version: int) -> str:
        change, bound_ms = member.applied_policy.change, self.variant.rules.bound_ms
        return admission_violation(version, change, host.started, self.now, bound_ms, self.committed)

    def recovery_violation(self) -> str:
        """From here on with all faults over, everything delivered and one that coordinates: "" if all come to
        admit under the one version in force and no change stays open."""
        state = self.copy()
        state._end_faults()
        opened = -1.0
        for _ in range(RECOVERY_STEPS):
            if violation := state.deliver_all():
                return violation
            change = state.snapshot().change
            opened = (state.now if opened < 0 else opened) if change else -1.0
            is_late = bool(change) and state.now - opened >= DEADLINE_MS
            if commit := state.variant.finish_change(state.snapshot(), is_late):
                state.write(commit)
                if violation := state.deliver_all():
                    return violation
            if violation := state.violation():
                return f"while it recovers: {violation}"
            state.pass_time()
        return state._disagreement()

    def _end_faults(self) -> None:
        if self.primary:
            self.switch_store(None)
        for n, host in enumerate(self.hosts):
            host.is_frozen = host.is_cut = host.is_full = False
            if not host.member:
                self.start_process(n)

    def _disagreement(self) -> str:
        """Which members do not admit under the version in force, though nothing hinders them."""
        snapshot = self.snapshot()
        if snapshot.change:
            return "recovered, a change stays open"
        version = snapshot.policy.version if snapshot.policy else 0
        differing = [
            f"{n} {host.member.admission_status(self.now).name}"
            for n, host in enumerate(self.hosts)
            if host.member
            and host.member.admits(self.now) != version
            and not self._may_suspend(n, host.member)
        ]
        return f"recovered, not all admit under {version}: {', '.join(differing)}" if differing else ""

    def _may_suspend(self, n: int, member: Member) -> bool:
        """Whether the variant lets this member suspend admission for good."""
        status = member.admission_status(self.now)
        if status in (AdmissionStatus.FOREIGN_DIRECTORY, AdmissionStatus.NAME_TAKEN):
            return self.variant.has_name_conflict
        return status is AdmissionStatus.POLICY_REJECTED and n == self.variant.rejecting_member

    # Whether two states are one.

    def fingerprint(self) -> tuple[object, ...]:
        """Equal for two states from which the same follows."""
        ends = self.store.leases.items()
        return (
            tuple(self._host_fingerprint(host) for host in self.hosts),
            tuple(sorted(map(self._exchange_fingerprint, self.exchanges))),
            tuple(sorted((lease, steps_left(end, self.now)) for lease, (_, end) in ends)),
            tuple(
                (version, change, steps_ago(at, self.now))
                for version, (change, at) in sorted(self.committed.items())
            ),
            self.store.revision,
            self.proposed,
            tuple(map(_store_fingerprint, (self.backup, self.primary))),
            tuple(sorted(self.store.keys.items())),
            tuple(sorted(map(repr, self.pending.items()))),
        )

    def _host_fingerprint(self, host: Host) -> tuple[object, ...]:
        # How many versions were committed before it started: all that the promises ask of its age.
        known_versions = sum(at < host.started for _, at in self.committed.values())
        return (
            host.incarnation,
            host.member and member_fingerprint(host.member, self.now),
            host.disk and msgspec.structs.replace(host.disk, revision=0),
            host.is_frozen,
            host.is_cut,
            host.is_removed,
            host.is_full,
            known_versions,
        )

    def _exchange_fingerprint(self, exchange: Exchange) -> str:
        sent = steps_ago(exchange.sent, self.now)
        return repr(
            (exchange.host, exchange.incarnation, exchange.effect, sent, exchange.is_answer, exchange.outcome)
        )


def _store_fingerprint(store: KeySpace | None) -> tuple[object, ...] | None:
    return (store.cluster, store.revision, tuple(sorted(store.keys.items()))) if store else None


def _is_immediate(effect: Effect) -> bool:
    """Whether no order of events depends on it."""
    if isinstance(effect, Commit):
        return effect.purpose == "tell"
    return isinstance(effect, SaveState | GrantLease | RenewLease | ValidatePolicy)
