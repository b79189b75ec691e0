"""Distinguishes real cancellations from those that grpcio raises.

grpcio raises CancelledError when a call or a channel ends. Such an error belongs to no cancel scope, so it
would silently end the task group that it propagates to."""

import asyncio

import anyio.lowlevel


async def raise_if_cancelled() -> None:
    """Raises CancelledError if the current scope or task is cancelled. Otherwise it returns, and only the
    call was cancelled. Must be awaited after grpcio has raised CancelledError."""
    await anyio.lowlevel.checkpoint_if_cancelled()
    task = asyncio.current_task()
    if task and task.cancelling():
        raise asyncio.CancelledError
