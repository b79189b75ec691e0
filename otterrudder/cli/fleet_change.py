"""A change of policy as an operator's command sees it: proposed or queued, and followed to its end."""

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

POLL_S = 0.1  # of an open change
QUEUE_POLL_S = 0.5


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A change as the operator asked for it."""

    change_id: str
    text: str
    author: str
    note: str
    deadline_ms: float
    trial_ms: float = 0.0
    conditions: tuple[tuple[str, float], ...] = ()
    is_first: bool = False  # it may come into force where the fleet has no members yet
    base: str = ""  # of a queued one: the digest of the policy it was made from; "": any


async def follow(store: CommandStore, request: ChangeRequest) -> FinishedChange:
    """Proposes a change and follows it to its end, whoever finishes it."""
    return await _follow_open(store, request, await _open_change(store, request))


async def follow_queued(store: CommandStore, request: ChangeRequest) -> FinishedChange:
    """Queues a change and follows it to its end, whoever opens and finishes it."""
    snapshot = await _enqueue(store, request)
    shown_position = -1
    answered_at = time.monotonic()
    while find_change(snapshot, request.change_id) is None:
        position = queue_position(snapshot, request.change_id)
        if position is None:
            exit_with(UNDECIDED, "it neither waits nor is open: see fleet policy history")
        if position != shown_position:
            shown_position = position
            click.echo(_position_line(request.change_id, position))
        commit = open_next(snapshot)
        if commit and not position:  # where no relay leads, nobody else opens it
            await store.commit(commit)
        else:
            await asyncio.sleep(QUEUE_POLL_S)
        try:
            snapshot = await store.read()
            answered_at = time.monotonic()
        except StoreUnavailableError as error:
            if _ms_since(answered_at) > request.deadline_ms:
                exit_with(
                    UNDECIDED, f"the store does not answer ({error}); {request.change_id} keeps its place"
                )
            await asyncio.sleep(POLL_S)
    return await follow(store, request)


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
            exit_with(UNDECIDED, "the store knows this change no more: see fleet policy history")
        _show_votes(snapshot, shown_voters)
        age_ms = _ms_since(began)
        if commit := finish_change(snapshot, age_ms >= request.deadline_ms):
            await store.commit(commit)  # with or without an answer: the next read shows what is so
        else:
            await asyncio.sleep(POLL_S)
        try:
            snapshot = await store.read()
        except StoreUnavailableError as error:
            if age_ms > request.deadline_ms:
                pending = ", ".join(count_votes(snapshot).pending) or "nobody's vote"
                exit_with(
                    UNDECIDED,
                    f"the store does not answer ({error}); pending: {pending}. Members finish the change",
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


async def _open_change(store: CommandStore, request: ChangeRequest) -> FleetSnapshot:
    """Proposes the change; the snapshot in which it is open, or has ended already.

    Whether it got through is found out by reading, never by a missing answer."""
    for _ in range(MAX_COMMIT_ATTEMPTS):
        snapshot = await store.read()
        if find_change(snapshot, request.change_id):
            return snapshot
        _refuse_empty_store(snapshot, request)
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
        exit_with(UNDECIDED, "the proposal did not get through")
    return snapshot


async def _enqueue(store: CommandStore, request: ChangeRequest) -> FleetSnapshot:
    """Queues the change; the snapshot in which it waits, is open or has ended, found out by reading."""
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
        _refuse_empty_store(snapshot, request)
        try:
            commit = enqueue(snapshot, entry, request.text)
        except QueueRejectedError as error:
            exit_with(ABORTED, error)
        await store.commit(commit)
    return exit_with(UNDECIDED, "it did not get into the queue")


def _refuse_empty_store(snapshot: FleetSnapshot, request: ChangeRequest) -> None:
    """A store whose content was lost looks like one without members."""
    if snapshot.rosters or snapshot.policy or request.is_first:
        return
    exit_with(
        ABORTED,
        f"nobody is of {snapshot.keys.fleet} yet on the store {snapshot.raw.cluster:x}: is it "
        "the right one? --first puts a policy in force for servers to come",
    )
