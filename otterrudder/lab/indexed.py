"""A key space with indexes of keys by folder and of leases by expiry time, for fleets of thousands of
servers: the cost of a request does not grow with the number of other keys and leases."""

import heapq
from collections.abc import Sequence

from otterrudder.fleet.store import LeaseResult, Put, Snapshot
from otterrudder.lab.keyspace import KeySpace


class IndexedKeySpace(KeySpace):
    """Gives the same answers as KeySpace, but keeps no history."""

    def __init__(self) -> None:
        super().__init__(has_history=False)
        self._folders: dict[str, dict[str, None]] = {}  # in the order of writing; a set has no order
        self._keys_by_lease: dict[int, set[str]] = {}
        # heap of (time, lease) with an entry for each lease, at its expiry time or earlier
        self._expiries: list[tuple[float, int]] = []

    def read(self, names: Sequence[str]) -> Snapshot:
        """Reads by the index, in time proportional to the size of the result."""
        named = (name for name in names if name in self.keys)
        in_folders = (key for name in names if name.endswith("/") for key in self._folders.get(name, ()))
        return Snapshot(self.cluster, self.revision, {key: self.keys[key] for key in (*named, *in_folders)})

    def expire_leases(self, now: float) -> None:
        """Revokes the leases whose expiry time has passed."""
        expiries = self._expiries
        while expiries and expiries[0][0] <= now:
            _, lease = heapq.heappop(expiries)
            if lease not in self.leases:
                continue
            until = self.leases[lease][1]
            if until <= now:
                self.revoke(lease)
            else:
                heapq.heappush(expiries, (until, lease))

    def revoke(self, lease: int) -> bool:
        """Deletes a lease and the keys attached to it. Returns whether the lease existed."""
        if self.leases.pop(lease, None) is None:
            return False
        attached = sorted(self._keys_by_lease.pop(lease, ()))
        if attached:
            self.revision += 1
            for key in attached:
                self._delete(key)
        return True

    def grant(self, now: float, span_ms: float) -> LeaseResult:
        """Grants a new lease and adds its expiry time to the index."""
        granted = super().grant(now, span_ms)
        heapq.heappush(self._expiries, (now + span_ms, granted.lease))
        return granted

    def _put(self, write: Put) -> None:
        self._detach(write.key)
        super()._put(write)
        self._folders.setdefault(_folder_of(write.key), {})[write.key] = None
        if write.lease:
            self._keys_by_lease.setdefault(write.lease, set()).add(write.key)

    def _delete(self, key: str) -> None:
        self._detach(key)
        super()._delete(key)
        del self._folders[_folder_of(key)][key]

    def _detach(self, key: str) -> None:
        previous = self.keys.get(key)
        if previous and previous.lease in self._keys_by_lease:
            self._keys_by_lease[previous.lease].discard(key)


def _folder_of(key: str) -> str:
    return key[: key.rindex("/") + 1]
