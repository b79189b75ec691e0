"""The end of the open change: committed or aborted, by the votes alone."""

from otterrudder.fleet.change.votes import VoteCount, count_votes
from otterrudder.fleet.effects import Commit, Lane
from otterrudder.fleet.queue import append_finished
from otterrudder.fleet.records import (
    MAX_NOTE_LENGTH,
    Change,
    FinishedChange,
    FleetSnapshot,
    PolicyHead,
    encode,
)
from otterrudder.fleet.store import Compare, Delete, Put, Write

MAX_REASONS = 8  # rejections that are kept with an end: one has a file and a key to look at, not a thousand


def finish_change(snapshot: FleetSnapshot, is_late: bool) -> Commit | None:
    """The end of the open change, if it is decided. `is_late`: its deadline has passed."""
    change = snapshot.change
    if not change:
        return None
    votes = count_votes(snapshot)
    if votes.rejections:
        return end_change(snapshot, change, False, _rejections(votes))
    if not votes.pending:
        return end_change(snapshot, change, True, "", votes.left_out)
    if is_late:
        return end_change(snapshot, change, False, _missing(votes))
    return None


def _rejections(votes: VoteCount) -> str:
    named = [f"{name}: {reason}" for name, reason in votes.rejections[:MAX_REASONS]]
    more = len(votes.rejections) - len(named)
    return "; ".join(named) + (f"; and {more} more" if more else "")


def _missing(votes: VoteCount) -> str:
    named = list(votes.pending[:MAX_REASONS])
    if more := len(votes.pending) - len(named):
        named.append(f"{more} more")
    return f"no word in time from {', '.join(named)}"


def end_change(
    snapshot: FleetSnapshot, change: Change, committed: bool, reason: str, left_out: tuple[str, ...] = ()
) -> Commit:
    """Ends the open change, with `reason` where it is aborted."""
    keys, raw = snapshot.keys, snapshot.raw
    end = FinishedChange(
        change.id,
        change.version,
        change.digest,
        committed,
        reason[:MAX_NOTE_LENGTH],
        change.author,
        change.note,
        left_out[:MAX_REASONS],
    )
    head = snapshot.policy
    in_force = change.digest if committed else head.digest if head else ""
    end_writes, end_compares = append_finished(snapshot, end, in_force)
    writes: list[Write] = [
        *end_writes,
        Delete(keys.change),
        Delete(keys.opening),
        Delete(keys.votes, is_prefix=True),
    ]
    if committed:
        writes += _policy_writes(snapshot, change)
    compares = [Compare(keys.change, "modified", raw.entries[keys.change].modified), *end_compares]
    if committed and not end_compares:  # nobody has come since whose vote was not counted
        compares.append(Compare(keys.joined, "modified", raw.modified(keys.joined)))
    purpose = "commit" if committed else "abort"
    return Commit(purpose, tuple(compares), tuple(writes), Lane.COORDINATE)


def _policy_writes(snapshot: FleetSnapshot, change: Change) -> list[Write]:
    """The change's policy is in force, on trial if it says so."""
    keys = snapshot.keys
    head = PolicyHead(
        change.version, change.id, change.digest, change.author, change.note, change.proposed_at_ms
    )
    trial: Write = Put(keys.trial, encode(change.trial)) if change.trial else Delete(keys.trial)
    return [Put(keys.policy, encode(head)), trial]
