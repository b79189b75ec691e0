"""The relay's side of the streams: bounded queues to servers, and the handlers that gRPC calls.

A server that reads too slowly, sends an invalid message or sends too many messages is disconnected, with the
reason in the stream's status; other servers are not affected. `service.py` passes the messages to the relay,
which makes all decisions."""

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

MAX_QUEUED_MESSAGES = 16  # maximum number of messages that a server has not read
MAX_MESSAGES_PER_S = 50  # maximum rate of a server; a normal server sends one or two messages per second
REGISTRATION_TIMEOUT_S = 2.0  # timeout for the first message on a stream
# Encoded messages with a policy text that are kept in memory, because they are sent to many servers.
MAX_ENCODED_MESSAGES = 4


class StreamError(Exception):
    """The relay ends a stream; `code` and `reason` go into the stream's status."""

    def __init__(self, code: grpc.StatusCode, reason: str) -> None:
        super().__init__(reason)
        self.code = code
        self.reason = reason


class MessageEncoder:
    """Encodes each message with a policy text only once for all sessions to which it is sent."""

    def __init__(self) -> None:
        self._encoded: dict[RelayMessage, bytes] = {}

    def encode(self, message: RelayMessage) -> bytes:
        """Returns the encoded message."""
        if not isinstance(message, PolicyUpdate | ValidationRequest):
            return encode(message)
        data = self._encoded.get(message)
        if data is None:
            data = self._encoded[message] = encode(message)
            while len(self._encoded) > MAX_ENCODED_MESSAGES:
                del self._encoded[next(iter(self._encoded))]
        return data


class MessageRate:
    """Limits the number of messages that a server may send in each second."""

    def __init__(self) -> None:
        self._second = 0
        self._count = 0

    def count(self) -> None:
        """Counts a message; raises StreamError if the server has sent too many in this second."""
        second = int(clock.monotonic() / 1000)
        if second != self._second:
            self._second = second
            self._count = 0
        self._count += 1
        if self._count > MAX_MESSAGES_PER_S:
            raise StreamError(
                grpc.StatusCode.RESOURCE_EXHAUSTED, f"more than {MAX_MESSAGES_PER_S} messages per second"
            )


class ServerStream:
    """One server's stream, from its opening to its end."""

    def __init__(
        self, connection: int, context: Any, handle_message: Callable[[ServerMessage], None]
    ) -> None:
        """`context`: the gRPC context of the call."""
        self.connection = connection
        self._context = context
        self._handle_message = handle_message
        self._outgoing: asyncio.Queue[bytes | None] = asyncio.Queue()  # None ends the stream
        self._overflow = asyncio.Event()
        self._rate = MessageRate()

    def send(self, data: bytes) -> None:
        """Queues an encoded message without waiting; the stream is ended if the queue is full."""
        if self._outgoing.qsize() >= MAX_QUEUED_MESSAGES:
            self._overflow.set()
        else:
            self._outgoing.put_nowait(data)

    def end(self) -> None:
        """Ends the stream after the queued messages."""
        self._outgoing.put_nowait(None)

    async def run(self) -> None:
        """Runs until either side ends the stream; raises StreamError if this side ends it."""
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
            raise StreamError(
                grpc.StatusCode.DEADLINE_EXCEEDED,
                f"no Register message arrived within {REGISTRATION_TIMEOUT_S:g} s",
            ) from None
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
            grpc.StatusCode.RESOURCE_EXHAUSTED,
            f"the server has not read {MAX_QUEUED_MESSAGES} queued messages",
        )


class RelayHandler(grpc.GenericRpcHandler):  # type: ignore[misc]  # grpc ships no types
    """Maps the names of the gRPC methods to their handlers."""

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
        """Returns the handler of a call, None if the method is unknown. gRPC calls this method."""
        return self._handlers.get(details.method)
