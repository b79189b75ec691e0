"""What the fake store counts: requests by kind, bytes of messages, and when keys were written."""

from collections.abc import Iterable

import msgspec


class StoreReport(msgspec.Struct):
    """Sums since the fake store's start; it is sent as JSON. `bytes_in` and `bytes_out` are of messages
    without the frames of HTTP/2, which a link in between counts too."""

    requests: dict[str, int] = {}  # by kind, "read head+live" or "write vote" or "lease renew"
    watch_events: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    written_ms: dict[str, float] = {}  # by key, of the prefix in the request: monotonic ms

    def count(self, kind: str, request_bytes: int, response_bytes: int) -> None:
        """Counts a request and its response, with their bytes."""
        self.requests[kind] = self.requests.get(kind, 0) + 1
        self.bytes_in += request_bytes
        self.bytes_out += response_bytes


def kind_of(verb: str, keys: Iterable[str]) -> str:
    """The verb with the second parts of the keys' paths: `FLEET/live/NAME` counts as `live`."""
    parts = {key.split("/")[1] if "/" in key else key for key in keys}
    return f"{verb} {'+'.join(sorted(parts))}"
