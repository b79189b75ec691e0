"""Operators and their programs who ask for changes: each puts its own in the queue, and reads its place."""

import random
from dataclasses import dataclass

from otterrudder.fleet.effects import Commit, Read, StoreRequest
from otterrudder.fleet.queue import QueueRejectedError, enqueue, queue_position
from otterrudder.fleet.records import FleetSnapshot, Keys, QueuedChange
from otterrudder.fleet.store import CommitResult, Snapshot
from otterrudder.lab.scale.events import EventQueue, Handler
from otterrudder.lab.scale.history_checker import HistoryChecker
from otterrudder.lab.scale.network import Network
from otterrudder.lab.scale.store import StoreService
from otterrudder.lab.scale.topology import Topology

RETRY_MS = 1000.0  # ms until a proposer that had no answer asks again
NOTE = "a change of the day"
DEADLINE_MS = 30_000.0  # ms of a change, from its opening


@dataclass(slots=True)
class Proposal:
    """A change that is asked for, and from which region."""

    ident: str
    region: int


class Proposers:
    """Handlers of the changes that are asked for."""

    def __init__(
        self,
        keys: Keys,
        topology: Topology,
        events: EventQueue,
        network: Network,
        store: StoreService,
        history: HistoryChecker,
        chance: random.Random,
    ) -> None:
        self.asked = 0
        self.refused = 0
        self._keys, self._topology, self._events, self._network = keys, topology, events, network
        self._store, self._history, self._chance = store, history, chance
        self._regions = sorted({zone.region for zone in topology.zones})

    def schedule(self, begin: float, end: float, per_s: float) -> None:
        """Changes at a rate, as they come."""
        if per_s <= 0:
            return
        at = begin + self._chance.expovariate(per_s) * 1000.0
        while at < end:
            self._events.at(at, self._ask, self._next())
            at += self._chance.expovariate(per_s) * 1000.0

    def burst(self, begin: float, count: int, span_ms: float) -> None:
        """Schedules so many changes, evenly over a span."""
        for number in range(count):
            self._events.at(begin + span_ms * number / max(count, 1), self._ask, self._next())

    def _next(self) -> Proposal:
        self.asked += 1
        return Proposal(f"change-{self.asked:05}", self._chance.choice(self._regions))

    def _ask(self, proposal: Proposal, _: object) -> None:
        self._history.asked(self._events.now, proposal.ident)
        self._read(proposal, None)

    def _read(self, proposal: Proposal, _: object) -> None:
        names = (self._keys.head, self._keys.queue)
        self._send(proposal, Read(names), self._queue_it)

    def _queue_it(self, proposal: Proposal, outcome: object) -> None:
        assert isinstance(outcome, Snapshot)
        entry = QueuedChange(proposal.ident, author="an operator", note=NOTE, deadline_ms=DEADLINE_MS)
        try:
            commit = enqueue(FleetSnapshot(self._keys, outcome), entry, f"text of {proposal.ident}")
        except QueueRejectedError:
            self.refused += 1
            return
        self._send(proposal, commit, self._queued)

    def _queued(self, proposal: Proposal, outcome: object) -> None:
        assert isinstance(outcome, CommitResult)
        if outcome.succeeded:
            self._send(proposal, Read((self._keys.change, self._keys.queue)), self._placed)

    def _placed(self, proposal: Proposal, outcome: object) -> None:
        assert isinstance(outcome, Snapshot)
        self._history.changes[proposal.ident].place = queue_position(
            FleetSnapshot(self._keys, outcome), proposal.ident
        )

    def _send(self, proposal: Proposal, request: Read | Commit, then: Handler) -> None:
        now = self._events.now
        if self._network.is_cut(proposal.region, self._topology.store_regions[0]):
            self._events.at(now + RETRY_MS, self._again, proposal, (request, then))
            return
        due = now + self._store.arrival_ms(proposal.region, request)
        self._events.at(due, self._at_store, proposal, (request, then))

    def _again(self, proposal: Proposal, argument: tuple[Read | Commit, Handler]) -> None:
        self._send(proposal, *argument)

    def _at_store(self, proposal: Proposal, argument: tuple[StoreRequest, Handler]) -> None:
        request, then = argument
        outcome = self._store.answer(self._events.now, request)
        due = self._events.now + self._store.answer_ms(proposal.region)
        self._events.at(due, then, proposal, outcome)
