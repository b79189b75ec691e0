"""Changes that wait for their turn: one is open at a time, the others stand in a queue in the store. Pure.

An entry's place is by the revision that made its key, so the store orders them and two proposers never
conflict. Whoever settles opens the first once nothing is open, in a commit that compares the entry, the
absence of an open change and the policy in force; so of any number of settlers one opens it, once. An entry
that was made from a policy that is no longer in force ends when its turn comes, and says so: a whole text
made from an older one would undo what came between."""

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


class QueueRejectedError(Exception):
    """What was asked for can't be queued, in one line."""


@dataclass(frozen=True, slots=True)
class PolicyInForce:
    """The policy in force, as far as opening a change depends on it."""

    version: int
    digest: str
    modified: int  # the revision that wrote its key; 0: there is none

    @staticmethod
    def of(view: FleetSnapshot) -> "PolicyInForce":
        head = view.policy
        modified = view.raw.modified(view.keys.policy)
        return PolicyInForce(head.version if head else 0, head.digest if head else "", modified)


def enqueue(view: FleetSnapshot, entry: QueuedChange, text: str) -> Commit:
    """Puts a change at the end of the queue; `entry.digest` is set by the text. `entry.id`: never used
    before."""
    size = len(text.encode())
    if size > MAX_TEXT_BYTES:
        raise QueueRejectedError(f"a policy may have {MAX_TEXT_BYTES} bytes, not {size}")
    if len(view.queue) >= MAX_QUEUED_CHANGES:
        raise QueueRejectedError(
            f"{MAX_QUEUED_CHANGES} changes wait already: no more are taken until some have ended"
        )
    if entry.conditions and not view.policy:
        raise QueueRejectedError("a trial needs an earlier policy to go back to, and none was ever in force")
    digest = digest_of(text)
    entry = msgspec.structs.replace(
        entry, digest=digest, author=entry.author[:MAX_NOTE_LENGTH], note=entry.note[:MAX_NOTE_LENGTH]
    )
    key = view.keys.queued(entry.id)
    writes: list[Write] = [Put(key, encode(entry)), Put(view.keys.text(digest), text.encode())]
    if digest in {
        end.digest for end in view.finished
    }:  # it may be about to go with its end: see `append_finished`
        writes.append(Put(view.keys.joined, entry.id.encode()))
    return Commit("queue", (Compare(key, "created", 0),), tuple(writes), Lane.COORDINATE)


def queue_position(view: FleetSnapshot, ident: str) -> int | None:
    """How many changes come before it, an open one among them; 0: it is open; None: it neither waits nor is
    open."""
    if view.change and view.change.id == ident:
        return 0
    for number, entry in enumerate(view.queue, 1):
        if entry.id == ident:
            return number if view.change else number - 1
    return None


def open_next(view: FleetSnapshot, in_force: PolicyInForce | None = None) -> Commit | None:
    """Opens the first that waits, or ends it where it can't be opened; None: none waits, or one is open.

    `in_force`: as it is after a commit that followed the view; else as the view has it, with nothing open."""
    if not view.queue or in_force is None and view.change:
        return None
    in_force = in_force or PolicyInForce.of(view)
    entry, keys = view.queue[0], view.keys
    key = keys.queued(entry.id)
    compares = (
        Compare(keys.change, "created", 0),
        Compare(keys.policy, "modified", in_force.modified),
        Compare(key, "modified", view.raw.modified(key)),
    )
    if entry.base and entry.base != in_force.digest:
        why = f"it was made from policy {entry.base[:12]}, which is not in force at its turn"
        return _end("drop", view, entry, compares, why)
    trial = None
    version = in_force.version + 1
    if entry.conditions:
        trial = Trial(entry.id, version, in_force.digest, entry.trial_ms, entry.conditions)
    change = Change(
        entry.id,
        version,
        entry.digest,
        entry.author,
        entry.note,
        entry.proposed_at_ms,
        entry.deadline_ms,
        trial,
    )
    writes: list[Write] = [Put(keys.change, encode(change)), Delete(key)]
    if (text := view.text(entry.digest)) is not None:
        writes.append(Put(keys.opening, text.encode()))
    return Commit("open", compares, tuple(writes), Lane.COORDINATE)


def withdraw_queued(view: FleetSnapshot, ident: str) -> Commit:
    """Takes a waiting change out, on its proposer's word."""
    for entry in view.queue:
        if entry.id == ident:
            key = view.keys.queued(ident)
            compares = (Compare(key, "modified", view.raw.modified(key)),)
            return _end("unqueue", view, entry, compares, "withdrawn before its turn")
    raise QueueRejectedError("it does not wait")


def append_finished(
    view: FleetSnapshot, end: FinishedChange, in_force: str
) -> tuple[list[Write], list[Compare]]:
    """Puts an end to those that are kept; the texts of those that fall out go, where nothing else needs them.
    Who queues such a text again writes `joined`, which is compared: then it is counted anew."""
    ends = [*view.finished, end]
    kept, keys = ends[-MAX_FINISHED_CHANGES:], view.keys
    needed = {in_force, *(one.digest for one in kept), *(entry.digest for entry in view.queue)}
    opened = view.change
    needed |= {opened.digest} if opened else set()
    needed |= {trial.rollback_digest for trial in (opened and opened.trial, view.trial) if trial}
    gone = sorted({one.digest for one in ends} - needed)
    writes: list[Write] = [Put(keys.finished, msgspec.json.encode(kept))]
    writes += [Delete(keys.text(digest)) for digest in gone]
    return writes, [Compare(keys.joined, "modified", view.raw.modified(keys.joined))] if gone else []


def _end(
    what: str, view: FleetSnapshot, entry: QueuedChange, compares: tuple[Compare, ...], why: str
) -> Commit:
    """It leaves the queue unopened, and whoever follows it finds its end."""
    keys = view.keys
    end = FinishedChange(entry.id, 0, entry.digest, False, why, entry.author, entry.note)
    in_force = view.policy.digest if view.policy else ""
    writes, more = append_finished(view, end, in_force)
    compares = (*compares, Compare(keys.finished, "modified", view.raw.modified(keys.finished)), *more)
    return Commit(what, compares, (*writes, Delete(keys.queued(entry.id))), Lane.COORDINATE)
