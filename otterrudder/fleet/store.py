"""The interface to the store, an external service that keeps the fleet's shared state. The rest of the fleet
code does not depend on the implementation.

The implementations are the client for etcd's published v3 API (`client.py`) and, in the lab and the model
search, a key space in simulated time (`lab/keyspace.py`). The semantics are those of that API: every write
that takes effect gets the next revision; a key keeps the revision that created it and the revision that last
modified it; a commit evaluates its compares and executes its writes atomically; a key that is attached to a
lease is deleted when the lease expires.

A missing answer does not say whether a request took effect: `StoreUnavailableError` is raised both if the
request never arrived and if only the answer was lost. A caller that needs to know has to read again."""

from collections.abc import AsyncIterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Literal, NamedTuple, Protocol


class StoreUnavailableError(Exception):
    """No answer arrived; the request may or may not have taken effect."""


class Entry(NamedTuple):
    """The value of a key, with its revisions and its lease."""

    value: bytes
    created: int  # revision that created the key
    modified: int  # revision that last wrote the key
    lease: int = 0  # ID of the lease that the key is attached to; 0 if there is none


class Snapshot(NamedTuple):
    """The keys that were read, as of one revision."""

    cluster: int  # ID of the store's cluster; a different ID means a different store
    revision: int
    entries: Mapping[str, Entry]

    def created(self, key: str) -> int:
        """Returns the revision that created the key; 0 if the key is absent."""
        return entry.created if (entry := self.entries.get(key)) else 0

    def modified(self, key: str) -> int:
        """Returns the revision that last wrote the key; 0 if the key is absent."""
        return entry.modified if (entry := self.entries.get(key)) else 0


class Compare(NamedTuple):
    """The condition that a key's revision equals a value; the value 0 means that the key is absent."""

    key: str
    attribute: Literal["created", "modified"]
    equals: int


class Put(NamedTuple):
    """Writes a key and attaches it to `lease`; 0 means no lease."""

    key: str
    value: bytes
    lease: int = 0


class Delete(NamedTuple):
    """Deletes a key, or all keys under a prefix."""

    key: str
    is_prefix: bool = False


Write = Put | Delete


class CommitResult(NamedTuple):
    """The outcome of a commit. It succeeded if all of its compares held."""

    succeeded: bool
    revision: int  # revision of the store at the commit
    cluster: int = 0  # ID of the store's cluster; 0 if the answer did not contain it


class LeaseResult(NamedTuple):
    """The state of a lease after a grant or a renewal."""

    lease: int  # ID of the lease; 0 if it has expired
    revision: int
    cluster: int  # ID of the cluster of the store that answered


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """Signals that a watch has started or that keys under the watched prefix were written, up to
    `revision`."""

    revision: int


class Store(Protocol):
    """A connection to the store. Requests raise StoreUnavailableError if no answer arrives within
    `timeout_ms`."""

    async def read(self, names: Sequence[str], timeout_ms: float) -> Snapshot:
        """Reads keys, and all keys under the names that end in a slash, at one revision. The read is
        linearizable."""

    async def commit(
        self, compares: Sequence[Compare], writes: Sequence[Write], timeout_ms: float
    ) -> CommitResult:
        """Executes all of the writes if all of the compares hold, and otherwise none."""

    async def lease(self, span_ms: float, timeout_ms: float) -> LeaseResult:
        """Requests a new lease with a duration of `span_ms`."""

    async def renew(self, lease: int, timeout_ms: float) -> LeaseResult:
        """Renews a lease for its whole duration, unless it has expired."""

    def watch(self, prefix: str) -> AsyncIterator[WatchEvent]:
        """Yields an event when the watch has started, and one for each later write under the prefix. Ends
        with StoreUnavailableError; the caller then has to read again and start a new watch."""

    async def revoke(self, lease: int, timeout_ms: float) -> None:
        """Ends a lease at once, which deletes the keys that are attached to it."""

    async def switch_endpoint(self) -> None:
        """Switches to the next address, if there is one. Called when the store that answers is not
        trusted."""

    async def close(self) -> None:
        """Closes the connection."""
