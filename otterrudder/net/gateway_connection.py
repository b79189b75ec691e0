"""A connection of a gateway: passes its messages to the request core and sends the core's answers.

Bad input or slow reading on one connection does not affect the others."""

import math
import socket
from typing import Any, Protocol

from otterrudder import clock
from otterrudder.admission.interface import Idempotency
from otterrudder.log import log
from otterrudder.net import jsonrpc, sockets
from otterrudder.net.buffer import Buffer
from otterrudder.net.dispatcher import Dispatcher
from otterrudder.net.messages import ConnectionMessage, HealthStatus, RequestInvalid

MAX_OPEN_REQUESTS = 32
MAX_UNSENT_BYTES = 512 * 1024  # three times the size of 32 answers of maximum length
MAX_PROTOCOL_ERRORS = 6  # protocol errors after which a connection is closed; a correct gateway makes none
CLOSE_TIMEOUT_S = 0.5  # time for the gateway to read its answers and close: many round trips
MAX_WHITE_SPACE = 1024  # bytes between two messages; a gateway ends a message with a single line feed
IDLE_REASON = "idle"  # end reason of a connection


class ConnectionOwner(Protocol):
    """The part of the listener that a connection uses."""

    dispatcher: Dispatcher
    tenants: dict[str, int]  # indices by name
    buffers: sockets.BufferAccount

    def log_connection_error(self, reason: str) -> None:
        """Logs an error of a connection, at a limited rate."""

    def remove(self, connection: "GatewayConnection") -> None:
        """Removes a connection that has ended."""


class GatewayConnection:
    """A connection of a gateway. `run` closes its socket and its open requests on every path."""

    def __init__(self, owner: ConnectionOwner, sock: socket.socket) -> None:
        self.open_requests: dict[int, str] = {}  # request ids by JSON-RPC id
        self.stream = sockets.Stream(
            sock,
            sockets.StreamLimits(
                jsonrpc.MAX_LINE_BYTES, MAX_UNSENT_BYTES, CLOSE_TIMEOUT_S, drops_input_of_closed_peer=True
            ),
            self._handle_input,
            owes_answers=lambda: bool(self.open_requests),
            account=owner.buffers,
        )
        self.connected_at = clock.monotonic()
        self.last_activity = self.connected_at  # time of the last input or answer
        self.partial_since = math.inf  # when the first bytes of an incomplete message arrived
        self.goaway_at = 0.0  # when `noMore` was sent; 0: not yet
        self.has_response = False  # whether any message was answered
        self._owner = owner
        self._dispatcher = owner.dispatcher
        self._protocol_errors = 0

    async def run(self) -> None:
        """Serves the connection to its end."""
        try:
            reason = await self.stream.serve()
            if reason not in (sockets.CLOSED_BY_PEER, IDLE_REASON, sockets.SERVER_SHUTDOWN):
                self._owner.log_connection_error(reason)
        except Exception:  # a failure must not affect other connections
            log.exception("connection handler failed")
        finally:
            self._owner.remove(self)
            for request_id in self.open_requests.values():
                self._post(self._dispatcher.core.handle_disconnect, self, request_id, request_id=request_id)

    def send(self, message: ConnectionMessage) -> None:
        """Sends an answer of the core."""
        if not isinstance(message, HealthStatus):
            self.open_requests.pop(message.rpc_id, None)
        if isinstance(message, RequestInvalid):
            self._send_error(message.rpc_id, jsonrpc.INVALID_PARAMS, message.reason)
            return
        self.last_activity = clock.monotonic()
        self.has_response = True
        self.stream.send(jsonrpc.encode(message))

    def send_goaway(self, now: float) -> None:
        """Sends `noMore`, which asks the gateway to send no more requests here. Requests that cross it are
        still answered."""
        if not self.goaway_at:
            self.goaway_at = now
            self.stream.send(jsonrpc.GOAWAY)

    def is_busy(self) -> bool:
        """Whether the connection has open requests or unsent answers, or is ending already. A close would
        lose answers that the gateway has not read."""
        return bool(self.open_requests or self.stream.unsent_bytes or self.stream.end_reason)

    def close(self, reason: str, timeout_s: float = CLOSE_TIMEOUT_S) -> bool:
        """Closes the connection unless it has new unread input. Returns whether it is closing.

        While the event loop was busy, a request or a part of one may have arrived unread. Such input is
        handled first, and then the connection stays open. More bytes of a partial message that had already
        begun do not count as new input."""
        partial_since = self.partial_since
        if not self.stream.receive_pending() or partial_since == self.partial_since < math.inf:
            self.stream.close(reason, timeout_s)
        return bool(self.stream.end_reason)

    # Input.

    def _handle_input(self, buffer: Buffer) -> None:
        self.last_activity = clock.monotonic()
        has_message = False
        for message in jsonrpc.read_messages(buffer):
            has_message = True
            if isinstance(message, jsonrpc.InvalidMessage):
                self._send_error(message.rpc_id, message.code, message.reason)
            else:
                self._handle_message(message)
            if self.stream.end_reason:
                return
        if buffer.skipped_bytes > MAX_WHITE_SPACE:
            self.stream.close("too many empty lines")  # open requests are still answered
        if buffer.is_empty:
            self.partial_since = math.inf
        elif has_message or self.partial_since == math.inf:  # the idle time before a message does not count
            self.partial_since = self.last_activity

    def _handle_message(self, message: jsonrpc.IncomingMessage) -> None:
        rpc_id, method, params = message
        core = self._dispatcher.core
        if method == jsonrpc.INTERRUPT_METHOD:
            self._handle_interrupt(params)
        elif rpc_id is None:
            self._send_error(None, jsonrpc.INVALID_REQUEST, "id is missing")
        elif method == jsonrpc.CHECK_METHOD:
            self._post(core.handle_health_check, self, rpc_id)
        elif (class_index := core.class_indices.get(method)) is None:
            self._send_error(rpc_id, jsonrpc.METHOD_NOT_FOUND, "unknown method")
        elif rpc_id in self.open_requests:
            # The gateway would take an error with this id for the answer to the open request.
            self._count_error(f"id {rpc_id} is already open")
        elif len(self.open_requests) >= MAX_OPEN_REQUESTS:
            reason = f"more than {MAX_OPEN_REQUESTS} open requests"
            self._send_error(rpc_id, jsonrpc.INVALID_REQUEST, reason)
        else:
            self._handle_request(rpc_id, class_index, params)

    def _handle_request(self, rpc_id: int, class_index: int, params: dict[str, Any]) -> None:
        core = self._dispatcher.core
        needs_key = core.request_classes[class_index].idempotency is Idempotency.IDEMPOTENT
        try:
            fields = jsonrpc.read_request(params, self._owner.tenants, clock.unix(), needs_key)
        except jsonrpc.InvalidParamsError as error:
            self._send_error(rpc_id, jsonrpc.INVALID_PARAMS, str(error))
            return
        request_id = fields.request_id
        self.open_requests[rpc_id] = request_id
        self._post(core.handle_arrival, self, rpc_id, class_index, fields, request_id=request_id)

    def _handle_interrupt(self, params: dict[str, Any]) -> None:
        interrupted = jsonrpc.interrupted_request(params)
        for rpc_id, request_id in self.open_requests.items():
            if request_id == interrupted:
                del self.open_requests[rpc_id]
                self._post(self._dispatcher.core.handle_disconnect, self, request_id, request_id=request_id)
                return

    def _post(self, handler: Any, *arguments: Any, request_id: str = "") -> None:
        self._dispatcher.post_arrival(handler, *arguments, request_id=request_id)

    # Protocol errors.

    def _send_error(self, rpc_id: int | None, code: int, reason: str) -> None:
        self.has_response = True
        self.stream.send(jsonrpc.encode_error(rpc_id, code, reason))
        self._count_error(reason)

    def _count_error(self, reason: str) -> None:
        self._protocol_errors += 1
        if self._protocol_errors == 1:
            self._owner.log_connection_error(reason)
        elif self._protocol_errors >= MAX_PROTOCOL_ERRORS:
            self.stream.close("too many invalid messages")  # open requests are still answered
