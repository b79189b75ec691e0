"""The counters of the fake store: requests by kind, message bytes, and the times of writes by key."""

from collections.abc import Iterable

import msgspec


class StoreReport(msgspec.Struct):
    """The counters since the start of the fake store, sent as JSON.

    `bytes_in` and `bytes_out` exclude HTTP/2 framing, which a link's own byte counts include."""

    requests: dict[str, int] = {}  # by kind, such as "read head+live", "write vote" or "lease renew"
    watch_events: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    written_ms: dict[str, float] = {}  # last write in ms of the monotonic clock, by key

    def count(self, kind: str, request_bytes: int, response_bytes: int) -> None:
        """Counts a request and the bytes of the request and its response."""
        self.requests[kind] = self.requests.get(kind, 0) + 1
        self.bytes_in += request_bytes
        self.bytes_out += response_bytes


def request_kind(verb: str, keys: Iterable[str]) -> str:
    """Returns the verb and the second path segments of the keys, such as `live` for `FLEET/live/NAME`."""
    parts = {key.split("/")[1] if "/" in key else key for key in keys}
    return f"{verb} {'+'.join(sorted(parts))}"
