"""Mutants of a server's participant, each without one rule that the design rests on."""

from dataclasses import replace
from typing import Any

from otterrudder.fleet.cell.messages import LeaseGrant, PolicyUpdate, RelayMessage
from otterrudder.fleet.cell.participant import TRUSTED_SHARE, Participant
from otterrudder.fleet.state import AdmissionStatus


class CountsFromTheAnswer(Participant):
    """Its lease begins when the grant arrives."""

    def handle_message(self, now: float, connection: int, message: RelayMessage) -> None:
        """A grant's request counts as sent now."""
        if isinstance(message, LeaseGrant) and message.sequence in self.requests:
            self.requests._sent_at[message.sequence] = now
        super().handle_message(now, connection, message)


class TrustsFullSpan(Participant):
    """Takes its clock and the relay's for one."""

    def _extend_lease(self, version: int, until: float) -> None:
        sent_at = until - self._span * TRUSTED_SHARE
        super()._extend_lease(version, sent_at + self._span)

    def _handle_grant(self, now: float, grant: LeaseGrant) -> None:
        self._span = grant.span_ms
        super()._handle_grant(now, grant)


class UsesStaleClock(Participant):
    """Goes by the time of its last event: one that was frozen admits when it runs again."""

    __slots__ = ("last_event_at",)

    def __init__(self, now: float, *arguments: Any, **named: Any) -> None:
        super().__init__(now, *arguments, **named)
        self.last_event_at = now

    def admission_status(self, now: float) -> AdmissionStatus:
        """By the time of the last event."""
        return super().admission_status(self.last_event_at)

    def handle_message(self, now: float, connection: int, message: RelayMessage) -> None:
        """The clock is looked at."""
        self.last_event_at = now
        super().handle_message(now, connection, message)


class ExtendsLeaseOfOldVersion(Participant):
    """Takes a lease for a newer version as one for its own."""

    def _extend_lease(self, version: int, until: float) -> None:
        super()._extend_lease(version, until)
        self.lease.until = max(self.lease.until, until)


class GoesBackAVersion(Participant):
    """Trusts the last relay that sent a message."""

    def _distrust_reason(self, version: int, change: str) -> str:
        self.newest_version = version
        return ""

    def _handle_update(self, now: float, update: PolicyUpdate) -> None:
        if update.version < self.applied_policy.version:
            self.applied_policy = replace(self.applied_policy, version=update.version - 1)
        super()._handle_update(now, update)

    def _handle_grant(self, now: float, grant: LeaseGrant) -> None:
        if grant.version < self.applied_policy.version and grant.sequence in self.requests:
            self.applied_policy = replace(self.applied_policy, version=grant.version, change=grant.change)
        super()._handle_grant(now, grant)


class SkipsValidation(Participant):
    """Switches to a text as it comes."""

    def _handle_update(self, now: float, update: PolicyUpdate) -> None:
        if update.version > self.applied_policy.version:
            self.newest_version = max(self.newest_version, update.version)
            self.validation._updates[update.digest] = update
            self.validation._results[update.digest] = ""
            self._switch_version()


class IgnoresDigests(Participant):
    """Takes a damaged text for the one that its digest names."""

    def _handle_update(self, now: float, update: PolicyUpdate) -> None:
        if update.version > self.applied_policy.version:
            self.newest_version = max(self.newest_version, update.version)
            self.validation._updates[update.digest] = update
            self._switch_version()
            self._validate_next()
