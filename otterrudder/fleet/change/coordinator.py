"""Who sees to it that changes end: reads the votes, commits what they decide, opens the next in the queue."""

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

LEADER_SPREAD_MS = 1500.0  # ms over which members come forward to coordinate a change: one does
COUNT_INTERVAL_MS = 250.0  # ms between counts of the votes by whoever coordinates
MAX_COUNT_INTERVAL_MS = 2000.0  # ms between them once a change has been open for long
COUNT_AGE_SHARE = 1 / 8  # of the change's age, between counts
QUEUE_POLL_MS = 2000.0  # ms between looks for a change that waits, where no watch event came
MAX_LATENCY_MS = 100.0  # ms to the store's answer, from which on a coordinator comes forward as late as any

_Begun = TypeVar("_Begun", Read, Commit)


class ChangeCoordinator:
    """Sees to it that an open change ends, whoever proposed it, and that the next in the queue is opened.
    Members take turns by a leader key that depends on their lease: it saves the others the counting, and no
    promise rests on it.

    `effects` is asked with what the member has last seen; a proposer's own program counts without the
    leadership. With `retains_leadership`, it leads and looks after the queue also while nothing is open, as
    relays do; whoever hears the store soonest comes forward first, for each change costs the leader several
    answers of the store."""

    __slots__ = (
        "_busy",
        "_due_at",
        "_ended",
        "_forward_at",
        "_has_event",
        "_is_leader",
        "_next_text",
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
        self.change = ""  # the open change's id, or the key of the trial that is on
        self.latency_ms = MAX_LATENCY_MS  # to the store's answer, as far as seen
        self._seen_since = 0.0  # when that change was first seen
        self._due_at = 0.0
        self._busy = False  # an effect is under way
        self._sent = 0.0  # when it was begun
        self._has_event = False  # a watch event came since the last read
        self._is_leader = False  # as its member last said
        self._next_text = ""  # the digest of the text of the first that waits
        self._forward_at = math.inf  # when it takes the leadership, if nobody has it by then
        self._ended: FleetSnapshot | None = None  # of the change whose end is being committed
        self._strikes = 0  # counts in a row at which a metric on trial was above its bound

    def due(self) -> float:
        """When `effects` may next return something by itself."""
        if self._busy or not self.change and not self.retains_leadership:
            return math.inf
        return self._due_at

    def handle_watch_event(self, now: float) -> None:
        """Votes or the queue have changed: they are read now."""
        self._has_event = True
        self._due_at = min(self._due_at, now)

    def effects(
        self, now: float, change: str, is_leader: bool, has_leader: bool, lease: int, registered: int
    ) -> Read | Commit | None:
        """What is to be begun now; it owes `handle_result` one outcome. `change`: the open change's id, or
        the key of the trial that is on; "": neither. `is_leader`: the leadership is this member's;
        `has_leader`: somebody's. `lease` and `registered`: what the leadership depends on, and the revision
        of the status key of the process that takes it."""
        self._follow_member(now, change, is_leader)
        if self._busy or now < self._due_at or not change and not self.retains_leadership:
            return None
        if self.requires_leadership and not is_leader:
            may_lead = not has_leader and lease > 0 and registered > 0
            return self._come_forward(now, may_lead, lease, registered)
        self._forward_at = math.inf
        self._has_event = False
        names = coordination_keys(self.keys)
        if self._next_text:
            names = (*names, self.keys.text(self._next_text))
        return self._begin(now, Read(names, Lane.COORDINATE))

    def effects_for(self, now: float, member: Member) -> Read | Commit | None:
        """By what the member has last seen; nothing is coordinated on a store that it does not trust."""
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
        """How an effect ended. Returns what follows at once, if anything: its outcome is owed as well."""
        self._busy = False
        if outcome is not None:
            self.latency_ms = now - self._sent
        age = now - self._seen_since
        self._due_at = now + self._pause(age)
        ended, self._ended = self._ended, None
        if isinstance(outcome, CommitResult) and isinstance(effect, Commit):
            # Whether it leads now, its member knows once it has read.
            self._due_at = now + COUNT_INTERVAL_MS if effect.purpose == "lead" else now
            if outcome.succeeded and ended:
                return self._open_next(now, ended, effect, outcome)
        if not isinstance(outcome, Snapshot):
            return None
        return self._begin_commit(now, FleetSnapshot(self.keys, outcome), age)

    def _follow_member(self, now: float, change: str, is_leader: bool) -> None:
        """What the member has seen of the change and of the leadership since it was last asked."""
        if change != self.change:
            self.change, self._seen_since = change, now
            if not (is_leader and self.retains_leadership):
                self._due_at = now + (self._delay() if self.requires_leadership else 0.0)
        if is_leader and not self._is_leader:
            self._due_at = now  # it has just become the leader
        self._is_leader = is_leader

    def _pause(self, age_ms: float) -> float:
        """ms until the next read."""
        if self._has_event:
            return 0.0
        if not self.change:
            return QUEUE_POLL_MS
        return min(max(COUNT_INTERVAL_MS, age_ms * COUNT_AGE_SHARE), MAX_COUNT_INTERVAL_MS)

    def _begin_commit(self, now: float, snapshot: FleetSnapshot, age_ms: float) -> Commit | None:
        """What follows from a read: the end of the open change, the next in the queue, the end of a trial."""
        change, trial = snapshot.change, snapshot.trial
        if change and change.id != self.change:  # the member has not seen it yet
            self.change, self._seen_since, age_ms = change.id, now, 0.0
            self._due_at = now if self._has_event else now + COUNT_INTERVAL_MS
        lacks_next_text = self._lacks_next_text(snapshot)
        commit: Commit | None = None
        if change:
            commit = finish_change(snapshot, age_ms >= change.deadline_ms)
            self._ended = snapshot if commit and not lacks_next_text else None
        elif lacks_next_text:
            self._due_at = now  # it is opened with its text, which is read first
        else:
            commit = open_next(snapshot)
            if not commit and trial and trial_id(trial) == self.change:
                commit, self._strikes = evaluate_trial(snapshot, age_ms, self._strikes)
        return self._begin(now, commit) if commit else None

    def _lacks_next_text(self, snapshot: FleetSnapshot) -> bool:
        """Whether the text of the first that waits was not asked for in the read that gave this snapshot."""
        asked = self._next_text
        self._next_text = snapshot.queue[0].digest if snapshot.queue else ""
        return self._next_text not in ("", asked)

    def _open_next(
        self, now: float, ended: FleetSnapshot, effect: Commit, result: CommitResult
    ) -> Commit | None:
        """The next in the queue is opened at once, by what was read before the end was committed."""
        in_force = PolicyInForce.from_snapshot(ended)
        if effect.purpose == "commit" and ended.change:
            in_force = PolicyInForce(ended.change.version, ended.change.digest, result.revision)
        commit = open_next(ended, in_force)
        return self._begin(now, commit) if commit else None

    def _begin(self, now: float, effect: _Begun) -> _Begun:
        self._busy, self._sent = True, now
        return effect

    # Leadership.

    def _come_forward(self, now: float, may_lead: bool, lease: int, registered: int) -> Commit | None:
        """Takes the leadership where nobody has it. A relay, which retains it, lets nearer ones go first."""
        if may_lead and self.retains_leadership:
            if self._forward_at == math.inf:
                self._forward_at = now + self._delay()
            if now < self._forward_at:
                self._due_at = self._forward_at
                return None
        self._forward_at = math.inf
        self._due_at = now + LEADER_SPREAD_MS * (0.5 + self._draw())
        return self._begin(now, self._lead(lease, registered)) if may_lead else None

    def _lead(self, lease: int, registered: int) -> Commit:
        keys = self.keys
        compares = (
            Compare(keys.leader, "created", 0),
            Compare(keys.status(self.name), "created", registered),
        )
        return Commit("lead", compares, (Put(keys.leader, self.name.encode(), lease),), Lane.COORDINATE)

    def _delay(self) -> float:
        """ms until it comes forward: less where the store is near."""
        if not self.retains_leadership:
            return self._draw() * LEADER_SPREAD_MS
        nearness = min(self.latency_ms / MAX_LATENCY_MS, 1.0)
        return nearness * LEADER_SPREAD_MS * (0.5 + self._draw() / 2)

    def _draw(self) -> float:
        """A number from 0 to 1 that differs between members and changes: no randomness inside."""
        return zlib.crc32(f"{self.name}/{self.change}/leader".encode()) / 2**32
