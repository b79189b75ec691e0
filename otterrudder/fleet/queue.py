"""The queue of changes that wait for their turn: one change is open at a time, the others wait in the store.
Pure.

Entries are ordered by the revision that created their keys, so the store determines the order and two
proposers never conflict. When no change is open, a coordinator opens the first entry in a commit that
compares the entry, the absence of an open change and the policy in force. Therefore exactly one of any number
of coordinators opens it, and only once. An entry based on a policy that is no longer in force when its turn
comes is dropped with that reason: a whole policy text derived from an older one would undo the changes made
in between."""

from dataclasses import dataclass

import msgspec

from otterrudder.fleet.effects import Commit, Lane
from otterrudder.fleet.records import (
    MAX_FINISHED_CHANGES,
    MAX_NOTE_LENGTH,
    MAX_QUEUED_CHANGES,
    MAX_TEXT_BYTES,
    Change,
    FinishedChange,
    FleetSnapshot,
    QueuedChange,
    Trial,
    digest_of,
    encode,
)
from otterrudder.fleet.store import Compare, Delete, Put, Write

SHOWN_DIGEST_LENGTH = 12  # number of characters of a digest that a reason shows


class QueueRejectedError(Exception):
    """The request can't be queued; the message is one line."""


@dataclass(frozen=True, slots=True)
class PolicyInForce:
    """The policy in force, as far as opening a change depends on it."""

    version: int
    digest: str
    modified: int  # revision that last wrote its key; 0 if no policy was ever committed

    @staticmethod
    def from_snapshot(snapshot: FleetSnapshot) -> "PolicyInForce":
        """Returns the policy in force as of the snapshot."""
        head = snapshot.policy
        modified = snapshot.raw.modified(snapshot.keys.policy)
        return PolicyInForce(head.version if head else 0, head.digest if head else "", modified)


def enqueue(snapshot: FleetSnapshot, entry: QueuedChange, text: str) -> Commit:
    """Appends a change to the queue. `entry.digest` is computed from `text`; `entry.id` must never have been
    used before. Raises QueueRejectedError if the change can't be queued."""
    size = len(text.encode())
    if size > MAX_TEXT_BYTES:
        raise QueueRejectedError(f"the policy has {size} bytes; at most {MAX_TEXT_BYTES} are allowed")
    if len(snapshot.queue) >= MAX_QUEUED_CHANGES:
        raise QueueRejectedError(f"the queue is full: {MAX_QUEUED_CHANGES} changes are already waiting")
    if entry.conditions and not snapshot.policy:
        raise QueueRejectedError(
            "a trial needs an earlier policy to roll back to, and no policy was ever in force"
        )
    digest = digest_of(text)
    entry = msgspec.structs.replace(
        entry, digest=digest, author=entry.author[:MAX_NOTE_LENGTH], note=entry.note[:MAX_NOTE_LENGTH]
    )
    keys = snapshot.keys
    key = keys.queued(entry.id)
    writes: list[Write] = [Put(key, encode(entry)), Put(keys.text(digest), text.encode())]
    if digest in {end.digest for end in snapshot.finished}:
        # The text may be about to be deleted together with a finished change: see `append_finished`.
        writes.append(Put(keys.joined, entry.id.encode()))
    return Commit("queue", (Compare(key, "created", 0),), tuple(writes), Lane.COORDINATE)


def queue_position(snapshot: FleetSnapshot, change_id: str) -> int | None:
    """Returns the number of changes ahead of the given one, including an open change. Returns 0 if the change
    is open itself or next in turn, and None if it is neither open nor in the queue."""
    if snapshot.change and snapshot.change.id == change_id:
        return 0
    for number, entry in enumerate(snapshot.queue, 1):
        if entry.id == change_id:
            return number if snapshot.change else number - 1
    return None


def open_next(snapshot: FleetSnapshot, in_force: PolicyInForce | None = None) -> Commit | None:
    """Opens the first change of the queue, or drops it if it can't be opened. Returns None if the queue is
    empty or a change is open.

    `in_force` is the policy in force after a commit that ended the snapshot's open change. Without it, the
    snapshot's own policy is used, and no change may be open in the snapshot."""
    if not snapshot.queue or in_force is None and snapshot.change:
        return None
    in_force = in_force or PolicyInForce.from_snapshot(snapshot)
    entry, keys = snapshot.queue[0], snapshot.keys
    key = keys.queued(entry.id)
    compares = (
        Compare(keys.change, "created", 0),
        Compare(keys.policy, "modified", in_force.modified),
        Compare(key, "modified", snapshot.raw.modified(key)),
    )
    if entry.base and entry.base != in_force.digest:
        base = entry.base[:SHOWN_DIGEST_LENGTH]
        reason = f"it was made from policy {base}, which is not in force at its turn"
        return _remove_entry("drop", snapshot, entry, compares, reason)
    writes: list[Write] = [Put(keys.change, encode(_open_change_of(entry, in_force))), Delete(key)]
    if (text := snapshot.text(entry.digest)) is not None:
        writes.append(Put(keys.opening, text.encode()))
    return Commit("open", compares, tuple(writes), Lane.COORDINATE)


def _open_change_of(entry: QueuedChange, in_force: PolicyInForce) -> Change:
    """Returns the record of the open change that the queue entry becomes."""
    version = in_force.version + 1
    trial = None
    if entry.conditions:
        trial = Trial(entry.id, version, in_force.digest, entry.trial_ms, entry.conditions)
    return Change(
        entry.id,
        version,
        entry.digest,
        entry.author,
        entry.note,
        entry.proposed_at_ms,
        entry.deadline_ms,
        trial,
    )


def withdraw_queued(snapshot: FleetSnapshot, change_id: str) -> Commit:
    """Removes a change from the queue at its proposer's request. Raises QueueRejectedError if it is not in
    the queue."""
    for entry in snapshot.queue:
        if entry.id == change_id:
            key = snapshot.keys.queued(change_id)
            compares = (Compare(key, "modified", snapshot.raw.modified(key)),)
            return _remove_entry("unqueue", snapshot, entry, compares, "withdrawn before its turn")
    raise QueueRejectedError("the change is not in the queue")


def append_finished(
    snapshot: FleetSnapshot, end: FinishedChange, in_force: str
) -> tuple[list[Write], list[Compare]]:
    """Returns the writes and compares that append `end` to the retained finished changes.

    The texts of the changes that drop out of the list are deleted, unless something else needs them. A
    proposer that queues such a text again at that moment writes the key `joined`. The commit compares that
    key, so it fails then and the coordinator reads again."""
    ends = [*snapshot.finished, end]
    retained, keys = ends[-MAX_FINISHED_CHANGES:], snapshot.keys
    unneeded = sorted({finished.digest for finished in ends} - _needed_digests(snapshot, retained, in_force))
    writes: list[Write] = [Put(keys.finished, msgspec.json.encode(retained))]
    writes += [Delete(keys.text(digest)) for digest in unneeded]
    compares = [Compare(keys.joined, "modified", snapshot.raw.modified(keys.joined))] if unneeded else []
    return writes, compares


def _needed_digests(snapshot: FleetSnapshot, retained: list[FinishedChange], in_force: str) -> set[str]:
    """Returns the digests of the texts that are still needed: for the policy in force, the retained and
    waiting changes, the open change, and rollbacks."""
    needed = {in_force, *(end.digest for end in retained), *(entry.digest for entry in snapshot.queue)}
    change = snapshot.change
    if change:
        needed.add(change.digest)
    trials = (change.trial if change else None, snapshot.trial)
    return needed | {trial.rollback_digest for trial in trials if trial}


def _remove_entry(
    purpose: str, snapshot: FleetSnapshot, entry: QueuedChange, compares: tuple[Compare, ...], reason: str
) -> Commit:
    """Removes an entry from the queue without opening it, and records it as a finished change, so that its
    proposer learns the outcome."""
    keys = snapshot.keys
    end = FinishedChange(entry.id, 0, entry.digest, False, reason, entry.author, entry.note)
    in_force = snapshot.policy.digest if snapshot.policy else ""
    writes, text_compares = append_finished(snapshot, end, in_force)
    finished = Compare(keys.finished, "modified", snapshot.raw.modified(keys.finished))
    writes.append(Delete(keys.queued(entry.id)))
    return Commit(purpose, (*compares, finished, *text_compares), tuple(writes), Lane.COORDINATE)
