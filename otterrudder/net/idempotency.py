"""The table of idempotency keys: the request that holds each key, the response to replay, and the expiry."""

from collections.abc import Callable
from hashlib import blake2b

from otterrudder.admission.timer_queue import Timer, TimerQueue

DIGEST_BYTES = 12


def request_digest(class_index: int, body: bytes) -> bytes:
    """Returns a digest of class and body. All attempts with one idempotency key must have the same digest."""
    return blake2b(body, digest_size=DIGEST_BYTES, salt=b"%d" % class_index).digest()


class IdempotencyEntry:
    """The state that all attempts with one idempotency key share."""

    __slots__ = ("key", "holder", "digest", "expiry", "response", "is_finished", "waiting")

    def __init__(self, key: str, holder: int, digest: bytes) -> None:
        self.key = key
        self.holder = holder  # number of the request that runs or ran
        self.digest = digest
        self.expiry: Timer | None = None  # None: the key is not retained
        self.response: bytes | None = None  # response of a completed run
        self.is_finished = False  # whether the run has ended, with or without a response
        self.waiting: list[int] = []  # numbers of the attempts that wait for the response


class IdempotencyTable:
    """Keeps the entries by key. An entry is removed by `expire`, or by `evict` if its request never ran."""

    def __init__(self) -> None:
        self.entries: dict[str, IdempotencyEntry] = {}
        self.expirations = TimerQueue()  # one timer for each retained key
        self._expired: list[IdempotencyEntry] = []  # entries whose timers have run
        # Entries of keys that arrived in the current batch; cleared at the end of the batch.
        self.batch_entries: dict[str, IdempotencyEntry] = {}

    def __len__(self) -> int:
        return len(self.entries)

    def find(self, key: str) -> IdempotencyEntry | None:
        """Returns the entry of a key that is retained or arrived earlier in the current batch."""
        return self.entries.get(key) or self.batch_entries.get(key)

    def add_to_batch(self, key: str, number: int, digest: bytes) -> None:
        """Makes a request's key known to later attempts in the same batch, before the request is admitted."""
        self.batch_entries[key] = IdempotencyEntry(key, number, digest)

    def retain(self, key: str, number: int, digest: bytes, retained_until: float, deadline_ms: float) -> None:
        """Retains the key of a request that is about to run.

        An attempt that was sent before `retained_until` may stay unread for as long as its caller waits
        (`deadline_ms`), so the entry is kept for `deadline_ms` longer.
        """
        entry = self.entries.get(key)
        if not entry:
            entry = self.entries[key] = IdempotencyEntry(key, number, digest)
        elif entry.holder != number:
            entry.holder = number
            entry.is_finished = False
            entry.response = None
        if entry.expiry:
            entry.expiry.cancel()
        self._schedule_expiry(entry, retained_until + deadline_ms)

    def entry_held_by(self, key: str, number: int) -> IdempotencyEntry | None:
        """Returns the key's entry if the request with this number holds it."""
        entry = self.entries.get(key) if key else None
        return entry if entry and entry.holder == number else None

    def evict(self, key: str, number: int) -> IdempotencyEntry | None:
        """Removes and returns the entry of a request that never ran; None if the request holds no entry."""
        entry = self.entry_held_by(key, number)
        if entry:
            del self.entries[key]
            if entry.expiry:
                entry.expiry.cancel()
        return entry

    def expire(self, now: float, deadline_of: Callable[[int], float | None]) -> None:
        """Removes the entries that have expired. `deadline_of` returns the deadline in ms of a pending
        request by its number, or None if the request is over. An entry is not removed before the request that
        holds it."""
        self.expirations.run_due(now)
        expired = self._expired
        self._expired = []
        for entry in expired:
            deadline_ms = deadline_of(entry.holder)
            if deadline_ms is None:
                self.entries.pop(entry.key, None)
            else:
                self._schedule_expiry(entry, now + deadline_ms)

    def _schedule_expiry(self, entry: IdempotencyEntry, due_at: float) -> None:
        entry.expiry = self.expirations.schedule(due_at, lambda: self._expired.append(entry))
