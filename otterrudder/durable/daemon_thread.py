"""Work that blocks on a disk, off the loop, in a thread that no way out waits for.

The worker threads of anyio are joined as the process ends: a disk that never answers would hold a drained
server until it is killed. This thread is a daemon, and whoever waits for it may be cancelled."""

import asyncio
import contextlib
import threading
from collections.abc import Callable
from typing import TypeVar

import anyio

_T = TypeVar("_T")


async def run_in_daemon_thread(act: Callable[[], _T]) -> _T:
    """What `act` returns or raises. Cancelled, it leaves `act` to itself: what that was at may be done or
    not, as after a kill."""
    loop, done = asyncio.get_running_loop(), anyio.Event()
    found: list[_T] = []
    failed: list[Exception] = []

    def play() -> None:
        try:
            found.append(act())
        except Exception as why:
            failed.append(why)
        with contextlib.suppress(RuntimeError):  # the loop is over, and nobody waits
            loop.call_soon_threadsafe(done.set)

    threading.Thread(target=play, name="disk", daemon=True).start()
    await done.wait()
    if failed:
        raise failed[0]
    return found[0]
