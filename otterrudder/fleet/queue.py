"""Changes that wait for their turn: one is open at a time, the others are in a queue in the store. Pure.

An entry's position is by the revision that made its key, so the store orders them and two proposers never
conflict. A coordinator opens the first once nothing is open, in a commit that compares the entry, the absence
of an open change and the policy in force; so of any number of coordinators one opens it, once. An entry that
was made from a policy that is no longer in force ends when its turn comes, and says so: a whole text made
from an older one would undo what came between."""

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

SHOWN_DIGEST_LENGTH = 12  # characters of a digest in a reason


class QueueRejectedError(Exception):
    """What was asked for can't be queued, in one line."""


@dataclass(frozen=True, slots=True)
class PolicyInForce:
    """The policy in force, as far as opening a change depends on it."""

    version: int
    digest: str
    modified: int  # the revision that wrote its key; 0: there is none

    @staticmethod
    def from_snapshot(snapshot: FleetSnapshot) -> "PolicyInForce":
        """As the snapshot has it."""
        head = snapshot.policy
        modified = snapshot.raw.modified(snapshot.keys.policy)
        return PolicyInForce(head.version if head else 0, head.digest if head else "", modified)


def enqueue(snapshot: FleetSnapshot, entry: QueuedChange, text: str) -> Commit:
    """Puts a change at the end of the queue; `entry.digest` is set by the text. `entry.id`: never used
    before."""
    size = len(text.encode())
    if size > MAX_TEXT_BYTES:
        raise QueueRejectedError(f"a policy may have {MAX_TEXT_BYTES} bytes, not {size}")
    if len(snapshot.queue) >= MAX_QUEUED_CHANGES:
        raise QueueRejectedError(
            f"{MAX_QUEUED_CHANGES} changes wait already: no more are taken until some have ended"
        )
    if entry.conditions and not snapshot.policy:
        raise QueueRejectedError("a trial needs an earlier policy to go back to, and none was ever in force")
    digest = digest_of(text)
    entry = msgspec.structs.replace(
        entry, digest=digest, author=entry.author[:MAX_NOTE_LENGTH], note=entry.note[:MAX_NOTE_LENGTH]
    )
    keys = snapshot.keys
    key = keys.queued(entry.id)
    writes: list[Write] = [Put(key, encode(entry)), Put(keys.text(digest), text.encode())]
    if digest in {end.digest for end in snapshot.finished}:
        # The text may be about to be deleted with its end: see `append_finished`.
        writes.append(Put(keys.joined, entry.id.encode()))
    return Commit("queue", (Compare(key, "created", 0),), tuple(writes), Lane.COORDINATE)


def queue_position(snapshot: FleetSnapshot, change_id: str) -> int | None:
    """How many changes come before it, an open one among them; 0: it is open; None: it neither waits nor is
    open."""
    if snapshot.change and snapshot.change.id == change_id:
        return 0
    for number, entry in enumerate(snapshot.queue, 1):
        if entry.id == change_id:
            return number if snapshot.change else number - 1
    return None


def open_next(snapshot: FleetSnapshot, in_force: PolicyInForce | None = None) -> Commit | None:
    """Opens the first that waits, or ends it where it can't be opened; None: none waits, or one is open.

    `in_force`: as it is after a commit that followed the snapshot; else as the snapshot has it, with nothing
    open."""
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
        return _end("drop", snapshot, entry, compares, reason)
    writes: list[Write] = [Put(keys.change, encode(_opened(entry, in_force))), Delete(key)]
    if (text := snapshot.text(entry.digest)) is not None:
        writes.append(Put(keys.opening, text.encode()))
    return Commit("open", compares, tuple(writes), Lane.COORDINATE)


def _opened(entry: QueuedChange, in_force: PolicyInForce) -> Change:
    """The entry as the open change."""
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
    """Takes a waiting change out, on its proposer's word."""
    for entry in snapshot.queue:
        if entry.id == change_id:
            key = snapshot.keys.queued(change_id)
            compares = (Compare(key, "modified", snapshot.raw.modified(key)),)
            return _end("unqueue", snapshot, entry, compares, "withdrawn before its turn")
    raise QueueRejectedError("it does not wait")


def append_finished(
    snapshot: FleetSnapshot, end: FinishedChange, in_force: str
) -> tuple[list[Write], list[Compare]]:
    """Appends an end to those that are retained; the texts of those that drop out are deleted, where nothing
    else needs them. Whoever queues such a text again writes `joined`, which is compared: then it is counted
    anew."""
    ends = [*snapshot.finished, end]
    retained, keys = ends[-MAX_FINISHED_CHANGES:], snapshot.keys
    unneeded = sorted({one.digest for one in ends} - _needed_digests(snapshot, retained, in_force))
    writes: list[Write] = [Put(keys.finished, msgspec.json.encode(retained))]
    writes += [Delete(keys.text(digest)) for digest in unneeded]
    compares = [Compare(keys.joined, "modified", snapshot.raw.modified(keys.joined))] if unneeded else []
    return writes, compares


def _needed_digests(snapshot: FleetSnapshot, retained: list[FinishedChange], in_force: str) -> set[str]:
    """Of the texts that something may still be made of."""
    needed = {in_force, *(end.digest for end in retained), *(entry.digest for entry in snapshot.queue)}
    change = snapshot.change
    if change:
        needed.add(change.digest)
    trials = (change.trial if change else None, snapshot.trial)
    return needed | {trial.rollback_digest for trial in trials if trial}


def _end(
    purpose: str, snapshot: FleetSnapshot, entry: QueuedChange, compares: tuple[Compare, ...], reason: str
) -> Commit:
    """It leaves the queue unopened, and whoever follows it finds its end."""
    keys = snapshot.keys
    end = FinishedChange(entry.id, 0, entry.digest, False, reason, entry.author, entry.note)
    in_force = snapshot.policy.digest if snapshot.policy else ""
    writes, more = append_finished(snapshot, end, in_force)
    finished = Compare(keys.finished, "modified", snapshot.raw.modified(keys.finished))
    writes.append(Delete(keys.queued(entry.id)))
    return Commit(purpose, (*compares, finished, *more), tuple(writes), Lane.COORDINATE)
