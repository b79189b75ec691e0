"""The parts of a member, and the admission status that follows from their state."""

import math
from collections.abc import Callable

from otterrudder.fleet.effects import Lane
from otterrudder.fleet.member.local_state import LocalState
from otterrudder.fleet.member.policy_state import PolicyState
from otterrudder.fleet.member.read_schedule import ReadSchedule
from otterrudder.fleet.member.registration import Registration
from otterrudder.fleet.member.status_reporter import StatusReporter
from otterrudder.fleet.member.store_trust import StoreTrust
from otterrudder.fleet.member.voting import Voting
from otterrudder.fleet.records import Keys, MemberStatus
from otterrudder.fleet.state import (
    AdmissionStatus,
    MemberIdentity,
    MemberState,
    ObservedState,
    Policy,
    PreparedVote,
    Rules,
)


class MemberParts:
    """Holds the parts of a member and provides the values that other modules read most."""

    # Types of the parts. The model search replaces them with faulty variants.
    registration_type: type[Registration] = Registration
    voting_type: type[Voting] = Voting
    trust_type: type[StoreTrust] = StoreTrust

    __slots__ = (
        "_busy",
        "answered_at",
        "identity",
        "local_state",
        "observed",
        "policies",
        "reads",
        "registration",
        "reporter",
        "rules",
        "trust",
        "voting",
    )

    def __init__(
        self,
        now: float,
        keys: Keys,
        name: str,
        incarnation: str,
        directory_id: str,
        rules: Rules,
        validate: Callable[[str], str],
        *,
        record: MemberState | None = None,
        has_disk: bool = True,
        status: MemberStatus | None = None,
        cluster: int = 0,
    ) -> None:
        """Creates a member that has not read the store yet.

        `record` is the state from the state directory, or None if the directory is empty; an empty directory
        gets a new `directory_id`. `validate` returns why this server rejects the policy text in the record,
        or "" if it accepts it. `cluster` is the ID of the only trusted store, if the fleet file names it; 0
        means the first one that answers."""
        self.identity = MemberIdentity(keys, name, incarnation, directory_id)
        self.rules = rules
        self.policies = PolicyState(record, validate)
        self.registration = self.registration_type(now, self.identity, rules, record)
        self.voting = self.voting_type(record)
        self.local_state = LocalState(now, record, has_disk)
        self.reads = ReadSchedule(now)
        self.reporter = StatusReporter(self.identity, status)
        trusted = cluster or (record.cluster if record else 0)
        is_same_store = record is not None and record.cluster == trusted
        self.trust = self.trust_type(trusted, record.revision if record and is_same_store else 0)
        self.observed: ObservedState | None = None
        self.answered_at = -math.inf  # when the last answer of the store arrived
        self._busy: frozenset[Lane] = frozenset()
        self.registration.has_synced = self._may_trust_directory()

    # Values that other modules read.

    @property
    def keys(self) -> Keys:
        """The store keys of the fleet."""
        return self.identity.keys

    @property
    def name(self) -> str:
        """The member's name, which is unique in the fleet."""
        return self.identity.name

    @property
    def applied_policy(self) -> Policy:
        """The policy that this server applies."""
        return self.policies.applied_policy

    @property
    def prepared_vote(self) -> PreparedVote | None:
        """The vote that binds this member, or will bind it once it is sent; None if there is none."""
        return self.voting.prepared_vote

    @property
    def registered(self) -> int:
        """The revision that created this process's status key; 0 if it is not registered."""
        return self.registration.registered

    @property
    def lease(self) -> int:
        """The ID of the member's lease in the store; 0 if there is none."""
        return self.registration.lease

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader, which coordinates changes."""
        return self.registration.is_leader

    @property
    def distrust_reason(self) -> str:
        """Why the store is not trusted; "" if it is trusted."""
        return self.trust.distrust_reason

    @property
    def status_detail(self) -> str:
        """Details on the admission status for operators; "" if there are none."""
        return self.policies.rejection or self.trust.distrust_reason or self.local_state.error

    # Admission.

    def admission_status(self, now: float) -> AdmissionStatus:
        """Returns the admission status at the time `now`, which is the moment of the admission."""
        if not self.registration.has_synced:
            return self.registration.status_before_sync(self.observed)
        if self.policies.is_outdated():
            return AdmissionStatus.OUTDATED
        if self.policies.rejection:
            return AdmissionStatus.POLICY_REJECTED
        if now >= self.voting.valid_until(self.rules.bound_ms):
            return AdmissionStatus.OUTCOME_UNKNOWN
        if self.rules.depends_on_lease and now >= self.registration.valid_until():
            return AdmissionStatus.LEASE_EXPIRED
        return AdmissionStatus.PREPARED if self.prepared_vote else AdmissionStatus.SERVING

    def admits(self, now: float) -> int | None:
        """Returns the version of the policy under which requests are admitted, or None if admission is
        suspended."""
        return self.applied_policy.version if self.admission_status(now).admits else None

    def authority_until(self, now: float) -> float:
        """Returns the time until which the member may admit requests, or grant leases, if no further answer
        arrives. Returns -inf if admission is suspended."""
        if not self.admission_status(now).admits:
            return -math.inf
        until = self.registration.valid_until() if self.rules.depends_on_lease else math.inf
        return min(until, self.voting.valid_until(self.rules.bound_ms))

    def _may_trust_directory(self) -> bool:
        """Whether the member may admit after a start without reading the store first.

        It may if no change can have been committed without its vote and it has prepared no vote whose outcome
        it does not know. This does not hold for a new directory, which has no record of earlier votes, nor if
        the fleet file said "leave-out" until now, because the roster still says so."""
        return (
            self.rules.starts_from_directory
            and self.registration.waits_for_member
            and self.registration.joined
            and self.prepared_vote is None
        )

    def _state(self) -> MemberState:
        """Returns the state that a restart would need."""
        registration, trust = self.registration, self.trust
        return MemberState(
            self.name,
            self.identity.directory_id,
            self.applied_policy,
            self.prepared_vote,
            registration.joined,
            trust.cluster,
            trust.revision,
            registration.waits_for_member,
        )
