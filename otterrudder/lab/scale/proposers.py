"""Operators and tools that propose changes. Each adds its change to the queue and reads its position."""

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

RETRY_MS = 1000.0  # delay until a proposer without an answer retries its request
CHANGE_NOTE = "ordinary policy change"
DEADLINE_MS = 30_000.0  # deadline of a change, from its opening


@dataclass(slots=True)
class Proposal:
    """A proposed change and the region of its proposer."""

    change_id: str
    region: int


class Proposers:
    """Schedules the proposals of a run and handles their events."""

    def __init__(
        self,
        keys: Keys,
        topology: Topology,
        events: EventQueue,
        network: Network,
        store: StoreService,
        history: HistoryChecker,
        random_source: random.Random,
    ) -> None:
        self.proposed = 0
        self.rejected = 0
        self._keys, self._topology, self._events, self._network = keys, topology, events, network
        self._store, self._history, self._random = store, history, random_source
        self._regions = sorted({zone.region for zone in topology.zones})

    def schedule(self, begin: float, end: float, per_s: float) -> None:
        """Schedules changes from `begin` to `end` as a Poisson process with the rate `per_s`."""
        if per_s <= 0:
            return
        at = begin + self._random.expovariate(per_s) * 1000.0
        while at < end:
            self._events.at(at, self._propose, self._next_proposal())
            at += self._random.expovariate(per_s) * 1000.0

    def burst(self, begin: float, count: int, span_ms: float) -> None:
        """Schedules `count` changes, spread evenly over `span_ms`."""
        for number in range(count):
            self._events.at(begin + span_ms * number / max(count, 1), self._propose, self._next_proposal())

    def _next_proposal(self) -> Proposal:
        self.proposed += 1
        return Proposal(f"change-{self.proposed:05}", self._random.choice(self._regions))

    def _propose(self, proposal: Proposal, _: object) -> None:
        self._history.record_proposal(self._events.now, proposal.change_id)
        self._read(proposal, None)

    def _read(self, proposal: Proposal, _: object) -> None:
        names = (self._keys.head, self._keys.queue)
        self._send(proposal, Read(names), self._enqueue)

    def _enqueue(self, proposal: Proposal, outcome: object) -> None:
        assert isinstance(outcome, Snapshot)
        entry = QueuedChange(
            proposal.change_id, author="an operator", note=CHANGE_NOTE, deadline_ms=DEADLINE_MS
        )
        try:
            commit = enqueue(FleetSnapshot(self._keys, outcome), entry, f"text of {proposal.change_id}")
        except QueueRejectedError:
            self.rejected += 1
            return
        self._send(proposal, commit, self._handle_enqueued)

    def _handle_enqueued(self, proposal: Proposal, outcome: object) -> None:
        assert isinstance(outcome, CommitResult)
        if outcome.succeeded:
            self._send(proposal, Read((self._keys.change, self._keys.queue)), self._record_queue_position)

    def _record_queue_position(self, proposal: Proposal, outcome: object) -> None:
        assert isinstance(outcome, Snapshot)
        self._history.changes[proposal.change_id].queue_position = queue_position(
            FleetSnapshot(self._keys, outcome), proposal.change_id
        )

    def _send(self, proposal: Proposal, request: Read | Commit, handle_result: Handler) -> None:
        now = self._events.now
        if self._network.is_cut(proposal.region, self._topology.store_regions[0]):
            self._events.at(now + RETRY_MS, self._retry, proposal, (request, handle_result))
            return
        due = now + self._store.arrival_ms(proposal.region, request)
        self._events.at(due, self._handle_arrival, proposal, (request, handle_result))

    def _retry(self, proposal: Proposal, argument: tuple[Read | Commit, Handler]) -> None:
        self._send(proposal, *argument)

    def _handle_arrival(self, proposal: Proposal, argument: tuple[StoreRequest, Handler]) -> None:
        request, handle_result = argument
        outcome = self._store.answer(self._events.now, request)
        due = self._events.now + self._store.answer_ms(proposal.region)
        self._events.at(due, handle_result, proposal, outcome)
