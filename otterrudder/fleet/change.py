"""A change of policy: proposed, settled, undone; and a name struck off the roster. Pure: a whole view of the
store in, one commit out.

Whoever settles decides nothing: the votes do. A change is committed once every name on the roster has said
yes, or was left out by its own rule with its lease lapsed; it is aborted at the first no and at its deadline.
All of these are one commit that compares the open change as it was read, and who had registered by then; so
of any number of settlers at any time, dead or alive, one commit takes effect and the others fall. A vote,
once in the store, stays until the change ends: what was counted at a read still stands at the commit.

A commit has a handful of writes and compares at any size of the fleet, for engines bound them (etcd: 128)."""

import math
import zlib
from dataclasses import dataclass
from typing import TypeVar

from otterrudder.fleet.effects import Commit, Effect, Lane, Outcome, Read
from otterrudder.fleet.member import Member
from otterrudder.fleet.queue import PolicyInForce, append_finished, open_next
from otterrudder.fleet.records import (
    MAX_NOTE_LENGTH,
    MAX_TEXT_BYTES,
    Change,
    FinishedChange,
    FleetSnapshot,
    Keys,
    PolicyHead,
    Trial,
    digest_of,
    encode,
)
from otterrudder.fleet.store import CommitResult, Compare, Delete, Put, Snapshot, Write

LEADER_SPREAD_MS = 1500.0  # ms over which members come forward to settle a change: one does
COUNT_MS = 250.0  # ms between counts of the votes by whoever settles
QUEUE_POLL_MS = 2000.0  # ms between looks for a change that waits, where no hint came
MAX_LATENCY_MS = 100.0  # ms to the store's answer, from which on a coordinator comes forward as late as any
MAX_COUNT_MS = 2000.0  # ms between them once a change has been open for long
STRIKES = 3  # counts in a row at which a figure on trial has to be too high: one may be a moment's
MAX_REASONS = 8  # noes that are kept with an end: one has a file and a key to look at, not a thousand


_Begun = TypeVar("_Begun", Read, Commit)


class ChangeRejectedError(Exception):
    """What was asked for can't be done now, in one line."""


@dataclass(frozen=True, slots=True)
class Count:
    """How the votes stand."""

    accepted: tuple[str, ...]
    rejections: tuple[tuple[str, str], ...]  # name and reason
    pending: tuple[str, ...]
    left_out: tuple[str, ...]


def coordination_keys(keys: Keys) -> tuple[str, ...]:
    """What a coordinator and an operator read."""
    return (keys.head, keys.joined, keys.rosters, keys.statuses, keys.votes, keys.queue)


def count_votes(view: FleetSnapshot) -> Count:
    """Who of the roster has voted, and who need not."""
    votes, statuses = view.votes, view.statuses
    accepted, rejections, pending, left_out = [], [], [], []
    for name, roster in view.rosters.items():
        vote = votes.get(name)
        if vote and vote.accepted:
            accepted.append(name)
        elif vote:
            rejections.append((name, vote.reason))
        elif roster.absent == "leave-out" and name not in statuses:
            left_out.append(name)
        else:
            pending.append(name)
    return Count(tuple(accepted), tuple(rejections), tuple(pending), tuple(left_out))


def propose(
    view: FleetSnapshot,
    ident: str,
    text: str,
    author: str,
    note: str,
    at: float,
    deadline_ms: float,
    trial_ms: float = 0.0,
    conditions: tuple[tuple[str, float], ...] = (),
) -> Commit:
    """Opens a change; Refused says by whom another one is open. `ident`: the proposer's own, never used
    before. `trial_ms` and `conditions`: what it is on trial for once it is in force."""
    if len(text.encode()) > MAX_TEXT_BYTES:
        raise ChangeRejectedError(f"a policy may have {MAX_TEXT_BYTES} bytes, not {len(text.encode())}")
    digest, head = digest_of(text), view.policy
    version = head.version + 1 if head else 1
    if conditions and not head:
        raise ChangeRejectedError("a trial needs an earlier policy to go back to, and none was ever in force")
    back = head.digest if head else ""
    trial = Trial(ident, version, back, trial_ms, conditions) if conditions else None
    change = Change(
        ident, version, digest, author[:MAX_NOTE_LENGTH], note[:MAX_NOTE_LENGTH], at, deadline_ms, trial
    )
    texts = (Put(view.keys.text(digest), text.encode()), Put(view.keys.opening, text.encode()))
    return _open(view, change, texts)


def _open(view: FleetSnapshot, change: Change, more: tuple[Write, ...] = ()) -> Commit:
    keys = view.keys
    if waiting := len(view.queue):
        raise ChangeRejectedError(f"{waiting} changes wait in the queue, and come first")
    if opened := view.change:
        raise ChangeRejectedError(
            f"a change to version {opened.version} is open: {opened.author or 'unnamed'}, "
            f"{opened.note or 'no note'} ({opened.id})"
        )
    compares = (
        Compare(keys.change, "created", 0),
        Compare(keys.policy, "modified", view.snapshot.modified(keys.policy)),
    )
    return Commit("propose", compares, (Put(keys.change, encode(change)), *more), Lane.COORDINATE)


def trial_metrics(view: FleetSnapshot, trial: Trial) -> dict[str, float]:
    """The trial's figures in the mean of those who serve under it and tell them; nothing until half do."""
    statuses = view.statuses.values()
    telling = [
        dict(status.figures) for status in statuses if status.version == trial.version and status.figures
    ]
    if not telling or 2 * len(telling) < len(statuses):
        return {}
    found = {}
    for fact, _ in trial.conditions:
        told = [figures[fact] for figures in telling if math.isfinite(figures.get(fact, math.nan))]
        if told:
            found[fact] = sum(told) / len(told)
    return found


def evaluate_trial(view: FleetSnapshot, age_ms: float, strikes: int) -> tuple[Commit | None, int]:
    """What is to be done about a policy on trial, and how many counts in a row a figure has been too high.
    The way back is a change like any other, with a name that any two who come to it share."""
    keys, trial, head = view.keys, view.trial, view.policy
    if not trial or not head or view.change:
        return None, strikes
    figures = trial_metrics(view, trial)
    over = [
        f"{fact} {figures[fact]:.3g} > {bound:g}"
        for fact, bound in trial.conditions
        if figures.get(fact, -math.inf) > bound
    ]
    ident = f"back-{trial.change}"
    is_tried = find_change(view, ident) is not None  # and was aborted: an operator has to look
    if is_tried or head.version != trial.version or age_ms >= trial.span_ms:
        compares = (Compare(keys.trial, "modified", view.snapshot.modified(keys.trial)),)
        return Commit("trial over", compares, (Delete(keys.trial),), Lane.COORDINATE), 0
    if not over or strikes + 1 < STRIKES:
        return None, strikes + 1 if over else 0
    note = f"trial of version {trial.version} ended: {', '.join(over)}"
    change = Change(
        ident,
        head.version + 1,
        trial.rollback_digest,
        "the fleet",
        note[:MAX_NOTE_LENGTH],
        head.proposed_at_ms,
    )
    return _open(view, change), 0


def find_change(view: FleetSnapshot, ident: str) -> FinishedChange | Change | None:
    """What became of a change: its end, itself while it is open, or None: it never took effect (or is out of
    the list of ends)."""
    if view.change and view.change.id == ident:
        return view.change
    return next((end for end in view.finished if end.id == ident), None)


def finish_change(view: FleetSnapshot, is_late: bool) -> Commit | None:
    """The end of the open change, if it can be told. `is_late`: its deadline has passed."""
    change = view.change
    if not change:
        return None
    told = count_votes(view)
    if told.rejections:
        named = [f"{name}: {why}" for name, why in told.rejections[:MAX_REASONS]]
        more = len(told.rejections) - len(named)
        return _end(view, change, False, "; ".join(named) + (f"; and {more} more" if more else ""))
    if not told.pending:
        return _end(view, change, True, "", told.left_out)
    if is_late:
        named = list(told.pending[:MAX_REASONS])
        if more := len(told.pending) - len(named):
            named.append(f"{more} more")
        return _end(view, change, False, f"no word in time from {', '.join(named)}")
    return None


def withdraw(view: FleetSnapshot, ident: str, why: str) -> Commit:
    """Ends an open change on its proposer's word; Refused where it is open no more."""
    if not view.change or view.change.id != ident:
        raise ChangeRejectedError("it is open no more")
    return _end(view, view.change, False, why)


def remove_member(view: FleetSnapshot, name: str) -> Commit:
    """Takes a server that is gone for good off the roster: no change waits for it any more. Refused while it
    is alive or unknown."""
    keys = view.keys
    if name not in view.rosters:
        raise ChangeRejectedError(f"{name} is not on the roster")
    if name in view.statuses:
        raise ChangeRejectedError(f"{name} lives: its lease has not lapsed")
    compares = (
        Compare(keys.roster(name), "modified", view.snapshot.modified(keys.roster(name))),
        Compare(keys.status(name), "created", 0),
    )
    return Commit("gone", compares, (Delete(keys.roster(name)),), Lane.COORDINATE)


def _end(
    view: FleetSnapshot, change: Change, committed: bool, why: str, left_out: tuple[str, ...] = ()
) -> Commit:
    keys, entries = view.keys, view.snapshot.entries
    end = FinishedChange(
        change.id,
        change.version,
        change.digest,
        committed,
        why[:MAX_NOTE_LENGTH],
        change.author,
        change.note,
        left_out[:MAX_REASONS],
    )
    head = view.policy
    in_force = change.digest if committed else head.digest if head else ""
    ended, compared = append_finished(view, end, in_force)
    struck = (Delete(keys.change), Delete(keys.opening), Delete(keys.votes, is_prefix=True))
    writes: list[Write] = [*ended, *struck]
    if committed:
        new = PolicyHead(
            change.version, change.id, change.digest, change.author, change.note, change.proposed_at_ms
        )
        writes.append(Put(keys.policy, encode(new)))
        writes.append(Put(keys.trial, encode(change.trial)) if change.trial else Delete(keys.trial))
    compares = [Compare(keys.change, "modified", entries[keys.change].modified), *compared]
    if committed and not compared:  # nobody has come since whose vote was not counted
        compares.append(Compare(keys.joined, "modified", view.snapshot.modified(keys.joined)))
    return Commit("commit" if committed else "abort", tuple(compares), tuple(writes), Lane.COORDINATE)


def trial_key(trial: Trial) -> str:
    """What a coordinator knows a trial by."""
    return f"trial of {trial.change}"


class ChangeCoordinator:
    """Sees to it that an open change ends, whoever proposed it, and that the next in the queue is opened.
    Members take turns by a key that hangs on their lease: it saves the others the counting, and no promise
    rests on it.

    `effects` is asked with what the member has last seen; a proposer's own program counts without the
    leadership. `retains_leadership`: it leads and looks after the queue also while nothing is open, as relays
    do; who hears the store soonest comes forward first, for each change costs the leader several answers of
    the store."""

    __slots__ = (
        "_at",
        "_busy",
        "_ended",
        "_forward_at",
        "_is_hinted",
        "_next_text",
        "_is_leader",
        "_seen_since",
        "_sent",
        "_strikes",
        "change",
        "retains_leadership",
        "keys",
        "latency_ms",
        "name",
        "requires_leadership",
    )

    def __init__(
        self, keys: Keys, name: str, requires_leadership: bool = True, retains_leadership: bool = False
    ) -> None:
        self.keys, self.name, self.requires_leadership = keys, name, requires_leadership
        self.retains_leadership = retains_leadership
        self.change = ""
        self.latency_ms = MAX_LATENCY_MS  # to the store's answer, as far as seen
        self._seen_since = self._at = 0.0
        self._busy = False
        self._is_hinted = False
        self._is_leader = False  # as its member last said
        self._next_text = ""  # the digest of the text of the first that waits
        self._sent = 0.0
        self._forward_at = math.inf  # when it takes the leadership, if nobody has it by then
        self._ended: FleetSnapshot | None = None  # of the change whose end is being committed
        self._strikes = 0  # counts in a row at which a figure on trial was too high

    def due(self) -> float:
        if self._busy or not self.change and not self.retains_leadership:
            return float("inf")
        return self._at

    def handle_watch_event(self, now: float) -> None:
        """Votes or the queue have changed: they are read now."""
        self._is_hinted = True
        self._at = min(self._at, now)

    def effects(
        self, now: float, opened: str, is_leader: bool, has_leader: bool, lease: int, registered: int
    ) -> Read | Commit | None:
        """`opened`: the open change's id, or the trial's that is on; "": neither; `is_leader`: it is this
        member's; `has_leader`: somebody is; `lease` and `registered`: what the leadership hangs on, and the
        life it is taken for."""
        if opened != self.change:
            self.change, self._seen_since = opened, now
            if not (is_leader and self.retains_leadership):
                self._at = now + (self._delay() if self.requires_leadership else 0.0)
        if is_leader and not self._is_leader:
            self._at = now  # it has just become the leader
        self._is_leader = is_leader
        if self._busy or now < self._at or not opened and not self.retains_leadership:
            return None
        if self.requires_leadership and not is_leader:
            may_lead = not has_leader and lease > 0 and registered > 0
            return self._come_forward(now, may_lead, lease, registered)
        self._forward_at = math.inf
        self._is_hinted = False
        names = coordination_keys(self.keys)
        if self._next_text:
            names = (*names, self.keys.text(self._next_text))
        return self._begin(now, Read(names, Lane.COORDINATE))

    def effects_for(self, now: float, member: Member) -> Read | Commit | None:
        """By what the member has last seen; nothing is settled on an engine that it doubts."""
        observed = member.observed
        opened = ""
        if observed and not member.mistrust:
            opened = (
                observed.open.id if observed.open else trial_key(observed.trial) if observed.trial else ""
            )
        elif self.retains_leadership:
            self._at = max(self._at, now + COUNT_MS)
            return None
        has_leader = bool(observed and observed.has_leader)
        return self.effects(now, opened, member.is_leader, has_leader, member.lease, member.registered)

    def handle_result(self, now: float, effect: Effect, outcome: Outcome) -> Commit | None:
        """What is to be done upon that, if anything: its outcome is owed as well."""
        self._busy = False
        if outcome is not None:
            self.latency_ms = now - self._sent
        age = now - self._seen_since
        self._at = now + self._pause(age)
        ended, self._ended = self._ended, None
        if isinstance(outcome, CommitResult) and isinstance(effect, Commit):
            # Whether it leads now, its member knows once it has read.
            self._at = now + COUNT_MS if effect.purpose == "lead" else now
            if outcome.succeeded and ended:
                return self._follow(now, ended, effect, outcome)
        if not isinstance(outcome, Snapshot):
            return None
        return self._begin_commit(now, FleetSnapshot(self.keys, outcome), age)

    def _pause(self, age: float) -> float:
        if self._is_hinted:
            return 0.0
        if not self.change:
            return QUEUE_POLL_MS
        return min(max(COUNT_MS, age / 8), MAX_COUNT_MS)

    def _begin_commit(self, now: float, view: FleetSnapshot, age: float) -> Commit | None:
        change, trial, commit = view.change, view.trial, None
        if change and change.id != self.change:  # the member has not seen it yet
            self.change, self._seen_since, age = change.id, now, 0.0
            self._at = now if self._is_hinted else now + COUNT_MS
        lacks_next_text = self._lacks_next_text(view)
        if change:
            commit = finish_change(view, age >= change.deadline_ms)
            self._ended = view if commit and not lacks_next_text else None
        elif lacks_next_text:
            self._at = now  # it is opened with its text, which is read first
        elif commit := open_next(view):
            pass
        elif trial and trial_key(trial) == self.change:
            commit, self._strikes = evaluate_trial(view, age, self._strikes)
        return self._begin(now, commit) if commit else None

    def _lacks_next_text(self, view: FleetSnapshot) -> bool:
        """Whether the text of the first that waits was not asked for in the read that gave this view."""
        asked, self._next_text = self._next_text, view.queue[0].digest if view.queue else ""
        return self._next_text not in ("", asked)

    def _follow(self, now: float, ended: FleetSnapshot, effect: Commit, done: CommitResult) -> Commit | None:
        """The next in the queue is opened at once, by what was read before the end was committed."""
        in_force = PolicyInForce.of(ended)
        if effect.purpose == "commit" and ended.change:
            in_force = PolicyInForce(ended.change.version, ended.change.digest, done.revision)
        commit = open_next(ended, in_force)
        return self._begin(now, commit) if commit else None

    def _begin(self, now: float, effect: _Begun) -> _Begun:
        self._busy, self._sent = True, now
        return effect

    def _lead(self, lease: int, registered: int) -> Commit:
        compares = (
            Compare(self.keys.leader, "created", 0),
            Compare(self.keys.status(self.name), "created", registered),
        )
        return Commit("lead", compares, (Put(self.keys.leader, self.name.encode(), lease),), Lane.COORDINATE)

    def _come_forward(self, now: float, may_lead: bool, lease: int, registered: int) -> Commit | None:
        """Takes the leadership where nobody has it. A relay, which keeps it, lets nearer ones go first."""
        if may_lead and self.retains_leadership:
            if self._forward_at == math.inf:
                self._forward_at = now + self._delay()
            if now < self._forward_at:
                self._at = self._forward_at
                return None
        self._forward_at = math.inf
        self._at = now + LEADER_SPREAD_MS * (0.5 + self._chance())
        return self._begin(now, self._lead(lease, registered)) if may_lead else None

    def _delay(self) -> float:
        """ms until it comes forward: less where the store is near."""
        if not self.retains_leadership:
            return self._chance() * LEADER_SPREAD_MS
        nearness = min(self.latency_ms / MAX_LATENCY_MS, 1.0)
        return nearness * LEADER_SPREAD_MS * (0.5 + self._chance() / 2)

    def _chance(self) -> float:
        return zlib.crc32(f"{self.name}/{self.change}/leader".encode()) / 2**32
