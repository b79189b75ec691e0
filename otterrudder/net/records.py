"""The connections to the records service: a bounded pool with one call at a time on each while the bound
allows, so that a broken connection costs one call. A reply counts only where its call went out."""

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

MAX_CONNECTIONS = 48  # twice the calls that a server of the usual size has out
MIN_CONNECTIONS = 2
DESCRIPTORS_A_CONNECTION = 8  # of the process, for each connection of the pool
# Unused for so long, a connection takes no call: the service may have forgotten it, and then resets it at the
# call, which proves nothing; a new one costs less than a request with an effect.
MAX_IDLE_MS = 500.0
PARTIAL_REPLY_TIMEOUT_MS = 250.0  # its length is wrong, or its line never ends
SWEEP_INTERVAL_S = 0.1  # between looks for connections that are unused or stuck
MAX_REMEMBERED_CALLS = 16  # of a connection: a request's next call must not meet a copy of its last reply
MAX_UNSENT_BYTES = 1 << 20
LIMITS = sockets.StreamLimits(lines.BUFFER_BYTES, MAX_UNSENT_BYTES)
CONNECT_TIMEOUT_S = 1.0  # a proxy on this machine answers at once or hangs


class RecordsConnection:
    """One connection. Reports the end of each of its calls, in `run` on every way out."""

    def __init__(self, pool: "RecordsPool", address: tuple[str, int]) -> None:
        self.stream: sockets.Stream | None = None
        self.calls: dict[str, list[bytes]] = {}  # out on it by request id, with the bytes to send
        self.past_calls: deque[str] = deque(maxlen=MAX_REMEMBERED_CALLS)  # request ids
        self.last_input = clock.monotonic()
        self.retire_reason = ""  # why it takes no further call
        self._pool = pool
        self._address = address

    def start_call(self, request_id: str, parts: list[bytes]) -> None:
        """Sends a call, once it is connected."""
        self.calls[request_id] = parts
        self.past_calls.append(request_id)
        if self.stream:
            self.stream.send(parts)

    def cancel_call(self, request_id: str, parts: list[bytes]) -> None:
        """Gives a call up; `parts` say so to the service."""
        del self.calls[request_id]
        if self.stream and self.calls:  # else its close says the same
            self.stream.send(parts)
        self.retire("a call on it was given up")  # its reply may be on the way

    def retire(self, reason: str) -> None:
        """Takes no further call, and is closed after its last one."""
        self.retire_reason = self.retire_reason or reason
        if self.stream and not self.calls:
            self.stream.abort(self.retire_reason)

    def has_ended(self) -> bool:
        """Whether the service has ended it, or sent more than it was asked for, and nobody has read that yet:
        a call on it would be reset, which proves nothing."""
        return bool(self.stream and (self.stream.receive_pending() or self.stream.end_reason))

    async def run(self) -> None:
        """Connects, and serves the connection to its end."""
        outcome = Outcome.UNREACHABLE
        reason = "no answer to the connection"
        try:
            with anyio.move_on_after(CONNECT_TIMEOUT_S):
                sock = await sockets.connect(self._address)
                outcome = Outcome.RESET  # from here on a call may have run
                self.stream = sockets.Stream(sock, LIMITS, self._handle_input)
                for parts in self.calls.values():
                    self.stream.send(parts)
            if self.stream:
                if not self.calls:
                    self.retire("nothing to call")
                reason = await self.stream.serve()
        except OSError as error:
            reason = str(error)
        finally:
            self._finish(outcome, reason)

    def sweep(self, now: float) -> None:
        """Ends it if it is unused, or stuck in a partial reply."""
        stream = self.stream
        if not self.calls and now - self.last_input > MAX_IDLE_MS:
            self.retire("unused")
        elif (
            stream
            and not stream.buffer.is_empty
            and now - self.last_input > PARTIAL_REPLY_TIMEOUT_MS
            and not stream.receive_pending()
        ):  # the rest may lie unread where this loop was busy
            stream.abort("partial reply")

    def _finish(self, outcome: Outcome, reason: str) -> None:
        """All calls that are out end so."""
        if not self.stream:
            self._pool.is_refused = True
        if self.calls:
            text = "records connection lost" if self.stream else "records service refuses"
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
            else:  # a copy, or somebody else's: the right one may still follow
                self.retire("a reply to no call")
        if not self.calls:
            if not buffer.is_empty or self.retire_reason:
                self.retire("more than the reply")
            else:
                self._pool.add_idle(self)


class RecordsPool:
    """Hands calls to connections, and their ends to the core."""

    def __init__(self, dispatcher: Dispatcher, address: tuple[str, int] | None, max_descriptors: int) -> None:
        """`address`: None where there is no records service; `max_descriptors`: of the whole process."""
        share = max_descriptors // DESCRIPTORS_A_CONNECTION
        self.max_connections = max(min(MAX_CONNECTIONS, share), MIN_CONNECTIONS)
        self.connections: set[RecordsConnection] = set()
        self.idle: list[RecordsConnection] = []  # the last used at the end
        self.connection_of: dict[str, RecordsConnection] = {}  # by request id: where its call is out
        self.is_refused = False  # the last that is known of the service: a connection could not be made
        self.group: anyio.abc.TaskGroup | None = None  # while it runs
        self._dispatcher = dispatcher
        self._address = address

    def send(self, message: RecordsMessage) -> None:
        """Makes or cancels a call."""
        if isinstance(message, SendCall):
            self._start_call(message)
        elif connection := self.connection_of.pop(message.request_id, None):
            connection.cancel_call(message.request_id, records_codec.encode_cancel(message))

    def finish_call(self, connection: RecordsConnection, reply: CallReply) -> None:
        """A call on the connection has ended."""
        del connection.calls[reply.request_id]
        del self.connection_of[reply.request_id]
        self._report(reply)

    def add_idle(self, connection: RecordsConnection) -> None:
        """The connection may take another call."""
        self.idle.append(connection)

    def remove(self, connection: RecordsConnection) -> None:
        """The connection has ended."""
        connection.retire_reason = connection.retire_reason or "gone"
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def change_address(self, address: tuple[str, int] | None) -> None:
        """New calls go to a new address; those that are out end where they are."""
        self._address = address
        for connection in self.connections:
            connection.retire("the service has moved")

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
        if earlier := self.connection_of.pop(request_id, None):  # a request's second call replaces the first
            cancel = CancelCall(request_id)
            earlier.cancel_call(request_id, records_codec.encode_cancel(cancel))
        connection = None
        if self._address and self.group:
            connection = self._choose_connection(request_id, self._address, self.group)
        if connection:
            self.connection_of[request_id] = connection
            connection.start_call(request_id, records_codec.encode_call(call))
        else:  # it never ran: the controller may try again
            self._report(CallReply(request_id, Outcome.UNREACHABLE, b""))

    def _report(self, reply: CallReply) -> None:
        request_id = reply.request_id
        handler = self._dispatcher.core.handle_call_ended
        self._dispatcher.post(handler, request_id, reply.outcome, reply.body, request_id=request_id)

    def _choose_connection(
        self, request_id: str, address: tuple[str, int], group: anyio.abc.TaskGroup
    ) -> RecordsConnection | None:
        """The freshest idle one, else a new one, else the one with the fewest calls."""
        if connection := self._take_idle(request_id):
            return connection
        if len(self.connections) < self.max_connections:
            connection = RecordsConnection(self, address)
            self.connections.add(connection)
            group.start_soon(connection.run)
            return connection
        usable = [
            one for one in self.connections if not one.retire_reason and request_id not in one.past_calls
        ]
        least_used = min(usable, key=lambda one: len(one.calls), default=None)
        if least_used in self.idle:
            self.idle.remove(least_used)
        return least_used

    def _take_idle(self, request_id: str) -> RecordsConnection | None:
        now = clock.monotonic()
        for connection in self.idle[::-1]:  # a copy: one that has ended may leave the list
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
