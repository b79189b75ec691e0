"""A server's lease from its relay: until when it holds, and the requests that may extend it. Pure."""

import math

MAX_PENDING_REQUESTS = 8


class ServerLease:
    """Until when a server may admit, under the version that it has and under a newer one."""

    __slots__ = ("newer_until", "newer_version", "until")

    def __init__(self) -> None:
        self.until = -math.inf  # under the version that the server has
        self.newer_version = 0
        self.newer_until = -math.inf

    def extend(self, known_version: int, version: int, until: float) -> None:
        """A lease for `version` was granted to a server that has `known_version`."""
        if version == known_version:
            self.until = max(self.until, until)
        elif version > self.newer_version:
            self.newer_version = version
            self.newer_until = until
        else:
            self.newer_until = max(self.newer_until, until)

    def adopt(self, version: int) -> None:
        """The server has switched to `version`.

        A lease for an earlier version holds for a later one as well: what could end it comes later."""
        if version >= self.newer_version:
            self.until = max(self.until, self.newer_until)


class PendingRequests:
    """When the requests that have no answer yet were sent, by their sequence numbers."""

    __slots__ = ("_sent_at", "sequence")

    def __init__(self) -> None:
        self.sequence = 0  # of the last request
        self._sent_at: dict[int, float] = {}

    def __contains__(self, sequence: int) -> bool:
        return sequence in self._sent_at

    def __len__(self) -> int:
        return len(self._sent_at)

    def add(self, now: float) -> int:
        """The sequence number of a request that is sent now."""
        self.sequence += 1
        self._sent_at[self.sequence] = now
        while len(self._sent_at) > MAX_PENDING_REQUESTS:
            del self._sent_at[next(iter(self._sent_at))]
        return self.sequence

    def pop(self, sequence: int) -> float | None:
        """When the request was sent; None: it is not pending."""
        return self._sent_at.pop(sequence, None)

    def drop_until(self, sequence: int) -> None:
        """The answers to this request and to earlier ones count no more."""
        self._sent_at = {number: at for number, at in self._sent_at.items() if number > sequence}

    def clear(self) -> None:
        """The stream on which the requests were sent has ended."""
        self._sent_at.clear()
