"""Proposes or queues a change of policy for an operator's command, and follows it until it has ended."""

import asyncio
import time
from dataclasses import dataclass

import click

from otterrudder.cli.fleet_store import (
    ABORTED,
    MAX_COMMIT_ATTEMPTS,
    UNDECIDED,
    CommandStore,
    exit_with,
)
from otterrudder.fleet.change import ChangeRejectedError, count_votes, find_change, finish_change, propose
from otterrudder.fleet.queue import QueueRejectedError, enqueue, open_next, queue_position
from otterrudder.fleet.records import Change, FinishedChange, FleetSnapshot, QueuedChange
from otterrudder.fleet.store import StoreUnavailableError

POLL_S = 0.1  # interval between reads of an open change
QUEUE_POLL_S = 0.5  # interval between reads of a queued change


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A change of policy that an operator requests."""

    change_id: str
    text: str
    author: str
    note: str
    deadline_ms: float
    trial_ms: float = 0.0
    conditions: tuple[tuple[str, float], ...] = ()
    is_first: bool = False  # whether it may come into force while the fleet has no members
    base: str = ""  # for a queued change: the digest of the policy it is based on; "" for any


async def propose_and_follow(store: CommandStore, request: ChangeRequest) -> FinishedChange:
    """Proposes a change and follows it until it has ended. Other processes may finish it."""
    return await _follow_open(store, request, await _propose_change(store, request))


async def queue_and_follow(store: CommandStore, request: ChangeRequest) -> FinishedChange:
    """Queues a change and follows it until it has ended. Other processes may open and finish it."""
    snapshot = await _enqueue(store, request)
    shown_position = -1
    answered_at = time.monotonic()
    while find_change(snapshot, request.change_id) is None:
        position = queue_position(snapshot, request.change_id)
        if position is None:
            exit_with(UNDECIDED, "the change is neither queued nor open: see fleet policy history")
        if position != shown_position:
            shown_position = position
            click.echo(_position_line(request.change_id, position))
        commit = open_next(snapshot)
        if commit and not position:  # without a leading relay, no other process opens the change
            await store.commit(commit)
        else:
            await asyncio.sleep(QUEUE_POLL_S)
        try:
            snapshot = await store.read()
            answered_at = time.monotonic()
        except StoreUnavailableError as error:
            if _ms_since(answered_at) > request.deadline_ms:
                exit_with(
                    UNDECIDED, f"the store does not answer ({error}); {request.change_id} stays in the queue"
                )
            await asyncio.sleep(POLL_S)
    return await propose_and_follow(store, request)


async def _follow_open(
    store: CommandStore, request: ChangeRequest, snapshot: FleetSnapshot
) -> FinishedChange:
    began = time.monotonic()
    shown_voters: set[str] = set()
    while True:
        change = find_change(snapshot, request.change_id)
        if isinstance(change, FinishedChange):
            return change
        if not isinstance(change, Change):
            exit_with(UNDECIDED, "the change is no longer in the store: see fleet policy history")
        _show_votes(snapshot, shown_voters)
        age_ms = _ms_since(began)
        if commit := finish_change(snapshot, age_ms >= request.deadline_ms):
            await store.commit(commit)  # the next read shows the outcome, even if there is no answer
        else:
            await asyncio.sleep(POLL_S)
        try:
            snapshot = await store.read()
        except StoreUnavailableError as error:
            if age_ms > request.deadline_ms:
                pending = ", ".join(count_votes(snapshot).pending) or "none"
                exit_with(
                    UNDECIDED,
                    f"the store does not answer ({error}); pending votes: {pending}. The members will "
                    "finish the change",
                )
            await asyncio.sleep(POLL_S)


def _show_votes(snapshot: FleetSnapshot, shown_voters: set[str]) -> None:
    for name in sorted(set(snapshot.votes) - shown_voters):
        shown_voters.add(name)
        vote = snapshot.votes[name]
        click.echo(f"  {name}: {'yes' if vote.accepted else f'no: {vote.reason}'}")


def _position_line(change_id: str, position: int) -> str:
    return f"  queued as {change_id}: {position} before it" if position else "  its turn has come"


def _ms_since(start_s: float) -> float:
    return (time.monotonic() - start_s) * 1000


async def _propose_change(store: CommandStore, request: ChangeRequest) -> FleetSnapshot:
    """Proposes the change. Returns a snapshot in which it is open or has ended.

    A read shows whether the proposal succeeded, because a missing answer does not mean that it failed."""
    for _ in range(MAX_COMMIT_ATTEMPTS):
        snapshot = await store.read()
        if find_change(snapshot, request.change_id):
            return snapshot
        _reject_empty_store(snapshot, request)
        try:
            commit = propose(
                snapshot,
                request.change_id,
                request.text,
                request.author,
                request.note,
                time.time() * 1000,
                request.deadline_ms,
                request.trial_ms,
                request.conditions,
            )
        except ChangeRejectedError as error:
            exit_with(ABORTED, error)
        await store.commit(commit)
    snapshot = await store.read()
    if not find_change(snapshot, request.change_id):
        exit_with(UNDECIDED, "the change could not be proposed; try again")
    return snapshot


async def _enqueue(store: CommandStore, request: ChangeRequest) -> FleetSnapshot:
    """Queues the change. Returns a snapshot in which it is queued or open, or has ended."""
    entry = QueuedChange(
        request.change_id,
        author=request.author,
        note=request.note,
        proposed_at_ms=time.time() * 1000,
        deadline_ms=request.deadline_ms,
        base=request.base,
        trial_ms=request.trial_ms,
        conditions=request.conditions,
    )
    for _ in range(MAX_COMMIT_ATTEMPTS):
        snapshot = await store.read()
        is_queued = queue_position(snapshot, request.change_id) is not None
        if is_queued or find_change(snapshot, request.change_id):
            return snapshot
        _reject_empty_store(snapshot, request)
        try:
            commit = enqueue(snapshot, entry, request.text)
        except QueueRejectedError as error:
            exit_with(ABORTED, error)
        await store.commit(commit)
    return exit_with(UNDECIDED, "the change could not be queued; try again")


def _reject_empty_store(snapshot: FleetSnapshot, request: ChangeRequest) -> None:
    """Exits if the store has no members, unless the request allows it: the store may have lost its data."""
    if snapshot.rosters or snapshot.policy or request.is_first:
        return
    exit_with(
        ABORTED,
        f"{snapshot.keys.fleet} has no members yet on the store {snapshot.raw.cluster:x}: is it "
        "the right store? --first sets a policy for future members",
    )
