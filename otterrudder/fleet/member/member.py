"""The state machine of a member: passes each result to the part that it concerns, and derives the effects
that are due from the state of the parts. The package's docstring states the rules that a member follows."""

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
    """One member of the fleet. Takes results and times, and returns effects."""

    __slots__ = ()

    # Events.

    def handle_watch_event(self) -> None:
        """Schedules a read, because the store has changed or a watch has started."""
        self.reads.is_stale = True

    def handle_result(self, now: float, effect: Effect, sent: float, outcome: Outcome) -> None:
        """Handles the outcome of an effect that was started at `sent`."""
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
        """Returns why this server rejects the text, or "" if it accepts it. Returns None if this was not the
        text validated last."""
        return self.policies.documents.result_for(digest)

    def discard_validation(self) -> None:
        """Discards the last validation, which may be out of date, and withdraws a vote based on it that has
        not been sent."""
        self.policies.documents = self.policies.documents.without_result()
        self.voting.withdraw_unsent()

    # Effects.

    def effects(self, now: float) -> list[Effect]:
        """Returns the effects to start now. The caller must pass the outcome of each to `handle_result`."""
        # The store comes first: a vote that it prepares makes the validation or the save due.
        store, disk = self._store_effect(now), self._disk_effect(now)
        validation, lease = self._validation_effect(), self._lease_effect(now)
        candidates = [store, validation, disk, lease, self._report_effect(now)]
        due = [effect for effect in candidates if effect]
        self._busy |= {effect.lane for effect in due}
        if any(effect.lane is Lane.STORE for effect in due):
            self.trust.begin_request()
        return due

    def due(self) -> float:
        """Returns the earliest time at which `effects` may return something without a new event; -inf means
        now."""
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
        """Returns the times at which requests to the store are due."""
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
        """Returns the next request to the store, if any: a read that is due, a registration or a vote. Only
        one request is in flight at a time."""
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
        if self.reads.is_stale and may_read:  # `_vote` found that a text has to be read
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
            names.append(keys.opening)  # if a change has been opened, its text is read at once
        return Read(tuple(names))

    def _next_read(self) -> float:
        """Returns when the next read is due without a watch event."""
        read_at, rules = self.reads.read_at, self.rules
        if self.prepared_vote:
            return read_at + rules.bound_ms * POLL_SHARE
        if self.policies.documents.missing:
            return read_at + MAX_RETRY_MS
        if self.observed and self.registration.is_name_unavailable(self.observed) or self.distrust_reason:
            return read_at + rules.lease_ms * RENEW_SHARE
        return read_at + rules.lease_ms  # a watch may have stopped without an error

    def _handle_store_result(self, now: float, sent: float, outcome: Outcome) -> None:
        """Handles the outcome of a read, a registration or a vote."""
        if isinstance(outcome, Snapshot):
            self._handle_read_result(now, sent, outcome)
            return
        self.reads.is_stale = True  # the store is read to find out what took effect
        if outcome is None or isinstance(outcome, CommitResult) and not outcome.succeeded:
            self._schedule_retry(now)

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
            self._schedule_retry(now)
        else:
            self.reads.succeed(now)

    def _accept(self, now: float, sent: float, snapshot: FleetSnapshot) -> None:
        """Updates the member from a trusted read."""
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
            self.reporter.schedule(now, has_news, self._jitter)

    def _observe(self, snapshot: FleetSnapshot) -> ObservedState:
        """Returns the part of the snapshot that concerns this member."""
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

    def _schedule_retry(self, now: float) -> None:
        """Schedules a retry after a failed request to the store. While a vote is prepared, the retry comes
        early enough for bound_ms."""
        max_wait_ms = MAX_RETRY_MS
        if self.prepared_vote:
            max_wait_ms = min(max_wait_ms, self.rules.bound_ms * POLL_SHARE)
        self.reads.fail(now, max_wait_ms, self._jitter)

    # Registration and lease.

    def _register(self, now: float, observed: ObservedState) -> Commit | None:
        if not self._may_register() or now < self.registration.register_not_before:
            return None
        status = self.reporter.status(self.applied_policy, (0, REGISTERING), None)
        return self.registration.commit(observed, status)

    def _may_register(self) -> bool:
        """Whether the member may register: its name is available, it has a lease, and the state directory
        does not still say that changes wait for the member although its rules have changed."""
        is_available = self.observed is not None and not self.registration.is_name_unavailable(self.observed)
        has_outdated_wait = not self.registration.waits_for_member and self.local_state.has_saved_wait()
        return is_available and self.lease > 0 and not self.reads.is_stale and not has_outdated_wait

    def lose_registration(self) -> None:
        """Handles the loss of the lease or of the status key. The store has to be read again before the
        member does anything else."""
        self.registration.handle_loss()
        self.reads.is_stale = True
        self.voting.vote_priority_until = -math.inf
        # The result of a read that was sent before would still show the lost registration.
        self.reads.is_discarded = Lane.STORE in self._busy
        if self.rules.is_shared:
            # The store answers again, and all servers of the cell wait for the registration.
            self.reads.retry_at = -math.inf

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

    # Voting and validation.

    def _change_to_vote_on(self) -> OpenChange | None:
        """Returns the open change, as last read, if this member is registered and has not voted on it."""
        if not self.registered or not self.observed or self.observed.voted is not None:
            return None
        return self.observed.open

    def _may_vote_next(self, now: float) -> bool:
        """Whether the member has an outstanding vote and has read everything that the vote needs."""
        change = self._change_to_vote_on()
        if not change or self.policies.is_outdated() or now < self.voting.abstains_until:
            return False
        return self.validation_result(change.digest) is not None or self.policies.has_text(change)

    def _vote(self, now: float, observed: ObservedState) -> Commit | None:
        """Returns the outstanding vote if it is ready to be sent, or None."""
        voting, change = self.voting, observed.open
        voting.is_abstaining = False
        if not change or observed.voted is not None:
            return None
        # Even if an earlier process has prepared a vote, which binds admission, the vote that is sent states
        # the result of the current validation.
        rejection = self._rejection_of(change)
        if rejection is None:
            return None
        voting.is_abstaining = now < voting.abstains_until
        if voting.is_abstaining:
            return None
        if not rejection:
            voting.prepare(change)
            if self.local_state.is_dirty(self._state()):
                return None  # the prepared vote has to be on disk first
            voting.mark_sent(now)
        ballot = Vote(not rejection, rejection, self.identity.incarnation)
        return commits.vote(self.keys, self.name, change, self.registered, ballot)

    def _rejection_of(self, change: OpenChange) -> str | None:
        """Returns why the change is rejected, or "" if it is accepted. Returns None if the text has to be
        read or validated first."""
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
            self.voting.withdraw_unsent()  # the member will reject the change instead

    # Status reports for operators.

    def _may_report(self) -> bool:
        """Whether a report may be sent. An outstanding vote goes first, because all other members wait for
        it."""
        return self._change_to_vote_on() is None

    def _current_report(self, now: float) -> tuple[int, str]:
        """Returns the version of the applied policy and the label of the published status."""
        status = self.admission_status(now)
        shown = AdmissionStatus.SERVING if status.admits else status
        return self.applied_policy.version, shown.label

    def _report_effect(self, now: float) -> Commit | None:
        is_due = self.registered and now >= self.reporter.report_at
        if Lane.REPORT_STATUS in self._busy or not is_due or not self._may_report():
            return None
        current = self._current_report(now)
        trial = self.observed.trial if self.observed else None
        self.reporter.begin(now, current, trial, self._jitter)
        status = self.reporter.status(self.applied_policy, current, trial)
        return commits.report_status(self.keys, self.name, status, self.registered, self.lease)

    def _handle_report_result(self, now: float, outcome: Outcome) -> None:
        """Handles the outcome of a report. A report without an answer is repeated; if the commit failed, the
        store is read, because the registration may be lost."""
        if outcome is None:
            self.reporter.report_at = min(self.reporter.report_at, now + MAX_RETRY_MS)
        elif isinstance(outcome, CommitResult) and not outcome.succeeded:
            self.reads.is_stale = True

    def _jitter(self, purpose: str) -> float:
        """Returns a number from 0 to 1 that differs between members, processes and failures. It is a hash
        instead of a random number, because the member is pure."""
        seed = (
            f"{self.name}/{self.identity.incarnation}/{purpose}/{self.reads.failures}/{self.trust.revision}"
        )
        return zlib.crc32(seed.encode()) / 2**32
