"""A server's lease from its relay: when it ends, and the pending requests that may extend it.

The module is pure: it does no I/O and reads no clock."""

import math

MAX_PENDING_REQUESTS = 8


class ServerLease:
    """When a server's leases end: for the policy version that the server uses, and for a newer version."""

    __slots__ = ("newer_until", "newer_version", "until")

    def __init__(self) -> None:
        self.until = -math.inf  # end of the lease for the version that the server uses
        self.newer_version = 0
        self.newer_until = -math.inf  # end of the lease for `newer_version`

    def extend(self, known_version: int, version: int, until: float) -> None:
        """Records a lease for `version` until `until`, granted to a server that uses `known_version`."""
        if version == known_version:
            self.until = max(self.until, until)
        elif version > self.newer_version:
            self.newer_version = version
            self.newer_until = until
        else:
            self.newer_until = max(self.newer_until, until)

    def adopt(self, version: int) -> None:
        """Records that the server has switched to `version`.

        A lease for an earlier version is valid for a later version as well: only a change after the later
        version could make it invalid."""
        if version >= self.newer_version:
            self.until = max(self.until, self.newer_until)


class PendingRequests:
    """The sending times of the requests that have no answer yet, by sequence number."""

    __slots__ = ("_sent_at", "sequence")

    def __init__(self) -> None:
        self.sequence = 0  # sequence number of the last request
        self._sent_at: dict[int, float] = {}

    def __contains__(self, sequence: int) -> bool:
        return sequence in self._sent_at

    def __len__(self) -> int:
        return len(self._sent_at)

    def add(self, now: float) -> int:
        """Adds a request that is sent at `now` and returns its sequence number."""
        self.sequence += 1
        self._sent_at[self.sequence] = now
        while len(self._sent_at) > MAX_PENDING_REQUESTS:
            del self._sent_at[next(iter(self._sent_at))]
        return self.sequence

    def pop(self, sequence: int) -> float | None:
        """Removes a request and returns when it was sent; None if it is not pending."""
        return self._sent_at.pop(sequence, None)

    def drop_until(self, sequence: int) -> None:
        """Removes this request and all earlier requests; their answers will be ignored."""
        self._sent_at = {number: at for number, at in self._sent_at.items() if number > sequence}

    def clear(self) -> None:
        """Removes all requests, because the stream on which they were sent has ended."""
        self._sent_at.clear()
