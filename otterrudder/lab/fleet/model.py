"""A model of a few members of a fleet, the store, and the requests and answers between them.

All decisions are made by the fleet's own code. A model state holds the requests and answers in flight, which
processes are running, frozen or stopped, and a history of what was committed and when, which is taken only
from the writes to the store. `violation` checks the guarantees against this history. `model_events.py` lists
the events that may follow a state."""

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
DEADLINE_MS = 8000.0  # deadline of each change
# Time steps within which all members have to agree after faults end: several leases, a deadline and polls.
RECOVERY_STEPS = 40
MAX_DELIVERIES = 400  # maximum deliveries at one simulated time; more indicate an endless exchange
REJECTED_ENDING = "!"  # ends a policy text that one member may reject


@dataclass(frozen=True, slots=True)
class Variant:
    """The parts and settings of a model; a mutant replaces one of the parts."""

    member: type[Member] = Member
    finish_change: Callable[[FleetSnapshot, bool], Commit | None] = finish_change
    rules: Rules = RULES
    members: int = 2
    proposers: int = 2
    has_disk: bool = True
    has_name_conflict: bool = False  # a process with another state directory starts under the first name
    fills_disks: bool = False  # disks may become full
    rejecting_member: int = -1  # index of a member that rejects the second proposer's policy; -1: none
    has_backups: bool = False  # an engine restored from a backup, or empty, may answer for a while
    alternate_rules: Rules | None = None  # rules of every second process, by host and incarnation
    has_store_id: bool = False  # the fleet's file names the engine that is trusted


@dataclass(slots=True)
class Exchange:
    """A request in flight (`outcome` is not set) or its answer."""

    host: int
    incarnation: int  # process that sent the request; negative if it no longer waits for the answer
    effect: Effect
    sent: float
    is_answer: bool = False
    outcome: Outcome = None

    def copy(self) -> "Exchange":
        """Returns an independent copy."""
        return Exchange(self.host, self.incarnation, self.effect, self.sent, self.is_answer, self.outcome)


@dataclass(slots=True)
class Host:
    """A host that runs a member's process, and its state directory. `incarnation` counts its processes."""

    name: str
    directory_id: str
    member: Member | None = None
    incarnation: int = 0
    disk: MemberState | None = None
    is_frozen: bool = False
    is_cut: bool = False  # disconnected from the store
    started: float = 0.0
    is_removed: bool = False  # removed by an operator: its next process has a new state directory
    is_full: bool = False  # the disk is full

    @property
    def runs(self) -> bool:
        """Whether the process is running and not frozen."""
        return self.member is not None and not self.is_frozen

    def copy(self) -> "Host":
        """Returns an independent copy."""
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
    """The state of a model at one simulated time."""

    variant: Variant
    store: KeySpace = field(default_factory=lambda: KeySpace(has_history=False))
    hosts: list[Host] = field(default_factory=list)
    exchanges: list[Exchange] = field(default_factory=list)
    pending: dict[str, Commit] = field(default_factory=dict)  # computed and not yet sent, by sender
    proposed: int = 0  # number of proposals
    now: float = 0.0
    committed: dict[int, CommittedVersion] = field(default_factory=dict)  # by version
    injected_faults: int = 0
    trail: tuple[str, ...] = ()  # the events that led here
    recorded_violation: str = ""  # last violation by a write to the store
    backup: KeySpace | None = None  # an older state of the store
    primary: KeySpace | None = None  # the store itself while another engine answers

    def copy(self, event: str = "", injected_faults: int = 0) -> "ModelState":
        """Returns an independent copy; `event` is added to its trail and injects that many faults."""
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

    # Events.

    def start_process(self, n: int) -> None:
        """Starts a process on host `n` with the content of its state directory."""
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
        """Returns why host `n` rejects the text, or "" if it accepts it."""
        is_rejected = n == self.variant.rejecting_member and text.endswith(REJECTED_ENDING)
        return "values.look: not known here" if is_rejected else ""

    def start_effects(self) -> None:
        """Starts all effects of the members.

        Effects on which no order of events depends are completed at once: lease requests, saves and status
        reports for operators. They are lost only if the host is disconnected, stops or has a full disk."""
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
        """Serves a request at the store or the disk, even if its sender has stopped."""
        effect, host = exchange.effect, self.hosts[exchange.host]
        if isinstance(effect, SaveState):
            if exchange.incarnation == host.incarnation:
                host.disk = effect.record
            return True
        if isinstance(effect, ValidatePolicy):
            return self.validate(exchange.host, effect.text)
        return self.write(effect) if isinstance(effect, Commit) else self.store.answer(self.now, effect)

    def write(self, commit: Commit) -> Outcome:
        """Commits to the store, records the commit, and notifies each connected member."""
        self.store.expire_leases(self.now)
        before = self.snapshot()
        result = self.store.commit(commit.compares, commit.writes)
        if result.succeeded:
            for put in commit.writes:  # writes to another engine are not part of the fleet's history
                if isinstance(put, Put) and put.key == KEYS.policy and not self.primary:
                    self._record_commit(decode(put.value, PolicyHead), before)
            for host in self.hosts:
                if host.runs and host.member and not host.is_cut and commit.purpose != "tell":
                    host.member.handle_watch_event()
        return result

    def _record_commit(self, head: PolicyHead, before: FleetSnapshot) -> None:
        """Records that a version is in force, and checks that the commit was allowed."""
        self.recorded_violation = commit_violation(head, before, self.committed) or self.recorded_violation
        self.committed[head.version] = CommittedVersion(head.change, self.now)

    def deliver_answer(self, exchange: Exchange) -> None:
        """Delivers an answer to the process that sent the request, if it still runs."""
        host = self.hosts[exchange.host]
        if host.member and host.incarnation == exchange.incarnation:
            host.member.handle_result(self.now, exchange.effect, exchange.sent, exchange.outcome)

    def pass_time(self, span_ms: float = STEP_MS) -> None:
        """Advances the simulated time and expires leases."""
        self.now += span_ms
        self.store.expire_leases(self.now)
        if self.primary:
            self.primary.expire_leases(self.now)

    def switch_store(self, other: KeySpace | None) -> None:
        """Makes another engine answer, or the store itself again if `other` is None.

        All watches end, so that all members read again. Commits that were computed from the state of one
        engine are dropped: a client has one connection, and does not send them to another engine."""
        if other:
            self.primary, self.store = self.store, other
        elif self.primary:
            self.store, self.primary = self.primary, None
        self.pending.clear()
        for host in self.hosts:
            if host.runs and host.member and not host.is_cut:
                host.member.handle_watch_event()

    def snapshot(self) -> FleetSnapshot:
        """Returns a snapshot of the engine that answers now."""
        return FleetSnapshot(KEYS, self.store.read(coordination_keys(KEYS)))

    def deliver_all(self, accepts: Callable[[Exchange], bool] = lambda exchange: True) -> str:
        """Delivers all exchanges that `accepts` selects, and those that follow, at the current time.

        Returns "", or a violation if the deliveries do not end."""
        for _ in range(MAX_DELIVERIES):
            self.start_effects()
            exchange = next(filter(accepts, self.exchanges), None)
            if not exchange:
                return ""
            self.exchanges.remove(exchange)
            if not exchange.is_answer:
                exchange.outcome = self.serve(exchange)
            self.deliver_answer(exchange)
        return "exchanges do not end"

    # Guarantees.

    def violation(self) -> str:
        """Returns the guarantee that is violated now, or "" if all hold."""
        if self.recorded_violation:
            return self.recorded_violation
        serving: dict[str, int] = {}
        for n, host in enumerate(self.hosts):
            if not host.runs or not host.member:
                continue
            if (version := host.member.admits(self.now)) is None:
                continue
            if wrong := self._admission_violation(host, host.member, version):
                return f"{n} ({host.name}) admits under version {version} at {self.now / 1000:g} s: {wrong}"
            if (other := serving.setdefault(host.name, n)) != n and self._is_registered(other):
                return f"{n} serves under the name of {other}, whose lease has not expired"
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
        """Returns the guarantee that is violated after all faults end, or "" if all hold.

        From this state on, everything is delivered and one coordinator runs. All members have to admit under
        the one version in force, and no change may stay open."""
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
                return f"during recovery: {violation}"
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
        """Returns the members that do not admit under the version in force without a reason, or ""."""
        snapshot = self.snapshot()
        if snapshot.change:
            return "after recovery a change stays open"
        version = snapshot.policy.version if snapshot.policy else 0
        differing = [
            f"{n} {host.member.admission_status(self.now).name}"
            for n, host in enumerate(self.hosts)
            if host.member
            and host.member.admits(self.now) != version
            and not self._may_suspend(n, host.member)
        ]
        return (
            f"after recovery not all admit under version {version}: {', '.join(differing)}"
            if differing
            else ""
        )

    def _may_suspend(self, n: int, member: Member) -> bool:
        """Whether the variant allows this member to suspend admission permanently."""
        status = member.admission_status(self.now)
        if status in (AdmissionStatus.FOREIGN_DIRECTORY, AdmissionStatus.NAME_TAKEN):
            return self.variant.has_name_conflict
        return status is AdmissionStatus.POLICY_REJECTED and n == self.variant.rejecting_member

    # Fingerprints.

    def fingerprint(self) -> tuple[object, ...]:
        """Returns a value that is equal for two states that behave the same from here on."""
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
        # The number of versions committed before the process started. The guarantees depend on its start time
        # in no other way.
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
    """Whether no order of events depends on when the effect is completed."""
    if isinstance(effect, Commit):
        return effect.purpose == "tell"
    return isinstance(effect, SaveState | GrantLease | RenewLease | ValidatePolicy)
