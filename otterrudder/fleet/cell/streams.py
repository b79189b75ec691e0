"""The relay's end of the streams: bounded queues to servers, and the handlers that gRPC calls.

A server that reads too slowly, sends what is no message, or floods is disconnected alone, with a reason in
the stream's status. Nothing here decides; `service.py` does."""

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
from otterrudder.fleet.cell.wire import ENDORSE_METHOD, SESSION_METHOD

MAX_QUEUED_MESSAGES = 16  # until a server reads them
MAX_MESSAGES_PER_S = 50  # of a server, which sends one or two
REGISTRATION_TIMEOUT_S = 2.0  # until a stream's first message
MAX_ENCODED_MESSAGES = 4  # with a text, whose bytes are kept: they go to many servers


class StreamError(Exception):
    """Why a stream is ended, for its status."""

    def __init__(self, code: grpc.StatusCode, reason: str) -> None:
        super().__init__(reason)
        self.code = code
        self.reason = reason


class MessageEncoder:
    """Encodes a message with a text once for all the sessions that it goes to."""

    def __init__(self) -> None:
        self._encoded: dict[RelayMessage, bytes] = {}

    def encode(self, message: RelayMessage) -> bytes:
        """The bytes of a message."""
        if not isinstance(message, PolicyUpdate | ValidationRequest):
            return encode(message)
        data = self._encoded.get(message)
        if data is None:
            data = self._encoded[message] = encode(message)
            while len(self._encoded) > MAX_ENCODED_MESSAGES:
                del self._encoded[next(iter(self._encoded))]
        return data


class MessageRate:
    """Counts the messages of a server in each second."""

    def __init__(self) -> None:
        self._second = 0
        self._count = 0

    def count(self) -> None:
        """A message has come. StreamError: there are too many in this second."""
        second = int(clock.monotonic() / 1000)
        if second != self._second:
            self._second = second
            self._count = 0
        self._count += 1
        if self._count > MAX_MESSAGES_PER_S:
            raise StreamError(
                grpc.StatusCode.RESOURCE_EXHAUSTED, f"more than {MAX_MESSAGES_PER_S} messages a second"
            )


class ServerStream:
    """One server's stream, from its opening to its end."""

    def __init__(
        self, connection: int, context: Any, handle_message: Callable[[ServerMessage], None]
    ) -> None:
        """`context`: gRPC's, of the call."""
        self.connection = connection
        self._context = context
        self._handle_message = handle_message
        self._outgoing: asyncio.Queue[bytes | None] = asyncio.Queue()  # None: the end
        self._overflow = asyncio.Event()
        self._rate = MessageRate()

    def send(self, data: bytes) -> None:
        """Queues bytes and never waits: a queue that is full ends the stream."""
        if self._outgoing.qsize() >= MAX_QUEUED_MESSAGES:
            self._overflow.set()
        else:
            self._outgoing.put_nowait(data)

    def end(self) -> None:
        """Ends the stream after what is queued."""
        self._outgoing.put_nowait(None)

    async def run(self) -> None:
        """Runs until either side ends the stream; StreamError: why this side does."""
        await self._context.send_initial_metadata(())
        tasks = [asyncio.create_task(run()) for run in (self._read, self._write, self._wait_for_overflow)]
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
            raise StreamError(grpc.StatusCode.DEADLINE_EXCEEDED, "no Register came") from None
        while data is not grpc.aio.EOF:
            self._rate.count()
            try:
                message = decode_from_server(data)
            except InvalidMessageError as error:
                raise StreamError(grpc.StatusCode.INVALID_ARGUMENT, str(error)) from None
            self._handle_message(message)
            data = await self._context.read()

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
        handle_session: Callable[[Any, Any], Awaitable[None]],
        handle_endorsement_request: Callable[[bytes, Any], Awaitable[bytes]],
    ) -> None:
        self._handlers = {
            SESSION_METHOD: grpc.stream_stream_rpc_method_handler(handle_session),
            ENDORSE_METHOD: grpc.unary_unary_rpc_method_handler(handle_endorsement_request),
        }

    def service(self, details: Any) -> Any:
        """gRPC's: the handler of a call, None if there is no such method."""
        return self._handlers.get(details.method)
