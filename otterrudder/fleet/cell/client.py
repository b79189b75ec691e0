"""A server's stream to its relay. Nothing here decides; `agent.py` carries messages to the participant."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import anyio
import grpc

from otterrudder.fleet.cancellation import raise_if_cancelled
from otterrudder.fleet.cell.messages import RelayMessage, ServerMessage, decode_from_relay, encode
from otterrudder.fleet.cell.wire import SESSION, open_channel
from otterrudder.fleet.configuration import Fleet

MAX_QUEUED_MESSAGES = 16  # messages that wait for the relay to read them
CLOSE_TIMEOUT_S = 0.5  # s that the closing of a channel may take


class StreamClosedError(Exception):
    """The stream is over, and why."""


class RelayStream:
    """One stream, from its opening to its end."""

    def __init__(self, fleet: Fleet, relay: str) -> None:
        self._fleet, self.relay = fleet, relay
        self._outgoing: asyncio.Queue[bytes] = asyncio.Queue()
        self._call: Any = None

    @contextlib.asynccontextmanager
    async def opened(self) -> AsyncIterator[None]:
        """The stream is open inside, and its channel closed after. StreamClosedError: the relay can't be
        reached."""
        channel = open_channel(self._fleet, self.relay)
        try:
            self._call = channel.stream_stream(SESSION)()
            async with _reasons_told():
                await self._call.wait_for_connection()
            yield
        finally:
            if self._call:
                self._call.cancel()
            with anyio.CancelScope(shield=True), anyio.move_on_after(CLOSE_TIMEOUT_S):
                await channel.close(None)

    def send(self, message: ServerMessage) -> None:
        """Never waits. StreamClosedError: the relay reads too slowly."""
        if self._outgoing.qsize() >= MAX_QUEUED_MESSAGES:
            raise StreamClosedError(f"{MAX_QUEUED_MESSAGES} messages wait to be read")
        self._outgoing.put_nowait(encode(message))

    async def write_queued(self) -> None:
        """Writes what is sent; ends by StreamClosedError."""
        while True:
            data = await self._outgoing.get()
            async with _reasons_told():
                await self._call.write(data)

    async def receive(self) -> RelayMessage:
        """The next message. StreamClosedError; InvalidMessageError: the relay is not to be talked to."""
        async with _reasons_told():
            data = await self._call.read()
            if data is grpc.aio.EOF:
                raise StreamClosedError(await self._call.details() or "the relay ended the stream")
        return decode_from_relay(data)


@contextlib.asynccontextmanager
async def _reasons_told() -> AsyncIterator[None]:
    """What ends a call inside is StreamClosedError with its reason, and a cancelled caller is cancelled."""
    try:
        yield
    except (grpc.RpcError, asyncio.InvalidStateError) as why:
        raise StreamClosedError(_reason(why)) from None
    except asyncio.CancelledError:
        await raise_if_cancelled()
        raise StreamClosedError("the call was cancelled") from None


def _reason(why: Exception) -> str:
    if isinstance(why, grpc.aio.AioRpcError):
        return f"{why.code().name.lower()}: {why.details()}"
    return str(why) or type(why).__name__
