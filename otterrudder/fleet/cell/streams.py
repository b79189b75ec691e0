"""The relay's end of the streams: bounded queues to servers, and the handlers that gRPC calls.

A server that reads too slowly, sends what is no message, or floods is ended alone, with a reason in the
stream's status. Nothing here decides; `service.py` does."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import grpc

from otterrudder import clock
from otterrudder.fleet.cell.messages import (
    InvalidMessageError,
    PolicyUpdate,
    RelayMessage,
    ServerMessage,
    ValidationRequest,
    decode_from_server,
    encode,
)
from otterrudder.fleet.cell.wire import CONSENT, SESSION

MAX_QUEUED_MESSAGES = 16  # messages that wait for a server to read them
MAX_MESSAGES_PER_S = 50  # messages a second of a server: it sends one or two
REGISTRATION_TIMEOUT_S = 2.0  # s until a stream's first message
MAX_ENCODED_MESSAGES = 4  # messages with a text whose bytes are kept: they go to many servers


class StreamError(Exception):
    """Why a stream is ended, for its status."""

    def __init__(self, code: grpc.StatusCode, why: str) -> None:
        super().__init__(why)
        self.code, self.why = code, why


class MessageEncoder:
    """Encodes a message with a text once for all the sessions that it goes to."""

    def __init__(self) -> None:
        self._encoded: dict[RelayMessage, bytes] = {}

    def encode(self, message: RelayMessage) -> bytes:
        if not isinstance(message, PolicyUpdate | ValidationRequest):
            return encode(message)
        data = self._encoded.get(message)
        if data is None:
            data = self._encoded[message] = encode(message)
            while len(self._encoded) > MAX_ENCODED_MESSAGES:
                del self._encoded[next(iter(self._encoded))]
        return data


class ServerStream:
    """One server's stream, from its opening to its end."""

    def __init__(self, connection: int, context: Any, received: Callable[[ServerMessage], None]) -> None:
        """`context`: gRPC's, of the call."""
        self.connection = connection
        self._context, self._received = context, received
        self._outgoing: asyncio.Queue[bytes | None] = asyncio.Queue()  # None: the end
        self._overflow = asyncio.Event()
        self._second, self._count = 0, 0

    def send(self, data: bytes) -> None:
        """Never waits: a queue that is full ends the stream."""
        if self._outgoing.qsize() >= MAX_QUEUED_MESSAGES:
            self._overflow.set()
        else:
            self._outgoing.put_nowait(data)

    def end(self) -> None:
        """After what was sent."""
        self._outgoing.put_nowait(None)

    async def run(self) -> None:
        """Until either side ends it; StreamError says why this side does."""
        await self._context.send_initial_metadata(())
        tasks = [asyncio.create_task(act()) for act in (self._read, self._write, self._wait_for_overflow)]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _read(self) -> None:
        try:
            data = await asyncio.wait_for(self._context.read(), REGISTRATION_TIMEOUT_S)
        except TimeoutError:
            raise StreamError(grpc.StatusCode.DEADLINE_EXCEEDED, "no Registration came") from None
        while data is not grpc.aio.EOF:
            self._count_message()
            try:
                message = decode_from_server(data)
            except InvalidMessageError as why:
                raise StreamError(grpc.StatusCode.INVALID_ARGUMENT, str(why)) from None
            self._received(message)
            data = await self._context.read()

    def _count_message(self) -> None:
        second = int(clock.monotonic() / 1000)
        if second != self._second:
            self._second, self._count = second, 0
        self._count += 1
        if self._count > MAX_MESSAGES_PER_S:
            raise StreamError(
                grpc.StatusCode.RESOURCE_EXHAUSTED, f"more than {MAX_MESSAGES_PER_S} messages a second"
            )

    async def _write(self) -> None:
        while (data := await self._outgoing.get()) is not None:
            await self._context.write(data)

    async def _wait_for_overflow(self) -> None:
        await self._overflow.wait()
        raise StreamError(
            grpc.StatusCode.RESOURCE_EXHAUSTED, f"{MAX_QUEUED_MESSAGES} messages wait to be read"
        )


class RelayHandler(grpc.GenericRpcHandler):  # type: ignore[misc]  # grpc ships no types
    """Finds the handler of a method by its name."""

    def __init__(
        self,
        session: Callable[[Any, Any], Awaitable[None]],
        consent: Callable[[bytes, Any], Awaitable[bytes]],
    ) -> None:
        self._handlers = {
            SESSION: grpc.stream_stream_rpc_method_handler(session),
            CONSENT: grpc.unary_unary_rpc_method_handler(consent),
        }

    def service(self, details: Any) -> Any:
        return self._handlers.get(details.method)
