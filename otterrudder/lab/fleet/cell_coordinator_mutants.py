"""Mutants of a relay's coordination of changes: its trust in the store, and the queue."""

import math
from dataclasses import replace
from typing import Any

import msgspec

from otterrudder.fleet.change import ChangeCoordinator
from otterrudder.fleet.effects import Commit, Effect, Outcome, Read
from otterrudder.fleet.queue import open_next
from otterrudder.fleet.records import FleetSnapshot, QueuedChange, encode
from otterrudder.fleet.store import Snapshot
from otterrudder.lab.fleet.cell_relay_mutants import MutantRelay
from otterrudder.lab.fleet.mutants import TrustsAnyStore


class RelayTrustsAnyStore(MutantRelay):
    """Trusts an engine that has been restored to an older state."""

    trust_type = TrustsAnyStore


class _OpensTwo(ChangeCoordinator):
    __slots__ = ()

    def _begin_commit(self, now: float, view: FleetSnapshot, age: float) -> Commit | None:
        entries = {k: e for k, e in view.raw.entries.items() if k != view.keys.change}
        commit = open_next(FleetSnapshot(view.keys, view.raw._replace(entries=entries)))
        if view.change and commit:
            remaining = tuple(compare for compare in commit.compares if compare.key != view.keys.change)
            return self._begin(now, replace(commit, compares=remaining))
        return super()._begin_commit(now, view, age)


class OpensTwoChanges(MutantRelay):
    """Opens a queued change while another change is open."""

    coordinator_type = _OpensTwo


class _OpensAnyBase(ChangeCoordinator):
    __slots__ = ()

    def handle_result(self, now: float, effect: Effect, outcome: Outcome) -> Commit | None:
        return super().handle_result(now, effect, _without_bases(outcome))


def _without_bases(outcome: Outcome) -> Outcome:
    """Returns the outcome of a read with the base policy removed from each entry of the queue."""
    if not isinstance(outcome, Snapshot):
        return outcome
    entries = dict(outcome.entries)
    for key, entry in entries.items():
        if "/queue/" in key:
            queued = msgspec.json.decode(entry.value, type=QueuedChange)
            entries[key] = entry._replace(value=encode(msgspec.structs.replace(queued, base="")))
    return outcome._replace(entries=entries)


class OpensChangeFromAnyBase(MutantRelay):
    """Opens a queued change that was made from a policy which is no longer in force."""

    coordinator_type = _OpensAnyBase


class _CoordinatorWithoutQueue(ChangeCoordinator):
    __slots__ = ()

    def effects(self, *arguments: Any) -> Read | Commit | None:
        effect = super().effects(*arguments)
        if self.change or not isinstance(effect, Read):
            return effect
        self._busy = False
        self._due_at = math.inf
        return None


class NeverReadsQueue(MutantRelay):
    """Does not read the queue while no change is open."""

    coordinator_type = _CoordinatorWithoutQueue
