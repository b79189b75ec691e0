"""Mutants of a relay, each without one rule of leases, endorsement or validation that the design needs."""

import math
from dataclasses import replace
from typing import Any

from otterrudder.fleet.cell.endorsement import EndorsementCollector, EndorsementGiver
from otterrudder.fleet.cell.messages import Endorsement, EndorsementRequest
from otterrudder.fleet.cell.relay import Relay
from otterrudder.fleet.cell.sessions import Session
from otterrudder.fleet.cell.validation_poll import ValidationCache, ValidationPoll
from otterrudder.fleet.change import ChangeCoordinator
from otterrudder.fleet.effects import ValidatePolicy
from otterrudder.fleet.member import Member
from otterrudder.fleet.member.registration import Registration as MemberRegistration
from otterrudder.fleet.member.store_trust import StoreTrust
from otterrudder.fleet.state import AdmissionStatus
from otterrudder.lab.fleet.mutation import mutated


class MutantRelay(Relay):
    """A relay with mutants of its parts. As it has no __slots__, a mutant may add attributes."""

    member_type: type[Member] = Member
    registration_type: type[MemberRegistration] = MemberRegistration
    trust_type: type[StoreTrust] = StoreTrust
    coordinator_type: type[ChangeCoordinator] = ChangeCoordinator
    collector_type: type[EndorsementCollector] = EndorsementCollector
    giver_type: type[EndorsementGiver] = EndorsementGiver

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.member = mutated(self.member, self.member_type)
        self.member.registration = mutated(self.member.registration, self.registration_type)
        self.member.trust = mutated(self.member.trust, self.trust_type)
        self.coordinator = mutated(self.coordinator, self.coordinator_type)
        self.endorsement_collector = mutated(self.endorsement_collector, self.collector_type)
        self.endorsement_giver = mutated(self.endorsement_giver, self.giver_type)


# Leases.


class GrantsPastAuthority(MutantRelay):
    """Grants a lease of the full span while it has any authority, even past the end of its authority."""

    def authority_until(self, now: float) -> float:
        """Returns infinity if there is any authority."""
        until = super().authority_until(now)
        return math.inf if until > now else until


class GrantsPastBound(MutantRelay):
    """Grants leases that last longer than a change waits for them."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.limits = replace(self.limits, span_ms=2 * self.limits.span_ms)


class GrantsToNewServersAtOnce(MutantRelay):
    """Assumes that a change that was open at the last read is still open."""

    def _may_have_missed_commit(self, session: Session) -> bool:
        return False


# Endorsement.


class _AnyEndorsement(EndorsementCollector):
    __slots__ = ()

    def until(self) -> float:
        return max(self._endorsed_until.values(), default=-math.inf)


class TrustsOneEndorsement(MutantRelay):
    """Continues as soon as one other relay has endorsed it, instead of all."""

    collector_type = _AnyEndorsement


class _EndorsesAsLeader(EndorsementGiver):
    __slots__ = ()

    def answer(
        self, now: float, request: EndorsementRequest, *, leads: bool, store_answers: bool
    ) -> Endorsement:
        return super().answer(now, request, leads=False, store_answers=store_answers)


class EndorsesWhileItLeads(MutantRelay):
    """Endorses another relay while it is the leader."""

    giver_type = _EndorsesAsLeader


class ForgetsEndorsementAtRestart(MutantRelay):
    """Starts as if no earlier process of the relay could have endorsed."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.endorsement_giver.until = -math.inf
        self.member.voting.abstains_until = -math.inf
        self.member.registration.register_not_before = -math.inf


class VotesThoughItEndorsed(MutantRelay):
    """Votes although it has endorsed another relay; it only grants no leases."""

    def _abstain(self) -> None:
        return


class GrantsThoughItEndorsed(MutantRelay):
    """Grants leases although it has endorsed another relay; it only does not vote."""

    def _abstain(self) -> None:
        self._abstain_until(self.endorsement_giver.until)

    def authority_until(self, now: float) -> float:
        """Returns the authority of the member, regardless of endorsements."""
        return -math.inf if self._is_shutting_down else self.member.authority_until(now)


class _EndorsedUnderAnyRule(MemberRegistration):
    def valid_until(self) -> float:
        return max(self.lease_until, self.endorsed_until)


class EndorsementUnderLeaveOut(MutantRelay):
    """Continues with the endorsement of the others under the rule that lets a change leave the cell out."""

    registration_type = _EndorsedUnderAnyRule

    def _may_need_endorsements(self) -> bool:
        return self.leads()


class _ContinuesWithoutLease(Member):
    def admission_status(self, now: float) -> AdmissionStatus:
        admission_status = super().admission_status(now)
        return (
            AdmissionStatus.SERVING if admission_status is AdmissionStatus.LEASE_EXPIRED else admission_status
        )

    def authority_until(self, now: float) -> float:
        until = super().authority_until(now)
        return math.inf if until == self.registration.valid_until() else until


class GrantsWithoutLease(MutantRelay):
    """Continues under `wait` without a lease, which is correct only if no other process shares its name."""

    member_type = _ContinuesWithoutLease


class RequestsEndorsementTooLate(MutantRelay):
    """Requests endorsements 1 s after its lease has ended."""

    def _endorsements_needed_at(self) -> float:
        return self.member.registration.lease_until + 1000.0


# Validation and votes.


class VotesWithoutValidation(MutantRelay):
    """Accepts a change without validation by its servers."""

    def _start_validation(self, now: float, task: ValidatePolicy) -> None:
        self.member.handle_result(now, task, now, "")
        self._collect_store_effects(now)

    def _review_validation(self, now: float) -> None:
        return


class _AcceptingCache(ValidationCache):
    __slots__ = ()

    def put(self, fingerprint: str, digest: str, rejection: str) -> None:
        super().put(fingerprint, digest, "")


class _AcceptingPoll(ValidationPoll):
    def handle_result(self, fingerprint: str, name: str, rejection: str) -> None:
        super().handle_result(fingerprint, name, "")


class IgnoresRejections(MutantRelay):
    """Treats each validation result as an acceptance."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.validation.cache = _AcceptingCache()

    def _start_validation(self, now: float, task: ValidatePolicy) -> None:
        super()._start_validation(now, task)
        if self.validation.poll and self.validation.task:
            self.validation.poll = mutated(self.validation.poll, _AcceptingPoll)


class ReusesOldResult(MutantRelay):
    """Reuses the result of one poll for later changes and fingerprints."""

    def _review_validation(self, now: float) -> None:
        return


class ForgetsClosedStreams(MutantRelay):
    """Does not wait for a server whose stream has ended but whose lease is still valid."""

    def handle_stream_closed(self, connection: int) -> None:
        """Removes the session with its lease."""
        self.sessions._sessions.pop(connection, None)


class VotesAtTakeover(MutantRelay):
    """Votes as soon as it becomes the leader."""

    def _handle_store_outcome(self, now: float) -> None:
        self._was_leading = self.leads()
        super()._handle_store_outcome(now)
