"""The history checker of a model of cells: what was written to the store, sent on the wire and endorsed, and
which promise that breaks. It never asks the code under test."""

import math
from dataclasses import dataclass, field

from otterrudder.fleet.cell.endorsement import ENDORSEMENT_MS
from otterrudder.fleet.cell.messages import LeaseGrant
from otterrudder.fleet.cell.relay import TAKEOVER_VOTE_DELAY_MS
from otterrudder.fleet.effects import Commit
from otterrudder.fleet.records import FleetSnapshot, Keys, MemberStatus, PolicyHead, Vote, decode
from otterrudder.fleet.store import Put
from otterrudder.lab.fleet.history_checker import CommittedVersion, commit_violation

ROUNDING_MS = 0.001  # times of clocks with other rates are computed in floating point

RelayProcess = tuple[int, int]  # the place of a relay, and the number of its process there


@dataclass(frozen=True, slots=True)
class GrantedLease:
    """A lease that a process of a relay has granted. Times are by the store's clock."""

    relay: str
    fingerprint: str
    version: int
    until: float
    bound_ms: float  # as long as the bound is by the relay's own clock


@dataclass(slots=True)
class RelayHistory:
    """What one process of a relay has received and sent."""

    name: str
    incarnation: str
    rate: float = 1.0  # of its clock
    leases: list[GrantedLease] = field(default_factory=list)
    results: dict[tuple[str, str], str] = field(default_factory=dict)  # by fingerprint and digest
    rejections: set[tuple[int, str]] = field(default_factory=set)  # the change's revision, and the digest

    def copy(self) -> "RelayHistory":
        """A copy that goes its own way."""
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
    """Records events as they happen; `violation` is the first promise that one of them broke."""

    keys: Keys
    bound_ms: float
    committed: dict[int, CommittedVersion] = field(default_factory=dict)  # by version
    texts: dict[int, str] = field(default_factory=dict)  # by version
    changes: dict[int, str] = field(default_factory=dict)  # digest by the revision that made the change
    bases: dict[str, str] = field(default_factory=dict)  # of queued changes: the digest each was made from
    registered_at: dict[str, float] = field(default_factory=dict)  # by incarnation
    endorsed_until: dict[str, float] = field(default_factory=dict)  # by relay, whatever its process
    relays: dict[RelayProcess, RelayHistory] = field(default_factory=dict)
    violation: str = ""

    def copy(self) -> "CellHistoryChecker":
        """A copy that goes its own way."""
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
        """A commit took effect."""
        for write in commit.writes:
            if not isinstance(write, Put):
                continue
            if write.key == self.keys.policy:
                self._record_policy(now, decode(write.value, PolicyHead), before)
            elif write.key == self.keys.change and before.change and commit.purpose in ("open", "propose"):
                self._report(f"{commit.purpose}: a change was opened over {before.change.id}")
            elif write.key.startswith(self.keys.statuses) and commit.purpose == "register":
                self.registered_at.setdefault(_incarnation_of(write), now)

    def _record_policy(self, now: float, head: PolicyHead, before: FleetSnapshot) -> None:
        if violation := commit_violation(head, before, self.committed):
            self._report(violation)
        base = self.bases.get(head.change, "")
        in_force = before.policy.digest if before.policy else ""
        if base and base != in_force:
            self._report(f"{head.change} was made from a policy that was not in force any more")
        self.committed[head.version] = CommittedVersion(head.change, now)
        for history in self.relays.values():
            for lease in history.leases:
                self._check_lease(lease)

    # The wire.

    def record_grant(self, now: float, process: RelayProcess, fingerprint: str, grant: LeaseGrant) -> None:
        """A relay has sent a grant; its own clock counts from now."""
        history = self.relays[process]
        until = now + grant.span_ms / history.rate
        bound_ms = self.bound_ms / history.rate
        lease = GrantedLease(history.name, fingerprint, grant.version, until, bound_ms)
        history.leases = [one for one in history.leases if one.until > now]
        history.leases.append(lease)
        if self._is_bound(now, history):
            self._report(f"{history.name} grants a lease though it has endorsed another relay's")
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
        """A relay has received a validation result, while the change of that revision was open."""
        history = self.relays[process]
        history.results[fingerprint, digest] = rejection
        if rejection:
            history.rejections.add((change_revision, digest))

    def record_endorsement(self, now: float, process: RelayProcess) -> None:
        """A relay has endorsed another one's lease."""
        history = self.relays[process]
        self.endorsed_until[history.name] = now + ENDORSEMENT_MS / history.rate

    def record_vote(self, now: float, process: RelayProcess, commit: Commit) -> None:
        """A relay sends a vote. It is checked against the change that it names, whether that is still open
        or not."""
        history = self.relays[process]
        if self._is_bound(now, history):
            self._report(f"{history.name} votes though it has endorsed another relay's lease")
        if now < self._may_vote_from(history) - ROUNDING_MS:
            self._report(f"{history.name} votes as soon as it has taken its cell over")
        revision = next(compare.equals for compare in commit.compares if compare.key == self.keys.change)
        digest = self.changes.get(revision)
        if not _is_yes(commit) or digest is None:  # of another engine's change: it counts nowhere
            return
        if (revision, digest) in history.rejections:
            self._report(f"{history.name} votes yes though a server has rejected the text")
        for lease in history.leases:
            if lease.until > now + ROUNDING_MS:
                self._check_result(history, lease, digest)

    def _check_result(self, history: RelayHistory, lease: GrantedLease, digest: str) -> None:
        result = history.results.get((lease.fingerprint, digest))
        if result != "":
            missing = "were not asked" if result is None else "have rejected the text"
            self._report(f"{history.name} votes yes though servers of {lease.fingerprint} {missing}")

    def _is_bound(self, now: float, history: RelayHistory) -> bool:
        """Whether its endorsement binds the relay."""
        return now < self.endorsed_until.get(history.name, 0.0) - ROUNDING_MS

    def _may_vote_from(self, history: RelayHistory) -> float:
        registered_at = self.registered_at.get(history.incarnation, -math.inf)
        return registered_at + TAKEOVER_VOTE_DELAY_MS / history.rate


def _is_yes(commit: Commit) -> bool:
    return any(isinstance(write, Put) and decode(write.value, Vote).accepted for write in commit.writes)


def _incarnation_of(write: Put) -> str:
    return decode(write.value, MemberStatus).incarnation
