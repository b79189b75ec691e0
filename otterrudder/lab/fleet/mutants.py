"""Mutants of the fleet's parts, each with one thing left out that the design rests on: the model search has
to find every one of them. Where each shows is in `seeded_faults.py`."""

import math
from dataclasses import replace

from otterrudder.fleet.change import count_votes, finish_change
from otterrudder.fleet.effects import Commit, Effect, Lane, Outcome, SaveState
from otterrudder.fleet.member import Member
from otterrudder.fleet.member.registration import Registration
from otterrudder.fleet.member.store_trust import StoreTrust
from otterrudder.fleet.member.voting import Voting
from otterrudder.fleet.records import FleetSnapshot, MemberStatus
from otterrudder.fleet.state import AdmissionStatus, ObservedState, Policy, PreparedVote
from otterrudder.fleet.store import CommitResult, LeaseResult, Snapshot

# Admission.


class UsesClockOfLastAnswer(Member):
    """Goes by the time when it last heard the store: a frozen process wakes and admits."""

    def admission_status(self, now: float) -> AdmissionStatus:
        """By the time of the last answer."""
        return super().admission_status(min(now, self.__dict__.get("heard_at", now)))

    def handle_result(self, now: float, effect: Effect, sent: float, outcome: Outcome) -> None:
        """Notes the time."""
        if effect.lane is Lane.STORE and outcome is not None:
            self.__dict__["heard_at"] = now
        super().handle_result(now, effect, sent, outcome)


class CountsBoundFromAnswer(Member):
    """Counts the bound from when an answer came, not from when its question was sent."""

    def handle_result(self, now: float, effect: Effect, sent: float, outcome: Outcome) -> None:
        """As if it was sent now."""
        super().handle_result(now, effect, now, outcome)


class NeverSuspends(Member):
    """Has voted and serves on, for as long as it hears nothing."""

    def admission_status(self, now: float) -> AdmissionStatus:
        """Without OUTCOME_UNKNOWN."""
        status = super().admission_status(now)
        return AdmissionStatus.PREPARED if status is AdmissionStatus.OUTCOME_UNKNOWN else status


class ServesWithoutLease(Member):
    """Serves on without a lease where others may leave it out."""

    def admission_status(self, now: float) -> AdmissionStatus:
        """Without LEASE_EXPIRED."""
        status = super().admission_status(now)
        return AdmissionStatus.SERVING if status is AdmissionStatus.LEASE_EXPIRED else status


class SyncsBeforeRegistration(Member):
    """Admits by what it read before it had registered."""

    def _accept(self, now: float, sent: float, snapshot: FleetSnapshot) -> None:
        super()._accept(now, sent, snapshot)
        if self.observed:
            self.registration.has_synced = not self.registration.is_name_unavailable(self.observed)


class AppliesBeforeCommit(Member):
    """Goes over to a change as soon as it has accepted it."""

    def _vote(self, now: float, observed: ObservedState) -> Commit | None:
        commit = super()._vote(now, observed)
        if commit and self.prepared_vote and (change := observed.open):
            self.policies.applied_policy = Policy(change.version, change.id, change.digest)
        return commit


# The state directory.


class VotesBeforeSave(Member):
    """Votes though its prepared vote was not written: the directory then says that there is none."""

    def _vote(self, now: float, observed: ObservedState) -> Commit | None:
        state = self.local_state
        has_disk, error = state.has_disk, state.error
        state.has_disk, state.error = False, ""
        commit = super()._vote(now, observed)
        state.has_disk, state.error = has_disk, error
        return commit

    def _handle_save_result(self, now: float, effect: SaveState, outcome: Outcome) -> None:
        prepared_vote = self.prepared_vote
        super()._handle_save_result(now, effect, outcome)
        self.voting.prepared_vote = prepared_vote


class TrustsAnyDirectory(Member):
    """Starts by its state directory, whatever it has voted."""

    def _may_trust_directory(self) -> bool:
        self.voting.prepared_vote = None
        return self.rules.starts_from_directory and self.registration.joined


class TrustsItsFile(Member):
    """Starts by its state directory because its file says `wait` now, whatever the roster says."""

    def _may_trust_directory(self) -> bool:
        is_joined = self.rules.starts_from_directory and self.registration.joined
        return is_joined and self.prepared_vote is None


class _ForgetfulVoting(Voting):
    def update(self, sent: float, observed: ObservedState, is_up_to_date: bool) -> None:
        """The vote ends with its change."""
        change = observed.open
        if not change or self.prepared_vote != PreparedVote(change.id, change.created):
            self.prepared_vote = None
        super().update(sent, observed, is_up_to_date)


class ForgetsPreparedVote(Member):
    """Drops a prepared vote once the change has ended, before it has what is in force since."""

    voting_type = _ForgetfulVoting


# Votes.


class VotesForAnyChange(Member):
    """Its vote names no change: one that is late counts in the next."""

    def _vote(self, now: float, observed: ObservedState) -> Commit | None:
        return _without_compare(super()._vote(now, observed), self.keys.change)


class VotesForAnyIncarnation(Member):
    """Its vote names no process: one sent before a crash counts after it."""

    def _vote(self, now: float, observed: ObservedState) -> Commit | None:
        return _without_compare(super()._vote(now, observed), self.keys.status(self.name))


# Registration.


class RetainsSyncWithoutLease(Member):
    """After its lease has lapsed it trusts, once it has one again, what it read before."""

    def lose_registration(self) -> None:
        """But keeps what it knew."""
        has_synced, until = self.registration.has_synced, self.registration.lease_until
        super().lose_registration()
        self.registration.has_synced, self.registration.lease_until = has_synced, until


class TrustsLateRead(Member):
    """A read that was sent before its lease was lost, and comes after, counts as synced."""

    def lose_registration(self) -> None:
        """But takes the read under way."""
        super().lose_registration()
        self.reads.is_discarded = False


class _SilentRegistration(Registration):
    def commit(self, observed: ObservedState, status: MemberStatus) -> Commit:
        """Without the key that whoever counts compares."""
        commit = super().commit(observed, status)
        joined = self.identity.keys.joined
        return replace(commit, writes=tuple(write for write in commit.writes if write.key != joined))


class RegistersSilently(Member):
    """Registers unseen by who counts the votes: whoever has counted without it commits."""

    registration_type = _SilentRegistration


class _GreedyRegistration(Registration):
    def is_foreign(self, observed: ObservedState) -> bool:
        """No name is."""
        return False


class TakesForeignNames(Member):
    """Takes a name whose lease has lapsed, though its holder may serve on, cut off."""

    registration_type = _GreedyRegistration


class _SharedRegistration(_GreedyRegistration):
    def is_name_taken(self, observed: ObservedState) -> bool:
        """No name is."""
        return False

    def update(self, observed: ObservedState) -> bool:
        """Whoever has it, it counts as synced."""
        is_lost = super().update(observed)
        self.has_synced = True
        return is_lost


class SharesItsName(Member):
    """Serves under a name that another process has."""

    registration_type = _SharedRegistration


# The store.


class TrustsAnyStore(StoreTrust):
    """Of an engine that went back to an older state as well."""

    def check_snapshot(self, snapshot: FleetSnapshot, version: int, change: str) -> str:
        """Nothing is wrong."""
        return ""

    def trusts(self, result: CommitResult | LeaseResult) -> bool:
        """Always."""
        return True


class AcceptsAnyStore(Member):
    """Trusts an engine that went back to an older state."""

    trust_type = TrustsAnyStore


class _TrustsAnyLease(StoreTrust):
    def trusts(self, result: CommitResult | LeaseResult) -> bool:
        """Every lease."""
        return isinstance(result, LeaseResult) or super().trusts(result)


class AcceptsAnyLease(Member):
    """Takes its lease to live because some engine says so."""

    trust_type = _TrustsAnyLease


class NeverReadsAgain(Member):
    """Reads upon a watch event, and never by itself."""

    def _next_read(self) -> float:
        return math.inf

    def _handle_read_result(self, now: float, sent: float, raw: Snapshot) -> None:
        super()._handle_read_result(now, sent, raw)
        self.reads.is_stale = False


def _without_compare(commit: Commit | None, key: str) -> Commit | None:
    if commit is None:
        return None
    return replace(commit, compares=tuple(compare for compare in commit.compares if compare.key != key))


# Ends of a change.


def finish_by_majority(snapshot: FleetSnapshot, is_late: bool) -> Commit | None:
    """Commits once more members have accepted than are pending."""
    votes = count_votes(snapshot)
    if (
        snapshot.change
        and not votes.rejections
        and votes.pending
        and len(votes.accepted) >= len(votes.pending)
    ):
        return finish_change(_without_keys(snapshot, set(map(snapshot.keys.roster, votes.pending))), is_late)
    return finish_change(snapshot, is_late)


def finish_without_compares(snapshot: FleetSnapshot, is_late: bool) -> Commit | None:
    """Commits without comparing what was read."""
    commit = finish_change(snapshot, is_late)
    return commit and replace(commit, compares=())


def finish_despite_rejections(snapshot: FleetSnapshot, is_late: bool) -> Commit | None:
    """Takes no rejection into account."""
    rejecting = {name for name, vote in snapshot.votes.items() if not vote.accepted}
    keys = snapshot.keys
    hidden = {*map(keys.vote, rejecting), *map(keys.roster, rejecting)}
    return finish_change(_without_keys(snapshot, hidden), is_late)


def finish_without_absent(snapshot: FleetSnapshot, is_late: bool) -> Commit | None:
    """Leaves out whoever is not registered, whatever its rule."""
    absent = {name for name in snapshot.rosters if name not in snapshot.statuses}
    return finish_change(_without_keys(snapshot, set(map(snapshot.keys.roster, absent))), is_late)


def _without_keys(snapshot: FleetSnapshot, keys: set[str]) -> FleetSnapshot:
    entries = {key: entry for key, entry in snapshot.raw.entries.items() if key not in keys}
    return FleetSnapshot(snapshot.keys, snapshot.raw._replace(entries=entries))
