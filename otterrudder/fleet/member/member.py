"""What a member does: each result goes to the part that it concerns, and from what the parts know follow the
effects that are due. The rules that this keeps are in the package's docstring."""

import math
import zlib

from otterrudder.fleet import commits
from otterrudder.fleet.effects import Commit, Effect, Lane, Outcome, Read, SaveState, ValidatePolicy
from otterrudder.fleet.member.parts import MemberParts
from otterrudder.fleet.member.read_schedule import MAX_RETRY_MS, POLL_SHARE
from otterrudder.fleet.member.registration import RENEW_SHARE
from otterrudder.fleet.member.status_reporter import REGISTERING
from otterrudder.fleet.member.voting import VOTE_PRIORITY_MS
from otterrudder.fleet.records import FleetSnapshot, InvalidRecordError, Vote
from otterrudder.fleet.state import AdmissionStatus, ObservedState, OpenChange
from otterrudder.fleet.store import CommitResult, LeaseResult, Snapshot


class Member(MemberParts):
    """One member of the fleet: results and times in, effects out."""

    __slots__ = ()

    # Events.

    def handle_watch_event(self) -> None:
        """Something changed in the store, or a watch was begun: it is read."""
        self.reads.is_stale = True

    def handle_result(self, now: float, effect: Effect, sent: float, outcome: Outcome) -> None:
        """How an effect ended; `sent`: when it was begun."""
        self._busy -= {effect.lane}
        if effect.lane is Lane.REPORT_STATUS:
            self._handle_report_result(now, outcome)
            return
        is_discarded = effect.lane is Lane.STORE and self.reads.take_discarded()
        if isinstance(outcome, Snapshot | CommitResult | LeaseResult):
            self.answered_at = now
        if isinstance(outcome, CommitResult | LeaseResult) and not self.trust.trusts(outcome):
            outcome, self.reads.is_stale = None, True
        if isinstance(effect, SaveState):
            self._handle_save_result(now, effect, outcome)
        elif isinstance(effect, ValidatePolicy):
            self._handle_validation_result(effect, outcome)
        elif effect.lane is Lane.LEASE:
            self._handle_lease_result(now, sent, outcome)
        elif is_discarded:
            self.reads.is_stale = True
        else:
            self._handle_store_result(now, sent, outcome)

    def validation_result(self, digest: str) -> str | None:
        """What is wrong with that text, "" if nothing; None: it was not validated last."""
        return self.policies.documents.result_for(digest)

    def discard_validation(self) -> None:
        """The last validation may no longer be right: no vote goes by it, and a vote not sent is
        withdrawn."""
        self.policies.documents = self.policies.documents.without_result()
        self.voting.withdraw_unsent()

    # What it asks for.

    def effects(self, now: float) -> list[Effect]:
        """What is to be begun now; each owes `handle_result` one outcome. A vote needs a validation and a
        save."""
        store, disk = self._store_effect(now), self._disk_effect(now)
        validation, lease = self._validation_effect(), self._lease_effect(now)
        found = [store, validation, disk, lease, self._report_effect(now)]
        begun = [effect for effect in found if effect]
        self._busy |= {effect.lane for effect in begun}
        if any(effect.lane is Lane.STORE for effect in begun):
            self.trust.begin_request()
        return begun

    def due(self) -> float:
        """When `effects` may next return something by itself; -inf: now."""
        times = [math.inf]
        if Lane.STORE not in self._busy:
            times += self._store_times()
        if Lane.LEASE not in self._busy and self.registration.may_lease(self.observed):
            times.append(self.registration.renew_at)
        if self._validation_effect():
            times.append(-math.inf)
        if Lane.DISK not in self._busy and self.local_state.must_save(self._state()):
            times.append(self.local_state.save_at)
        if Lane.REPORT_STATUS not in self._busy and self.registered and self._may_report():
            times.append(self.reporter.report_at)
        return min(times)

    def _store_times(self) -> list[float]:
        """When requests to the store are due."""
        reads, voting = self.reads, self.voting
        read_at = reads.retry_at if reads.is_stale else self._next_read()
        times = [max(read_at, voting.vote_priority_until)]
        if not self.registered and self._may_register():
            times.append(max(self.registration.register_not_before, reads.retry_at))
        if self.registered and voting.is_abstaining:
            times.append(max(voting.abstains_until, reads.retry_at))
        return times

    # Reads of the store.

    def _store_effect(self, now: float) -> Effect | None:
        """One request at a time: a read that is due, a registration, a vote."""
        if Lane.STORE in self._busy or now < self.reads.retry_at:
            return None
        may_read = now >= self.voting.vote_priority_until
        if may_read and (self.reads.is_stale or now >= self._next_read()):
            return self._read(now)
        observed, registration = self.observed, self.registration
        if not observed or registration.is_name_unavailable(observed):
            return None
        if not self.registered:
            return self._register(now, observed)
        return self._vote_or_read(now, observed, may_read)

    def _vote_or_read(self, now: float, observed: ObservedState, may_read: bool) -> Effect | None:
        if vote := self._vote(now, observed):
            self.voting.vote_priority_until = -math.inf
            return vote
        if self.reads.is_stale and may_read:  # a text is missing
            return self._read(now)
        return None

    def _read(self, now: float) -> Read:
        self.reads.begin_read(now)
        keys, name = self.keys, self.name
        change = self._change_to_vote_on()
        self.policies.ask_for_text(change)
        names = [keys.head, keys.roster(name), keys.status(name), keys.vote(name)]
        if missing := self.policies.documents.missing:
            names.append(keys.text(missing))
        is_ready = change is not None and not self.voting.binds() and self.policies.has_text(change)
        if self.registered and not is_ready:
            names.append(keys.opening)  # a change may have been opened: its text comes with it
        return Read(tuple(names))

    def _next_read(self) -> float:
        """When it reads without a watch event."""
        read_at, rules = self.reads.read_at, self.rules
        if self.prepared_vote:
            return read_at + rules.bound_ms * POLL_SHARE
        if self.policies.documents.missing:
            return read_at + MAX_RETRY_MS
        if self.observed and self.registration.is_name_unavailable(self.observed) or self.distrust_reason:
            return read_at + rules.lease_ms * RENEW_SHARE
        return read_at + rules.lease_ms  # a watch may be dead and not know it

    def _handle_store_result(self, now: float, sent: float, outcome: Outcome) -> None:
        """Of a read, a registration or a vote."""
        if isinstance(outcome, Snapshot):
            self._handle_read_result(now, sent, outcome)
            return
        self.reads.is_stale = True  # whatever took effect: what is so now is read
        if outcome is None or isinstance(outcome, CommitResult) and not outcome.succeeded:
            self._fail(now)

    def _handle_read_result(self, now: float, sent: float, raw: Snapshot) -> None:
        snapshot = FleetSnapshot(self.keys, raw)
        try:
            self.trust.distrust_reason = self.trust.check_snapshot(
                snapshot, self.policies.newest_version, self.policies.newest_change
            )
            if not self.distrust_reason:
                self._accept(now, sent, snapshot)
        except InvalidRecordError as error:
            self.trust.distrust_reason = str(error)
        if self.distrust_reason:
            self._fail(now)
        else:
            self.reads.succeed(now)

    def _accept(self, now: float, sent: float, snapshot: FleetSnapshot) -> None:
        """A read that is trusted."""
        raw = snapshot.raw
        self.trust.accept(raw.cluster, raw.revision)
        self.observed = observed = self._observe(snapshot)
        registration = self.registration
        if registration.update(observed):
            self.lose_registration()
        must_read = self.policies.update(snapshot, observed.open)
        if must_read is not None:
            self.reads.is_stale = must_read
        self.voting.update(sent, observed, self.policies.is_up_to_date())
        if self.registered and observed.revision >= self.registered:
            registration.has_synced = True
        registration.is_leader = self.registered > 0 and snapshot.leader == self.name
        self.voting.vote_priority_until = now + VOTE_PRIORITY_MS if self._may_vote_next(now) else -math.inf
        if self.registered:
            has_news = self._current_report(now) != self.reporter.reported or observed.trial is not None
            self.reporter.schedule(now, has_news, self._draw)

    def _observe(self, snapshot: FleetSnapshot) -> ObservedState:
        """What the read shows of what concerns this member."""
        keys, name, raw, change = self.keys, self.name, snapshot.raw, snapshot.change
        entry = raw.entries.get(keys.change)
        vote = snapshot.vote(name)
        return ObservedState(
            raw.revision,
            OpenChange(change.id, change.version, change.digest, entry.created) if change and entry else None,
            vote.accepted if vote else None,
            snapshot.roster(name),
            raw.modified(keys.roster(name)),
            snapshot.status(name),
            raw.created(keys.status(name)),
            bool(snapshot.leader),
            snapshot.trial,
        )

    def _fail(self, now: float) -> None:
        """A request to the store failed: it is repeated later, in time for the bound while a vote binds."""
        max_wait_ms = MAX_RETRY_MS
        if self.prepared_vote:
            max_wait_ms = min(max_wait_ms, self.rules.bound_ms * POLL_SHARE)
        self.reads.fail(now, max_wait_ms, self._draw)

    # Registration and lease.

    def _register(self, now: float, observed: ObservedState) -> Commit | None:
        if not self._may_register() or now < self.registration.register_not_before:
            return None
        status = self.reporter.status(self.applied_policy, (0, REGISTERING), None)
        return self.registration.commit(observed, status)

    def _may_register(self) -> bool:
        """The name is free, a lease is there, and the state directory does not say what is no longer so."""
        is_free = self.observed is not None and not self.registration.is_name_unavailable(self.observed)
        has_outlived_wait = not self.registration.waits_for_member and self.local_state.has_saved_wait()
        return is_free and self.lease > 0 and not self.reads.is_stale and not has_outlived_wait

    def lose_registration(self) -> None:
        """The lease or the status key is gone: the store is read before anything else counts."""
        self.registration.lose()
        self.reads.is_stale = True
        self.voting.vote_priority_until = -math.inf
        # A read that was sent before, and comes late, would show the registration as it was.
        self.reads.is_discarded = Lane.STORE in self._busy
        if self.rules.is_shared:
            self.reads.retry_at = -math.inf  # the store is back, and all that depend on this name wait for it

    def _lease_effect(self, now: float) -> Effect | None:
        return None if Lane.LEASE in self._busy else self.registration.lease_effect(now, self.observed)

    def _handle_lease_result(self, now: float, sent: float, outcome: Outcome) -> None:
        if outcome is None:
            self.registration.fail_renewal(now, bool(self.distrust_reason))
            return
        assert isinstance(outcome, LeaseResult)
        if not outcome.lease:
            self.lose_registration()
        self.registration.renew(now, sent, outcome.lease)

    # The vote, and the validation that it needs.

    def _change_to_vote_on(self) -> OpenChange | None:
        """The open change, as last seen, where it is registered and has not voted on it."""
        if not self.registered or not self.observed or self.observed.voted is not None:
            return None
        return self.observed.open

    def _may_vote_next(self, now: float) -> bool:
        """Whether nothing more has to be read for the vote that it owes."""
        change = self._change_to_vote_on()
        if not change or self.policies.is_outdated() or now < self.voting.abstains_until:
            return False
        return self.validation_result(change.digest) is not None or self.policies.has_text(change)

    def _vote(self, now: float, observed: ObservedState) -> Commit | None:
        """The vote that is owed and ready to be sent, if any."""
        voting, change = self.voting, observed.open
        voting.is_abstaining = False
        if not change or observed.voted is not None:
            return None
        # A prepared vote of an earlier process binds what is admitted; the vote says what is so now.
        rejection = self._rejection_of(change)
        if rejection is None:
            return None
        voting.is_abstaining = now < voting.abstains_until
        if voting.is_abstaining:
            return None
        if not rejection:
            voting.prepare(change)
            if self.local_state.is_dirty(self._state()):
                return None  # not before the prepared vote is on disk
            voting.mark_sent(now)
        ballot = Vote(not rejection, rejection, self.identity.incarnation)
        return commits.vote(self.keys, self.name, change, self.registered, ballot)

    def _rejection_of(self, change: OpenChange) -> str | None:
        """Why the change is rejected; "": it is accepted; None: the text is read or validated first."""
        if self.local_state.error:
            return f"{self.name}: its folder: {self.local_state.error}"
        rejection = self.policies.review(change)
        if rejection is None and self.policies.documents.missing == change.digest:
            self.reads.is_stale = True
        return rejection

    def _validation_effect(self) -> Effect | None:
        return None if Lane.VALIDATE in self._busy else self.policies.validation_effect()

    def _handle_validation_result(self, effect: ValidatePolicy, outcome: Outcome) -> None:
        rejection = outcome if isinstance(outcome, str) else None
        self.policies.documents = self.policies.documents.with_result(effect.digest, rejection)
        if rejection is not None and self.policies.is_outdated():
            self.reads.is_stale = True

    # The state directory.

    def _disk_effect(self, now: float) -> Effect | None:
        return None if Lane.DISK in self._busy else self.local_state.effect(now, self._state())

    def _handle_save_result(self, now: float, effect: SaveState, outcome: Outcome) -> None:
        if outcome:
            self.local_state.succeed(effect.record)
        else:
            self.local_state.fail(now)
            self.voting.withdraw_unsent()  # nothing was sent: it will be a rejection

    # What it reports for operators.

    def _may_report(self) -> bool:
        """A vote, for which all others wait, goes first."""
        return self._change_to_vote_on() is None

    def _current_report(self, now: float) -> tuple[int, str]:
        """The version that is applied, and the label of the status that others may know."""
        status = self.admission_status(now)
        shown = AdmissionStatus.SERVING if status.admits else status
        return self.applied_policy.version, shown.label

    def _report_effect(self, now: float) -> Commit | None:
        is_due = self.registered and now >= self.reporter.report_at
        if Lane.REPORT_STATUS in self._busy or not is_due or not self._may_report():
            return None
        current = self._current_report(now)
        trial = self.observed.trial if self.observed else None
        self.reporter.begin(now, current, trial, self._draw)
        status = self.reporter.status(self.applied_policy, current, trial)
        return commits.report_status(self.keys, self.name, status, self.registered, self.lease)

    def _handle_report_result(self, now: float, outcome: Outcome) -> None:
        """What did not get through is reported again, if the member is still registered then."""
        if outcome is None:
            self.reporter.report_at = min(self.reporter.report_at, now + MAX_RETRY_MS)
        elif isinstance(outcome, CommitResult) and not outcome.succeeded:
            self.reads.is_stale = True

    def _draw(self, purpose: str) -> float:
        """A number from 0 to 1 that differs between members, processes and failures: no randomness inside."""
        seed = (
            f"{self.name}/{self.identity.incarnation}/{purpose}/{self.reads.failures}/{self.trust.revision}"
        )
        return zlib.crc32(seed.encode()) / 2**32
