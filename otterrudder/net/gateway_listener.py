"""The listener for gateways: accepts connections up to a limit, and closes them at the shutdown."""

import errno
import math
import socket

import anyio
import anyio.abc

from otterrudder import clock
from otterrudder.admission.commands import SetIdleTimeout
from otterrudder.log import log
from otterrudder.net import connection_reaper
from otterrudder.net.dispatcher import Dispatcher
from otterrudder.net.gateway_connection import GatewayConnection
from otterrudder.net.memory import UNLIMITED, MemoryLimits
from otterrudder.net.messages import GatewaysMessage
from otterrudder.net.sockets import SERVER_SHUTDOWN, BufferAccount

BACKLOG = 1024  # connections that may wait to be accepted while the event loop is busy
MIN_CONNECTIONS = 8  # accepted even if fewer descriptors are available
SPARE_DESCRIPTORS = 24  # reserved for the runtime, service discovery, logs and the event loop
MAX_ACCEPTED_AT_ONCE = 16  # connections accepted before other tasks run; hundreds may arrive together
FULL_PAUSE_S = 0.05  # pause in accepting when the connection limit is reached or descriptors run out
CLOSING_PAUSE_S = 0.002  # pause in accepting while connections close to make room
SWEEP_INTERVAL_S = 0.1  # interval between searches for connections to close
MAX_LOGGED_ERRORS = 5  # log lines on connections per second; further ones are only counted
GOAWAY_GRACE_S = 0.1  # time for requests that cross `noMore` in a drain: twice the maximum round trip
FINAL_WRITE_TIMEOUT_S = 0.05  # time to write pending answers after the grace; both end before the stop
# Errors that mean a lack of descriptors or memory rather than a fault of the connection.
OUT_OF_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class GatewayListener:
    """Owns the listening socket and the gateways' connections."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        address: tuple[str, int],
        max_descriptors: int,
        tenants: dict[str, int],
        memory: MemoryLimits = UNLIMITED,
    ) -> None:
        """`max_descriptors` is the number of descriptors available for gateways; `tenants` maps names to
        indices; `memory` limits what the connections hold together. Raises OSError if the server cannot
        listen on the address."""
        self.dispatcher = dispatcher
        self.tenants = tenants
        self.buffers = BufferAccount(self, memory.input_bytes, memory.output_bytes)
        self._memory = dispatcher.core.shared_memory
        self._max_by_descriptors = max(max_descriptors - SPARE_DESCRIPTORS, MIN_CONNECTIONS)
        self.connections: set[GatewayConnection] = set()
        self._idle_ms = math.inf
        self._is_full = False  # whether "cannot accept connections" was logged
        self._is_closing = False  # the drain is over: new connections are sent `noMore` at once
        self._close_requested = anyio.Event()
        self._connection_ended = anyio.Event()
        self._error_second = 0
        self._errors = 0  # number of errors in that second
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind(address)
        self.sock.listen(BACKLOG)

    @property
    def max_connections(self) -> int:
        """The number of connections that descriptors and memory allow now."""
        return int(max(min(self._max_by_descriptors, self._memory.max_connections()), MIN_CONNECTIONS))

    def send(self, message: GatewaysMessage) -> None:
        """Applies a command of the admission controller to the connections."""
        if isinstance(message, SetIdleTimeout):
            self._idle_ms = message.timeout_ms
        else:
            self._close_requested.set()

    async def run(self, group: anyio.abc.TaskGroup) -> None:
        """Accepts connections until the drain is over, then closes them and returns. docs/design/closes.md
        describes the steps of the close and the events that may occur between them."""
        group.start_soon(self._sweep)
        async with anyio.create_task_group() as accepting:
            accepting.start_soon(self._accept, group)
            await self._close_requested.wait()
            accepting.cancel_scope.cancel()
        self._is_closing = True
        for connection in self.connections:
            connection.send_goaway(clock.monotonic())
        with anyio.move_on_after(GOAWAY_GRACE_S):
            await self._accept_remaining(group)
            await self._wait_until_closed()
        if self.sock.fileno() >= 0:  # the grace ended before all waiting connections were accepted
            self._accept_some(group)
            self.sock.close()
        for connection in self.connections:  # no await between the last read and the close
            connection.stream.receive_pending()
            # The close waits for the answers to the last input.
            connection.stream.close(SERVER_SHUTDOWN, FINAL_WRITE_TIMEOUT_S)
        with anyio.move_on_after(FINAL_WRITE_TIMEOUT_S):
            await self._wait_until_closed()

    def remove(self, connection: GatewayConnection) -> None:
        """Removes a connection that has ended."""
        self.connections.discard(connection)
        self._memory.connection_count = len(self.connections)
        self._connection_ended.set()

    def accepts_input(self) -> bool:
        """Whether the next batch has room for further messages."""
        return self.dispatcher.has_room()

    def shed_input(self) -> bool:
        """Closes the connection with the oldest incomplete message; returns False if there is none."""
        return connection_reaper.close_oldest_partial_message(self.connections)

    def shed_output(self) -> bool:
        """Aborts the connection with the most unsent answers; returns False if there is none."""
        return connection_reaper.abort_slowest_reader(self.connections)

    def log_connection_error(self, reason: str) -> None:
        """Logs an error of a connection, at a limited rate."""
        second = int(clock.monotonic() / 1000)
        if second != self._error_second:
            suppressed = max(self._errors - MAX_LOGGED_ERRORS, 0)
            self._error_second = second
            self._errors = 0
            if suppressed:
                log.warning("further connection errors were not logged", lines_left_out=suppressed)
        self._errors += 1
        if self._errors <= MAX_LOGGED_ERRORS:
            log.warning("connection error", why=reason)

    async def _wait_until_closed(self) -> None:
        while self.connections:
            self._connection_ended = anyio.Event()
            await self._connection_ended.wait()

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            connection_reaper.sweep(self.connections, self.max_connections, self._idle_ms)

    # Accepting.

    async def _accept(self, group: anyio.abc.TaskGroup) -> None:
        while True:
            await anyio.wait_readable(self.sock)
            if pause_s := self._accept_some(group, MAX_ACCEPTED_AT_ONCE):
                await anyio.sleep(pause_s)

    async def _accept_remaining(self, group: anyio.abc.TaskGroup) -> None:
        """Accepts the waiting connections, which may already carry requests, and closes the listener. Closing
        the listener first would reset them."""
        while pause_s := self._accept_some(group):
            await anyio.sleep(pause_s)
        self.sock.close()

    def _accept_some(self, group: anyio.abc.TaskGroup, max_count: int = BACKLOG) -> float:
        """Accepts up to `max_count` waiting connections. Returns how long to pause in s if the limit is
        reached, because an immediate retry would spin; otherwise 0."""
        for _ in range(max_count):
            if not self._has_room():
                break
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                self._is_full = False
                return 0.0
            except OSError as error:
                if error.errno == errno.EMFILE:  # fewer descriptors than configured; the links also need some
                    self._reduce_max_connections()
                if error.errno in OUT_OF_RESOURCES:
                    return self._make_room(str(error))
                continue  # the connection was closed before it was accepted
            self._add_connection(sock, group)
        return 0.0 if self._has_room() else self._make_room("connection limit reached")

    def _has_room(self) -> bool:
        return len(self.connections) < self.max_connections

    def _reduce_max_connections(self) -> None:
        new_limit = len(self.connections) - connection_reaper.MAX_CLOSED_AT_ONCE
        self._max_by_descriptors = max(min(self._max_by_descriptors, new_limit), MIN_CONNECTIONS)

    def _add_connection(self, sock: socket.socket, group: anyio.abc.TaskGroup) -> None:
        try:
            connection = GatewayConnection(self, sock)
        except OSError:
            sock.close()  # the peer reset it before it was set up
            return
        self.connections.add(connection)
        self._memory.connection_count = len(self.connections)
        group.start_soon(connection.run)
        if self._is_closing:
            connection.send_goaway(clock.monotonic())

    def _make_room(self, reason: str) -> float:
        """Closes connections to make room for new ones. Returns how long to pause in accepting, in s."""
        if connection_reaper.make_room(self.connections, self._is_closing):
            return CLOSING_PAUSE_S
        if not self._is_full:
            self._is_full = True
            log.error("cannot accept connections", why=reason, connections=len(self.connections))
        return FULL_PAUSE_S
