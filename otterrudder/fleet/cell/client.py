"""A server's stream to its relay. `agent.py` passes the messages to the participant, which makes all
decisions."""

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

MAX_QUEUED_MESSAGES = 16  # maximum number of messages that the relay has not read
CLOSE_TIMEOUT_S = 0.5


class StreamClosedError(Exception):
    """The stream has ended; the message gives the reason."""


class RelayStream:
    """One stream, from its opening to its end."""

    def __init__(self, fleet: Fleet, relay: str) -> None:
        self.relay = relay
        self._fleet = fleet
        self._outgoing: asyncio.Queue[bytes] = asyncio.Queue()
        self._call: Any = None

    @contextlib.asynccontextmanager
    async def opened(self) -> AsyncIterator[None]:
        """Opens the stream for the duration of the context, and closes its channel afterwards.

        Raises StreamClosedError if the relay can't be reached."""
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
        """Queues a message without waiting. Raises StreamClosedError if the relay reads too slowly."""
        if self._outgoing.qsize() >= MAX_QUEUED_MESSAGES:
            raise StreamClosedError(f"the relay has not read {MAX_QUEUED_MESSAGES} queued messages")
        self._outgoing.put_nowait(encode(message))

    async def write_queued(self) -> None:
        """Writes queued messages until the stream ends; then raises StreamClosedError."""
        while True:
            data = await self._outgoing.get()
            async with _closed_with_reason():
                await self._call.write(data)

    async def receive(self) -> RelayMessage:
        """Returns the next message.

        Raises StreamClosedError if the stream has ended, and InvalidMessageError if the relay has sent an
        invalid message; the stream has to be closed in both cases."""
        async with _closed_with_reason():
            data = await self._call.read()
            if data is grpc.aio.EOF:
                raise StreamClosedError(await self._call.details() or "the relay ended the stream")
        return decode_from_relay(data)


@contextlib.asynccontextmanager
async def _closed_with_reason() -> AsyncIterator[None]:
    """Turns the end of the gRPC call into a StreamClosedError with its reason.

    If the calling task itself is cancelled, the cancellation is raised instead."""
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
