"""Work that blocks on a disk, off the loop, in a thread that the end of the process does not wait for.

The worker threads of anyio are joined as the process ends: a disk that never answers would hold a drained
server until it is killed. This thread is a daemon, and whoever waits for it may be cancelled."""

import asyncio
import contextlib
import threading
from collections.abc import Callable
from typing import TypeVar

import anyio

_T = TypeVar("_T")


async def run_in_daemon_thread(function: Callable[[], _T]) -> _T:
    """What the function returns or raises. Cancelled, it leaves the function to itself: its work may be done
    or not, as after a kill."""
    loop, done = asyncio.get_running_loop(), anyio.Event()
    results: list[_T] = []
    errors: list[Exception] = []

    def run() -> None:
        try:
            results.append(function())
        except Exception as error:
            errors.append(error)
        with contextlib.suppress(RuntimeError):  # the loop is closed, and nobody waits
            loop.call_soon_threadsafe(done.set)

    threading.Thread(target=run, name="disk", daemon=True).start()
    await done.wait()
    if errors:
        raise errors[0]
    return results[0]
