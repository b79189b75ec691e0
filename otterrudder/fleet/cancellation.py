"""Whose cancellation it is. grpcio raises CancelledError of its own making where a call or a channel ends,
and that names no scope: let through, it would end the task group that it comes to, without a word."""

import asyncio

import anyio.lowlevel


async def raise_if_cancelled() -> None:
    """To be awaited where grpcio raised CancelledError. Raises it again where the scope that waits, or the
    task, is cancelled; else it returns, and it was the call alone."""
    await anyio.lowlevel.checkpoint_if_cancelled()
    task = asyncio.current_task()
    if task and task.cancelling():
        raise asyncio.CancelledError
