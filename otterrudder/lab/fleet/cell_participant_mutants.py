"""Mutants of a server's participant, each without one rule on which the design depends."""

from dataclasses import replace
from typing import Any

from otterrudder.fleet.cell.messages import LeaseGrant, PolicyUpdate, RelayMessage
from otterrudder.fleet.cell.participant import TRUSTED_SHARE, Participant
from otterrudder.fleet.state import AdmissionStatus


class CountsLeaseFromAnswer(Participant):
    """Counts its lease from the arrival of the grant, not from the request."""

    def handle_message(self, now: float, connection: int, message: RelayMessage) -> None:
        """Handles a grant as if its request had been sent now."""
        if isinstance(message, LeaseGrant) and message.sequence in self.requests:
            self.requests._sent_at[message.sequence] = now
        super().handle_message(now, connection, message)


class TrustsFullSpan(Participant):
    """Trusts the full span of a lease, as if its clock and the relay's ran at the same rate."""

    def _extend_lease(self, version: int, until: float) -> None:
        sent_at = until - self._span * TRUSTED_SHARE
        super()._extend_lease(version, sent_at + self._span)

    def _handle_grant(self, now: float, grant: LeaseGrant) -> None:
        self._span = grant.span_ms
        super()._handle_grant(now, grant)


class UsesStaleClock(Participant):
    """Uses the time of its last event, so that after a freeze it still admits."""

    __slots__ = ("last_event_at",)

    def __init__(self, now: float, *arguments: Any, **named: Any) -> None:
        super().__init__(now, *arguments, **named)
        self.last_event_at = now

    def admission_status(self, now: float) -> AdmissionStatus:
        """Returns the status at the time of the last event."""
        return super().admission_status(self.last_event_at)

    def handle_message(self, now: float, connection: int, message: RelayMessage) -> None:
        """Reads the clock and handles the message."""
        self.last_event_at = now
        super().handle_message(now, connection, message)


class ExtendsLeaseByNewerGrant(Participant):
    """Extends the lease of its own version by a grant for a newer version."""

    def _extend_lease(self, version: int, until: float) -> None:
        super()._extend_lease(version, until)
        self.lease.until = max(self.lease.until, until)


class RevertsToOlderVersion(Participant):
    """Trusts the relay that sent the last message, even with an older version."""

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
    """Switches to a policy text without validation."""

    def _handle_update(self, now: float, update: PolicyUpdate) -> None:
        if update.version > self.applied_policy.version:
            self.newest_version = max(self.newest_version, update.version)
            self.validation._updates[update.digest] = update
            self.validation._results[update.digest] = ""
            self._switch_version()


class IgnoresDigests(Participant):
    """Accepts a text that does not match its digest."""

    def _handle_update(self, now: float, update: PolicyUpdate) -> None:
        if update.version > self.applied_policy.version:
            self.newest_version = max(self.newest_version, update.version)
            self.validation._updates[update.digest] = update
            self._switch_version()
            self._validate_next()
