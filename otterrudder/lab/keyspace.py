"""A key space with revisions, compares, leases, history and compaction, modelled on etcd's published v3 API.
The lab and the model searches use it directly; `lab/processes/fake_etcd.py` serves it over sockets.

Each method call is one atomic step. The key space has no randomness and no clock: callers pass the time. Its
history is bounded, and revisions up to `compacted` can no longer be watched."""

import bisect
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from otterrudder.fleet.effects import Commit, GrantLease, Read, StoreRequest
from otterrudder.fleet.store import CommitResult, Compare, Delete, Entry, LeaseResult, Put, Snapshot, Write

MAX_HISTORY_EVENTS = 4096  # maximum number of events kept for watches; the oldest are compacted


@dataclass(frozen=True, slots=True)
class Event:
    """A key was written at a revision, or deleted if `entry` is None."""

    revision: int
    key: str
    entry: Entry | None


@dataclass(slots=True)
class KeySpace:
    """The keys with their revisions, and the leases to which keys are attached."""

    cluster: int = 1
    revision: int = 1
    keys: dict[str, Entry] = field(default_factory=dict)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)  # duration and expiry time, in ms
    granted: int = 0  # number of leases granted so far
    history: list[Event] = field(default_factory=list)
    compacted: int = 0  # the newest revision that is no longer in the history
    has_history: bool = True
    writes: int = 0  # number of commits that succeeded, for statistics

    def copy(self) -> "KeySpace":
        """Returns an independent copy."""
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
        """Revokes the leases whose expiry time has passed."""
        for lease in [lease for lease, (_, expiry) in self.leases.items() if expiry <= now]:
            self.revoke(lease)

    def revoke(self, lease: int) -> bool:
        """Deletes a lease and the keys attached to it. Returns whether the lease existed."""
        if self.leases.pop(lease, None) is None:
            return False
        attached = sorted(key for key, entry in self.keys.items() if entry.lease == lease)
        if attached:
            self.revision += 1
            for key in attached:
                self._delete(key)
        return True

    def read(self, names: Sequence[str]) -> Snapshot:
        """Reads the keys with these names. A name that ends in a slash is a prefix: all its keys are read."""
        entries = {name: self.keys[name] for name in names if name in self.keys}
        prefixes = tuple(name for name in names if name.endswith("/"))
        if prefixes:
            entries |= {key: entry for key, entry in self.keys.items() if key.startswith(prefixes)}
        return Snapshot(self.cluster, self.revision, entries)

    def matches(self, compare: Compare) -> bool:
        """Whether a compare holds. The attributes of a missing key are 0."""
        entry = self.keys.get(compare.key)
        return (getattr(entry, compare.attribute) if entry else 0) == compare.equals

    def commit(self, compares: Sequence[Compare], writes: Sequence[Write]) -> CommitResult:
        """Applies all writes if all compares hold, else none."""
        if not all(map(self.matches, compares)):
            return CommitResult(False, self.revision, self.cluster)
        if any(isinstance(write, Put) and write.lease and write.lease not in self.leases for write in writes):
            return CommitResult(False, self.revision, self.cluster)  # etcd: lease not found
        self.revision += 1
        self.writes += 1
        for write in writes:
            if isinstance(write, Put):
                self._put(write)
            else:
                for key in list(self._deleted_keys(write)):
                    self._delete(key)
        return CommitResult(True, self.revision, self.cluster)

    def grant(self, now: float, span_ms: float) -> LeaseResult:
        """Grants a new lease."""
        self.granted += 1
        self.leases[self.granted] = (span_ms, now + span_ms)
        return LeaseResult(self.granted, self.revision, self.cluster)

    def renew(self, now: float, lease: int) -> LeaseResult:
        """Renews a lease for its whole duration. The result has lease 0 if the lease does not exist."""
        if lease not in self.leases:
            return LeaseResult(0, self.revision, self.cluster)
        span_ms = self.leases[lease][0]
        self.leases[lease] = (span_ms, now + span_ms)
        return LeaseResult(lease, self.revision, self.cluster)

    def answer(self, now: float, effect: StoreRequest) -> Snapshot | CommitResult | LeaseResult:
        """Executes a request to the store at the time `now`."""
        self.expire_leases(now)
        if isinstance(effect, Read):
            return self.read(effect.names)
        if isinstance(effect, Commit):
            return self.commit(effect.compares, effect.writes)
        if isinstance(effect, GrantLease):
            return self.grant(now, effect.span_ms)
        return self.renew(now, effect.lease)

    def compact(self, revision: int) -> None:
        """Removes the events up to this revision, so that they can no longer be watched."""
        self.compacted = max(self.compacted, min(revision, self.revision))
        self.history = [event for event in self.history if event.revision > self.compacted]

    def events_since(self, prefix: str, revision: int) -> list[Event] | None:
        """Returns the events under a prefix from a revision on, or None if they were compacted."""
        if revision <= self.compacted:
            return None
        first = bisect.bisect_left(self.history, revision, key=lambda event: event.revision)
        return [event for event in self.history[first:] if event.key.startswith(prefix)]

    def _deleted_keys(self, write: Delete) -> Iterator[str]:
        if write.is_prefix:
            return iter(sorted(key for key in self.keys if key.startswith(write.key)))
        return iter([write.key] if write.key in self.keys else [])

    def _put(self, write: Put) -> None:
        previous = self.keys.get(write.key)
        created = previous.created if previous else self.revision
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
