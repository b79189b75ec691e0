"""The store in simulated time: a key space with request and watch latencies by region, and counters of its
requests."""

import random
from collections import Counter
from collections.abc import Callable

from otterrudder.fleet.effects import Commit, GrantLease, Read, RenewLease, StoreRequest
from otterrudder.fleet.store import CommitResult, LeaseResult, Snapshot
from otterrudder.lab.indexed import IndexedKeySpace
from otterrudder.lab.scale.experiment import StorePart
from otterrudder.lab.scale.topology import Topology

COUNTER_BY_REQUEST = {Read: "reads", Commit: "writes", GrantLease: "leases", RenewLease: "renewals"}


class ChangeTrackingKeySpace(IndexedKeySpace):
    """Collects the keys that were written or deleted; the owner takes them and resets the list."""

    def __init__(self) -> None:
        super().__init__()
        self.changed_keys: list[str] = []

    def _record_event(self, key: str, entry: object) -> None:
        self.changed_keys.append(key)


class StoreService:
    """Computes the latencies of requests, and answers each request at the time at which it takes effect."""

    def __init__(
        self,
        topology: Topology,
        part: StorePart,
        random_source: random.Random,
        on_commit: Callable[[Commit], None],
        on_keys_changed: Callable[[list[str]], None],
    ) -> None:
        """Calls `on_commit` after a successful commit and `on_keys_changed` with keys that were written or
        deleted together."""
        self.keys = ChangeTrackingKeySpace()
        self.counts: Counter[str] = Counter()
        self._part, self._random = part, random_source
        self._on_commit, self._on_keys_changed = on_commit, on_keys_changed
        self._store_latency_ms = [
            topology.store_one_way_ms(region) for region in range(len(topology.regions))
        ]
        self._quorum_ms = topology.quorum_ms

    def arrival_ms(self, region: int, request: StoreRequest) -> float:
        """Draws the time from sending a request until it takes effect, in ms."""
        bounds = self._part.read_ms if isinstance(request, Read) else self._part.disk_ms
        return self._store_latency_ms[region] + self._quorum_ms + self._random.uniform(*bounds)

    def answer_ms(self, region: int) -> float:
        """Draws the time from the effect of a request until its answer is back, in ms."""
        return self._store_latency_ms[region] + self._random.uniform(*self._part.read_ms)

    def watch_ms(self, region: int) -> float:
        """Draws the time from a write until a watch reports it, in ms."""
        return self._store_latency_ms[region] + self._random.uniform(*self._part.watch_ms)

    def answer(self, now: float, request: StoreRequest) -> Snapshot | CommitResult | LeaseResult:
        """Executes a request and returns its result."""
        self.counts[COUNTER_BY_REQUEST[type(request)]] += 1
        if isinstance(request, Commit):
            self.counts[request.purpose] += 1
        outcome = self.keys.answer(now, request)
        if isinstance(request, Commit):
            assert isinstance(outcome, CommitResult)
            if outcome.succeeded:
                self._on_commit(request)
            else:
                self.counts["fallen"] += 1
        self._notify_changed()
        return outcome

    def expire_leases(self, now: float) -> None:
        """Removes expired leases with their keys."""
        self.keys.expire_leases(now)
        self._notify_changed()

    def revoke(self, lease: int) -> None:
        """Revokes a lease and deletes its keys."""
        self.counts["leases"] += 1
        self.keys.revoke(lease)
        self._notify_changed()

    def _notify_changed(self) -> None:
        if self.keys.changed_keys:
            changed_keys, self.keys.changed_keys = self.keys.changed_keys, []
            self._on_keys_changed(changed_keys)
