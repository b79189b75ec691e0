"""The history checker of a model of cells. It records what was written to the store, sent between processes
and endorsed, and reports violations of the guarantees. It never uses the state of the code under test."""

import math
from dataclasses import dataclass, field

from otterrudder.fleet.cell.endorsement import ENDORSEMENT_MS
from otterrudder.fleet.cell.messages import LeaseGrant
from otterrudder.fleet.cell.relay import TAKEOVER_VOTE_DELAY_MS
from otterrudder.fleet.effects import Commit
from otterrudder.fleet.records import FleetSnapshot, Keys, MemberStatus, PolicyHead, Vote, decode
from otterrudder.fleet.store import Put
from otterrudder.lab.fleet.history_checker import CommittedVersion, commit_violation

ROUNDING_MS = 0.001  # tolerance for rounding errors in times of clocks with different rates

RelayProcess = tuple[int, int]  # index of a relay's host, and the number of the process on it


@dataclass(frozen=True, slots=True)
class GrantedLease:
    """A lease that a process of a relay has granted. Times are in ms by the store's clock."""

    relay: str
    fingerprint: str
    version: int
    until: float
    bound_ms: float  # the bound as the relay's clock measures it


@dataclass(slots=True)
class RelayHistory:
    """The messages that one process of a relay has received and sent."""

    name: str
    incarnation: str
    rate: float = 1.0  # rate of its clock: ms that it counts in one ms of the store's clock
    leases: list[GrantedLease] = field(default_factory=list)
    # Rejection by (fingerprint, digest); "" if the text was accepted.
    results: dict[tuple[str, str], str] = field(default_factory=dict)
    rejections: set[tuple[int, str]] = field(default_factory=set)  # (revision of the change, digest)

    def copy(self) -> "RelayHistory":
        """Returns an independent copy."""
        return RelayHistory(
            self.name,
            self.incarnation,
            self.rate,
            list(self.leases),
            dict(self.results),
            set(self.rejections),
        )


@dataclass(slots=True)
class CellHistoryChecker:
    """Records events as they happen; `violation` is the first violation of a guarantee, or ""."""

    keys: Keys
    bound_ms: float
    committed: dict[int, CommittedVersion] = field(default_factory=dict)  # by version
    texts: dict[int, str] = field(default_factory=dict)  # policy text by version
    changes: dict[int, str] = field(default_factory=dict)  # digest by the revision that opened the change
    bases: dict[str, str] = field(default_factory=dict)  # digest of the base policy by queued change
    registered_at: dict[str, float] = field(default_factory=dict)  # by incarnation
    endorsed_until: dict[str, float] = field(default_factory=dict)  # by relay, over all its processes
    relays: dict[RelayProcess, RelayHistory] = field(default_factory=dict)
    violation: str = ""

    def copy(self) -> "CellHistoryChecker":
        """Returns an independent copy."""
        return CellHistoryChecker(
            self.keys,
            self.bound_ms,
            dict(self.committed),
            dict(self.texts),
            dict(self.changes),
            dict(self.bases),
            dict(self.registered_at),
            dict(self.endorsed_until),
            {process: history.copy() for process, history in self.relays.items()},
            self.violation,
        )

    def _report(self, violation: str) -> None:
        self.violation = self.violation or violation

    # The store.

    def record_commit(self, now: float, commit: Commit, before: FleetSnapshot) -> None:
        """Records a commit that took effect. `before` is the state of the store before it."""
        for write in commit.writes:
            if not isinstance(write, Put):
                continue
            if write.key == self.keys.policy:
                self._record_policy(now, decode(write.value, PolicyHead), before)
            elif write.key == self.keys.change and before.change and commit.purpose in ("open", "propose"):
                self._report(f"{commit.purpose}: a change was opened while {before.change.id} was open")
            elif write.key.startswith(self.keys.statuses) and commit.purpose == "register":
                self.registered_at.setdefault(_incarnation_of(write), now)

    def _record_policy(self, now: float, head: PolicyHead, before: FleetSnapshot) -> None:
        if violation := commit_violation(head, before, self.committed):
            self._report(violation)
        base = self.bases.get(head.change, "")
        in_force = before.policy.digest if before.policy else ""
        if base and base != in_force:
            self._report(f"{head.change} was made from a policy that was no longer in force")
        self.committed[head.version] = CommittedVersion(head.change, now)
        for history in self.relays.values():
            for lease in history.leases:
                self._check_lease(lease)

    # Messages and votes.

    def record_grant(self, now: float, process: RelayProcess, fingerprint: str, grant: LeaseGrant) -> None:
        """Records a grant that a relay has sent. The lease begins now by the relay's clock."""
        history = self.relays[process]
        until = now + grant.span_ms / history.rate
        bound_ms = self.bound_ms / history.rate
        lease = GrantedLease(history.name, fingerprint, grant.version, until, bound_ms)
        history.leases = [earlier for earlier in history.leases if earlier.until > now]
        history.leases.append(lease)
        if self._has_endorsed(now, history):
            self._report(f"{history.name} grants a lease although it has endorsed another relay")
        self._check_lease(lease)

    def _check_lease(self, lease: GrantedLease) -> None:
        newer = self.committed.get(lease.version + 1)
        if newer and lease.until > newer.at + lease.bound_ms + ROUNDING_MS:
            late = lease.until - newer.at
            self._report(
                f"{lease.relay} granted version {lease.version} until {late / 1000:g} s after {newer.change}"
            )

    def record_result(
        self, process: RelayProcess, fingerprint: str, digest: str, rejection: str, change_revision: int
    ) -> None:
        """Records a validation result that a relay has received while the given change was open."""
        history = self.relays[process]
        history.results[fingerprint, digest] = rejection
        if rejection:
            history.rejections.add((change_revision, digest))

    def record_endorsement(self, now: float, process: RelayProcess) -> None:
        """Records that a relay has endorsed the lease of another relay."""
        history = self.relays[process]
        self.endorsed_until[history.name] = now + ENDORSEMENT_MS / history.rate

    def record_vote(self, now: float, process: RelayProcess, commit: Commit) -> None:
        """Records and checks a vote that a relay sends.

        The vote is checked against the change that it names, even if the change is no longer open."""
        history = self.relays[process]
        if self._has_endorsed(now, history):
            self._report(f"{history.name} votes although it has endorsed another relay")
        if now < self._earliest_vote_at(history) - ROUNDING_MS:
            self._report(f"{history.name} votes too early after it has taken over its cell")
        revision = next(compare.equals for compare in commit.compares if compare.key == self.keys.change)
        digest = self.changes.get(revision)
        if (
            not _is_acceptance(commit) or digest is None
        ):  # a vote for a change of another engine has no effect
            return
        if (revision, digest) in history.rejections:
            self._report(f"{history.name} votes to accept although a server has rejected the text")
        for lease in history.leases:
            if lease.until > now + ROUNDING_MS:
                self._check_result(history, lease, digest)

    def _check_result(self, history: RelayHistory, lease: GrantedLease, digest: str) -> None:
        result = history.results.get((lease.fingerprint, digest))
        if result != "":
            missing = "have not validated the text" if result is None else "have rejected the text"
            self._report(f"{history.name} votes to accept although servers of {lease.fingerprint} {missing}")

    def _has_endorsed(self, now: float, history: RelayHistory) -> bool:
        """Whether the relay has endorsed another relay and must neither grant nor vote."""
        return now < self.endorsed_until.get(history.name, 0.0) - ROUNDING_MS

    def _earliest_vote_at(self, history: RelayHistory) -> float:
        registered_at = self.registered_at.get(history.incarnation, -math.inf)
        return registered_at + TAKEOVER_VOTE_DELAY_MS / history.rate


def _is_acceptance(commit: Commit) -> bool:
    return any(isinstance(write, Put) and decode(write.value, Vote).accepted for write in commit.writes)


def _incarnation_of(write: Put) -> str:
    return decode(write.value, MemberStatus).incarnation
