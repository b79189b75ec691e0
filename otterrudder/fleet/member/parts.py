"""The parts of which a member is made, and whether it admits by what they know."""

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
    """The parts of a member, and what others ask of them most."""

    # The parts; a mutant of a model search has one of its own.
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
        """`record`: what the state directory has, None where it is empty; `directory_id`: new with an empty
        one. `validate`: what is wrong for this server with the text that the record has, "" if nothing.
        `cluster`: the only engine that is trusted, where the fleet's file names it; 0: the first."""
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
        self.answered_at = -math.inf  # when the store last answered anything
        self._busy: frozenset[Lane] = frozenset()
        self.registration.has_synced = self._may_trust_directory()

    # What others ask of it most.

    @property
    def keys(self) -> Keys:
        """Of the fleet."""
        return self.identity.keys

    @property
    def name(self) -> str:
        """The member's, unique in the fleet."""
        return self.identity.name

    @property
    def applied_policy(self) -> Policy:
        """The policy applied here."""
        return self.policies.applied_policy

    @property
    def prepared_vote(self) -> PreparedVote | None:
        """The vote that binds this member, or will once it is sent."""
        return self.voting.prepared_vote

    @property
    def registered(self) -> int:
        """The revision that made this process's status key; 0: it is not registered."""
        return self.registration.registered

    @property
    def lease(self) -> int:
        """The store's number of its lease; 0: it has none."""
        return self.registration.lease

    @property
    def is_leader(self) -> bool:
        """Whether it is the one member that coordinates changes."""
        return self.registration.is_leader

    @property
    def distrust_reason(self) -> str:
        """Why the store is not trusted; "": it is."""
        return self.trust.distrust_reason

    @property
    def status_detail(self) -> str:
        """More on its status, for operators."""
        return self.policies.rejection or self.trust.distrust_reason or self.local_state.error

    # Whether it admits.

    def admission_status(self, now: float) -> AdmissionStatus:
        """At the moment of an admission, by the time of that moment."""
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
        """The version that it admits under; None: admission is suspended."""
        return self.applied_policy.version if self.admission_status(now).admits else None

    def authority_until(self, now: float) -> float:
        """Until when it goes on admitting, or granting leases, if it hears nothing more; -inf: it does not
        admit."""
        if not self.admission_status(now).admits:
            return -math.inf
        until = self.registration.valid_until() if self.rules.depends_on_lease else math.inf
        return min(until, self.voting.valid_until(self.rules.bound_ms))

    def _may_trust_directory(self) -> bool:
        """No change can have been committed without this name's vote, and it has given none that it does not
        know the outcome of. A new directory has never been asked, so it can't know; and where the file has
        said "leave-out" until now, the roster still does."""
        return (
            self.rules.starts_from_directory
            and self.registration.waits_for_member
            and self.registration.joined
            and self.prepared_vote is None
        )

    def _state(self) -> MemberState:
        """What a start would need to know."""
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
