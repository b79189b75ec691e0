"""A bounded pool of connections to the records service. Each connection carries one call at a time unless the
pool is at its limit, so a broken connection fails only one call. A reply is accepted only on the connection
on which its call was sent."""

from collections import deque

import anyio
import anyio.abc

from otterrudder import clock
from otterrudder.admission.interface import Outcome
from otterrudder.log import log
from otterrudder.net import lines, records_codec, sockets
from otterrudder.net.buffer import Buffer
from otterrudder.net.dispatcher import Dispatcher
from otterrudder.net.messages import CancelCall, RecordsMessage, SendCall
from otterrudder.net.records_codec import CallReply

MAX_CONNECTIONS = 48  # twice the number of outstanding calls of a server of the usual size
MIN_CONNECTIONS = 2
DESCRIPTORS_PER_CONNECTION = 8  # descriptors of the process for each connection of the pool
# A connection idle for longer takes no call. The service may have dropped it and would reset it at the call,
# which does not show whether the call ran. A new connection costs less than a failed request with an effect.
MAX_IDLE_MS = 500.0
PARTIAL_REPLY_TIMEOUT_MS = 250.0  # limits the wait for a reply with a wrong length or an endless line
SWEEP_INTERVAL_S = 0.1  # interval between searches for connections that are unused or stuck
# Number of calls that a connection remembers, so that a copy of an earlier reply is not taken for the reply
# to the same request's next call.
MAX_REMEMBERED_CALLS = 16
MAX_UNSENT_BYTES = 1 << 20
LIMITS = sockets.StreamLimits(lines.BUFFER_BYTES, MAX_UNSENT_BYTES)
CONNECT_TIMEOUT_S = 1.0  # the service is reached by a local proxy, which accepts at once or hangs


class RecordsConnection:
    """A connection to the records service. `run` reports the end of each of its calls on every path."""

    def __init__(self, pool: "RecordsPool", address: tuple[str, int]) -> None:
        self.stream: sockets.Stream | None = None
        self.calls: dict[str, list[bytes]] = {}  # outstanding calls by request id, with the bytes to send
        self.past_calls: deque[str] = deque(maxlen=MAX_REMEMBERED_CALLS)  # request ids of the last calls
        self.last_input = clock.monotonic()
        self.retire_reason = ""  # why it takes no further calls; "" while it does
        self._pool = pool
        self._address = address

    def start_call(self, request_id: str, parts: list[bytes]) -> None:
        """Sends a call, or queues it until the connection is established."""
        self.calls[request_id] = parts
        self.past_calls.append(request_id)
        if self.stream:
            self.stream.send(parts)

    def cancel_call(self, request_id: str, parts: list[bytes]) -> None:
        """Cancels a call; `parts` is the encoded cancellation."""
        del self.calls[request_id]
        if self.stream and self.calls:  # without other calls, closing the connection cancels the call
            self.stream.send(parts)
        self.retire("a call was cancelled")  # the reply to the cancelled call may still arrive

    def retire(self, reason: str) -> None:
        """Stops taking calls; the connection is closed after its last call has ended."""
        self.retire_reason = self.retire_reason or reason
        if self.stream and not self.calls:
            self.stream.abort(self.retire_reason)

    def has_ended(self) -> bool:
        """Whether the service has closed the connection or sent unexpected bytes that were not read yet. A
        call on it would be reset, which does not show whether the call ran."""
        return bool(self.stream and (self.stream.receive_pending() or self.stream.end_reason))

    async def run(self) -> None:
        """Connects, and serves the connection until it ends."""
        outcome = Outcome.UNREACHABLE
        reason = "connection attempt timed out"
        try:
            with anyio.move_on_after(CONNECT_TIMEOUT_S):
                sock = await sockets.connect(self._address)
                outcome = Outcome.RESET  # from now on a call may have run
                self.stream = sockets.Stream(sock, LIMITS, self._handle_input)
                for parts in self.calls.values():
                    self.stream.send(parts)
            if self.stream:
                if not self.calls:
                    self.retire("no call is left")
                reason = await self.stream.serve()
        except OSError as error:
            reason = str(error)
        finally:
            self._finish(outcome, reason)

    def sweep(self, now: float) -> None:
        """Closes the connection if it is unused or stuck in a partial reply."""
        stream = self.stream
        if not self.calls and now - self.last_input > MAX_IDLE_MS:
            self.retire("unused")
        elif (
            stream
            and not stream.buffer.is_empty
            and now - self.last_input > PARTIAL_REPLY_TIMEOUT_MS
            and not stream.receive_pending()
        ):  # while the event loop was busy, the rest may have arrived unread
            stream.abort("reply was not completed in time")

    def _finish(self, outcome: Outcome, reason: str) -> None:
        """Reports `outcome` for all outstanding calls and removes the connection from the pool."""
        if not self.stream:
            self._pool.is_refused = True
        if self.calls:
            text = "records connection lost" if self.stream else "cannot connect to the records service"
            log.warning(text, why=reason, calls=len(self.calls))
        for request_id in list(self.calls):
            self._pool.finish_call(self, CallReply(request_id, outcome, b""))
        self._pool.remove(self)

    def _handle_input(self, buffer: Buffer) -> None:
        self.last_input = clock.monotonic()
        self._pool.is_refused = False
        for words, body in lines.read_messages(buffer, records_codec.has_body):
            reply = records_codec.decode(words, body)
            if reply.request_id in self.calls:
                self._pool.finish_call(self, reply)
            else:  # a duplicate or misdirected reply; the expected reply may still follow
                self.retire("reply to an unknown call")
        if not self.calls:
            if not buffer.is_empty or self.retire_reason:
                self.retire("unexpected bytes after the reply")
            else:
                self._pool.add_idle(self)


class RecordsPool:
    """Assigns calls to connections, and reports the ends of calls to the core."""

    def __init__(self, dispatcher: Dispatcher, address: tuple[str, int] | None, max_descriptors: int) -> None:
        """`address` is None if no records service is configured; `max_descriptors` is the limit of the
        process."""
        share = max_descriptors // DESCRIPTORS_PER_CONNECTION
        self.max_connections = max(min(MAX_CONNECTIONS, share), MIN_CONNECTIONS)
        self.connections: set[RecordsConnection] = set()
        self.idle: list[RecordsConnection] = []  # the most recently used last
        self.connection_of: dict[str, RecordsConnection] = {}  # by request id of the outstanding call
        self.is_refused = False  # whether the last connection attempt failed and no input has arrived since
        self.group: anyio.abc.TaskGroup | None = None  # set while the pool runs
        self._dispatcher = dispatcher
        self._address = address

    def send(self, message: RecordsMessage) -> None:
        """Starts or cancels a call."""
        if isinstance(message, SendCall):
            self._start_call(message)
        elif connection := self.connection_of.pop(message.request_id, None):
            connection.cancel_call(message.request_id, records_codec.encode_cancel(message))

    def finish_call(self, connection: RecordsConnection, reply: CallReply) -> None:
        """Removes a call that has ended, and reports its reply."""
        del connection.calls[reply.request_id]
        del self.connection_of[reply.request_id]
        self._report(reply)

    def add_idle(self, connection: RecordsConnection) -> None:
        """Makes the connection available for another call."""
        self.idle.append(connection)

    def remove(self, connection: RecordsConnection) -> None:
        """Removes a connection that has ended."""
        connection.retire_reason = connection.retire_reason or "ended"
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def change_address(self, address: tuple[str, int] | None) -> None:
        """Sends new calls to a new address; outstanding calls end on their old connections."""
        self._address = address
        for connection in self.connections:
            connection.retire("the service's address changed")

    async def run(self) -> None:
        """Serves the connections until it is cancelled."""
        async with anyio.create_task_group() as self.group:
            while True:
                await anyio.sleep(SWEEP_INTERVAL_S)
                now = clock.monotonic()
                for connection in self.connections:
                    connection.sweep(now)

    def _start_call(self, call: SendCall) -> None:
        request_id = call.request_id
        if earlier := self.connection_of.pop(
            request_id, None
        ):  # a request's new call replaces its earlier call
            cancel = CancelCall(request_id)
            earlier.cancel_call(request_id, records_codec.encode_cancel(cancel))
        connection = None
        if self._address and self.group:
            connection = self._choose_connection(request_id, self._address, self.group)
        if connection:
            self.connection_of[request_id] = connection
            connection.start_call(request_id, records_codec.encode_call(call))
        else:  # the call never ran, so the controller may retry it
            self._report(CallReply(request_id, Outcome.UNREACHABLE, b""))

    def _report(self, reply: CallReply) -> None:
        request_id = reply.request_id
        handler = self._dispatcher.core.handle_call_ended
        self._dispatcher.post(handler, request_id, reply.outcome, reply.body, request_id=request_id)

    def _choose_connection(
        self, request_id: str, address: tuple[str, int], group: anyio.abc.TaskGroup
    ) -> RecordsConnection | None:
        """Returns the most recently used idle connection, otherwise a new one, otherwise the one with the
        fewest calls."""
        if connection := self._take_idle(request_id):
            return connection
        if len(self.connections) < self.max_connections:
            connection = RecordsConnection(self, address)
            self.connections.add(connection)
            group.start_soon(connection.run)
            return connection
        usable = [
            connection
            for connection in self.connections
            if not connection.retire_reason and request_id not in connection.past_calls
        ]
        least_used = min(usable, key=lambda connection: len(connection.calls), default=None)
        if least_used in self.idle:
            self.idle.remove(least_used)
        return least_used

    def _take_idle(self, request_id: str) -> RecordsConnection | None:
        now = clock.monotonic()
        for connection in self.idle[::-1]:  # a copy, because `has_ended` may remove a connection
            if now - connection.last_input > MAX_IDLE_MS:
                return None
            if (
                not connection.retire_reason
                and request_id not in connection.past_calls
                and not connection.has_ended()
            ):
                self.idle.remove(connection)
                return connection
        return None
