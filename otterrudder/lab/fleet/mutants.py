"""Mutants of the fleet's parts, each without one rule on which the design depends.

The model search has to find all of them. `seeded_faults.py` says where each shows."""

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
    """Uses the time of the last answer of the store, so that after a freeze it still admits."""

    def admission_status(self, now: float) -> AdmissionStatus:
        """Returns the status at the time of the last answer."""
        return super().admission_status(min(now, self.__dict__.get("heard_at", now)))

    def handle_result(self, now: float, effect: Effect, sent: float, outcome: Outcome) -> None:
        """Records the time of an answer, and handles it."""
        if effect.lane is Lane.STORE and outcome is not None:
            self.__dict__["heard_at"] = now
        super().handle_result(now, effect, sent, outcome)


class CountsBoundFromAnswer(Member):
    """Counts the bound from the arrival of an answer, not from the request."""

    def handle_result(self, now: float, effect: Effect, sent: float, outcome: Outcome) -> None:
        """Handles the result as if the request had been sent now."""
        super().handle_result(now, effect, now, outcome)


class NeverSuspends(Member):
    """Continues to serve after its vote for as long as it gets no answer from the store."""

    def admission_status(self, now: float) -> AdmissionStatus:
        """Returns PREPARED instead of OUTCOME_UNKNOWN."""
        status = super().admission_status(now)
        return AdmissionStatus.PREPARED if status is AdmissionStatus.OUTCOME_UNKNOWN else status


class ServesWithoutLease(Member):
    """Continues to serve without a lease under the rule that lets others leave it out."""

    def admission_status(self, now: float) -> AdmissionStatus:
        """Returns SERVING instead of LEASE_EXPIRED."""
        status = super().admission_status(now)
        return AdmissionStatus.SERVING if status is AdmissionStatus.LEASE_EXPIRED else status


class SyncsBeforeRegistration(Member):
    """Admits on the basis of a read before its registration."""

    def _accept(self, now: float, sent: float, snapshot: FleetSnapshot) -> None:
        super()._accept(now, sent, snapshot)
        if self.observed:
            self.registration.has_synced = not self.registration.is_name_unavailable(self.observed)


class AppliesBeforeCommit(Member):
    """Applies a change as soon as it has accepted it, before the commit."""

    def _vote(self, now: float, observed: ObservedState) -> Commit | None:
        commit = super()._vote(now, observed)
        if commit and self.prepared_vote and (change := observed.open):
            self.policies.applied_policy = Policy(change.version, change.id, change.digest)
        return commit


# The state directory.


class VotesBeforeSave(Member):
    """Votes before its prepared vote is saved, so that the state directory does not contain the vote."""

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
    """Trusts its state directory at the start, even after a vote."""

    def _may_trust_directory(self) -> bool:
        self.voting.prepared_vote = None
        return self.rules.starts_from_directory and self.registration.joined


class TrustsFileRule(Member):
    """Trusts its state directory because its file now says `wait`, even if the roster says otherwise."""

    def _may_trust_directory(self) -> bool:
        is_joined = self.rules.starts_from_directory and self.registration.joined
        return is_joined and self.prepared_vote is None


class _VotingWithoutMemory(Voting):
    def update(self, sent: float, observed: ObservedState, is_up_to_date: bool) -> None:
        """Drops the prepared vote as soon as its change is no longer open."""
        change = observed.open
        if not change or self.prepared_vote != PreparedVote(change.id, change.created):
            self.prepared_vote = None
        super().update(sent, observed, is_up_to_date)


class ForgetsPreparedVote(Member):
    """Drops a prepared vote as soon as the change has ended, before it has read the version now in force."""

    voting_type = _VotingWithoutMemory


# Votes.


class VotesForAnyChange(Member):
    """Votes without comparing the change, so that a late vote counts for the next change."""

    def _vote(self, now: float, observed: ObservedState) -> Commit | None:
        return _without_compare(super()._vote(now, observed), self.keys.change)


class VotesForAnyIncarnation(Member):
    """Votes without comparing the process, so that a vote sent before a crash counts after it."""

    def _vote(self, now: float, observed: ObservedState) -> Commit | None:
        return _without_compare(super()._vote(now, observed), self.keys.status(self.name))


# Registration.


class RetainsSyncWithoutLease(Member):
    """Trusts reads from before the end of its lease after it has registered again."""

    def lose_registration(self) -> None:
        """Loses the registration, but stays synchronized."""
        has_synced, until = self.registration.has_synced, self.registration.lease_until
        super().lose_registration()
        self.registration.has_synced, self.registration.lease_until = has_synced, until


class TrustsLateRead(Member):
    """Accepts a read that was sent before the loss of its lease and answered after it."""

    def lose_registration(self) -> None:
        """Loses the registration, but accepts the read in progress."""
        super().lose_registration()
        self.reads.is_discarded = False


class _UncountedRegistration(Registration):
    def commit(self, observed: ObservedState, status: MemberStatus) -> Commit:
        """Returns the registration without the key that the count of votes compares."""
        commit = super().commit(observed, status)
        joined = self.identity.keys.joined
        return replace(commit, writes=tuple(write for write in commit.writes if write.key != joined))


class RegistersUncounted(Member):
    """Registers without invalidating a count of votes, so that a count without this member still commits."""

    registration_type = _UncountedRegistration


class _UncheckedRegistration(Registration):
    def is_foreign(self, observed: ObservedState) -> bool:
        """Returns False for every name."""
        return False


class TakesForeignNames(Member):
    """Takes a name whose lease has expired, although its holder may still serve without a connection."""

    registration_type = _UncheckedRegistration


class _SharedRegistration(_UncheckedRegistration):
    def is_name_taken(self, observed: ObservedState) -> bool:
        """Returns False for every name."""
        return False

    def update(self, observed: ObservedState) -> bool:
        """Updates the registration, and treats it as synchronized regardless of its holder."""
        is_lost = super().update(observed)
        self.has_synced = True
        return is_lost


class SharesName(Member):
    """Serves under a name that another process holds."""

    registration_type = _SharedRegistration


# The store.


class TrustsAnyStore(StoreTrust):
    """Trusts every engine, also one that has been restored to an older state."""

    def check_snapshot(self, snapshot: FleetSnapshot, version: int, change: str) -> str:
        """Returns no reason for distrust."""
        return ""

    def trusts(self, result: CommitResult | LeaseResult) -> bool:
        """Returns True for every result."""
        return True


class AcceptsAnyStore(Member):
    """Trusts an engine that has been restored to an older state."""

    trust_type = TrustsAnyStore


class _TrustsAnyLease(StoreTrust):
    def trusts(self, result: CommitResult | LeaseResult) -> bool:
        """Returns True for every lease."""
        return isinstance(result, LeaseResult) or super().trusts(result)


class AcceptsAnyLease(Member):
    """Accepts the confirmation of its lease by any engine."""

    trust_type = _TrustsAnyLease


class NeverReadsAgain(Member):
    """Reads only after watch events, and never periodically."""

    def _next_read(self) -> float:
        return math.inf

    def _handle_read_result(self, now: float, sent: float, raw: Snapshot) -> None:
        super()._handle_read_result(now, sent, raw)
        self.reads.is_stale = False


def _without_compare(commit: Commit | None, key: str) -> Commit | None:
    if commit is None:
        return None
    return replace(commit, compares=tuple(compare for compare in commit.compares if compare.key != key))


# Completion of a change.


def finish_by_majority(snapshot: FleetSnapshot, is_late: bool) -> Commit | None:
    """Commits when at least as many members have accepted as are pending."""
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
    """Commits without comparing the keys that were read."""
    commit = finish_change(snapshot, is_late)
    return commit and replace(commit, compares=())


def finish_despite_rejections(snapshot: FleetSnapshot, is_late: bool) -> Commit | None:
    """Commits without regard to rejections."""
    rejecting = {name for name, vote in snapshot.votes.items() if not vote.accepted}
    keys = snapshot.keys
    hidden = {*map(keys.vote, rejecting), *map(keys.roster, rejecting)}
    return finish_change(_without_keys(snapshot, hidden), is_late)


def finish_without_absent(snapshot: FleetSnapshot, is_late: bool) -> Commit | None:
    """Leaves out all members that are not registered, regardless of their rules."""
    absent = {name for name in snapshot.rosters if name not in snapshot.statuses}
    return finish_change(_without_keys(snapshot, set(map(snapshot.keys.roster, absent))), is_late)


def _without_keys(snapshot: FleetSnapshot, keys: set[str]) -> FleetSnapshot:
    entries = {key: entry for key, entry in snapshot.raw.entries.items() if key not in keys}
    return FleetSnapshot(snapshot.keys, snapshot.raw._replace(entries=entries))
