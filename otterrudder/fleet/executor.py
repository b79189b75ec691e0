"""Carries out effects on the store and the state directory, each with its deadline, to their outcomes.

Shared by the actor of a server (`agent.py`) and that of a relay (`cell/service.py`). Whatever a library
raises counts as no answer: the effect's lane is free again. A write to the state directory runs in a
thread."""

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

# ms from one watch event to the next: a store that floods its watch is held back by its own window, and a
# read that any event leads to shows all that was written before it
WATCH_EVENT_MS = 50.0
WATCH_RETRY_MS = 500.0  # ms until a watch that ended is begun again
CLOSE_TIMEOUT_MS = 500.0  # ms that the way out may take: the name is free at once for the next process
ENDPOINT_SWITCH_INTERVAL_MS = (
    2000.0  # ms at an address whose store is not trusted: the right one may be back by then
)


class Executor:
    """Owns the store's channel and the state directory: `close` gives both back."""

    def __init__(self, store: Store, directory: StateDirectory | None, timeout_ms: float) -> None:
        self.store = store
        self.directory = directory
        self.timeout_ms = timeout_ms
        self.is_writing = False  # to the state directory
        # Their names are those on the control socket.
        self.counts = {"asked": 0, "unanswered": 0, "hints": 0, "watches_ended": 0}
        self.max_answer_ms = 0.0  # longest wait for an answer since it was last taken
        self._unavailable_since = 0.0  # when the store first did not answer; 0: it answers
        self._switch_at = 0.0  # when a store that is not trusted may next be left for another address

    async def perform(self, effect: Effect) -> Outcome:
        """The effect's outcome; None: no answer came."""
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
        """Calls back when the watch is begun and for what is written; whoever misses an event reads a little
        later by itself. Runs until it is cancelled."""
        while True:
            try:
                async for _ in self.store.watch(prefix):
                    self.counts["hints"] += 1
                    handle_watch_event()
                    await anyio.sleep(WATCH_EVENT_MS / 1000)
            except StoreUnavailableError:
                self.counts["watches_ended"] += 1
            except Exception:  # whatever a library raises ends a watch, and never the process
                self.counts["watches_ended"] += 1
                log.exception("a watch failed")
            await anyio.sleep(WATCH_RETRY_MS / 1000)

    async def handle_untrusted_store(self, now: float, reason: str) -> None:
        """The store that answered is not trusted: another address is tried, if there is one."""
        if now < self._switch_at:
            return
        self._switch_at = now + ENDPOINT_SWITCH_INTERVAL_MS
        log.warning("the store is not trusted", why=reason)
        await self.store.switch_endpoint()

    async def close(self, lease: int) -> None:
        """The lease is given back, so that the next process need not wait for it to lapse; 0: there is
        none."""
        try:
            with contextlib.suppress(Exception):  # the name is free when the lease lapses, then
                if lease:
                    await self.store.revoke(lease, CLOSE_TIMEOUT_MS)
            with contextlib.suppress(Exception):
                await self.store.close()
        finally:
            # A write that is still under way could put its state over the next process's: the lock goes with
            # this process then.
            if self.directory and not self.is_writing:
                self.directory.close()

    def take_max_answer_ms(self) -> float:
        """The longest wait for an answer since the last call."""
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
        """In a thread: it blocks until the disk has it."""
        try:
            assert self.directory
            self.directory.write(STATE_FILE, encode_state(effect.record))
        except OSError as error:
            log.error("the state directory can't be written", why=str(error))
            return False
        finally:
            self.is_writing = False
        return True
