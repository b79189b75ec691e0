"""Operators' requests: proposing and withdrawing a policy change, and removing a member for good."""

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
    """The request can't be carried out now; the message is one line."""


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
    """Returns the commit that opens a change.

    The proposer chooses `change_id`, which must never have been used before. `trial_ms` and `conditions` set
    the duration of the policy's trial and the bounds of its metrics; without conditions there is no trial.
    Raises ChangeRejectedError if the change can't be opened, for example because another one is open."""
    size = len(text.encode())
    if size > MAX_TEXT_BYTES:
        raise ChangeRejectedError(f"the policy has {size} bytes; at most {MAX_TEXT_BYTES} are allowed")
    digest, head = digest_of(text), snapshot.policy
    version = head.version + 1 if head else 1
    if conditions and not head:
        raise ChangeRejectedError(
            "a trial needs an earlier policy to roll back to, and no policy was ever in force"
        )
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


def open_change(snapshot: FleetSnapshot, change: Change, extra_writes: tuple[Write, ...] = ()) -> Commit:
    """Returns the commit that creates the key of the open change, with `extra_writes`. Raises
    ChangeRejectedError if another change is open or waits in the queue."""
    keys = snapshot.keys
    if waiting := len(snapshot.queue):
        raise ChangeRejectedError(f"{waiting} changes are waiting in the queue and come first")
    if other := snapshot.change:
        raise ChangeRejectedError(
            f"a change to version {other.version} is open: {other.author or 'unnamed'}, "
            f"{other.note or 'no note'} ({other.id})"
        )
    compares = (
        Compare(keys.change, "created", 0),
        Compare(keys.policy, "modified", snapshot.raw.modified(keys.policy)),
    )
    return Commit("propose", compares, (Put(keys.change, encode(change)), *extra_writes), Lane.COORDINATE)


def find_change(snapshot: FleetSnapshot, change_id: str) -> FinishedChange | Change | None:
    """Returns the outcome of a finished change, or the change itself while it is open. Returns None if it was
    never opened or its outcome is no longer retained."""
    if snapshot.change and snapshot.change.id == change_id:
        return snapshot.change
    return next((end for end in snapshot.finished if end.id == change_id), None)


def withdraw(snapshot: FleetSnapshot, change_id: str, reason: str) -> Commit:
    """Returns the commit that aborts an open change at its proposer's request. Raises ChangeRejectedError if
    the change is not open."""
    if not snapshot.change or snapshot.change.id != change_id:
        raise ChangeRejectedError("the change is no longer open")
    return end_change(snapshot, snapshot.change, False, reason)


def remove_member(snapshot: FleetSnapshot, name: str) -> Commit:
    """Returns the commit that removes a member from the roster for good, so that changes no longer wait for
    it. Raises ChangeRejectedError if the member is up or not on the roster."""
    keys = snapshot.keys
    if name not in snapshot.rosters:
        raise ChangeRejectedError(f"{name} is not on the roster")
    if name in snapshot.statuses:
        raise ChangeRejectedError(f"{name} is up: its lease has not expired")
    compares = (
        Compare(keys.roster(name), "modified", snapshot.raw.modified(keys.roster(name))),
        Compare(keys.status(name), "created", 0),
    )
    return Commit("gone", compares, (Delete(keys.roster(name)),), Lane.COORDINATE)
