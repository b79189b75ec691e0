"""Carries out effects on the store and the state directory, and returns their outcomes. Requests to the store
have deadlines, and writes to the state directory run in a thread.

The agent of a server (`agent.py`) and the service of a relay (`cell/service.py`) share this code. An
exception from a library counts as a missing answer, so the effect's lane becomes free again."""

import contextlib
import functools
from collections.abc import Callable

import anyio

from otterrudder import clock
from otterrudder.durable import StateDirectory, run_in_daemon_thread
from otterrudder.fleet.effects import (
    Effect,
    GrantLease,
    Outcome,
    Read,
    RenewLease,
    SaveState,
    ValidatePolicy,
)
from otterrudder.fleet.state_file import STATE_FILE, encode_state
from otterrudder.fleet.store import Store, StoreUnavailableError
from otterrudder.log import log

# Minimum time between two watch events. Events that arrive in the meantime wait in the stream, where flow
# control slows down a store that sends too many. The read after any event shows all earlier writes, so no
# write is missed.
WATCH_EVENT_MS = 50.0
WATCH_RETRY_MS = 500.0  # delay before a watch that ended is started again
CLOSE_TIMEOUT_MS = 500.0  # maximum duration of a shutdown, which frees the name for the next process
# Minimum time between two switches of the address while the store is not trusted: the right store may be back
# by then.
ENDPOINT_SWITCH_INTERVAL_MS = 2000.0


class Executor:
    """Owns the connection to the store and the state directory; `close` releases both."""

    def __init__(self, store: Store, directory: StateDirectory | None, timeout_ms: float) -> None:
        self.store = store
        self.directory = directory
        self.timeout_ms = timeout_ms
        self.is_writing = False  # whether a write to the state directory is in progress
        # The control socket shows these counters under the same names.
        self.counts = {"asked": 0, "unanswered": 0, "hints": 0, "watches_ended": 0}
        # longest time that an effect took since `take_max_answer_ms` was last called
        self.max_answer_ms = 0.0
        self._unavailable_since = 0.0  # when the store stopped answering; 0 while it answers
        self._switch_at = 0.0  # earliest time of the next switch to another address

    async def perform(self, effect: Effect) -> Outcome:
        """Carries out an effect. Returns its outcome, or None if no answer arrived."""
        assert not isinstance(effect, ValidatePolicy)
        self.counts["asked"] += 1
        try:
            if isinstance(effect, SaveState):
                self.is_writing = True
                return await run_in_daemon_thread(functools.partial(self._save, effect))
            outcome = await self._request(effect)
        except Exception as error:
            self._note_failure(error)
            return None
        if self._unavailable_since:
            after_ms = round(clock.monotonic() - self._unavailable_since)
            log.info("the store answers again", after_ms=after_ms)
            self._unavailable_since = 0.0
        return outcome

    async def watch(self, prefix: str, handle_watch_event: Callable[[], None]) -> None:
        """Watches a prefix until it is cancelled, and calls `handle_watch_event` when a watch has started and
        after writes. A missed event only delays a read, because members also read at regular intervals."""
        while True:
            try:
                async for _ in self.store.watch(prefix):
                    self.counts["hints"] += 1
                    handle_watch_event()
                    await anyio.sleep(WATCH_EVENT_MS / 1000)
            except StoreUnavailableError:
                self.counts["watches_ended"] += 1
            except Exception:  # an exception from a library ends the watch, but must not end the process
                self.counts["watches_ended"] += 1
                log.exception("a watch of the store failed")
            await anyio.sleep(WATCH_RETRY_MS / 1000)

    async def handle_untrusted_store(self, now: float, reason: str) -> None:
        """Switches to another address, if there is one, because the store that answered is not trusted."""
        if now < self._switch_at:
            return
        self._switch_at = now + ENDPOINT_SWITCH_INTERVAL_MS
        log.warning("the store is not trusted", why=reason)
        await self.store.switch_endpoint()

    async def close(self, lease: int) -> None:
        """Revokes the lease, so that the next process need not wait until it expires, and releases the store
        and the state directory. `lease` is 0 if there is none."""
        try:
            with contextlib.suppress(Exception):  # the name then becomes free when the lease expires
                if lease:
                    await self.store.revoke(lease, CLOSE_TIMEOUT_MS)
            with contextlib.suppress(Exception):
                await self.store.close()
        finally:
            # A write that is still in progress could overwrite the state of the next process. In that case
            # the lock is kept until this process ends.
            if self.directory and not self.is_writing:
                self.directory.close()

    def take_max_answer_ms(self) -> float:
        """Returns the longest time that an effect took since the last call, in ms."""
        max_answer_ms, self.max_answer_ms = self.max_answer_ms, 0.0
        return max_answer_ms

    async def _request(self, effect: Effect) -> Outcome:
        if isinstance(effect, Read):
            return await self.store.read(effect.names, self.timeout_ms)
        if isinstance(effect, GrantLease):
            return await self.store.lease(effect.span_ms, self.timeout_ms)
        if isinstance(effect, RenewLease):
            return await self.store.renew(effect.lease, self.timeout_ms)
        assert not isinstance(effect, SaveState | ValidatePolicy)
        return await self.store.commit(effect.compares, effect.writes, self.timeout_ms)

    def _note_failure(self, error: Exception) -> None:
        self.counts["unanswered"] += 1
        if not isinstance(error, StoreUnavailableError):
            log.exception("a request to the store failed")
        if not self._unavailable_since:
            self._unavailable_since = clock.monotonic()
            log.warning("the store does not answer", why=str(error))

    def _save(self, effect: SaveState) -> bool:
        """Writes the state to the disk. Runs in a thread, because it blocks until the disk has the data."""
        try:
            assert self.directory
            self.directory.write(STATE_FILE, encode_state(effect.record))
        except OSError as error:
            log.error("the state directory is not writable", why=str(error))
            return False
        finally:
            self.is_writing = False
        return True
