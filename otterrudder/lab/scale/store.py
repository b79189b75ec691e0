"""The store in simulated time: a key space with its place in the world, watches, and counts of what it is
asked."""

import random
from collections import Counter
from collections.abc import Callable

from otterrudder.fleet.effects import Commit, GrantLease, Read, RenewLease, StoreRequest
from otterrudder.fleet.store import CommitResult, LeaseResult, Snapshot
from otterrudder.lab.indexed import IndexedKeySpace
from otterrudder.lab.scale.experiment import StorePart
from otterrudder.lab.scale.topology import Topology

COUNTED = {Read: "reads", Commit: "writes", GrantLease: "leases", RenewLease: "renewals"}


class NotingKeySpace(IndexedKeySpace):
    """Remembers which keys were written since it was last asked."""

    def __init__(self) -> None:
        super().__init__()
        self.touched: list[str] = []

    def _record_event(self, key: str, entry: object) -> None:
        self.touched.append(key)


class StoreService:
    """Latencies of requests, and their answers at the moment at which they take effect."""

    def __init__(
        self,
        topology: Topology,
        part: StorePart,
        chance: random.Random,
        written: Callable[[Commit], None],
        changed: Callable[[list[str]], None],
    ) -> None:
        """`written`: a commit took effect; `changed`: these keys were written or deleted."""
        self.keys = NotingKeySpace()
        self.counts: Counter[str] = Counter()
        self._part, self._chance = part, chance
        self._written, self._changed = written, changed
        self._ways = [topology.store_way_ms(region) for region in range(len(topology.regions))]
        self._quorum_ms = topology.quorum_ms

    def arrival_ms(self, region: int, request: StoreRequest) -> float:
        """From the sending of a request until it takes effect."""
        bounds = self._part.read_ms if isinstance(request, Read) else self._part.disk_ms
        return self._ways[region] + self._quorum_ms + self._chance.uniform(*bounds)

    def answer_ms(self, region: int) -> float:
        """From there until its answer is back."""
        return self._ways[region] + self._chance.uniform(*self._part.read_ms)

    def watch_ms(self, region: int) -> float:
        """From a write until a watch tells of it."""
        return self._ways[region] + self._chance.uniform(*self._part.watch_ms)

    def answer(self, now: float, request: StoreRequest) -> Snapshot | CommitResult | LeaseResult:
        """Carries a request out."""
        self.counts[COUNTED[type(request)]] += 1
        if isinstance(request, Commit):
            self.counts[request.purpose] += 1
        outcome = self.keys.answer(now, request)
        if isinstance(request, Commit):
            assert isinstance(outcome, CommitResult)
            if outcome.succeeded:
                self._written(request)
            else:
                self.counts["fallen"] += 1
        self._tell()
        return outcome

    def lapse(self, now: float) -> None:
        """Leases that have ended go."""
        self.keys.expire_leases(now)
        self._tell()

    def revoke(self, lease: int) -> None:
        """Ends a lease and drops its keys."""
        self.counts["leases"] += 1
        self.keys.revoke(lease)
        self._tell()

    def _tell(self) -> None:
        if self.keys.touched:
            touched, self.keys.touched = self.keys.touched, []
            self._changed(touched)
