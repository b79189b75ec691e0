"""What operators ask for: a change of policy, its withdrawal, the removal of a member that is gone."""

from otterrudder.fleet.change.finish import end_change
from otterrudder.fleet.effects import Commit, Lane
from otterrudder.fleet.records import (
    MAX_NOTE_LENGTH,
    MAX_TEXT_BYTES,
    Change,
    FinishedChange,
    FleetSnapshot,
    Trial,
    digest_of,
    encode,
)
from otterrudder.fleet.store import Compare, Delete, Put, Write


class ChangeRejectedError(Exception):
    """What was asked for can't be done now, in one line."""


def propose(
    snapshot: FleetSnapshot,
    change_id: str,
    text: str,
    author: str,
    note: str,
    proposed_at_ms: float,
    deadline_ms: float,
    trial_ms: float = 0.0,
    conditions: tuple[tuple[str, float], ...] = (),
) -> Commit:
    """Opens a change; ChangeRejectedError says by whom another one is open. `change_id`: the proposer's own,
    never used before. `trial_ms` and `conditions`: what it is on trial for once it is in force."""
    size = len(text.encode())
    if size > MAX_TEXT_BYTES:
        raise ChangeRejectedError(f"a policy may have {MAX_TEXT_BYTES} bytes, not {size}")
    digest, head = digest_of(text), snapshot.policy
    version = head.version + 1 if head else 1
    if conditions and not head:
        raise ChangeRejectedError("a trial needs an earlier policy to go back to, and none was ever in force")
    rollback_digest = head.digest if head else ""
    trial = Trial(change_id, version, rollback_digest, trial_ms, conditions) if conditions else None
    change = Change(
        change_id,
        version,
        digest,
        author[:MAX_NOTE_LENGTH],
        note[:MAX_NOTE_LENGTH],
        proposed_at_ms,
        deadline_ms,
        trial,
    )
    keys = snapshot.keys
    texts = (Put(keys.text(digest), text.encode()), Put(keys.opening, text.encode()))
    return open_change(snapshot, change, texts)


def open_change(snapshot: FleetSnapshot, change: Change, more: tuple[Write, ...] = ()) -> Commit:
    """Makes the key of the open change, with `more` writes. ChangeRejectedError: another one comes first."""
    keys = snapshot.keys
    if waiting := len(snapshot.queue):
        raise ChangeRejectedError(f"{waiting} changes wait in the queue, and come first")
    if opened := snapshot.change:
        raise ChangeRejectedError(
            f"a change to version {opened.version} is open: {opened.author or 'unnamed'}, "
            f"{opened.note or 'no note'} ({opened.id})"
        )
    compares = (
        Compare(keys.change, "created", 0),
        Compare(keys.policy, "modified", snapshot.raw.modified(keys.policy)),
    )
    return Commit("propose", compares, (Put(keys.change, encode(change)), *more), Lane.COORDINATE)


def find_change(snapshot: FleetSnapshot, change_id: str) -> FinishedChange | Change | None:
    """What became of a change: its end, itself while it is open, or None: it never took effect (or is out of
    the list of ends)."""
    if snapshot.change and snapshot.change.id == change_id:
        return snapshot.change
    return next((end for end in snapshot.finished if end.id == change_id), None)


def withdraw(snapshot: FleetSnapshot, change_id: str, reason: str) -> Commit:
    """Ends an open change on its proposer's word. ChangeRejectedError: it is open no more."""
    if not snapshot.change or snapshot.change.id != change_id:
        raise ChangeRejectedError("it is open no more")
    return end_change(snapshot, snapshot.change, False, reason)


def remove_member(snapshot: FleetSnapshot, name: str) -> Commit:
    """Takes a server that is gone for good off the roster: no change waits for it any more.
    ChangeRejectedError: it is alive or unknown."""
    keys = snapshot.keys
    if name not in snapshot.rosters:
        raise ChangeRejectedError(f"{name} is not on the roster")
    if name in snapshot.statuses:
        raise ChangeRejectedError(f"{name} lives: its lease has not lapsed")
    compares = (
        Compare(keys.roster(name), "modified", snapshot.raw.modified(keys.roster(name))),
        Compare(keys.status(name), "created", 0),
    )
    return Commit("gone", compares, (Delete(keys.roster(name)),), Lane.COORDINATE)
