"""The table of idempotency keys: the request that holds each key, the response to replay, the expiry, and the
memory that all of them take.

The memory is bounded by the bytes that are held, for as long as they are held. If there is no room for a new
key, responses for which no caller waits any more are dropped first, the oldest first. Their keys are kept, so
a late attempt fails and does not run again."""

from collections.abc import Callable
from hashlib import blake2b

from otterrudder.admission.timer_queue import Timer, TimerQueue
from otterrudder.net.memory import SharedMemory
from otterrudder.net.run_history import RunHistory

DIGEST_BYTES = 12
MAX_KEY_CHARACTERS = 64  # keys are retained, so their length is limited
# Memory of a key without its response: its records and timers, here and in the admission controller.
KEY_BYTES = 1300
RUN_HISTORY_SHARE = 0.02  # share of the memory of all keys
RESPONSE_BYTES = 4 * 1024 + 64  # the longest response, reserved until the run has ended


def request_digest(class_index: int, body: bytes) -> bytes:
    """Returns a digest of class and body. All attempts with one idempotency key must have the same digest."""
    return blake2b(body, digest_size=DIGEST_BYTES, salt=b"%d" % class_index).digest()


class IdempotencyEntry:
    """The state that all attempts with one idempotency key share."""

    __slots__ = (
        "key",
        "holder",
        "digest",
        "expiry",
        "response",
        "response_until",
        "held_bytes",
        "is_finished",
        "waiting",
    )

    def __init__(self, key: str, holder: int, digest: bytes) -> None:
        self.key = key
        self.holder = holder  # number of the request that runs or ran
        self.digest = digest
        self.expiry: Timer | None = None  # None: the key is not retained
        self.response: bytes | None = None  # response of a completed run; None after it was dropped
        self.response_until = 0.0  # when its caller stops waiting; until then the response is not dropped
        self.held_bytes = 0  # memory counted for the entry; 0: the key is not retained
        self.is_finished = False  # whether the run has ended, with or without a response
        self.waiting: list[int] | None = None  # numbers of the attempts that wait for the response, if any


class IdempotencyTable:
    """Keeps the entries by key until they expire. `evict` removes the entry of a request that never ran."""

    def __init__(self, memory: SharedMemory) -> None:
        """`memory` limits the memory of all keys and responses."""
        self._memory = memory
        self._now = 0.0
        self.run_history = RunHistory(memory.max_bytes * RUN_HISTORY_SHARE)
        self.dropped_responses = 0  # number of responses dropped to make room for keys
        self.entries: dict[str, IdempotencyEntry] = {}
        self._responses: dict[str, IdempotencyEntry] = {}  # entries with a response, in the order of the ends
        self.expirations = TimerQueue()  # one timer for each retained key
        self._expired: list[IdempotencyEntry] = []  # entries whose timers have run
        self._handle_expiry = self._add_expired  # one bound method for all timers
        # Entries of keys that arrived in the current batch; cleared at the end of the batch.
        self.batch_entries: dict[str, IdempotencyEntry] = {}

    def __len__(self) -> int:
        return len(self.entries)

    @property
    def held_bytes(self) -> int:
        """The memory of all keys and responses, without the run history."""
        return self._memory.key_bytes

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
            self._responses.pop(key, None)
        if entry.expiry:
            entry.expiry.cancel()
        entry.response_until = self._now + deadline_ms
        self._count(entry, KEY_BYTES + len(key) + RESPONSE_BYTES)
        self._schedule_expiry(entry, retained_until + deadline_ms)

    def has_room(self) -> bool:
        """Whether the keys that arrived in the current batch fit, each with the longest response. Drops
        responses for which no caller waits any more if that makes room."""
        reserved = len(self.batch_entries) * (KEY_BYTES + MAX_KEY_CHARACTERS + RESPONSE_BYTES)
        return self._make_room(reserved)

    def finish(self, entry: IdempotencyEntry, response: bytes | None) -> None:
        """Records the end of the run that holds the key; `response` is None if it has none. The caller must
        answer the waiting attempts and then call `enforce_limit`."""
        entry.is_finished = True
        if response is not None:
            entry.response = response
            self._responses[entry.key] = entry
        self._count(entry, KEY_BYTES + len(entry.key) + len(response or b""))

    def add_waiting(self, entry: IdempotencyEntry, number: int) -> None:
        """Adds an attempt that waits for the response."""
        if entry.waiting is None:
            entry.waiting = []
        entry.waiting.append(number)

    def remove_waiting(self, entry: IdempotencyEntry, number: int) -> None:
        """Removes an attempt that does not wait for the response any more."""
        if entry.waiting:
            entry.waiting.remove(number)

    def enforce_limit(self, entry: IdempotencyEntry) -> None:
        """Drops the response of an entry whose run has just ended if it is longer than what was reserved for
        it and does not fit."""
        if not self._make_room(0) and entry.response is not None:
            self._drop_response(entry)

    def remember_run(self, request_id: str, deadline_ms: float) -> None:
        """Remembers the id of a request without a key that ran, for as long as its caller may wait."""
        self.run_history.add(request_id, self._now, self._now + deadline_ms)

    def entry_held_by(self, key: str, number: int) -> IdempotencyEntry | None:
        """Returns the key's entry if the request with this number holds it."""
        entry = self.entries.get(key) if key else None
        return entry if entry and entry.holder == number else None

    def evict(self, key: str, number: int) -> IdempotencyEntry | None:
        """Removes and returns the entry of a request that never ran; None if the request holds no entry."""
        entry = self.entry_held_by(key, number)
        if entry:
            self._remove(entry)
            if entry.expiry:
                entry.expiry.cancel()
        return entry

    def advance_to(self, now: float, deadline_of: Callable[[int], float | None]) -> None:
        """Sets the time, and removes the entries that have expired. `deadline_of` returns the deadline in ms
        of a pending request by its number, or None if the request is over. An entry is not removed before the
        request that holds it."""
        self._now = now
        self.expirations.run_due(now)
        expired = self._expired
        self._expired = []
        for entry in expired:
            deadline_ms = deadline_of(entry.holder)
            if deadline_ms is None:
                self._remove(entry)
            else:
                self._schedule_expiry(entry, now + deadline_ms)

    def _make_room(self, needed_bytes: int) -> bool:
        """Drops old responses until the bytes fit. Returns whether they do."""
        while self.held_bytes + needed_bytes > self._memory.bytes_for_keys():
            oldest = next(iter(self._responses.values()), None)
            if oldest is None or oldest.response_until > self._now:
                return False
            self._drop_response(oldest)
            self.dropped_responses += 1
        return True

    def _drop_response(self, entry: IdempotencyEntry) -> None:
        del self._responses[entry.key]
        entry.response = None
        self._count(entry, KEY_BYTES + len(entry.key))

    def _remove(self, entry: IdempotencyEntry) -> None:
        if self.entries.get(entry.key) is entry:
            del self.entries[entry.key]
            self._responses.pop(entry.key, None)
            self._count(entry, 0)

    def _count(self, entry: IdempotencyEntry, held_bytes: int) -> None:
        self._memory.key_bytes += held_bytes - entry.held_bytes
        entry.held_bytes = held_bytes

    def _schedule_expiry(self, entry: IdempotencyEntry, due_at: float) -> None:
        entry.expiry = self.expirations.schedule(due_at, self._handle_expiry, entry)

    def _add_expired(self, entry: IdempotencyEntry) -> None:
        self._expired.append(entry)
