"""A member's registration in the store and the lease that it depends on.

The status key of a registered member contains its incarnation and is deleted when the lease expires. The
roster entry remains and identifies the state directory that may use the name. With absent = "wait", no change
is committed without the vote of that directory, so no other process may use the name even after the lease has
expired."""

import math

from otterrudder.fleet import commits
from otterrudder.fleet.effects import Commit, GrantLease, RenewLease
from otterrudder.fleet.member.read_schedule import RETRY_MS
from otterrudder.fleet.records import MemberStatus, RosterEntry
from otterrudder.fleet.state import AdmissionStatus, MemberIdentity, MemberState, ObservedState, Rules

# fraction of a lease's duration that is relied on: two clocks may drift apart by 10%
TRUSTED_LEASE_SHARE = 0.9
RENEW_SHARE = 0.25  # renewal interval as a fraction of a lease's duration: two renewals may be lost


class Registration:
    """Tracks whether this process holds its name in the store, and how long it may rely on that."""

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
        self.joined = bool(record and record.joined)  # whether the roster has ever listed this directory's ID
        # Whether the roster entry says that changes wait for this member, as last written by a process of
        # this directory.
        self.waits_for_member = bool(record and record.waits_for_member and rules.absent == "wait")
        self.has_synced = False  # whether the store was read since the registration
        self.registered = 0  # revision that created this process's status key; 0 if not registered
        self.register_not_before = -math.inf  # earliest time of a registration
        self.lease = 0  # ID of the lease in the store; 0 if there is no lease
        self.lease_until = -math.inf  # end of the lease by this process's clock, from when a renewal was sent
        self.endorsed_until = -math.inf  # end of the authority endorsed by the other relays of the cell
        self.renew_at = now  # when the next lease request is due
        self.is_leader = False  # whether this member coordinates the fleet's changes

    # The name.

    def is_name_taken(self, observed: ObservedState) -> bool:
        """Whether another process holds the name now."""
        return observed.status is not None and observed.status.incarnation != self.identity.incarnation

    def is_foreign(self, observed: ObservedState) -> bool:
        """Whether the name belongs to another state directory whose process may still be serving, cut off
        from the store. With absent = "wait", a process keeps serving after its lease has expired."""
        roster = observed.roster
        if roster is None or roster.directory_id == self.identity.directory_id:
            return False
        return roster.absent == "wait"

    def is_name_unavailable(self, observed: ObservedState) -> bool:
        """Whether this process may not register the name."""
        return self.is_name_taken(observed) or self.is_foreign(observed)

    def status_before_sync(self, observed: ObservedState | None) -> AdmissionStatus:
        """Returns the status that explains why the member does not admit requests yet."""
        if observed is None:
            return AdmissionStatus.STARTING
        if self.is_name_taken(observed):
            return AdmissionStatus.NAME_TAKEN
        return AdmissionStatus.FOREIGN_DIRECTORY if self.is_foreign(observed) else AdmissionStatus.REGISTERING

    # The registration.

    def commit(self, observed: ObservedState, status: MemberStatus) -> Commit:
        """Returns the commit that registers this process under its lease."""
        identity = self.identity
        roster = RosterEntry(identity.directory_id, self.rules.absent)
        return commits.register(identity.keys, identity.name, status, roster, observed, self.lease)

    def update(self, observed: ObservedState) -> bool:
        """Updates the registration from a read. Returns whether the registration is lost."""
        is_lost = False
        if observed.status is not None and observed.status.incarnation == self.identity.incarnation:
            self.registered, self.joined = observed.status_created, True
            self.waits_for_member = observed.roster is not None and observed.roster.absent == "wait"
        elif self.registered:
            is_lost = True
        if self.is_name_taken(observed):
            self.has_synced = False
        if self.joined and not self._is_on_roster(observed):
            # An operator removed the member from the roster, so it registers as a new member.
            self.joined = self.has_synced = False
            is_lost = True
        return is_lost

    def handle_loss(self) -> None:
        """Handles the loss of the status key or of its lease."""
        self.registered, self.is_leader = 0, False
        if self.rules.depends_on_lease:
            self.has_synced, self.lease_until = False, -math.inf

    def _is_on_roster(self, observed: ObservedState) -> bool:
        roster = observed.roster
        return roster is not None and roster.directory_id == self.identity.directory_id

    # The lease.

    def valid_until(self) -> float:
        """Returns when this process's authority ends: at the end of its lease or, with absent = "wait", of
        the endorsement by the cell's other relays if that is later. With "leave-out", endorsements don't
        count, because a change that leaves a member out does not consult the other relays."""
        if self.rules.absent == "wait":
            return max(self.lease_until, self.endorsed_until)
        return self.lease_until

    def may_lease(self, observed: ObservedState | None) -> bool:
        """Whether the member may request or renew a lease."""
        return self.lease > 0 or observed is not None and not self.is_name_unavailable(observed)

    def lease_effect(self, now: float, observed: ObservedState | None) -> GrantLease | RenewLease | None:
        """Returns the lease request that is due, or None."""
        if now < self.renew_at or not self.may_lease(observed):
            return None
        return RenewLease(self.lease) if self.lease else GrantLease(self.rules.lease_ms)

    def fail_renewal(self, now: float, is_mistrusted: bool) -> None:
        """Handles a lease request without an answer, or with one from a store that is not trusted."""
        self.renew_at = now + (self.rules.lease_ms * RENEW_SHARE if is_mistrusted else RETRY_MS)

    def renew(self, now: float, sent: float, lease: int) -> None:
        """Updates the lease from the store's answer to the request sent at `sent`. `lease` is 0 if the lease
        has expired."""
        self.lease = lease
        if lease:
            self.lease_until = max(self.lease_until, sent + self.rules.lease_ms * TRUSTED_LEASE_SHARE)
        self.renew_at = sent + self.rules.lease_ms * RENEW_SHARE if lease else now
