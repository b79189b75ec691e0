"""Doubles of the parts of a cell, each with one thing left out that the design rests on."""

import math
from dataclasses import replace
from typing import Any, TypeVar

import msgspec

from otterrudder.fleet.cell.consent import BELIEVED_SHARE, Consents, Promise
from otterrudder.fleet.cell.kinds import Poll, Verdicts
from otterrudder.fleet.cell.messages import AskConsent, Consent, Grant, InForce, RelayMessage
from otterrudder.fleet.cell.participant import Participant
from otterrudder.fleet.cell.relay import Relay, Session
from otterrudder.fleet.change import ChangeCoordinator
from otterrudder.fleet.effects import Commit, Effect, Outcome, Read, ValidatePolicy
from otterrudder.fleet.member import Member
from otterrudder.fleet.member.registration import Registration
from otterrudder.fleet.member.store_trust import StoreTrust
from otterrudder.fleet.queue import open_next
from otterrudder.fleet.records import FleetSnapshot, QueuedChange, encode
from otterrudder.fleet.state import AdmissionStatus
from otterrudder.fleet.store import Snapshot
from otterrudder.lab.fleet.mutants import TrustsAnyStore

_T = TypeVar("_T")


def _turned_into(part: Any, kind: type[_T]) -> _T:
    """The same part with a double's ways."""
    twin = object.__new__(kind)
    slots = [name for base in type(part).__mro__ for name in getattr(base, "__slots__", ())]
    for name in slots:
        setattr(twin, name, getattr(part, name))
    return twin


class _LooseRelay(Relay):
    """A double may keep more than the relay does, and has doubles of its parts."""

    member_double: type[Member] = Member
    registration_double: type[Registration] = Registration
    trust_double: type[StoreTrust] = StoreTrust
    settler_double: type[ChangeCoordinator] = ChangeCoordinator
    consents_double: type[Consents] = Consents
    promise_double: type[Promise] = Promise

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.member = _turned_into(self.member, self.member_double)
        self.member.registration = _turned_into(self.member.registration, self.registration_double)
        self.member.trust = _turned_into(self.member.trust, self.trust_double)
        self.coordinator = _turned_into(self.coordinator, self.settler_double)
        self.consents = _turned_into(self.consents, self.consents_double)
        self.promise = _turned_into(self.promise, self.promise_double)


# Leases.


class GrantsPastItsAuthority(_LooseRelay):
    """Grants a whole span whenever it may grant at all."""

    def authority_until(self, now: float) -> float:
        until = super().authority_until(now)
        return math.inf if until > now else until


class GrantsLongerThanTheBound(_LooseRelay):
    """Its leases last for longer than a change waits for them."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.limits = replace(self.limits, span_ms=2 * self.limits.span_ms)


class GrantsToNewServersAtOnce(_LooseRelay):
    """Takes it that a change which was open when it last read is open still."""

    def _may_be_newer(self, session: Session) -> bool:
        return False


class CountsFromTheAnswer(Participant):
    """Its lease begins when the grant arrives."""

    def received(self, now: float, connection: int, message: RelayMessage) -> None:
        if isinstance(message, Grant) and message.sequence in self._pending:
            self._pending[message.sequence] = now
        super().received(now, connection, message)


class BelievesTheWholeSpan(Participant):
    """Takes its clock and the relay's for one."""

    def _extend(self, version: int, until: float) -> None:
        sent = until - self._span * BELIEVED_SHARE
        super()._extend(version, sent + self._span)

    def _take_grant(self, now: float, grant: Grant) -> None:
        self._span = grant.span_ms
        super()._take_grant(now, grant)


class SleepsThrough(Participant):
    """Goes by what was so when it last did something: a frozen one wakes and admits."""

    __slots__ = ("acted_at",)

    def __init__(self, now: float, *arguments: Any, **named: Any) -> None:
        super().__init__(now, *arguments, **named)
        self.acted_at = now

    def admission_status(self, now: float) -> AdmissionStatus:
        return super().admission_status(self.acted_at)

    def received(self, now: float, connection: int, message: RelayMessage) -> None:
        self.acted_at = now
        super().received(now, connection, message)


class GoesOnUnderTheOld(Participant):
    """Takes a lease for a newer version as one for its own."""

    def _extend(self, version: int, until: float) -> None:
        super()._extend(version, until)
        self.lease_until = max(self.lease_until, until)


class GoesBack(Participant):
    """Believes whoever spoke last."""

    def _doubt_of(self, version: int, change: str) -> str:
        self.head = version
        return ""

    def _take_text(self, now: float, message: InForce) -> None:
        if message.version < self.known.version:
            self.known = replace(self.known, version=message.version - 1)
        super()._take_text(now, message)

    def _take_grant(self, now: float, grant: Grant) -> None:
        if grant.version < self.known.version and grant.sequence in self._pending:
            self.known = replace(self.known, version=grant.version, change=grant.change)
        super()._take_grant(now, grant)


class TakesAnyText(Participant):
    """Goes over to a text as it comes."""

    def _take_text(self, now: float, message: InForce) -> None:
        if message.version > self.known.version:
            self.head = max(self.head, message.version)
            self._texts[message.digest] = message
            self._checked[message.digest] = ""
            self._switch(now)


class ChecksNoDigest(Participant):
    """Takes a damaged text for what it is named."""

    def _take_text(self, now: float, message: InForce) -> None:
        if message.version > self.known.version:
            self.head = max(self.head, message.version)
            self._texts[message.digest] = message
            self._switch(now)
            self._check_next()


# Consent.


class _OneOfTheOthers(Consents):
    __slots__ = ()

    def until(self) -> float:
        return max(self._ends.values(), default=-math.inf)


class BelievesOneConsent(_LooseRelay):
    """Goes on as soon as one of the others has consented."""

    consents_double = _OneOfTheOthers


class _WhoeverLeads(Promise):
    __slots__ = ()

    def answer(self, now: float, request: AskConsent, leads: bool, hears_store: bool) -> Consent:
        return super().answer(now, request, False, hears_store)


class ConsentsWhileItLeads(_LooseRelay):
    promise_double = _WhoeverLeads


class ForgetsItsConsent(_LooseRelay):
    """Starts as if it had not lived before."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.promise.until = self.member.voting.abstains_until = (
            self.member.registration.registers_from
        ) = -math.inf


class VotesThoughItConsented(_LooseRelay):
    """Its promise binds its grants alone."""

    def _abstain(self) -> None:
        return


class GrantsThoughItConsented(_LooseRelay):
    """Its promise binds its votes alone."""

    def _abstain(self) -> None:
        self.member.voting.abstains_until = max(self.member.voting.abstains_until, self.promise.until)

    def authority_until(self, now: float) -> float:
        return -math.inf if self._is_leaving else self.member.authority_until(now)


class _AnyRulesLease(Registration):
    def valid_until(self) -> float:
        return max(self.lease_until, self.endorsed_until)


class ConsentUnderLeaveOut(_LooseRelay):
    """Goes on with the others' consent where a change asks nobody's."""

    registration_double = _AnyRulesLease

    def _may_need_consent(self) -> bool:
        return self.leads()


class _AsIfAlone(Member):
    def admission_status(self, now: float) -> AdmissionStatus:
        admission_status = super().admission_status(now)
        return (
            AdmissionStatus.SERVING if admission_status is AdmissionStatus.LEASE_EXPIRED else admission_status
        )

    def authority_until(self, now: float) -> float:
        until = super().authority_until(now)
        return math.inf if until == self.registration.valid_until() else until


class GrantsLapsed(_LooseRelay):
    """Goes on under `wait` without a lease, as a member whose name nobody shares may."""

    member_double = _AsIfAlone


class AsksTooLate(_LooseRelay):
    """Asks for consent a second after its lease has ended."""

    def _consent_from(self) -> float:
        return self.member.registration.lease_until + 1000.0


# Votes.


class AsksNoKinds(_LooseRelay):
    """Votes by itself."""

    def _begin_judging(self, now: float, task: ValidatePolicy) -> None:
        self.member.handle_result(now, task, now, "")
        self._take_store_effects(now)

    def _review_judgement(self, now: float) -> None:
        return


class _YesVerdicts(Verdicts):
    __slots__ = ()

    def put(self, kind: str, digest: str, trouble: str) -> None:
        super().put(kind, digest, "")


class _DeafPoll(Poll):
    def answered(self, kind: str, name: str, trouble: str) -> None:
        super().answered(kind, name, "")


class RemembersNoNo(_LooseRelay):
    """Takes each answer for a yes."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.verdicts = _YesVerdicts()

    def _begin_judging(self, now: float, task: ValidatePolicy) -> None:
        super()._begin_judging(now, task)
        if self.poll and self.poll_task:
            self.poll = _turned_into(self.poll, _DeafPoll)


class KeepsItsJudgement(_LooseRelay):
    """What one poll has said counts for later changes and kinds."""

    def _review_judgement(self, now: float) -> None:
        return


class ForgetsClosedStreams(_LooseRelay):
    """Waits for no kind whose stream has ended, though its lease has not."""

    def closed(self, connection: int) -> None:
        self.sessions.pop(connection, None)


class TakesOverAtOnce(_LooseRelay):
    """Votes as soon as it leads."""

    def _after_store(self, now: float) -> None:
        self._led = self.leads()
        super()._after_store(now)


class BelievesAnyStore(_LooseRelay):
    """Believes an engine that went back to an older state."""

    trust_double = TrustsAnyStore


# The queue.


class _OpensTwo(ChangeCoordinator):
    __slots__ = ()

    def _begin_commit(self, now: float, view: FleetSnapshot, age: float) -> Commit | None:
        entries = {k: e for k, e in view.raw.entries.items() if k != view.keys.change}
        commit = open_next(FleetSnapshot(view.keys, view.raw._replace(entries=entries)))
        if view.change and commit:
            kept = tuple(compare for compare in commit.compares if compare.key != view.keys.change)
            return self._begin(now, replace(commit, compares=kept))
        return super()._begin_commit(now, view, age)


class OpensTwo(_LooseRelay):
    """Opens what waits while another change is open."""

    settler_double = _OpensTwo


class _OpensAnyBase(ChangeCoordinator):
    __slots__ = ()

    def handle_result(self, now: float, effect: Effect, outcome: Outcome) -> Commit | None:
        return super().handle_result(now, effect, _without_bases(outcome))


def _without_bases(outcome: Outcome) -> Outcome:
    """What was read, as if each entry of the queue had been made from any policy."""
    if not isinstance(outcome, Snapshot):
        return outcome
    entries = dict(outcome.entries)
    for key, entry in entries.items():
        if "/queue/" in key:
            queued = msgspec.json.decode(entry.value, type=QueuedChange)
            entries[key] = entry._replace(value=encode(msgspec.structs.replace(queued, base="")))
    return outcome._replace(entries=entries)


class OpensAnyBase(_LooseRelay):
    """Opens an entry that was made from a policy which is no longer in force."""

    settler_double = _OpensAnyBase


class _KeepsTheQueueShut(ChangeCoordinator):
    __slots__ = ()

    def effects(self, *arguments: Any) -> Read | Commit | None:
        wanted = super().effects(*arguments)
        if self.change or not isinstance(wanted, Read):
            return wanted
        self._busy, self._due_at = False, math.inf
        return None


class ForgetsTheQueue(_LooseRelay):
    """Looks for no change that waits while none is open."""

    settler_double = _KeepsTheQueueShut
