"""An independent checker with a history of its own: what was committed, as the store wrote it; what was
granted, as it went over the wire; and what servers admit under, as they answer at the moment. It takes no
relay's word.

Time is the simulation's, and all clocks run alike in it."""

import math
from dataclasses import dataclass, field

import msgspec

from otterrudder.fleet.effects import Commit
from otterrudder.fleet.records import Change, FinishedChange, Keys, PolicyHead, QueuedChange, decode
from otterrudder.fleet.store import Put

MAX_DESCRIBED_BREACHES = 5  # past that they are only counted
TOLERANCE_MS = 1e-6  # of sums of floating-point numbers


@dataclass(slots=True)
class ChangeTimes:
    """When a change passed each stage, in ms from the start; inf: it has not come to that."""

    change_id: str
    proposed_at: float
    queued_at: float = math.inf
    opened_at: float = math.inf
    ended_at: float = math.inf
    in_force_at: float = math.inf
    queue_position: int | None = None
    version: int = 0  # that it brought; 0: it was not committed

    @property
    def propagation_ms(self) -> float:
        """From the proposal to in force everywhere."""
        return self.in_force_at - self.proposed_at


@dataclass(slots=True)
class HistoryChecker:
    """The history of a run, and how often it broke a promise."""

    keys: Keys
    bound_ms: float
    changes: dict[str, ChangeTimes] = field(default_factory=dict)
    committed_at: list[float] = field(default_factory=lambda: [0.0])  # by version
    change_id_by_version: list[str] = field(default_factory=lambda: [""])  # by version
    admitted_until: list[float] = field(default_factory=lambda: [0.0])  # by version: under an earlier one
    granted_until: list[float] = field(default_factory=lambda: [0.0])  # by version, of all grants sent
    aborted: list[str] = field(default_factory=list)
    breaches: int = 0
    breach_descriptions: list[str] = field(default_factory=list)
    max_stale_ms: float = 0.0  # longest time admitted under a version after a later one was committed

    @property
    def version(self) -> int:
        """The version in force, as the store has it."""
        return len(self.committed_at) - 1

    def record_proposal(self, now: float, change_id: str) -> None:
        """A change is proposed."""
        self.changes[change_id] = ChangeTimes(change_id, now)

    # What the store writes.

    def record_commit(self, now: float, commit: Commit) -> None:
        """The store carried out a commit."""
        for write in commit.writes:
            if not isinstance(write, Put):
                continue
            if write.key == self.keys.policy:
                self._record_policy(now, decode(write.value, PolicyHead))
            elif write.key == self.keys.change:
                opened = self._times_of(decode(write.value, Change).id)
                opened.opened_at = min(opened.opened_at, now)
            elif write.key.startswith(self.keys.queue):
                self._times_of(decode(write.value, QueuedChange).id).queued_at = now
            elif write.key == self.keys.finished and commit.purpose == "abort":
                self._record_abort(now, write.value)

    def _times_of(self, change_id: str) -> ChangeTimes:
        return self.changes.setdefault(change_id, ChangeTimes(change_id, -math.inf))

    def _record_policy(self, now: float, head: PolicyHead) -> None:
        if head.version != self.version + 1:
            self._record_breach(f"version {head.version} was committed after {self.version}")
        self.committed_at.append(now)
        self.change_id_by_version.append(head.change)
        self.admitted_until.append(now)
        self.granted_until.append(0.0)
        change = self._times_of(head.change)
        change.version = head.version
        change.ended_at = now
        for version in range(head.version):
            late = self.granted_until[version] - self.committed_at[version + 1] - self.bound_ms
            if late > TOLERANCE_MS:
                self._record_breach(f"version {version} was granted for {late:.0f} ms past its bound")
                self.granted_until[version] = 0.0

    def _record_abort(self, now: float, value: bytes) -> None:
        end = msgspec.json.decode(value, type=list[FinishedChange])[-1]
        self._times_of(end.id).ended_at = now
        self.aborted.append(f"{end.id}: {end.reason}")

    # What relays grant.

    def record_grant(self, now: float, version: int, span_ms: float) -> None:
        """A relay sent a lease for a version."""
        until = now + span_ms
        if version >= self.version:
            if version > self.version:
                self._record_breach(f"version {version} was granted and never committed")
                return
            if until > self.granted_until[version]:
                self.granted_until[version] = until
            return
        late = until - self.committed_at[version + 1] - self.bound_ms
        if late > TOLERANCE_MS:
            self._record_breach(f"version {version} was granted for {late:.0f} ms past its bound")

    # What servers admit under.

    def check_admission(self, now: float, server: str, version: int) -> None:
        """A server admits under this version now."""
        if version >= self.version:
            if version > self.version:
                self._record_breach(f"{server} admits under {version}, which was never committed")
            return
        age = now - self.committed_at[version + 1]
        self.max_stale_ms = max(self.max_stale_ms, age)
        if age > self.bound_ms + TOLERANCE_MS:
            self._record_breach(f"{server} admits under {version}, {age:.0f} ms after the next one")

    def record_version_end(self, version: int, newer: int, until: float) -> None:
        """A server stopped admitting under a version at that time, and goes by a newer one, or none."""
        admitted_until = self.admitted_until
        for later in range(version + 1, min(newer, self.version) + 1):
            if until > admitted_until[later]:
                admitted_until[later] = until
        if version < self.version:
            age = until - self.committed_at[version + 1]
            if age > self.max_stale_ms:
                self.max_stale_ms = age
            if age > self.bound_ms + TOLERANCE_MS:
                self._record_breach(f"a server went by {version} for {age:.0f} ms after the next one")

    def close(self) -> None:
        """Once all servers that still run have `left`: the times at which changes were in force
        everywhere."""
        for version in range(1, len(self.committed_at)):
            self.changes[self.change_id_by_version[version]].in_force_at = self.admitted_until[version]

    def _record_breach(self, what: str) -> None:
        self.breaches += 1
        if len(self.breach_descriptions) < MAX_DESCRIBED_BREACHES:
            self.breach_descriptions.append(what)
