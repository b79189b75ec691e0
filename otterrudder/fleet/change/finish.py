"""Ends the open change: the votes alone decide whether it is committed or aborted."""

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

# Maximum number of names that the outcome of a change lists, for example those of the members that rejected
# it. A few are enough to find the file and key at fault, even if a thousand members rejected it.
MAX_REASONS = 8


def finish_change(snapshot: FleetSnapshot, is_past_deadline: bool) -> Commit | None:
    """Returns the commit that ends the open change, or None if its outcome is not decided yet."""
    change = snapshot.change
    if not change:
        return None
    votes = count_votes(snapshot)
    if votes.rejections:
        return end_change(snapshot, change, False, _describe_rejections(votes))
    if not votes.pending:
        return end_change(snapshot, change, True, "", votes.left_out)
    if is_past_deadline:
        return end_change(snapshot, change, False, _describe_pending(votes))
    return None


def _describe_rejections(votes: VoteCount) -> str:
    listed = [f"{name}: {reason}" for name, reason in votes.rejections[:MAX_REASONS]]
    more = len(votes.rejections) - len(listed)
    return "; ".join(listed) + (f"; and {more} more" if more else "")


def _describe_pending(votes: VoteCount) -> str:
    listed = list(votes.pending[:MAX_REASONS])
    if more := len(votes.pending) - len(listed):
        listed.append(f"{more} more")
    return f"no vote in time from {', '.join(listed)}"


def end_change(
    snapshot: FleetSnapshot, change: Change, committed: bool, reason: str, left_out: tuple[str, ...] = ()
) -> Commit:
    """Returns the commit that ends the open change. `reason` says why it is aborted, and is empty if it is
    committed."""
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
    # makes the commit fail if a member has registered since the votes were read
    if committed and not end_compares:
        compares.append(Compare(keys.joined, "modified", raw.modified(keys.joined)))
    purpose = "commit" if committed else "abort"
    return Commit(purpose, tuple(compares), tuple(writes), Lane.COORDINATE)


def _policy_writes(snapshot: FleetSnapshot, change: Change) -> list[Write]:
    """Returns the writes that put the change's policy in force, on trial if the change says so."""
    keys = snapshot.keys
    head = PolicyHead(
        change.version, change.id, change.digest, change.author, change.note, change.proposed_at_ms
    )
    trial: Write = Put(keys.trial, encode(change.trial)) if change.trial else Delete(keys.trial)
    return [Put(keys.policy, encode(head)), trial]
