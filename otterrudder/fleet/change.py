"""A change of policy: proposed, settled, undone; and a name struck off the roster. Pure: a whole view of the
store in, one commit out.

Whoever settles decides nothing: the votes do. A change is committed once every name on the roster has said
yes, or was left out by its own rule with its lease lapsed; it is aborted at the first no and at its deadline.
All of these are one commit that compares the open change as it was read, and who had registered by then; so
of any number of settlers at any time, dead or alive, one commit takes effect and the others fall. A vote,
once in the store, stays until the change ends: what was counted at a read still stands at the commit.

A commit has a handful of writes and compares at any size of the fleet, for engines bound them (etcd: 128)."""

import zlib
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from otterrudder.fleet.records import (
    NOTE_MOST,
    SETTLED_MOST,
    TEXT_MOST,
    Change,
    Keys,
    PolicyHead,
    Settled,
    View,
    digest_of,
    encode,
)
from otterrudder.fleet.store import Compare, Delete, Done, Put, Snapshot, Write
from otterrudder.fleet.wants import Commit, Lane, Outcome, Read, Want

DUTY_SPREAD_MS = 1500.0  # ms over which members come forward to settle a change: one does, the others see it
COUNT_MS = 250.0  # ms between counts of the votes by whoever settles
COUNT_MOST_MS = 2000.0  # ms between them once a change has been open for long
REASONS_MOST = 8  # noes that are kept with an end: one has a file and a key to look at, not a thousand


class Refused(Exception):
    """What was asked for can't be done now, in one line."""


@dataclass(frozen=True, slots=True)
class Count:
    """How the votes stand."""

    yes: tuple[str, ...]
    noes: tuple[tuple[str, str], ...]  # name and reason
    owed: tuple[str, ...]
    left_out: tuple[str, ...]


def whole(keys: Keys) -> tuple[str, ...]:
    """What a settler and an operator read."""
    return (keys.head, keys.joined, keys.rosters, keys.lives, keys.votes)


def count(view: View) -> Count:
    """Who of the roster has voted, and who need not."""
    votes, lives = view.votes, view.lives
    yes, noes, owed, left_out = [], [], [], []
    for name, roster in view.rosters.items():
        vote = votes.get(name)
        if vote and vote.yes:
            yes.append(name)
        elif vote:
            noes.append((name, vote.why))
        elif roster.absent == "leave-out" and name not in lives:
            left_out.append(name)
        else:
            owed.append(name)
    return Count(tuple(yes), tuple(noes), tuple(owed), tuple(left_out))


def propose(view: View, ident: str, text: str, author: str, note: str, at: float,
            deadline_ms: float) -> Commit:
    """Opens a change; Refused says by whom another one is open. `ident`: the proposer's own, never used
    before."""
    keys, head = view.keys, view.policy
    if opened := view.change:
        raise Refused(f"a change to version {opened.version} is open: {opened.author or 'unnamed'}, "
                      f"{opened.note or 'no note'} ({opened.id})")
    if len(text.encode()) > TEXT_MOST:
        raise Refused(f"a policy may have {TEXT_MOST} bytes, not {len(text.encode())}")
    digest = digest_of(text)
    version = head.version + 1 if head else 1
    change = Change(ident, version, digest, author[:NOTE_MOST], note[:NOTE_MOST], at, deadline_ms)
    compares = (Compare(keys.change, "created", 0),
                Compare(keys.policy, "modified", view.snapshot.modified(keys.policy)))
    return Commit("propose", compares, (Put(keys.change, encode(change)),
                                        Put(keys.text(digest), text.encode())), Lane.SETTLE)


def fate(view: View, ident: str) -> Settled | Change | None:
    """What became of a change: its end, itself while it is open, or None: it never took effect (or is out of
    the list of ends)."""
    if view.change and view.change.id == ident:
        return view.change
    return next((end for end in view.settled if end.id == ident), None)


def settle(view: View, is_late: bool) -> Commit | None:
    """The end of the open change, if it can be told. `is_late`: its deadline has passed."""
    change = view.change
    if not change:
        return None
    told = count(view)
    if told.noes:
        named = [f"{name}: {why}" for name, why in told.noes[:REASONS_MOST]]
        more = len(told.noes) - len(named)
        return _end(view, change, False, "; ".join(named) + (f"; and {more} more" if more else ""))
    if not told.owed:
        return _end(view, change, True, "", told.left_out)
    if is_late:
        named = [*told.owed[:REASONS_MOST], *([f"{len(told.owed) - REASONS_MOST} more"]
                                              if len(told.owed) > REASONS_MOST else [])]
        return _end(view, change, False, f"no word in time from {', '.join(named)}")
    return None


def withdraw(view: View, ident: str, why: str) -> Commit:
    """Ends an open change on its proposer's word; Refused where it is open no more."""
    if not view.change or view.change.id != ident:
        raise Refused("it is open no more")
    return _end(view, view.change, False, why)


def strike(view: View, name: str) -> Commit:
    """Takes a server that is gone for good off the roster: no change waits for it any more. Refused while it
    is alive or unknown."""
    keys = view.keys
    if name not in view.rosters:
        raise Refused(f"{name} is not on the roster")
    if name in view.lives:
        raise Refused(f"{name} lives: its lease has not lapsed")
    compares = (Compare(keys.roster(name), "modified", view.snapshot.modified(keys.roster(name))),
                Compare(keys.live(name), "created", 0))
    return Commit("gone", compares, (Delete(keys.roster(name)),), Lane.SETTLE)


def _end(view: View, change: Change, committed: bool, why: str, left_out: tuple[str, ...] = ()) -> Commit:
    keys, entries = view.keys, view.snapshot.entries
    end = Settled(change.id, change.version, change.digest, committed, why[:NOTE_MOST], change.author,
                  change.note, left_out[:REASONS_MOST])
    ends = [*view.settled, end]
    head = view.policy
    in_force = change.digest if committed else head.digest if head else ""
    kept = ends[-SETTLED_MOST:]
    needed = {in_force, *(one.digest for one in kept)}
    writes: list[Write] = [Put(keys.settled, msgspec.json.encode(kept)), Delete(keys.change),
                           Delete(keys.votes, whole_prefix=True)]
    writes += [Delete(keys.text(digest)) for digest in {one.digest for one in ends} - needed]
    if committed:
        new = PolicyHead(change.version, change.id, change.digest, change.author, change.note, change.at)
        writes.append(Put(keys.policy, encode(new)))
    compares = [Compare(keys.change, "modified", entries[keys.change].modified)]
    if committed:  # nobody has come since whose vote was not counted
        compares.append(Compare(keys.joined, "modified", view.snapshot.modified(keys.joined)))
    return Commit("commit" if committed else "abort", tuple(compares), tuple(writes), Lane.SETTLE)


class Settler:
    """Sees to it that an open change ends, whoever proposed it. Members take turns by a key that hangs on
    their lease: it saves the others the counting, and no promise rests on it.

    `wants` is asked with what the member has last seen; a proposer's own program counts without the duty."""

    __slots__ = ("_at", "_busy", "_seen_since", "change", "keys", "last", "name", "needs_duty")

    def __init__(self, keys: Keys, name: str, needs_duty: bool = True) -> None:
        self.keys, self.name, self.needs_duty = keys, name, needs_duty
        self.change = ""
        self.last: View | None = None  # the last whole view
        self._seen_since = self._at = 0.0
        self._busy = False

    def due(self) -> float:
        return self._at if self.change and not self._busy else float("inf")

    def wants(self, now: float, opened: str, has_duty: bool, anybody_has: bool, lease: int,
              registered: int) -> Want | None:
        """`opened`: the open change's id, "": none; `has_duty`: it is this member's; `anybody_has`: somebody
        has it; `lease` and `registered`: what the duty hangs on, and the life it is taken for."""
        if opened != self.change:
            self.change, self._seen_since = opened, now
            first = self._chance() * DUTY_SPREAD_MS if self.needs_duty else 0.0
            self._at = now + first
        if not opened or self._busy or now < self._at:
            return None
        if self.needs_duty and not has_duty:
            self._at = now + DUTY_SPREAD_MS * (0.5 + self._chance())
            if anybody_has or not (lease and registered):
                return None
            self._busy = True
            compares = (Compare(self.keys.duty, "created", 0),
                        Compare(self.keys.live(self.name), "created", registered))
            return Commit("duty", compares, (Put(self.keys.duty, self.name.encode(), lease),), Lane.SETTLE)
        self._busy = True
        return Read(whole(self.keys), Lane.SETTLE)

    def told(self, now: float, want: Want, outcome: Outcome,
             judge: Callable[[View, bool], Commit | None] = settle) -> Commit | None:
        """What is to be done upon that, if anything: its outcome is owed as well."""
        self._busy = False
        age = now - self._seen_since
        self._at = now + min(max(COUNT_MS, age / 8), COUNT_MOST_MS)
        if isinstance(outcome, Done):
            self._at = now
        if not isinstance(outcome, Snapshot):
            return None
        self.last = view = View(self.keys, outcome)
        change = view.change
        if not change or change.id != self.change:
            return None
        commit = judge(view, age >= change.deadline_ms)
        self._busy = commit is not None
        return commit

    def _chance(self) -> float:
        return zlib.crc32(f"{self.name}/{self.change}/duty".encode()) / 2**32
