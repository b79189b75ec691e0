"""Waiting for conditions with a time limit."""

from collections.abc import Callable

import anyio

POLL_S = 0.03


async def wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Waits until `condition` holds or the timeout expires; returns whether it holds."""
    with anyio.move_on_after(timeout_s):
        while not condition():
            await anyio.sleep(POLL_S)
    return condition()
