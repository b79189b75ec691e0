"""Observes the store: which version of the policy came into force when, and who has voted on a change.

Its connection has no link with faults, so it sees the truth that the servers are held against."""

import contextlib
from pathlib import Path

import anyio

from otterrudder.clock import monotonic as clock
from otterrudder.fleet.client import Client
from otterrudder.fleet.configuration import read_fleet
from otterrudder.fleet.records import FleetSnapshot, Keys
from otterrudder.fleet.store import StoreUnavailableError
from otterrudder.lab.processes.fake_etcd import CLUSTER
from otterrudder.lab.processes.history import VersionInForce, VoteRecord, no_version_yet

POLL_S = 0.015
REQUEST_TIMEOUT_MS = 1000.0


class PolicyObserver:
    """What the store has shown so far."""

    def __init__(self) -> None:
        self.rejected_products: dict[str, str] = {}  # by a policy's digest
        self.versions: list[VersionInForce] = [no_version_yet()]
        self.open_change = ""  # its id
        self.voters: set[str] = set()  # on the open change
        self.votes: list[VoteRecord] = []  # on all changes, the first look at each

    @property
    def in_force(self) -> VersionInForce:
        """The version in force now."""
        return self.versions[-1]

    async def run(self, fleet_file: Path) -> None:
        """Polls the store until it is cancelled."""
        fleet = read_fleet(fleet_file)
        client = Client(fleet)
        keys = Keys(fleet.name)
        previous_look = clock()
        try:
            while True:
                await anyio.sleep(POLL_S)
                began = clock()
                with contextlib.suppress(StoreUnavailableError):
                    snapshot = await client.read([keys.policy, keys.change, keys.votes], REQUEST_TIMEOUT_MS)
                    if snapshot.cluster != CLUSTER:  # another engine's content is not the fleet's
                        continue
                    self._note(FleetSnapshot(keys, snapshot), previous_look)
                    previous_look = began
        finally:
            with anyio.CancelScope(shield=True):
                await client.close()

    def _note(self, view: FleetSnapshot, previous_look: float) -> None:
        head = view.policy
        if head and head.version > self.in_force.version:
            rejected = self.rejected_products.get(head.digest, "")
            self.versions.append(VersionInForce(head.version, rejected, previous_look, clock()))
        self.open_change = view.change.id if view.change else ""
        self._note_voters(set(view.votes))

    def _note_voters(self, voters: set[str]) -> None:
        known = {vote.voter for vote in self.votes if vote.change == self.open_change}
        self.votes += [VoteRecord(clock(), self.open_change, voter) for voter in sorted(voters - known)]
        self.voters = voters
