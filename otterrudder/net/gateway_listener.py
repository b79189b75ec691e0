"""The listener for gateways: accepts connections while there is room, and closes them at the shutdown."""

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
from otterrudder.net.messages import GatewaysMessage
from otterrudder.net.sockets import SERVER_SHUTDOWN

BACKLOG = 1024  # connections that may wait to be accepted while the loop is busy
MIN_CONNECTIONS = 8  # taken however few descriptors there are
SPARE_DESCRIPTORS = 24  # kept for the runtime, service discovery, logs and the loop itself
MAX_ACCEPTED_AT_ONCE = 16  # before others get their turn: hundreds come at once
FULL_PAUSE_S = 0.05  # without accepting when there is no room, or no descriptor
CLOSING_PAUSE_S = 0.002  # without accepting while those that make room close
SWEEP_INTERVAL_S = 0.1  # between looks for connections to close
MAX_LOGGED_ERRORS = 5  # lines a second on connections; past that they are counted
GOAWAY_GRACE_S = 0.1  # at the end of a drain, for what crosses `noMore`: twice the bound of a round trip
FINAL_WRITE_TIMEOUT_S = 0.05  # after that, for what is owed to be written; both lie ahead of the stop
# No descriptor or memory for a connection, rather than something wrong with it.
OUT_OF_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class GatewayListener:
    """Owns the listening socket and the set of connections."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        address: tuple[str, int],
        max_descriptors: int,
        tenants: dict[str, int],
    ) -> None:
        """`max_descriptors`: what is left for connections; `tenants`: indices by name. OSError: the address
        can't be listened on."""
        self.dispatcher = dispatcher
        self.tenants = tenants
        self.max_connections = max(max_descriptors - SPARE_DESCRIPTORS, MIN_CONNECTIONS)
        self.connections: set[GatewayConnection] = set()
        self._idle_ms = math.inf
        self._is_full = False  # as logged
        self._is_closing = False  # the drain is over: whoever connects is told `noMore` at once
        self._close_requested = anyio.Event()
        self._connection_ended = anyio.Event()
        self._error_second = 0
        self._errors = 0  # in that second
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind(address)
        self.sock.listen(BACKLOG)

    def send(self, message: GatewaysMessage) -> None:
        """What the admission controller wants done with connections."""
        if isinstance(message, SetIdleTimeout):
            self._idle_ms = message.timeout_ms
        else:
            self._close_requested.set()

    async def run(self, group: anyio.abc.TaskGroup) -> None:
        """Accepts until the drain is over, then closes the connections and returns. The order of the end, and
        what may come between any two steps: docs/design/closes.md."""
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
        if self.sock.fileno() >= 0:  # more wait than there was room for in that time
            self._accept_some(group)
            self.sock.close()
        for connection in self.connections:  # nothing is awaited between the last read and the close
            connection.stream.receive_pending()
            connection.stream.close(
                SERVER_SHUTDOWN, FINAL_WRITE_TIMEOUT_S
            )  # waits for answers to what was just read
        with anyio.move_on_after(FINAL_WRITE_TIMEOUT_S):
            await self._wait_until_closed()

    def remove(self, connection: GatewayConnection) -> None:
        """The connection has ended."""
        self.connections.discard(connection)
        self._connection_ended.set()

    def log_connection_error(self, reason: str) -> None:
        """Logs what is wrong with a connection, at a bounded rate."""
        second = int(clock.monotonic() / 1000)
        if second != self._error_second:
            left_out = max(self._errors - MAX_LOGGED_ERRORS, 0)
            self._error_second = second
            self._errors = 0
            if left_out:
                log.warning("more connection errors", lines_left_out=left_out)
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
        """What waits to be accepted may have been written to, and would be reset with the listener."""
        while pause_s := self._accept_some(group):
            await anyio.sleep(pause_s)
        self.sock.close()

    def _accept_some(self, group: anyio.abc.TaskGroup, max_count: int = BACKLOG) -> float:
        """Accepts at most so many that wait. Seconds to wait if there is no room for more, for trying at once
        would only spin; 0 if none waits."""
        for _ in range(max_count):
            if not self._has_room():
                break
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                self._is_full = False
                return 0.0
            except OSError as error:
                if error.errno == errno.EMFILE:  # fewer than configured: the links need theirs too
                    self._reduce_max_connections()
                if error.errno in OUT_OF_RESOURCES:
                    return self._make_room(str(error))
                continue  # that one connection went before it was accepted
            self._add(sock, group)
        return 0.0 if self._has_room() else self._make_room("as many connections as the limit allows")

    def _has_room(self) -> bool:
        return len(self.connections) < self.max_connections

    def _reduce_max_connections(self) -> None:
        fewer = len(self.connections) - connection_reaper.MAX_CLOSED_AT_ONCE
        self.max_connections = max(min(self.max_connections, fewer), MIN_CONNECTIONS)

    def _add(self, sock: socket.socket, group: anyio.abc.TaskGroup) -> None:
        try:
            connection = GatewayConnection(self, sock)
        except OSError:
            sock.close()  # reset before it could be set up
            return
        self.connections.add(connection)
        group.start_soon(connection.run)
        if self._is_closing:
            connection.send_goaway(clock.monotonic())

    def _make_room(self, reason: str) -> float:
        """Seconds to wait."""
        if connection_reaper.make_room(self.connections, self._is_closing):
            return CLOSING_PAUSE_S
        if not self._is_full:
            self._is_full = True
            log.error("cannot accept", why=reason, connections=len(self.connections))
        return FULL_PAUSE_S
