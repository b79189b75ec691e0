"""The ids of recent runs of requests with an effect and without an idempotency key.

The protocol gives each attempt a new id, so an id that comes again is an error of its client. It must not run
a second time."""

from collections import OrderedDict

ID_BYTES = 200  # memory of a remembered id
MAX_IDS = 10_000  # ids that are remembered if the memory allows it; beyond it the oldest is forgotten


class RunHistory:
    """Remembers each id until the time that is given with it."""

    def __init__(self, max_bytes: float) -> None:
        """`max_bytes` limits the memory of all ids."""
        self._max_ids = int(min(max_bytes / ID_BYTES, MAX_IDS))
        self._until: OrderedDict[str, float] = OrderedDict()  # by id, in the order in which they were added

    def __len__(self) -> int:
        return len(self._until)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._until

    def add(self, request_id: str, now: float, until: float) -> None:
        """Remembers the id of a run that has ended. `now` and `until` are in ms on the same clock."""
        self._until[request_id] = until
        while self._until and (len(self._until) > self._max_ids or self._oldest_until() <= now):
            self._until.popitem(last=False)

    def _oldest_until(self) -> float:
        return next(iter(self._until.values()))
