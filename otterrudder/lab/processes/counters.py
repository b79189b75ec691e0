"""What the store's stand-in counts: requests by kind, bytes of messages, and when keys were written."""

from collections.abc import Iterable

import msgspec


class StoreReport(msgspec.Struct):
    """Sums since the stand-in's start. `bytes_in` and `bytes_out` are of messages alone, without the frames
    of HTTP/2: a link in between counts those too."""

    requests: dict[str, int] = {}  # by kind, "read head+live" or "write vote" or "lease renew"
    watch_events: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    written_ms: dict[str, float] = {}  # by key, of the prefix that was asked about: monotonic clock

    def count(self, kind: str, request: int, answer: int) -> None:
        """One request and its answer, with their bytes."""
        self.requests[kind] = self.requests.get(kind, 0) + 1
        self.bytes_in += request
        self.bytes_out += answer


def kind_of(verb: str, keys: Iterable[str]) -> str:
    """The verb with the second parts of the keys' paths: `FLEET/live/NAME` counts as `live`."""
    parts = {key.split("/")[1] if "/" in key else key for key in keys}
    return f"{verb} {'+'.join(sorted(parts))}"
