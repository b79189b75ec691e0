"""Coordinates changes: reads the votes, commits the outcome that they decide, and opens the next change of
the queue."""

import math
import zlib
from typing import TypeVar

from otterrudder.fleet.change.finish import finish_change
from otterrudder.fleet.change.trial import evaluate_trial, trial_id
from otterrudder.fleet.change.votes import coordination_keys
from otterrudder.fleet.effects import Commit, Effect, Lane, Outcome, Read
from otterrudder.fleet.member import Member
from otterrudder.fleet.queue import PolicyInForce, open_next
from otterrudder.fleet.records import FleetSnapshot, Keys
from otterrudder.fleet.store import CommitResult, Compare, Put, Snapshot

# Members spread their attempts to become leader over this time, so that usually only one of them tries.
LEADER_SPREAD_MS = 1500.0
COUNT_INTERVAL_MS = 250.0  # minimum interval between two counts of the votes
# maximum interval between two counts, for a change that has been open for long
MAX_COUNT_INTERVAL_MS = 2000.0
COUNT_AGE_SHARE = 1 / 8  # interval between two counts as a fraction of the change's age
QUEUE_POLL_MS = 2000.0  # interval between reads of the queue without a watch event
# A coordinator with at least this latency to the store waits the longest before it tries to become leader.
MAX_LATENCY_MS = 100.0

_RequestT = TypeVar("_RequestT", Read, Commit)


class ChangeCoordinator:
    """Ends the open change, no matter who proposed it, and opens the next change of the queue.

    One member is the leader: it holds a leader key that is attached to its lease. Only the leader counts the
    votes, which spares the others the work. The safety of a change does not depend on having a single leader;
    the command that proposes a change counts its votes without being the leader.

    With `retains_leadership`, the coordinator stays the leader and serves the queue even while no change is
    open, as relays do. The one with the lowest latency to the store then tries first to become leader,
    because each change costs the leader several round trips to the store."""

    __slots__ = (
        "_busy",
        "_due_at",
        "_ended_snapshot",
        "_claim_at",
        "_has_event",
        "_is_leader",
        "_next_digest",
        "_seen_since",
        "_sent",
        "_strikes",
        "change",
        "keys",
        "latency_ms",
        "name",
        "requires_leadership",
        "retains_leadership",
    )

    def __init__(
        self, keys: Keys, name: str, requires_leadership: bool = True, retains_leadership: bool = False
    ) -> None:
        self.keys = keys
        self.name = name
        self.requires_leadership = requires_leadership
        self.retains_leadership = retains_leadership
        self.change = ""  # ID of the open change or of the current trial; "" if there is neither
        self.latency_ms = MAX_LATENCY_MS  # time that the store took for the last answer
        self._seen_since = 0.0  # when `change` was first seen
        self._due_at = 0.0  # when the next effect is due
        self._busy = False  # whether an effect is in flight
        self._sent = 0.0  # when the last effect was started
        self._has_event = False  # whether a watch event arrived since the last read
        self._is_leader = False  # whether the member was the leader when last asked
        self._next_digest = ""  # digest of the text of the first change in the queue
        self._claim_at = math.inf  # when to claim the leadership, if there is no leader by then
        # snapshot from which the open change is being ended
        self._ended_snapshot: FleetSnapshot | None = None
        self._strikes = 0  # consecutive evaluations of the trial with a metric above its bound

    def due(self) -> float:
        """Returns the earliest time at which `effects` may return something without a new event."""
        if self._busy or not self.change and not self.retains_leadership:
            return math.inf
        return self._due_at

    def handle_watch_event(self, now: float) -> None:
        """Schedules a read at once, because votes or the queue have changed."""
        self._has_event = True
        self._due_at = min(self._due_at, now)

    def effects(
        self, now: float, change: str, is_leader: bool, has_leader: bool, lease: int, registered: int
    ) -> Read | Commit | None:
        """Returns the effect to start now, if any. The caller must pass its outcome to `handle_result`.

        `change` is the ID of the open change or of the current trial, or "". `is_leader` says whether this
        member is the leader, and `has_leader` whether any member is. `lease` is the lease that the leader key
        is attached to, and `registered` is the revision that created this process's status key."""
        self._follow_member(now, change, is_leader)
        if self._busy or now < self._due_at or not change and not self.retains_leadership:
            return None
        if self.requires_leadership and not is_leader:
            may_lead = not has_leader and lease > 0 and registered > 0
            return self._claim_leadership(now, may_lead, lease, registered)
        self._claim_at = math.inf
        self._has_event = False
        names = coordination_keys(self.keys)
        if self._next_digest:
            names = (*names, self.keys.text(self._next_digest))
        return self._begin(now, Read(names, Lane.COORDINATE))

    def effects_for(self, now: float, member: Member) -> Read | Commit | None:
        """Returns the effect to start now, from the member's last observation. Coordinates nothing while the
        member does not trust the store."""
        observed = member.observed
        change = ""
        if observed and not member.distrust_reason:
            trial = trial_id(observed.trial) if observed.trial else ""
            change = observed.open.id if observed.open else trial
        elif self.retains_leadership:
            self._due_at = max(self._due_at, now + COUNT_INTERVAL_MS)
            return None
        has_leader = bool(observed and observed.has_leader)
        return self.effects(now, change, member.is_leader, has_leader, member.lease, member.registered)

    def handle_result(self, now: float, effect: Effect, outcome: Outcome) -> Commit | None:
        """Handles the outcome of an effect. Returns the commit that follows at once, if any; its outcome has
        to be passed here as well."""
        self._busy = False
        if outcome is not None:
            self.latency_ms = now - self._sent
        age = now - self._seen_since
        self._due_at = now + self._read_delay(age)
        ended, self._ended_snapshot = self._ended_snapshot, None
        if isinstance(outcome, CommitResult) and isinstance(effect, Commit):
            # The member learns from its next read whether it is the leader.
            self._due_at = now + COUNT_INTERVAL_MS if effect.purpose == "lead" else now
            if outcome.succeeded and ended:
                return self._open_next(now, ended, effect, outcome)
        if not isinstance(outcome, Snapshot):
            return None
        return self._begin_commit(now, FleetSnapshot(self.keys, outcome), age)

    def _follow_member(self, now: float, change: str, is_leader: bool) -> None:
        """Updates the change and the leadership from the member's last observation."""
        if change != self.change:
            self.change, self._seen_since = change, now
            if not (is_leader and self.retains_leadership):
                self._due_at = now + (self._claim_delay() if self.requires_leadership else 0.0)
        if is_leader and not self._is_leader:
            self._due_at = now  # the member has just become the leader
        self._is_leader = is_leader

    def _read_delay(self, age_ms: float) -> float:
        """Returns the time until the next read, in ms."""
        if self._has_event:
            return 0.0
        if not self.change:
            return QUEUE_POLL_MS
        return min(max(COUNT_INTERVAL_MS, age_ms * COUNT_AGE_SHARE), MAX_COUNT_INTERVAL_MS)

    def _begin_commit(self, now: float, snapshot: FleetSnapshot, age_ms: float) -> Commit | None:
        """Returns the commit that follows from a read, if any: one that ends the open change, opens the next
        change of the queue, or ends a trial."""
        change, trial = snapshot.change, snapshot.trial
        if change and change.id != self.change:  # the member has not read it yet
            self.change, self._seen_since, age_ms = change.id, now, 0.0
            self._due_at = now if self._has_event else now + COUNT_INTERVAL_MS
        lacks_next_text = self._lacks_next_text(snapshot)
        commit: Commit | None = None
        if change:
            commit = finish_change(snapshot, age_ms >= change.deadline_ms)
            self._ended_snapshot = snapshot if commit and not lacks_next_text else None
        elif lacks_next_text:
            self._due_at = now  # the text of the next change is read before the change is opened
        else:
            commit = open_next(snapshot)
            if not commit and trial and trial_id(trial) == self.change:
                commit, self._strikes = evaluate_trial(snapshot, age_ms, self._strikes)
        return self._begin(now, commit) if commit else None

    def _lacks_next_text(self, snapshot: FleetSnapshot) -> bool:
        """Whether the read of this snapshot did not request the text of the first change in the queue."""
        requested_digest = self._next_digest
        self._next_digest = snapshot.queue[0].digest if snapshot.queue else ""
        return self._next_digest not in ("", requested_digest)

    def _open_next(
        self, now: float, ended: FleetSnapshot, effect: Commit, result: CommitResult
    ) -> Commit | None:
        """Returns the commit that opens the next change of the queue right after the previous one has ended.
        It is based on the snapshot from which the previous change was ended."""
        in_force = PolicyInForce.from_snapshot(ended)
        if effect.purpose == "commit" and ended.change:
            in_force = PolicyInForce(ended.change.version, ended.change.digest, result.revision)
        commit = open_next(ended, in_force)
        return self._begin(now, commit) if commit else None

    def _begin(self, now: float, effect: _RequestT) -> _RequestT:
        self._busy, self._sent = True, now
        return effect

    # Leadership.

    def _claim_leadership(self, now: float, may_lead: bool, lease: int, registered: int) -> Commit | None:
        """Returns the commit that claims the leadership if there is no leader. A relay, which retains the
        leadership, first gives relays with a lower latency to the store the time to claim it."""
        if may_lead and self.retains_leadership:
            if self._claim_at == math.inf:
                self._claim_at = now + self._claim_delay()
            if now < self._claim_at:
                self._due_at = self._claim_at
                return None
        self._claim_at = math.inf
        self._due_at = now + LEADER_SPREAD_MS * (0.5 + self._jitter())
        return self._begin(now, self._leadership_commit(lease, registered)) if may_lead else None

    def _leadership_commit(self, lease: int, registered: int) -> Commit:
        keys = self.keys
        compares = (
            Compare(keys.leader, "created", 0),
            Compare(keys.status(self.name), "created", registered),
        )
        return Commit("lead", compares, (Put(keys.leader, self.name.encode(), lease),), Lane.COORDINATE)

    def _claim_delay(self) -> float:
        """Returns the delay before the member claims the leadership, in ms. The delay of a relay is shorter
        if its latency to the store is lower."""
        if not self.retains_leadership:
            return self._jitter() * LEADER_SPREAD_MS
        distance = min(self.latency_ms / MAX_LATENCY_MS, 1.0)
        return distance * LEADER_SPREAD_MS * (0.5 + self._jitter() / 2)

    def _jitter(self) -> float:
        """Returns a number from 0 to 1 that differs between members and changes. It is a hash instead of a
        random number, because the coordinator is pure."""
        return zlib.crc32(f"{self.name}/{self.change}/leader".encode()) / 2**32
