"""Runs blocking disk operations outside the event loop, in threads that do not delay the end of the process.

The worker threads of anyio are joined when the process ends, so a disk that never answers would keep a
drained server running until it is killed. The threads of this module are daemon threads, and a task that
waits for one can be cancelled."""

import asyncio
import contextlib
import threading
from collections.abc import Callable
from typing import TypeVar

import anyio

_T = TypeVar("_T")


async def run_in_daemon_thread(function: Callable[[], _T]) -> _T:
    """Runs a function in a daemon thread, and returns its result or raises its exception. If the caller is
    cancelled, the function continues on its own, and its work may or may not be completed."""
    loop, done = asyncio.get_running_loop(), anyio.Event()
    results: list[_T] = []
    errors: list[Exception] = []

    def run() -> None:
        try:
            results.append(function())
        except Exception as error:
            errors.append(error)
        with contextlib.suppress(RuntimeError):  # the event loop is closed, and no task waits
            loop.call_soon_threadsafe(done.set)

    threading.Thread(target=run, name="disk", daemon=True).start()
    await done.wait()
    if errors:
        raise errors[0]
    return results[0]
