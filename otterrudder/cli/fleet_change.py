"""A change as an operator's command sees it: proposed or queued, and followed to its end."""

import asyncio
import time
from dataclasses import dataclass

import click

from otterrudder.cli.fleet_store import ABORTED, TRIES_MOST, UNDECIDED, Store, end_with
from otterrudder.fleet.change import ChangeRejectedError, count_votes, find_change, finish_change, propose
from otterrudder.fleet.queue import QueueRejectedError, enqueue, open_next, queue_position
from otterrudder.fleet.records import Change, FinishedChange, FleetSnapshot, QueuedChange
from otterrudder.fleet.store import StoreUnavailableError

LOOK_S = 0.1  # s between looks at an open change
QUEUE_LOOK_S = 0.5  # s between looks at the queue


@dataclass(frozen=True, slots=True)
class Asked:
    """A change as it was asked for."""

    ident: str
    text: str
    author: str
    note: str
    deadline_ms: float
    trial_ms: float = 0.0
    conditions: tuple[tuple[str, float], ...] = ()
    is_first: bool = False  # it may come into force where nobody is of the fleet yet
    base: str = ""  # the digest of the policy that it was made from; "": any. Only for one that is queued


async def follow(store: Store, asked: Asked) -> FinishedChange:
    """From the proposal to the end of it, whoever settles it."""
    view, ident, deadline_ms = await open_change(store, asked), asked.ident, asked.deadline_ms
    began, shown = time.monotonic(), set[str]()
    while True:
        told = find_change(view, ident)
        if isinstance(told, FinishedChange):
            return told
        if not isinstance(told, Change):
            end_with(UNDECIDED, "the store knows this change no more: see fleet policy history")
        votes = view.votes
        for name in sorted(set(votes) - shown):
            shown.add(name)
            vote = votes[name]
            click.echo(f"  {name}: {'yes' if vote.accepted else f'no: {vote.reason}'}")
        age = (time.monotonic() - began) * 1000
        if commit := finish_change(view, age >= deadline_ms):
            await store.commit(commit)  # whatever comes of it, or no answer: what is so now is read
        else:
            await asyncio.sleep(LOOK_S)
        try:
            view = await store.view()
        except StoreUnavailableError as why:
            owed = ", ".join(count_votes(view).pending) or "nobody's vote"
            if age > deadline_ms:
                end_with(
                    UNDECIDED, f"the store does not answer ({why}); still owed: {owed}. Members settle it"
                )
            await asyncio.sleep(LOOK_S)


async def open_change(store: Store, asked: Asked) -> FleetSnapshot:
    """The change is open, or has ended already; found out by reading, never by a missing answer."""
    ident = asked.ident
    for _ in range(TRIES_MOST):
        view = await store.view()
        if find_change(view, ident):
            return view
        _refuse_an_empty_store(view, asked)
        try:
            commit = propose(
                view,
                ident,
                asked.text,
                asked.author,
                asked.note,
                time.time() * 1000,
                asked.deadline_ms,
                asked.trial_ms,
                asked.conditions,
            )
        except ChangeRejectedError as why:
            end_with(ABORTED, why)
        await store.commit(commit)
    view = await store.view()
    if not find_change(view, ident):
        end_with(UNDECIDED, "the proposal did not get through")
    return view


async def follow_queued(store: Store, asked: Asked) -> FinishedChange:
    """From its place at the end of the queue to the end of the change, whoever opens and settles it."""
    view, shown = await _enqueued(store, asked), -1
    heard = time.monotonic()
    while find_change(view, asked.ident) is None:
        turn = queue_position(view, asked.ident)
        if turn is None:
            end_with(UNDECIDED, "it neither waits nor is open: see fleet policy history")
        if turn != shown:
            shown = turn
            click.echo(f"  queued as {asked.ident}: {turn} before it" if turn else "  its turn has come")
        commit = open_next(view)
        if commit and not turn:  # where no relay leads, nobody else opens it
            await store.commit(commit)
        else:
            await asyncio.sleep(QUEUE_LOOK_S)
        try:
            view, heard = await store.view(), time.monotonic()
        except StoreUnavailableError as why:
            if (time.monotonic() - heard) * 1000 > asked.deadline_ms:
                end_with(UNDECIDED, f"the store does not answer ({why}); {asked.ident} keeps its place")
            await asyncio.sleep(LOOK_S)
    return await follow(store, asked)


async def _enqueued(store: Store, asked: Asked) -> FleetSnapshot:
    """The change waits, is open or has ended; found out by reading, never by a missing answer."""
    entry = QueuedChange(
        asked.ident,
        author=asked.author,
        note=asked.note,
        proposed_at_ms=time.time() * 1000,
        deadline_ms=asked.deadline_ms,
        base=asked.base,
        trial_ms=asked.trial_ms,
        conditions=asked.conditions,
    )
    for _ in range(TRIES_MOST):
        view = await store.view()
        if find_change(view, asked.ident) or queue_position(view, asked.ident) is not None:
            return view
        _refuse_an_empty_store(view, asked)
        try:
            commit = enqueue(view, entry, asked.text)
        except QueueRejectedError as why:
            end_with(ABORTED, why)
        await store.commit(commit)
    end_with(UNDECIDED, "it did not get into the queue")


def _refuse_an_empty_store(view: FleetSnapshot, asked: Asked) -> None:
    """So looks a store that was lost, too."""
    if view.rosters or view.policy or asked.is_first:
        return
    end_with(
        ABORTED,
        f"nobody is of {view.keys.fleet} yet on the store {view.raw.cluster:x}: is it "
        "the right one? --first puts a policy in force for servers to come",
    )
