"""The table of idempotency keys: who holds a key, its response to replay, and when a key expires."""

import heapq
from collections.abc import Callable
from hashlib import blake2b

DIGEST_BYTES = 12


def request_digest(class_index: int, body: bytes) -> bytes:
    """A digest of what is asked for: all attempts with one idempotency key agree in it."""
    return blake2b(body, digest_size=DIGEST_BYTES, salt=b"%d" % class_index).digest()


class IdempotencyEntry:
    """What is known of the attempts with one idempotency key."""

    __slots__ = ("holder", "digest", "expires_at", "response", "is_finished", "waiting")

    def __init__(self, holder: int, digest: bytes) -> None:
        self.holder = holder  # the number of the request that runs or ran
        self.digest = digest
        self.expires_at = 0.0
        self.response: bytes | None = None  # of a run that completed
        self.is_finished = False  # the run has ended, with or without a response
        self.waiting: list[int] = []  # numbers of the attempts to be answered from it


class IdempotencyTable:
    """The entries by key. An entry is dropped by `expire`, or by `evict` where its request never ran."""

    def __init__(self) -> None:
        self.entries: dict[str, IdempotencyEntry] = {}
        self.expirations: list[tuple[float, str]] = []  # a heap: when to look at which key
        # Of keys that came in the current batch; cleared at its end.
        self.batch_entries: dict[str, IdempotencyEntry] = {}

    def __len__(self) -> int:
        return len(self.entries)

    def find(self, key: str) -> IdempotencyEntry | None:
        """The entry of a key, be it retained or of an attempt in the same batch."""
        return self.entries.get(key) or self.batch_entries.get(key)

    def add_to_batch(self, key: str, number: int, digest: bytes) -> None:
        """Links a request with later attempts in the same batch, before anything is decided on it."""
        self.batch_entries[key] = IdempotencyEntry(number, digest)

    def retain(self, key: str, number: int, digest: bytes, retained_until: float, deadline_ms: float) -> None:
        """Keeps the key of a request that is about to run.

        An attempt that comes until `retained_until` may wait unread for as long as its caller does
        (`deadline_ms`), so the entry is kept for that much longer.
        """
        entry = self.entries.get(key)
        if not entry:
            entry = self.entries[key] = IdempotencyEntry(number, digest)
            heapq.heappush(self.expirations, (retained_until, key))
        elif entry.holder != number:
            entry.holder = number
            entry.is_finished = False
            entry.response = None
        entry.expires_at = retained_until + deadline_ms

    def entry_held_by(self, key: str, number: int) -> IdempotencyEntry | None:
        """The key's entry, if it stands for the run of the request of this number."""
        entry = self.entries.get(key) if key else None
        return entry if entry and entry.holder == number else None

    def evict(self, key: str, number: int) -> None:
        """Drops the entry of a request that never ran."""
        if self.entry_held_by(key, number):
            del self.entries[key]

    def expire(self, now: float, deadline_of: Callable[[int], float | None]) -> None:
        """Drops what is due. `deadline_of`: ms that the request of a number may last, None if it is over; an
        entry does not go before the request that holds it."""
        while self.expirations and self.expirations[0][0] <= now:
            key = heapq.heappop(self.expirations)[1]
            entry = self.entries.get(key)
            if not entry:
                continue
            if entry.expires_at > now:
                heapq.heappush(self.expirations, (entry.expires_at, key))
            elif (deadline_ms := deadline_of(entry.holder)) is not None:
                heapq.heappush(self.expirations, (now + deadline_ms, key))
            else:
                del self.entries[key]
