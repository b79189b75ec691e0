"""A key space with revisions, compares, leases, history and compaction, at the times that it is given: the
core of a fake store, from etcd's published v3 API. Lab and model search use it as it is; on sockets a server
of that API is around it (`lab/processes/fake_etcd.py`).

One step of it is one call. It has no randomness and no clock. Its history is bounded: what is older than
`compacted` can't be watched any more."""

import bisect
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from otterrudder.fleet.effects import Commit, GrantLease, Read, StoreRequest
from otterrudder.fleet.store import CommitResult, Compare, Delete, Entry, LeaseResult, Put, Snapshot, Write

MAX_HISTORY_EVENTS = 4096  # events kept for watches; past that the oldest are compacted away


@dataclass(frozen=True, slots=True)
class Event:
    """A key was written, or (no entry) deleted, at a revision."""

    revision: int
    key: str
    entry: Entry | None


@dataclass(slots=True)
class KeySpace:
    """The keys with their revisions, and the leases that some depend on."""

    cluster: int = 1
    revision: int = 1
    keys: dict[str, Entry] = field(default_factory=dict)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)  # span and end, in ms
    granted: int = 0  # leases so far
    history: list[Event] = field(default_factory=list)
    compacted: int = 0  # the newest revision that is no longer in the history
    has_history: bool = True
    writes: int = 0  # commits that took effect, for the figures

    def copy(self) -> "KeySpace":
        """One that goes its own way."""
        return KeySpace(
            self.cluster,
            self.revision,
            dict(self.keys),
            dict(self.leases),
            self.granted,
            list(self.history),
            self.compacted,
            self.has_history,
            self.writes,
        )

    def expire_leases(self, now: float) -> None:
        """Leases whose end has passed go, with the keys that hang on them."""
        for lease in [lease for lease, (_, ends) in self.leases.items() if ends <= now]:
            self.revoke(lease)

    def revoke(self, lease: int) -> bool:
        """Whether there was such a lease."""
        if self.leases.pop(lease, None) is None:
            return False
        hung = sorted(key for key, entry in self.keys.items() if entry.lease == lease)
        if hung:
            self.revision += 1
            for key in hung:
                self._delete(key)
        return True

    def read(self, names: Sequence[str]) -> Snapshot:
        """These keys, and all under those names that end in a slash."""
        found = {name: self.keys[name] for name in names if name in self.keys}
        prefixes = tuple(name for name in names if name.endswith("/"))
        if prefixes:
            found |= {key: entry for key, entry in self.keys.items() if key.startswith(prefixes)}
        return Snapshot(self.cluster, self.revision, found)

    def matches(self, compare: Compare) -> bool:
        """Whether the compare holds now."""
        entry = self.keys.get(compare.key)
        return (getattr(entry, compare.attribute) if entry else 0) == compare.equals

    def commit(self, compares: Sequence[Compare], writes: Sequence[Write]) -> CommitResult:
        """All of the writes if all of the compares hold, else none."""
        if not all(map(self.matches, compares)):
            return CommitResult(False, self.revision, self.cluster)
        if any(isinstance(write, Put) and write.lease and write.lease not in self.leases for write in writes):
            return CommitResult(False, self.revision, self.cluster)  # etcd: the lease is not found
        self.revision += 1
        self.writes += 1
        for write in writes:
            if isinstance(write, Put):
                self._put(write)
            else:
                for key in list(self._named(write)):
                    self._delete(key)
        return CommitResult(True, self.revision, self.cluster)

    def grant(self, now: float, span_ms: float) -> LeaseResult:
        """A new lease."""
        self.granted += 1
        self.leases[self.granted] = (span_ms, now + span_ms)
        return LeaseResult(self.granted, self.revision, self.cluster)

    def renew(self, now: float, lease: int) -> LeaseResult:
        """Its whole span again, if it lives."""
        if lease not in self.leases:
            return LeaseResult(0, self.revision, self.cluster)
        span_ms = self.leases[lease][0]
        self.leases[lease] = (span_ms, now + span_ms)
        return LeaseResult(lease, self.revision, self.cluster)

    def answer(self, now: float, effect: StoreRequest) -> Snapshot | CommitResult | LeaseResult:
        """A request to the store, at that time."""
        self.expire_leases(now)
        if isinstance(effect, Read):
            return self.read(effect.names)
        if isinstance(effect, Commit):
            return self.commit(effect.compares, effect.writes)
        if isinstance(effect, GrantLease):
            return self.grant(now, effect.span_ms)
        return self.renew(now, effect.lease)

    def compact(self, revision: int) -> None:
        """Events up to this revision can no longer be watched."""
        self.compacted = max(self.compacted, min(revision, self.revision))
        self.history = [event for event in self.history if event.revision > self.compacted]

    def events_since(self, prefix: str, revision: int) -> list[Event] | None:
        """Events under a prefix from a revision on; None: they are compacted away."""
        if revision <= self.compacted:
            return None
        first = bisect.bisect_left(self.history, revision, key=lambda event: event.revision)
        return [event for event in self.history[first:] if event.key.startswith(prefix)]

    def _named(self, write: Delete) -> Iterator[str]:
        if write.is_prefix:
            return iter(sorted(key for key in self.keys if key.startswith(write.key)))
        return iter([write.key] if write.key in self.keys else [])

    def _put(self, write: Put) -> None:
        before = self.keys.get(write.key)
        created = before.created if before else self.revision
        entry = Entry(write.value, created, self.revision, write.lease)
        self.keys[write.key] = entry
        self._record_event(write.key, entry)

    def _delete(self, key: str) -> None:
        del self.keys[key]
        self._record_event(key, None)

    def _record_event(self, key: str, entry: Entry | None) -> None:
        if not self.has_history:
            return
        self.history.append(Event(self.revision, key, entry))
        if len(self.history) > MAX_HISTORY_EVENTS:
            self.compact(self.history[MAX_HISTORY_EVENTS // 4].revision)
