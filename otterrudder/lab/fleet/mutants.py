"""Doubles of the fleet's parts, each with one thing left out that the design rests on: the search has to find
every one of them, with the variant of the world that it shows in."""

import math
from dataclasses import dataclass, replace

from otterrudder.fleet.change import count_votes, finish_change
from otterrudder.fleet.effects import Commit, Effect, Lane, Outcome, SaveState
from otterrudder.fleet.member import Member
from otterrudder.fleet.records import FleetSnapshot
from otterrudder.fleet.state import AdmissionStatus, ObservedState, OpenChange, Policy, PreparedVote
from otterrudder.fleet.store import CommitResult, LeaseResult, Snapshot
from otterrudder.lab.fleet.model import RULES, Stage, Variant

FOLDER = replace(RULES, starts_from_directory=True)
LEAVE = replace(RULES, absent="leave-out")


class _Loose(Member):
    """A double may keep more than the member does."""


class VoteBeforeDisk(_Loose):
    """Votes though its pledge has not been written: the folder then says that nothing was promised."""

    def _vote(self, now: float, observed: ObservedState) -> Commit | None:
        saved, has_disk, trouble = self._saved, self.has_disk, self.disk_error
        self.has_disk, self.disk_error = False, ""
        commit = super()._vote(now, observed)
        self._saved, self.has_disk, self.disk_error = saved, has_disk, trouble
        return commit

    def _told_save(self, now: float, effect: SaveState, outcome: Outcome) -> None:
        prepared_vote = self.prepared_vote
        super()._told_save(now, effect, outcome)
        self.prepared_vote = prepared_vote


class BelievesFolder(_Loose):
    """Starts by its folder, whatever it has promised."""

    def _may_believe_folder(self) -> bool:
        self.prepared_vote = None
        return self.rules.starts_from_directory and self.joined


class BelievesItsFile(_Loose):
    """Starts by its folder because its file says `wait` now, whatever the roster says."""

    def _may_believe_folder(self) -> bool:
        return self.rules.starts_from_directory and self.joined and self.prepared_vote is None


class SleepsThrough(_Loose):
    """Goes by what was so when it last heard the store: a frozen one wakes and admits."""

    def admission_status(self, now: float) -> AdmissionStatus:
        return super().admission_status(min(now, self.__dict__.get("ticked", now)))

    def handle_result(self, now: float, effect: Effect, sent: float, outcome: Outcome) -> None:
        if effect.lane is Lane.STORE and outcome is not None:
            self.__dict__["ticked"] = now
        super().handle_result(now, effect, sent, outcome)


class FreshByAnswer(_Loose):
    """Counts the bound from when an answer came, not from when its question was sent."""

    def handle_result(self, now: float, effect: Effect, sent: float, outcome: Outcome) -> None:
        super().handle_result(now, effect, now, outcome)


class NeverAside(_Loose):
    """Has voted and serves on, for as long as it hears nothing."""

    def admission_status(self, now: float) -> AdmissionStatus:
        admission_status = super().admission_status(now)
        return (
            AdmissionStatus.PREPARED
            if admission_status is AdmissionStatus.OUTCOME_UNKNOWN
            else admission_status
        )


class ServesLapsed(_Loose):
    """Serves on without a lease where others may leave it out."""

    def admission_status(self, now: float) -> AdmissionStatus:
        admission_status = super().admission_status(now)
        return (
            AdmissionStatus.SERVING if admission_status is AdmissionStatus.LEASE_EXPIRED else admission_status
        )


class KeepsOldReading(_Loose):
    """Whose lease has lapsed believes, once it has one again, what it read before."""

    def _lose_registration(self) -> None:
        has_synced, until = self.has_synced, self.lease_until
        super()._lose_registration()
        self.has_synced, self.lease_until = has_synced, until


class VotesForAnyChange(_Loose):
    """Its vote names no change: one that is late counts in the next."""

    def _vote(self, now: float, observed: ObservedState) -> Commit | None:
        return _without(super()._vote(now, observed), self.keys.change)


class VotesForAnyLife(_Loose):
    """Its vote names no life: one sent before a crash counts after it."""

    def _vote(self, now: float, observed: ObservedState) -> Commit | None:
        return _without(super()._vote(now, observed), self.keys.status(self.name))


class SureAtOnce(_Loose):
    """Admits by what it read before it had registered."""

    def _take(self, now: float, sent: float, view: FleetSnapshot) -> None:
        super()._take(now, sent, view)
        self.has_synced = not self._is_others(self.observed) if self.observed else self.has_synced


class JoinsUnseen(_Loose):
    """Registers without a word to who counts the votes: whoever has counted without it commits."""

    def _register(self, observed: ObservedState) -> Commit:
        commit = super()._register(observed)
        kept = tuple(write for write in commit.writes if write.key != self.keys.joined)
        return replace(commit, writes=kept)


class TakesNames(_Loose):
    """Takes a name whose lease has lapsed, though its holder may serve on, cut off."""

    def _is_foreign(self, observed: ObservedState) -> bool:
        return False


class TwoOfOneName(TakesNames):
    """Serves under a name that another process has."""

    def _is_taken(self, observed: ObservedState) -> bool:
        return False

    def _check_registration(self, observed: ObservedState) -> None:
        super()._check_registration(observed)
        self.has_synced = True


class AnyPolicy(_Loose):
    """Goes over to a change as soon as it has said yes to it."""

    def _vote(self, now: float, observed: ObservedState) -> Commit | None:
        commit = super()._vote(now, observed)
        if commit and self.prepared_vote and observed.open:
            opened: OpenChange = observed.open
            self.known = Policy(opened.version, opened.id, opened.digest)
        return commit


class ForgetsPledge(_Loose):
    """Strikes a pledge from its folder once the change has ended, before it has what is in force since."""

    def _take_pledge(self, sent: float, observed: ObservedState) -> None:
        if self.prepared_vote and (
            not observed.open or self.prepared_vote != PreparedVote(observed.open.id, observed.open.created)
        ):
            self.prepared_vote = None
        super()._take_pledge(sent, observed)


class BelievesAnyStore(_Loose):
    """Believes an engine that went back to an older state."""

    def _doubt(self, view: FleetSnapshot) -> str:
        return ""

    def _is_believed(self, outcome: CommitResult | LeaseResult) -> bool:
        return True


class BelievesAnyLease(_Loose):
    """Holds its lease to live because some engine says so."""

    def _is_believed(self, outcome: CommitResult | LeaseResult) -> bool:
        return isinstance(outcome, LeaseResult) or super()._is_believed(outcome)


class BelievesLateReading(_Loose):
    """A read that was sent before its lease was lost, and comes after, makes it sure again."""

    def _lose_registration(self) -> None:
        super()._lose_registration()
        self._is_void = False


class NeverReadsAgain(_Loose):
    """Reads when it is hinted at, and never by itself."""

    def _next_read(self) -> float:
        return math.inf

    def _told_read(self, now: float, sent: float, snapshot: Snapshot) -> None:
        super()._told_read(now, sent, snapshot)
        self._stale = False


def _without(commit: Commit | None, key: str) -> Commit | None:
    if commit is None:
        return None
    return replace(commit, compares=tuple(c for c in commit.compares if c.key != key))


def most_votes(view: FleetSnapshot, is_late: bool) -> Commit | None:
    """Commits once more have said yes than are owed."""
    told = count_votes(view)
    if view.change and not told.rejections and told.pending and len(told.accepted) >= len(told.pending):
        names = {*told.pending}
        entries = {
            k: e
            for k, e in view.snapshot.entries.items()
            if not (k.startswith(view.keys.rosters) and k.removeprefix(view.keys.rosters) in names)
        }
        return finish_change(FleetSnapshot(view.keys, view.snapshot._replace(entries=entries)), is_late)
    return finish_change(view, is_late)


def blind(view: FleetSnapshot, is_late: bool) -> Commit | None:
    """Commits without comparing what was read."""
    commit = finish_change(view, is_late)
    return commit and replace(commit, compares=())


def deaf(view: FleetSnapshot, is_late: bool) -> Commit | None:
    """Hears no no."""
    entries = {
        k: e
        for k, e in view.snapshot.entries.items()
        if not (k.startswith(view.keys.votes) and b'"yes":false' in e.value)
    }
    rosters = {view.keys.roster(name) for name, vote in view.votes.items() if not vote.accepted}
    told = {k: e for k, e in entries.items() if k not in rosters}
    return finish_change(FleetSnapshot(view.keys, view.snapshot._replace(entries=told)), is_late)


def leaves_out_all(view: FleetSnapshot, is_late: bool) -> Commit | None:
    """Leaves out who is away, whatever its rule."""
    away = {view.keys.roster(name) for name in view.rosters if name not in view.statuses}
    entries = {k: e for k, e in view.snapshot.entries.items() if k not in away}
    return finish_change(FleetSnapshot(view.keys, view.snapshot._replace(entries=entries)), is_late)


@dataclass(frozen=True, slots=True)
class Hunt:
    """Where a fault shows: the world's parts, and a story that drawn walks come to too rarely (`~`: an event
    that the sound member may not come to). Without a depth walks find it."""

    variant: Variant
    stage: Stage = Stage.CALM
    story: tuple[str, ...] = ()
    depth: int = 0
    faults: int = 0


_LATE_VOTE = (
    "0.1 vote: given up",
    "late count",
    "late count: abort",
    "time",
    "0.1 read",
    "~0.1 read",
    "0 is cut off",
    "B reads",
    "B: propose",
    "0.-1 vote",
    "1.1 vote",
    "~1.1 read",
    "~1.1 read",
    "time",
    "~1.1 read",
    "~1.1 read",
    "~1.1 read",
    "~1.1 vote",
)
_OLD_LIFE = (
    "0.1 vote: given up",
    "0 dies",
    "1.1 vote",
    "time",
    "time",
    "time",
    "time",
    "0 starts",
    "0.2 read",
    "0.2 read",
    "0.2 register",
    "0.2 read",
    "0 is cut off",
    "0.-1 vote",
)
_NO_ROOM = (
    "0 has no room",
    "A reads",
    "A: propose",
    "1.1 read",
    "~1.1 read",
    "~1.1 read",
    "1.1 vote",
    "~0.1 read",
    "~0.1 read",
    "~0.1 read",
    "~0.1 vote",
    "0 is cut off",
    "0 dies",
)
_HALF_KNOWN = ("0 dies", "time", "time", "time", "time", "0 starts", "0.2 read")
_LAPSED_NAME = (
    "0 is cut off",
    *(("time", "~2.1 read") * 6),
    "~2.1 register",
    "~2.1 read",
    "~2.1 read",
    "A reads",
    "A: propose",
    *(("~1.1 read", "~2.1 read") * 3),
    "~1.1 vote",
    "~2.1 vote",
)
_KEPT_ALIVE = (
    "the store is copied",
    "an older copy answers",
    *(("time",) * 5),
    "0 is cut off",
    "the store itself answers",
    "A reads",
    "A: propose",
    "count",
    "count: commit",
)
_OLD_RULE = (
    "0 dies",
    *(("time",) * 5),
    "A reads",
    "A: propose",
    "1.1 read",
    "~1.1 read",
    "~1.1 read",
    "1.1 vote",
    "count",
    "count: commit",
)
# Each fault with the world that it shows in.
FAULTS: dict[str, Hunt] = {
    "vote before disk": Hunt(
        Variant(VoteBeforeDisk, rules=FOLDER, fills_disks=True), Stage.CALM, _NO_ROOM, 4, 0
    ),
    "believes its folder": Hunt(Variant(BelievesFolder, rules=FOLDER), Stage.VOTED, (), 5, 2),
    "believes its file": Hunt(
        Variant(BelievesItsFile, rules=LEAVE, others=FOLDER), Stage.CALM, _OLD_RULE, 4, 1
    ),
    "sleeps through": Hunt(Variant(SleepsThrough), Stage.VOTED, (), 7, 1),
    "fresh by answer": Hunt(Variant(FreshByAnswer)),
    "never aside": Hunt(Variant(NeverAside)),
    "serves lapsed": Hunt(Variant(ServesLapsed, rules=LEAVE)),
    "keeps its old reading": Hunt(Variant(KeepsOldReading, rules=LEAVE, has_disk=False)),
    "votes for any change": Hunt(Variant(VotesForAnyChange), Stage.OPEN, _LATE_VOTE, 5, 0),
    "votes for any life": Hunt(
        Variant(VotesForAnyLife, rules=LEAVE, has_disk=False), Stage.OPEN, _OLD_LIFE, 5, 0
    ),
    "sure at once": Hunt(Variant(SureAtOnce, rules=LEAVE, has_disk=False)),
    "joins unseen": Hunt(Variant(JoinsUnseen, rules=LEAVE, has_disk=False)),
    "takes names": Hunt(Variant(TakesNames, has_twin=True), Stage.CALM, _LAPSED_NAME, 6, 0),
    "two of one name": Hunt(Variant(TwoOfOneName, has_twin=True)),
    "any policy": Hunt(Variant(AnyPolicy)),
    "forgets its pledge": Hunt(Variant(ForgetsPledge, rules=FOLDER), Stage.COMMITTED, _HALF_KNOWN, 3, 9),
    "believes any store": Hunt(Variant(BelievesAnyStore, copies=True)),
    "believes any lease": Hunt(
        Variant(BelievesAnyLease, rules=LEAVE, copies=True), Stage.CALM, _KEPT_ALIVE, 3, 2
    ),
    "believes a late reading": Hunt(Variant(BelievesLateReading, rules=LEAVE)),
    "never reads again": Hunt(Variant(NeverReadsAgain)),
    "most votes": Hunt(Variant(finish_change=most_votes)),
    "blind commit": Hunt(Variant(finish_change=blind)),
    "deaf to noes": Hunt(Variant(finish_change=deaf, bad_for=0)),
    "leaves out all": Hunt(Variant(finish_change=leaves_out_all)),
}
SOUND: dict[str, Variant] = {
    "wait": Variant(),
    "wait, from its folder": Variant(rules=FOLDER),
    "wait, disks that fill": Variant(rules=FOLDER, fills_disks=True),
    "leave-out": Variant(rules=LEAVE),
    "leave-out, no folder": Variant(rules=LEAVE, has_disk=False),
    "a name taken": Variant(has_twin=True),
    "a policy that is bad for one": Variant(bad_for=0),
    "rules that are mixed and change": Variant(rules=LEAVE, others=FOLDER),
    "another engine answers": Variant(copies=True),
    "another engine, leave-out": Variant(rules=LEAVE, copies=True),
    "another engine, no folder": Variant(rules=LEAVE, has_disk=False, copies=True, names_store=True),
}
