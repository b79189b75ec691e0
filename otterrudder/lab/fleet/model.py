"""A few members of a fleet, the store, and what is between them: a world in which one event follows another.

All that is decided is the fleet's own code. A world holds what a request or an answer in flight may do, who
is up, frozen or gone, and keeps its own books of what was committed and when, from the store's writes and
nothing else; `broken` checks the promises against these books."""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from enum import Enum

import msgspec

from otterrudder.fleet.change import (
    ChangeRejectedError,
    coordination_keys,
    finish_change,
    propose,
    remove_member,
)
from otterrudder.fleet.effects import (
    Commit,
    Effect,
    GrantLease,
    Outcome,
    RenewLease,
    SaveState,
    ValidatePolicy,
    effect_name,
)
from otterrudder.fleet.member import Member
from otterrudder.fleet.records import FleetSnapshot, Keys, PolicyHead, decode
from otterrudder.fleet.state import AdmissionStatus, MemberState, Rules
from otterrudder.fleet.store import Put
from otterrudder.lab.fleet.cloning import clone
from otterrudder.lab.fleet.history_checker import Committed, wrong_admission, wrong_commit
from otterrudder.lab.keyspace import KeySpace

KEYS = Keys("f")
STEP_MS = 1000.0  # by which time goes on: a half of the bound
RULES = Rules(bound_ms=2000.0, lease_ms=4000.0)
DEADLINE_MS = 8000.0  # of the changes
PEACE_STEPS = 40  # of time that a world left in peace has to agree in: some leases, a deadline and polls
STORE_ID = 1  # of the store, as a key space has it unless told another
COPY_ID = 0xC0  # of an engine that was restored: the engine's own tool gives it a new one
COPY_LEASES = 1000  # from which such an engine numbers its leases: an engine's are drawn, no two alike
TURNS_MOST = 400  # events at one time in peace; more: it never rests


@dataclass(frozen=True, slots=True)
class Variant:
    """The parts a world is made of; a double with a fault takes the place of one."""

    member: type[Member] = Member
    finish_change: Callable[[FleetSnapshot, bool], Commit | None] = finish_change
    rules: Rules = RULES
    members: int = 2
    proposers: int = 2
    has_disk: bool = True
    has_twin: bool = False  # another process comes up under the first one's name, with a folder of its own
    fills_disks: bool = False
    bad_for: int = -1  # the member for which the second proposer's policy is no good
    copies: bool = False  # another engine, restored from an older state or empty, may answer in its place
    others: Rules | None = None  # of every second process, by place and life: rules are mixed, and change
    names_store: bool = False  # the fleet's file says which engine is believed


@dataclass(slots=True)
class Flight:
    """A request on its way (`outcome` unset) or the answer to it."""

    host: int
    life: int
    effect: Effect
    sent: float
    is_answer: bool = False
    outcome: Outcome = None


@dataclass(slots=True)
class Host:
    """A place where a member's process runs, with its folder. `life` counts its processes."""

    name: str
    folder: str
    member: Member | None = None
    life: int = 0
    disk: MemberState | None = None
    is_frozen: bool = False
    is_cut: bool = False
    started: float = 0.0
    is_struck: bool = False  # an operator has said that it is gone: it comes back with a folder of its own
    is_full: bool = False  # its disk

    @property
    def runs(self) -> bool:
        return self.member is not None and not self.is_frozen


@dataclass(slots=True)
class World:
    variant: Variant
    store: KeySpace = field(default_factory=lambda: KeySpace(keeps_history=False))
    hosts: list[Host] = field(default_factory=list)
    flight: list[Flight] = field(default_factory=list)
    pending: dict[str, Commit] = field(default_factory=dict)  # by who computed it and has not sent it yet
    proposed: int = 0
    now: float = 0.0
    committed: dict[int, Committed] = field(default_factory=dict)  # by version
    spent: int = 0  # faults so far
    trail: tuple[str, ...] = ()
    bug: str = ""  # of the books: something that must never be written was
    kept: KeySpace | None = None  # an older state of the store, kept by somebody
    right: KeySpace | None = None  # the store itself, while another engine answers in its place

    def copy(self, event: str = "", spent: int = 0) -> "World":
        hosts = [
            Host(
                h.name,
                h.folder,
                h.member and clone(h.member),
                h.life,
                h.disk,
                h.is_frozen,
                h.is_cut,
                h.started,
                h.is_struck,
                h.is_full,
            )
            for h in self.hosts
        ]
        flight = [Flight(f.host, f.life, f.effect, f.sent, f.is_answer, f.outcome) for f in self.flight]
        trail = (*self.trail, event) if event else self.trail
        return World(
            self.variant,
            self.store.copy(),
            hosts,
            flight,
            dict(self.pending),
            self.proposed,
            self.now,
            dict(self.committed),
            self.spent + spent,
            trail,
            self.bug,
            self.kept,
            self.right and self.right.copy(),
        )

    # Its life.

    def create_controller(self, n: int) -> None:
        """A process starts at that place, with what its folder holds."""
        host = self.hosts[n]
        host.life += 1
        host.started, host.is_frozen = self.now, False
        if not self.variant.has_disk or host.is_struck:
            host.disk, host.folder = None, f"{host.folder}'"
            host.is_struck = False
        incarnation = f"{n}.{host.life}"
        is_other = self.variant.others and (n + host.life) % 2 == 0
        rules = self.variant.others if is_other and self.variant.others else self.variant.rules
        host.member = self.variant.member(
            self.now,
            KEYS,
            host.name,
            incarnation,
            host.folder,
            rules,
            lambda text: self.validate(n, text),
            record=host.disk,
            has_disk=self.variant.has_disk,
            cluster=STORE_ID if self.variant.names_store else 0,
        )
        self.settle_down()

    def validate(self, n: int, text: str) -> str:
        return "values.look: not known here" if n == self.variant.bad_for and text.endswith("!") else ""

    def settle_down(self) -> None:
        """What members want goes out. What no order of events hangs on is done at once: leases, saves, and
        what is told for operators' eyes; their losses are those of a host that is cut off, dies or has a
        full disk."""
        for n, host in enumerate(self.hosts):
            while host.runs and host.member and (effects := host.member.effects(self.now)):
                for effect in effects:
                    flight = Flight(n, host.life, effect, self.now)
                    if not _is_plain(effect):
                        self.flight.append(flight)
                        continue
                    is_lost = (
                        host.is_full
                        if isinstance(effect, SaveState)
                        else host.is_cut and not isinstance(effect, ValidatePolicy)
                    )
                    flight.outcome = None if is_lost else self.arrive(flight)
                    self.answer(flight)

    def arrive(self, flight: Flight) -> Outcome:
        """A request reaches the store or the disk, whether or not its sender still lives."""
        effect, host = flight.effect, self.hosts[flight.host]
        if isinstance(effect, SaveState):
            assert isinstance(effect.record, MemberState)
            if flight.life == host.life:
                host.disk = effect.record
            return True
        if isinstance(effect, ValidatePolicy):
            return self.validate(flight.host, effect.text)
        return self.write(effect) if isinstance(effect, Commit) else self.store.answer(self.now, effect)

    def write(self, commit: Commit) -> Outcome:
        """A commit at the store, entered in the books, and a hint to all who can hear."""
        self.store.lapse(self.now)
        before = self.view()
        done = self.store.commit(commit.compares, commit.writes)
        if done.succeeded:
            for put in commit.writes:  # what another engine was told is not the fleet's
                if isinstance(put, Put) and put.key == KEYS.policy and not self.right:
                    self._note(decode(put.value, PolicyHead), before)
            for host in self.hosts:
                if host.member and not host.is_cut and not host.is_frozen and commit.purpose != "tell":
                    host.member.handle_watch_event()
        return done

    def _note(self, head: PolicyHead, before: FleetSnapshot) -> None:
        """A version is in force from now on: all must have said yes to it, or been left out by their own
        rule."""
        self.bug = wrong_commit(head, before, self.committed) or self.bug
        self.committed[head.version] = Committed(head.change, self.now)

    def answer(self, flight: Flight) -> None:
        """An answer reaches the life that asked, if it lives and is not frozen."""
        host = self.hosts[flight.host]
        if host.member and host.life == flight.life:
            host.member.handle_result(self.now, flight.effect, flight.sent, flight.outcome)

    def pass_time(self, span: float = STEP_MS) -> None:
        self.now += span
        self.store.lapse(self.now)
        if self.right:
            self.right.lapse(self.now)

    def swap(self, other: KeySpace | None) -> None:
        """Another engine answers from now on, or (None) the store itself again. Watches end, so all read.
        What was reckoned from one's state is not sent to the other: whoever reckons has one channel."""
        if other:
            self.right, self.store = self.store, other
        elif self.right:
            self.store, self.right = self.right, None
        self.pending.clear()
        for host in self.hosts:
            if host.runs and host.member and not host.is_cut:
                host.member.handle_watch_event()

    # What it promises.

    def violation(self) -> str:
        """Which promise does not hold now, "": all do."""
        if self.bug:
            return self.bug
        serving: dict[str, int] = {}
        for n, host in enumerate(self.hosts):
            if not host.runs or not host.member:
                continue
            if (version := host.member.admits(self.now)) is None:
                continue
            if trouble := self._wrong(host, version):
                return f"{n} ({host.name}) admits under {version} at {self.now / 1000:g} s: {trouble}"
            if (other := serving.setdefault(host.name, n)) != n and self._lives(other):
                return f"{n} serves under the name of {other}, whose lease has not lapsed"
        return ""

    def _lives(self, n: int) -> bool:
        view = FleetSnapshot(KEYS, self.store.read([KEYS.status(self.hosts[n].name)]))
        status, member = view.status(self.hosts[n].name), self.hosts[n].member
        return bool(status and member and status.incarnation == member.identity.incarnation)

    def _wrong(self, host: Host, version: int) -> str:
        assert host.member
        change, bound_ms = host.member.known.change, self.variant.rules.bound_ms
        return wrong_admission(version, change, host.started, self.now, bound_ms, self.committed)

    def recovery_violation(self) -> str:
        """From here on with everything delivered, everybody up, and one that settles: "" if all come to admit
        under the one version in force and no change is left open."""
        world = self.copy()
        if world.right:
            world.swap(None)
        for n, host in enumerate(world.hosts):
            host.is_frozen = host.is_cut = host.is_full = False
            if not host.member:
                world.create_controller(n)
        opened = -1.0
        for _ in range(PEACE_STEPS):
            if trouble := world._deliver_all():
                return trouble
            change = world.view().change
            opened = (world.now if opened < 0 else opened) if change else -1.0
            is_late = bool(change) and world.now - opened >= DEADLINE_MS
            if commit := world.variant.finish_change(world.view(), is_late):
                world.write(commit)
                if trouble := world._deliver_all():
                    return trouble
            if trouble := world.violation():
                return f"in peace: {trouble}"
            world.pass_time()
        head = world.view().policy
        version = head.version if head else 0
        if world.view().change:
            return "in peace a change stays open"
        may = (
            {AdmissionStatus.FOREIGN_DIRECTORY, AdmissionStatus.NAME_TAKEN}
            if world.variant.has_twin
            else set()
        )
        odd = [
            f"{n} {host.member.admission_status(world.now).name}"
            for n, host in enumerate(world.hosts)
            if host.member
            and host.member.admits(world.now) != version
            and host.member.admission_status(world.now) not in may
            and not (
                n == world.variant.bad_for
                and host.member.admission_status(world.now) is AdmissionStatus.POLICY_REJECTED
            )
        ]
        return f"in peace not all admit under {version}: {', '.join(odd)}" if odd else ""

    def view(self) -> FleetSnapshot:
        return FleetSnapshot(KEYS, self.store.read(coordination_keys(KEYS)))

    def _deliver_all(self, wanted: Callable[[Flight], bool] = lambda flight: True) -> str:
        """All that is on its way and wanted arrives, and what follows from it, at this time."""
        for _ in range(TURNS_MOST):
            self.settle_down()
            flight = next(filter(wanted, self.flight), None)
            if not flight:
                return ""
            self.flight.remove(flight)
            if not flight.is_answer:
                flight.outcome = self.arrive(flight)
            self.answer(flight)
        return "in peace it never rests"

    # Whether two worlds are one.

    def fingerprint(self) -> tuple[object, ...]:
        hosts = tuple(
            (
                host.life,
                host.member and _member_fingerprint(host.member, self.now),
                host.disk and msgspec.structs.replace(host.disk, revision=0),
                host.is_frozen,
                host.is_cut,
                host.is_struck,
                host.is_full,
                self._started_key(host),
            )
            for host in self.hosts
        )
        flight = tuple(
            sorted(
                repr((f.host, f.life, f.effect, _ago(f.sent, self.now), f.is_answer, f.outcome))
                for f in self.flight
            )
        )
        ends = self.store.leases.items()
        leases = tuple(sorted((lease, _left(end, self.now)) for lease, (_, end) in ends))
        committed = tuple(
            (version, change, _ago(at, self.now)) for version, (change, at) in sorted(self.committed.items())
        )
        others = tuple(
            space and (space.cluster, space.revision, tuple(sorted(space.keys.items())))
            for space in (self.kept, self.right)
        )
        return (
            hosts,
            flight,
            leases,
            committed,
            self.store.revision,
            self.proposed,
            others,
            tuple(sorted(self.store.keys.items())),
            tuple(sorted(map(repr, self.pending.items()))),
        )

    def _started_key(self, host: Host) -> int:
        """How many versions were committed before it started: all that the promises ask of its age."""
        return sum(at < host.started for _, at in self.committed.values())


# Attributes of a member's parts that are times: how much is left of some, how long ago others were.
_TIMES_LEFT = frozenset(
    {
        "abstains_until",
        "endorsed_until",
        "lease_until",
        "registers_from",
        "renew_at",
        "report_at",
        "retry_at",
        "save_at",
        "vote_first_until",
    }
)
_TIMES_AGO = frozenset({"fresh_at", "read_at"})
# By which members never differ, or which nothing depends on from here on.
_PASSED_OVER = frozenset({"answered_at", "cluster", "failures", "has_disk", "identity", "rules", "template"})


def _member_fingerprint(member: Member, now: float) -> tuple[object, ...]:
    """Equal for two members that behave alike from here on: times as what is left or has passed of them, in
    steps, for time goes on by whole steps."""
    parts = (
        member.policies,
        member.registration,
        member.voting,
        member.local_state,
        member.reads,
        member.reporter,
        member.trust,
    )
    values = tuple(
        _left(value, now) if name in _TIMES_LEFT else _ago(value, now) if name in _TIMES_AGO else value
        for part in parts
        for base in type(part).__mro__
        for name in getattr(base, "__slots__", ())
        if name not in _PASSED_OVER
        for value in (getattr(part, name),)
    )
    return (*values, member.observed, member._busy)


MAX_STEPS = 99.0  # of time in a fingerprint: all later times are one
NEVER_STEPS = 100.0  # of a time that never comes or never was


def _left(at: float, now: float) -> float:
    """Steps until then. inf // STEP_MS would be nan, which no fingerprint may hold: it equals nothing."""
    if at == math.inf:
        return NEVER_STEPS
    return -1.0 if at <= now else min((at - now + STEP_MS - 1) // STEP_MS, MAX_STEPS)


def _ago(at: float, now: float) -> float:
    """Steps since then."""
    return NEVER_STEPS if at == -math.inf else min((now - at) // STEP_MS, MAX_STEPS)


# Events: each gives the worlds that it may lead to. `faults_most` bounds those that harm.


def following(world: World, max_faults: int) -> Iterator[World]:
    for at in range(len(world.flight)):
        yield from _of_flight(world, at, max_faults)
    yield from _of_changes(world, max_faults)
    later = world.copy("time goes on")
    later.pass_time()
    later.settle_down()
    yield later
    yield from _of_hosts(world, world.spent < max_faults)
    if world.variant.copies:
        yield from _of_store(world, world.spent < max_faults)


def _of_store(world: World, may_harm: bool) -> Iterator[World]:
    """Somebody keeps the store's state; later another engine with it, or an empty one, answers a while."""
    if world.right:
        back = world.copy("the store itself answers")
        back.swap(None)
        back.settle_down()
        yield back
        return
    if not world.kept:
        kept = world.copy("the store is copied")
        kept.kept = kept.store.copy()
        yield kept
    for other, label in ((world.kept, "an older copy answers"), (KeySpace(), "an empty store answers")):
        if may_harm and other:
            swapped = world.copy(label, 1)
            engine = other.copy()
            engine.keeps_history = False
            engine.cluster, engine.granted = COPY_ID, engine.granted + COPY_LEASES * (world.spent + 1)
            engine.lapse(world.now)
            swapped.swap(engine)
            swapped.settle_down()
            yield swapped


def _of_flight(world: World, at: int, max_faults: int) -> Iterator[World]:
    """A request or an answer is served at once, or one of its ways to be lost."""
    flight = world.flight[at]
    host = world.hosts[flight.host]
    label = f"{flight.host}.{flight.life} {effect_name(flight.effect)}"
    is_dead = not host.member or host.life != flight.life
    if host.is_frozen and not is_dead and flight.is_answer:
        return  # nobody takes it now
    if host.is_cut and not flight.is_answer and not is_dead:
        lost = world.copy(f"{label}: no way there")
        lost.answer(lost.flight.pop(at))
        lost.settle_down()
        yield lost
        return
    served = world.copy(f"{label}{': answer' if flight.is_answer else ''}")
    taken = served.flight.pop(at)
    if not taken.is_answer:
        taken.outcome = served.arrive(taken)
    if host.is_frozen and not is_dead:  # it waits for the thaw
        taken.is_answer = True
        served.flight.append(taken)
    else:
        served.answer(taken)
    served.settle_down()
    yield served
    if world.spent >= max_faults or flight.is_answer or is_dead:
        return
    if isinstance(flight.effect, Commit):
        unanswered = world.copy(f"{label}: took effect, answer lost", 1)
        taken = unanswered.flight.pop(at)
        unanswered.arrive(taken)
        unanswered.answer(taken)
        unanswered.settle_down()
        yield unanswered
        given_up = world.copy(f"{label}: given up, still on its way", 1)
        taken = given_up.flight[at]
        given_up.flight[at] = replace(taken, life=-taken.life)  # it may arrive yet, and nobody waits for it
        given_up.answer(taken)
        given_up.settle_down()
        yield given_up
        return
    slow = world.copy(f"{label}: slow answer", 1)
    slow.flight[at].outcome = slow.arrive(slow.flight[at])
    slow.flight[at].is_answer = True
    slow.settle_down()
    yield slow


def _of_changes(world: World, max_faults: int) -> Iterator[World]:
    """Somebody proposes; somebody counts the votes; what was computed is sent, now or much later."""
    view = world.view()
    if world.proposed < world.variant.proposers:
        ident = "AB"[world.proposed]
        text = f"policy {ident}{'!' if ident == 'B' else ''}"
        try:
            commit = propose(view, ident, text, ident, "", 0.0, DEADLINE_MS)
        except ChangeRejectedError:
            pass
        else:
            opened = world.copy(f"{ident} reads, to propose")
            opened.proposed += 1
            opened.pending[ident] = commit
            yield opened
    for is_late in (False, True) if world.spent < max_faults else (False,):
        commit_or_none = world.variant.finish_change(view, is_late)
        who = "late count" if is_late else "count"
        if commit_or_none and who not in world.pending and (not is_late or commit_or_none.purpose == "abort"):
            counted = world.copy(who, is_late)
            counted.pending[who] = commit_or_none
            yield counted
    for who, commit in world.pending.items():
        sent = world.copy(f"{who}: {commit.purpose}")
        del sent.pending[who]
        sent.write(commit)
        sent.settle_down()
        yield sent


def _of_hosts(world: World, may_harm: bool) -> Iterator[World]:
    for n, host in enumerate(world.hosts):
        if not host.member:
            up = world.copy(f"{n} starts")
            up.create_controller(n)
            yield up
            knows_store = world.variant.names_store or not world.variant.copies
            if may_harm and not host.is_struck and knows_store:
                yield from _struck(world, n)
            continue
        if may_harm:
            down = world.copy(f"{n} dies", 1)
            down.hosts[n].member = None
            yield down
        for field_name, harm, mend in _STATES:
            if field_name == "is_full" and not world.variant.fills_disks:
                continue
            is_so = getattr(host, field_name)
            if is_so or may_harm:
                turned = world.copy(f"{n} {mend if is_so else harm}", 0 if is_so else 1)
                setattr(turned.hosts[n], field_name, not is_so)
                turned.settle_down()
                yield turned


_STATES = (
    ("is_frozen", "freezes", "wakes"),
    ("is_cut", "is cut off", "is healed"),
    ("is_full", "has no room", "has room"),
)


def _struck(world: World, n: int) -> Iterator[World]:
    """An operator says that the server is gone for good, which holds: it comes back with another folder."""
    try:
        commit = remove_member(world.view(), world.hosts[n].name)
    except ChangeRejectedError:
        return
    gone = world.copy(f"{n} is said to be gone", 1)
    gone.write(commit)
    gone.hosts[n].is_struck = True
    gone.settle_down()
    yield gone


def _is_plain(effect: Effect) -> bool:
    if isinstance(effect, Commit):
        return effect.purpose == "tell"
    return isinstance(effect, SaveState | GrantLease | RenewLease | ValidatePolicy)


class NotConvergedError(Exception):
    """The members never became a fleet: a double's fault can be that plain."""


class Stage(Enum):
    """Where a search begins: how far a change has come."""

    CALM = "none is open"
    OPEN = "it is open, and all votes are on their way"
    HALF = "one vote is in, the others are on their way"
    VOTED = "all votes are in"
    COMMITTED = "it is committed, and nobody has heard"


def staged(variant: Variant, stage: Stage) -> World:
    """A fleet at work whose first proposer's change has come so far."""
    world = settled(variant)
    if stage is Stage.CALM:
        return world
    world.proposed = 1
    world.write(propose(world.view(), "A", "policy A", "A", "", 0.0, DEADLINE_MS))
    world._deliver_all(lambda flight: effect_name(flight.effect) != "vote")
    if stage is not Stage.OPEN:
        votes = [flight for flight in world.flight if effect_name(flight.effect) == "vote"]
        first = votes[0].host
        world._deliver_all(lambda flight: stage is not Stage.HALF or flight.host == first)
    if stage is Stage.COMMITTED and (commit := finish_change(world.view(), False)):
        world.write(commit)
        world.settle_down()
    return world


def settled(variant: Variant) -> World:
    """A fleet at work: all are of it, and version 1 is in force."""
    world = World(variant)
    for n in range(variant.members):
        world.hosts.append(Host(f"n{n}", f"folder {n}"))
        world.create_controller(n)
    if trouble := world._deliver_all():
        raise NotConvergedError(trouble)
    world.write(propose(world.view(), "first", "policy", "", "", 0.0, DEADLINE_MS))
    for _ in range(3):
        world._deliver_all()
        if commit := finish_change(world.view(), False):
            world.write(commit)
        world.pass_time()
    world._deliver_all()
    if [host.member.admits(world.now) for host in world.hosts if host.member] != [1] * variant.members:
        raise NotConvergedError("the fleet does not come together")
    if variant.has_twin:
        world.hosts.append(Host("n0", "another folder"))
        world.create_controller(variant.members)
    return world
