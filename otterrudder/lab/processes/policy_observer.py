"""Polls the store for the times at which policy versions came into force, and for the votes on changes.

The observer connects to the store directly, so link faults do not affect the reference data of the checks."""

import contextlib
from pathlib import Path

import anyio

from otterrudder.clock import monotonic as clock
from otterrudder.fleet.client import Client
from otterrudder.fleet.configuration import read_fleet
from otterrudder.fleet.records import FleetSnapshot, Keys
from otterrudder.fleet.store import StoreUnavailableError
from otterrudder.lab.processes.fake_etcd import CLUSTER
from otterrudder.lab.processes.history import VersionInForce, VoteRecord, initial_version

POLL_S = 0.015
REQUEST_TIMEOUT_MS = 1000.0


class PolicyObserver:
    """The policy versions and votes observed so far."""

    def __init__(self) -> None:
        self.rejected_products: dict[str, str] = {}  # by policy digest
        self.versions: list[VersionInForce] = [initial_version()]
        self.open_change = ""  # id of the open change, or ""
        self.voters: set[str] = set()  # on the open change
        self.votes: list[VoteRecord] = []  # on all changes

    @property
    def in_force(self) -> VersionInForce:
        """The version in force now."""
        return self.versions[-1]

    async def run(self, fleet_file: Path) -> None:
        """Polls the store until it is cancelled."""
        fleet = read_fleet(fleet_file)
        client = Client(fleet)
        keys = Keys(fleet.name)
        previous_poll_ms = clock()
        try:
            while True:
                await anyio.sleep(POLL_S)
                began_ms = clock()
                with contextlib.suppress(StoreUnavailableError):
                    snapshot = await client.read([keys.policy, keys.change, keys.votes], REQUEST_TIMEOUT_MS)
                    if snapshot.cluster != CLUSTER:  # another store answers
                        continue
                    self._record_versions(FleetSnapshot(keys, snapshot), previous_poll_ms)
                    previous_poll_ms = began_ms
        finally:
            with anyio.CancelScope(shield=True):
                await client.close()

    def _record_versions(self, view: FleetSnapshot, previous_poll_ms: float) -> None:
        head = view.policy
        if head and head.version > self.in_force.version:
            rejected = self.rejected_products.get(head.digest, "")
            self.versions.append(VersionInForce(head.version, rejected, previous_poll_ms, clock()))
        self.open_change = view.change.id if view.change else ""
        self._record_voters(set(view.votes))

    def _record_voters(self, voters: set[str]) -> None:
        known = {vote.voter for vote in self.votes if vote.change == self.open_change}
        self.votes += [VoteRecord(clock(), self.open_change, voter) for voter in sorted(voters - known)]
        self.voters = voters
