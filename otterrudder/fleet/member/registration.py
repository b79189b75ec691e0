"""A member's registration in the store and the lease that it depends on.

The status key of a registered member names its incarnation and goes with the lease. The roster's entry stays,
and names the state directory that may serve under the name: under `wait` no change is committed without that
directory's vote, so the name is nobody else's even once its lease has lapsed."""

import math

from otterrudder.fleet import commits
from otterrudder.fleet.effects import Commit, GrantLease, RenewLease
from otterrudder.fleet.member.read_schedule import RETRY_MS
from otterrudder.fleet.records import MemberStatus, RosterEntry
from otterrudder.fleet.state import AdmissionStatus, MemberIdentity, MemberState, ObservedState, Rules

TRUSTED_LEASE_SHARE = 0.9  # of a lease's span: two clocks may run apart by a tenth
RENEW_SHARE = 0.25  # of a lease's span, between renewals: two may be lost before it lapses


class Registration:
    """Which name this process holds, and until when."""

    __slots__ = (
        "endorsed_until",
        "has_synced",
        "identity",
        "is_leader",
        "joined",
        "lease",
        "lease_until",
        "registered",
        "register_not_before",
        "renew_at",
        "rules",
        "waits_for_member",
    )

    def __init__(
        self, now: float, identity: MemberIdentity, rules: Rules, record: MemberState | None
    ) -> None:
        self.identity, self.rules = identity, rules
        self.joined = bool(record and record.joined)  # the roster has had this directory's id
        # Changes wait for this name, as far as any process of this directory can have asked for.
        self.waits_for_member = bool(record and record.waits_for_member and rules.absent == "wait")
        self.has_synced = False  # the store was read since the registration
        self.registered = 0  # the revision that made this process's status key; 0: there is none
        self.register_not_before = -math.inf  # it does not register before
        self.lease = 0  # the store's number of it; 0: there is none
        self.lease_until = -math.inf  # by this process's clock, from the sending of the last renewal
        self.endorsed_until = -math.inf  # what the other relays that share the name have endorsed
        self.renew_at = now
        self.is_leader = False  # of the fleet's members: it coordinates changes

    # The name.

    def is_name_taken(self, observed: ObservedState) -> bool:
        """Another process has the name now."""
        return observed.status is not None and observed.status.incarnation != self.identity.incarnation

    def is_foreign(self, observed: ObservedState) -> bool:
        """Another state directory has the name, and its process may be serving on, cut off: a lapsed lease
        says nothing of it under `wait`, where nobody's service ends with one."""
        roster = observed.roster
        if roster is None or roster.directory_id == self.identity.directory_id:
            return False
        return roster.absent == "wait"

    def is_name_unavailable(self, observed: ObservedState) -> bool:
        """The name is not this process's to register."""
        return self.is_name_taken(observed) or self.is_foreign(observed)

    def status_before_sync(self, observed: ObservedState | None) -> AdmissionStatus:
        """Why it does not admit yet."""
        if observed is None:
            return AdmissionStatus.STARTING
        if self.is_name_taken(observed):
            return AdmissionStatus.NAME_TAKEN
        return AdmissionStatus.FOREIGN_DIRECTORY if self.is_foreign(observed) else AdmissionStatus.REGISTERING

    # The registration.

    def commit(self, observed: ObservedState, status: MemberStatus) -> Commit:
        """Registers under the lease."""
        identity = self.identity
        roster = RosterEntry(identity.directory_id, self.rules.absent)
        return commits.register(identity.keys, identity.name, status, roster, observed, self.lease)

    def update(self, observed: ObservedState) -> bool:
        """What a read shows of it. Returns whether the registration is lost."""
        is_lost = False
        if observed.status is not None and observed.status.incarnation == self.identity.incarnation:
            self.registered, self.joined = observed.status_created, True
            self.waits_for_member = observed.roster is not None and observed.roster.absent == "wait"
        elif self.registered:
            is_lost = True
        if self.is_name_taken(observed):
            self.has_synced = False
        if self.joined and not self._is_on_roster(observed):
            # An operator has removed the member for good: it joins again.
            self.joined = self.has_synced = False
            is_lost = True
        return is_lost

    def lose(self) -> None:
        """The status key is gone, or the lease that it depended on."""
        self.registered, self.is_leader = 0, False
        if self.rules.depends_on_lease:
            self.has_synced, self.lease_until = False, -math.inf

    def _is_on_roster(self, observed: ObservedState) -> bool:
        roster = observed.roster
        return roster is not None and roster.directory_id == self.identity.directory_id

    # The lease.

    def valid_until(self) -> float:
        """The end of the store's lease, or of what the other relays of the cell have endorsed: under `wait`
        alone, for a change that leaves a member out asks nobody's endorsement."""
        if self.rules.absent == "wait":
            return max(self.lease_until, self.endorsed_until)
        return self.lease_until

    def may_lease(self, observed: ObservedState | None) -> bool:
        """Whether a lease is to be granted or renewed."""
        return self.lease > 0 or observed is not None and not self.is_name_unavailable(observed)

    def lease_effect(self, now: float, observed: ObservedState | None) -> GrantLease | RenewLease | None:
        """The request that is due, if any."""
        if now < self.renew_at or not self.may_lease(observed):
            return None
        return RenewLease(self.lease) if self.lease else GrantLease(self.rules.lease_ms)

    def fail_renewal(self, now: float, is_mistrusted: bool) -> None:
        """No answer came, or none that is trusted."""
        self.renew_at = now + (self.rules.lease_ms * RENEW_SHARE if is_mistrusted else RETRY_MS)

    def renew(self, now: float, sent: float, lease: int) -> None:
        """How the lease stands by the store's answer to what was sent then; 0: it has lapsed."""
        self.lease = lease
        if lease:
            self.lease_until = max(self.lease_until, sent + self.rules.lease_ms * TRUSTED_LEASE_SHARE)
        self.renew_at = sent + self.rules.lease_ms * RENEW_SHARE if lease else now
