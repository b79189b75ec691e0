"""A key space that finds keys by their folder and leases by their end, for fleets of thousands: what a
request costs does not grow with what else is stored."""

import heapq
from collections.abc import Sequence

from otterrudder.fleet.store import LeaseResult, Put, Snapshot
from otterrudder.lab.keyspace import KeySpace


class IndexedKeySpace(KeySpace):
    """Answers as KeySpace does, without a history."""

    def __init__(self) -> None:
        super().__init__(has_history=False)
        self._folders: dict[str, dict[str, None]] = {}  # in the order of writing, which a set has not
        self._hung: dict[int, set[str]] = {}
        self._ends: list[tuple[float, int]] = []  # one for each lease, never later than its end

    def read(self, names: Sequence[str]) -> Snapshot:
        """By the index, in the time of what is found."""
        plain = (name for name in names if name in self.keys)
        under = (key for name in names if name.endswith("/") for key in self._folders.get(name, ()))
        return Snapshot(self.cluster, self.revision, {key: self.keys[key] for key in (*plain, *under)})

    def expire_leases(self, now: float) -> None:
        """Leases whose end has passed go, with the keys that depend on them."""
        ends = self._ends
        while ends and ends[0][0] <= now:
            _, lease = heapq.heappop(ends)
            if lease not in self.leases:
                continue
            until = self.leases[lease][1]
            if until <= now:
                self.revoke(lease)
            else:
                heapq.heappush(ends, (until, lease))

    def revoke(self, lease: int) -> bool:
        """Whether there was such a lease."""
        if self.leases.pop(lease, None) is None:
            return False
        hung = sorted(self._hung.pop(lease, ()))
        if hung:
            self.revision += 1
            for key in hung:
                self._delete(key)
        return True

    def grant(self, now: float, span_ms: float) -> LeaseResult:
        """A new lease, whose end is in the index."""
        leased = super().grant(now, span_ms)
        heapq.heappush(self._ends, (now + span_ms, leased.lease))
        return leased

    def _put(self, write: Put) -> None:
        self._unhang(write.key)
        super()._put(write)
        self._folders.setdefault(_folder_of(write.key), {})[write.key] = None
        if write.lease:
            self._hung.setdefault(write.lease, set()).add(write.key)

    def _delete(self, key: str) -> None:
        self._unhang(key)
        super()._delete(key)
        del self._folders[_folder_of(key)][key]

    def _unhang(self, key: str) -> None:
        before = self.keys.get(key)
        if before and before.lease in self._hung:
            self._hung[before.lease].discard(key)


def _folder_of(key: str) -> str:
    return key[: key.rindex("/") + 1]
