"""A server's stream to its relay. Nothing here decides; `agent.py` carries messages to the participant."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import anyio
import grpc

from otterrudder.fleet.cancellation import raise_if_cancelled
from otterrudder.fleet.cell.messages import RelayMessage, ServerMessage, decode_from_relay, encode
from otterrudder.fleet.cell.wire import SESSION_METHOD, open_channel
from otterrudder.fleet.configuration import Fleet

MAX_QUEUED_MESSAGES = 16  # until the relay reads them
CLOSE_TIMEOUT_S = 0.5


class StreamClosedError(Exception):
    """The stream is over, and why."""


class RelayStream:
    """One stream, from its opening to its end."""

    def __init__(self, fleet: Fleet, relay: str) -> None:
        self.relay = relay
        self._fleet = fleet
        self._outgoing: asyncio.Queue[bytes] = asyncio.Queue()
        self._call: Any = None

    @contextlib.asynccontextmanager
    async def opened(self) -> AsyncIterator[None]:
        """The stream is open inside, and its channel closed after. StreamClosedError: the relay can't be
        reached."""
        channel = open_channel(self._fleet, self.relay)
        try:
            self._call = channel.stream_stream(SESSION_METHOD)()
            async with _closed_with_reason():
                await self._call.wait_for_connection()
            yield
        finally:
            if self._call:
                self._call.cancel()
            with anyio.CancelScope(shield=True), anyio.move_on_after(CLOSE_TIMEOUT_S):
                await channel.close(None)

    def send(self, message: ServerMessage) -> None:
        """Queues a message and never waits. StreamClosedError: the relay reads too slowly."""
        if self._outgoing.qsize() >= MAX_QUEUED_MESSAGES:
            raise StreamClosedError(f"{MAX_QUEUED_MESSAGES} messages wait to be read")
        self._outgoing.put_nowait(encode(message))

    async def write_queued(self) -> None:
        """Writes the queued messages; ends by StreamClosedError."""
        while True:
            data = await self._outgoing.get()
            async with _closed_with_reason():
                await self._call.write(data)

    async def receive(self) -> RelayMessage:
        """The next message. StreamClosedError; InvalidMessageError: the relay is to be left."""
        async with _closed_with_reason():
            data = await self._call.read()
            if data is grpc.aio.EOF:
                raise StreamClosedError(await self._call.details() or "the relay ended the stream")
        return decode_from_relay(data)


@contextlib.asynccontextmanager
async def _closed_with_reason() -> AsyncIterator[None]:
    """What ends a call inside is StreamClosedError with its reason, and a cancelled caller is cancelled."""
    try:
        yield
    except (grpc.RpcError, asyncio.InvalidStateError) as error:
        raise StreamClosedError(_reason(error)) from None
    except asyncio.CancelledError:
        await raise_if_cancelled()
        raise StreamClosedError("the call was cancelled") from None


def _reason(error: Exception) -> str:
    if isinstance(error, grpc.aio.AioRpcError):
        return f"{error.code().name.lower()}: {error.details()}"
    return str(error) or type(error).__name__
