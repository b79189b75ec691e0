"""An independent checker of a run. It keeps its own history of the commits that the store executed, the
leases that were sent over the wire, and the policy versions under which servers admit when they are sampled.
It does not rely on the state of any relay.

All times are simulated, and all clocks run at the same rate."""

import math
from dataclasses import dataclass, field

import msgspec

from otterrudder.fleet.effects import Commit
from otterrudder.fleet.records import Change, FinishedChange, Keys, PolicyHead, QueuedChange, decode
from otterrudder.fleet.store import Put

MAX_DESCRIBED_BREACHES = 5  # further breaches are only counted
TOLERANCE_MS = 1e-6  # rounding error of sums of floating-point times


@dataclass(slots=True)
class ChangeTimes:
    """The times at which a change reached each stage, in ms from the start of the run; inf for stages that it
    has not reached."""

    change_id: str
    proposed_at: float
    queued_at: float = math.inf
    opened_at: float = math.inf
    ended_at: float = math.inf
    in_force_at: float = math.inf
    queue_position: int | None = None
    version: int = 0  # policy version that the change produced; 0: it was not committed

    @property
    def latency_ms(self) -> float:
        """The time from the proposal until the change was in force on all servers, in ms."""
        return self.in_force_at - self.proposed_at


@dataclass(slots=True)
class HistoryChecker:
    """The history of a run and the breaches of its guarantees."""

    keys: Keys
    bound_ms: float
    changes: dict[str, ChangeTimes] = field(default_factory=dict)
    committed_at: list[float] = field(default_factory=lambda: [0.0])  # by version
    change_id_by_version: list[str] = field(default_factory=lambda: [""])
    # by version: latest time at which any server admitted under an earlier version
    admitted_until: list[float] = field(default_factory=lambda: [0.0])
    # by version: latest end of all leases that were sent for it
    granted_until: list[float] = field(default_factory=lambda: [0.0])
    aborted: list[str] = field(default_factory=list)
    breaches: int = 0
    breach_descriptions: list[str] = field(default_factory=list)
    max_stale_ms: float = 0.0  # longest use of a version after the commit of the next one

    @property
    def version(self) -> int:
        """The latest policy version that was committed to the store."""
        return len(self.committed_at) - 1

    def record_proposal(self, now: float, change_id: str) -> None:
        """Records that a change was proposed."""
        self.changes[change_id] = ChangeTimes(change_id, now)

    # Commits of the store

    def record_commit(self, now: float, commit: Commit) -> None:
        """Records a commit that the store executed."""
        for write in commit.writes:
            if not isinstance(write, Put):
                continue
            if write.key == self.keys.policy:
                self._record_policy(now, decode(write.value, PolicyHead))
            elif write.key == self.keys.change:
                times = self._times_of(decode(write.value, Change).id)
                times.opened_at = min(times.opened_at, now)
            elif write.key.startswith(self.keys.queue):
                self._times_of(decode(write.value, QueuedChange).id).queued_at = now
            elif write.key == self.keys.finished and commit.purpose == "abort":
                self._record_abort(now, write.value)

    def _times_of(self, change_id: str) -> ChangeTimes:
        return self.changes.setdefault(change_id, ChangeTimes(change_id, -math.inf))

    def _record_policy(self, now: float, head: PolicyHead) -> None:
        if head.version != self.version + 1:
            self._record_breach(f"version {head.version} was committed directly after version {self.version}")
        self.committed_at.append(now)
        self.change_id_by_version.append(head.change)
        self.admitted_until.append(now)
        self.granted_until.append(0.0)
        change = self._times_of(head.change)
        change.version = head.version
        change.ended_at = now
        for version in range(head.version):
            overrun_ms = self.granted_until[version] - self.committed_at[version + 1] - self.bound_ms
            if overrun_ms > TOLERANCE_MS:
                self._record_breach(f"a lease for version {version} ends {overrun_ms:.0f} ms after the bound")
                self.granted_until[version] = 0.0

    def _record_abort(self, now: float, value: bytes) -> None:
        finished = msgspec.json.decode(value, type=list[FinishedChange])[-1]
        self._times_of(finished.id).ended_at = now
        self.aborted.append(f"{finished.id}: {finished.reason}")

    # Leases granted by relays

    def record_grant(self, now: float, version: int, lease_ms: float) -> None:
        """Records and checks a lease for a policy version that a relay sent."""
        until = now + lease_ms
        if version >= self.version:
            if version > self.version:
                self._record_breach(f"a lease was granted for version {version}, which was never committed")
                return
            if until > self.granted_until[version]:
                self.granted_until[version] = until
            return
        overrun_ms = until - self.committed_at[version + 1] - self.bound_ms
        if overrun_ms > TOLERANCE_MS:
            self._record_breach(f"a lease for version {version} ends {overrun_ms:.0f} ms after the bound")

    # Policy versions under which servers admit

    def check_admission(self, now: float, server: str, version: int) -> None:
        """Checks that a server may admit under a policy version at this time."""
        if version >= self.version:
            if version > self.version:
                self._record_breach(f"{server} admits under version {version}, which was never committed")
            return
        stale_ms = now - self.committed_at[version + 1]
        self.max_stale_ms = max(self.max_stale_ms, stale_ms)
        if stale_ms > self.bound_ms + TOLERANCE_MS:
            self._record_breach(
                f"{server} admits under version {version} {stale_ms:.0f} ms after the next commit"
            )

    def record_version_end(self, version: int, newer: int, until: float) -> None:
        """Records that a server stopped admitting under `version` at time `until`.

        The server has since applied the version `newer`, or has stopped."""
        admitted_until = self.admitted_until
        for later in range(version + 1, min(newer, self.version) + 1):
            if until > admitted_until[later]:
                admitted_until[later] = until
        if version < self.version:
            stale_ms = until - self.committed_at[version + 1]
            if stale_ms > self.max_stale_ms:
                self.max_stale_ms = stale_ms
            if stale_ms > self.bound_ms + TOLERANCE_MS:
                self._record_breach(
                    f"a server applied version {version} until {stale_ms:.0f} ms after the next commit"
                )

    def close(self) -> None:
        """Sets the times at which changes were in force on all servers.

        Must be called after the last `record_version_end`, when the run is over."""
        for version in range(1, len(self.committed_at)):
            self.changes[self.change_id_by_version[version]].in_force_at = self.admitted_until[version]

    def _record_breach(self, description: str) -> None:
        self.breaches += 1
        if len(self.breach_descriptions) < MAX_DESCRIBED_BREACHES:
            self.breach_descriptions.append(description)
