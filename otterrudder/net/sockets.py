"""A connection of this process: its receive buffer, gathered writes, and the procedure that closes it.

docs/design/closes.md describes the states and the events that may occur between them."""

import os
import select
import socket
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from itertools import islice
from typing import Protocol

import anyio

from otterrudder import clock
from otterrudder.log import log
from otterrudder.net.buffer import Buffer, ProtocolError

MAX_GATHERED_PARTS = 256  # parts of one gathered write; systems allow 1,024
PART_BYTES = 90  # memory of a waiting part of the output besides its content
MAX_DISCARDED_BYTES = 64 * 1024  # discarded after the shutdown; a peer that sends more is cut off
DISCARD_READ_BYTES = 16 * 1024  # size of one read of discarded input

_PEER_CLOSED = getattr(select, "POLLRDHUP", 0)  # event of `poll`; not available on all systems

# End reasons of a connection.
CLOSED_BY_PEER = "closed by the peer"
SERVER_SHUTDOWN = "server shutdown"
MESSAGE_TOO_LONG = "message is too long"


class State(Enum):
    """States of a connection on this side. A connection only moves on to states further down the list."""

    OPEN = "open"  # read and written
    CLOSING = "closing"  # input stays unread; pending answers are still written
    SHUT_DOWN = "shut down"  # all output is written, the write side is shut, and input is discarded
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """The limits of a connection."""

    max_message_bytes: int
    max_unsent_bytes: int
    close_timeout_s: float = 0.0  # time for writing answers and discarding input while closing
    keeps_empty_buffer: bool = False  # a busy connection reads more at once with the buffer that it has grown
    drops_input_of_closed_peer: bool = False  # what the peer wrote just before it closed is not handled


class BufferOwner(Protocol):
    """The owner of a group of connections."""

    def accepts_input(self) -> bool:
        """Whether further input may be read now. If not, it is read in a later turn of the event loop."""

    def shed_input(self) -> bool:
        """Ends the connection that has held an incomplete message for longest; returns False for none."""

    def shed_output(self) -> bool:
        """Ends the connection with the most unsent output; returns False if there is none."""


class BufferAccount:
    """Counts the buffered bytes of a group of connections. While they exceed a limit, the owner of the group
    ends one of the connections."""

    def __init__(self, owner: BufferOwner, max_input_bytes: float, max_output_bytes: float) -> None:
        self.input_bytes = 0
        self.output_bytes = 0
        self.owner = owner
        self._is_enforcing = False  # ending a connection changes the counts, and so calls `enforce_limits`
        self._max_input_bytes = max_input_bytes
        self._max_output_bytes = max_output_bytes

    def enforce_limits(self) -> None:
        """Ends connections until the buffered bytes are within the limits."""
        if self._is_enforcing:
            return
        self._is_enforcing = True
        try:
            while self.input_bytes > self._max_input_bytes and self.owner.shed_input():
                pass
            while self.output_bytes > self._max_output_bytes and self.owner.shed_output():
                pass
        finally:
            self._is_enforcing = False


def _ignore_input(_: Buffer) -> None: ...


def _owes_nothing() -> bool:
    return False


class Stream:
    """A connection that is read and written until either side ends it. The task that runs `serve` owns it.

    `close` ends the connection in order: received messages are answered, no further messages are received,
    and the peer's last bytes are read and discarded. A close with unread bytes would reset the connection,
    and the peer would lose answers that it has not read yet. `abort` ends the connection at once."""

    def __init__(
        self,
        sock: socket.socket,
        limits: StreamLimits,
        handle_input: Callable[[Buffer], None],
        owes_answers: Callable[[], bool] = _owes_nothing,
        account: BufferAccount | None = None,
    ) -> None:
        """`handle_input` consumes the complete messages of the buffer; an exception in it ends only this
        connection. `owes_answers` returns whether received messages are still to be answered. `account`
        counts the buffers of the connection together with those of others."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self.buffer = Buffer(limits.max_message_bytes)
        self.state = State.OPEN
        self.end_reason = ""  # set once the connection is closing or closed
        self.unsent_bytes = 0
        self.last_progress = clock.monotonic()  # when output was last written or began to wait
        self._max_unsent_bytes = limits.max_unsent_bytes
        self._keeps_empty_buffer = limits.keeps_empty_buffer
        self._drops_input_of_closed_peer = limits.drops_input_of_closed_peer
        self._account = account
        self._counted_input = 0
        self._counted_output = 0
        self._handle_input = handle_input
        self._owes_answers = owes_answers
        self._close_timeout_s = limits.close_timeout_s
        self._output: deque[bytes | memoryview] = deque()
        self._output_ready = anyio.Event()
        self._output_written = anyio.Event()

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended and its buffers are released."""
        return self.state is State.CLOSED

    async def serve(self) -> str:
        """Runs the connection to its end and closes the socket. Returns the end reason."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._write)
                await self._read()
                if self.state is State.CLOSING:
                    await self._finish_close()
                self.abort(SERVER_SHUTDOWN)
                group.cancel_scope.cancel()
        finally:
            self.abort(SERVER_SHUTDOWN)
            self._output.clear()
            self.buffer.clear()
            self._count_buffers()
            self.sock.close()
            # Breaks the reference cycle with the owner. Memory would grow with the buffers of many short
            # connections if they were left to the garbage collector.
            self._handle_input = _ignore_input
            self._owes_answers = _owes_nothing
        return self.end_reason

    def send(self, parts: Iterable[bytes]) -> None:
        """Queues output without waiting. Aborts the connection if its peer reads so slowly that the queued
        output exceeds the limit."""
        if self.state not in (State.OPEN, State.CLOSING):
            return
        if not self._output:
            self.last_progress = clock.monotonic()
        for part in parts:
            self._output.append(part)
            self.unsent_bytes += len(part)
        self._output_ready.set()
        if self.unsent_bytes > self._max_unsent_bytes:
            self.abort("reads too slowly")
        self._count_buffers()

    def receive_pending(self) -> bool:
        """Handles unread input that the system holds. Returns whether there was any, including the peer's
        close.

        Called before a connection is closed for silence, because a busy event loop may not have read its
        input."""
        return self.state is State.OPEN and self._receive()

    def close(self, reason: str, timeout_s: float | None = None) -> None:
        """Begins the orderly close. `timeout_s` overrides the timeout of the limits."""
        if timeout_s is not None:
            self._close_timeout_s = timeout_s
        if self.state is State.OPEN:
            self.state = State.CLOSING
            self.end_reason = reason
            self.buffer.clear()
            self._count_buffers()
            anyio.notify_closing(self.sock)  # wakes the reader; the writer keeps waiting

    def abort(self, reason: str) -> None:
        """Ends the connection at once; unsent and unread bytes are lost."""
        if self.state is not State.CLOSED:
            self.state = State.CLOSED
            self.end_reason = self.end_reason or reason
            self._output_ready.set()
            self._output_written.set()
            self._count_buffers()
            anyio.notify_closing(self.sock)  # wakes the reader and the writer

    async def _read(self) -> None:
        while self.state is State.OPEN:
            try:
                await anyio.wait_readable(self.sock)
            except anyio.ClosedResourceError:
                continue
            except OSError as error:
                self.abort(str(error))
            while self._account and not self._account.owner.accepts_input():
                await anyio.lowlevel.checkpoint()
            self.receive_pending()

    def _receive(self) -> bool:
        """Reads once and handles the complete messages. Returns whether there was input, including the peer's
        close."""
        try:
            with self.buffer.free_space() as space:
                if not space:
                    self.close(MESSAGE_TOO_LONG)
                    return True
                count = self.sock.recv_into(space)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            self.abort(str(error))
            return True
        if not count:
            self.abort(CLOSED_BY_PEER)
            return True
        if self._drops_input_of_closed_peer and self._has_peer_closed():
            self.abort(CLOSED_BY_PEER)
            return True
        self.buffer.end += count
        try:
            self._handle_input(self.buffer)
        except ProtocolError as error:
            self.close(str(error))
        except Exception:
            log.exception("input handler failed")
            self.close("input handler failed")
        if self.buffer.is_empty and not self._keeps_empty_buffer:
            self.buffer.clear()
        self._count_buffers()
        return True

    def _has_peer_closed(self) -> bool:
        """Returns whether the peer's close has arrived, even if input before it is still unread."""
        poll = select.poll()
        poll.register(self.sock, _PEER_CLOSED)
        return any(events & _PEER_CLOSED for _, events in poll.poll(0))

    def _count_buffers(self) -> None:
        """Brings the account up to date. A closed connection counts nothing."""
        account = self._account
        if not account:
            return
        is_closed = self.state is State.CLOSED
        input_bytes = 0 if is_closed else len(self.buffer.data)
        output_bytes = 0 if is_closed else self.unsent_bytes + len(self._output) * PART_BYTES
        account.input_bytes += input_bytes - self._counted_input
        account.output_bytes += output_bytes - self._counted_output
        self._counted_input = input_bytes
        self._counted_output = output_bytes
        account.enforce_limits()

    async def _finish_close(self) -> None:
        """Waits for the answers to received messages, then writes them, shuts the write side and discards
        input within the timeout."""
        while self._owes_answers() and self.state is State.CLOSING:
            self._output_written = anyio.Event()
            await self._output_written.wait()
        with anyio.move_on_after(self._close_timeout_s):
            while self._output and self.state is State.CLOSING:
                self._output_written = anyio.Event()
                await self._output_written.wait()
            if self.state is State.CLOSING:
                await self._discard_input()

    async def _discard_input(self) -> None:
        """Shuts the write side, so that the peer closes, and discards input until it does. The caller limits
        the time."""
        self.state = State.SHUT_DOWN
        remaining_bytes = MAX_DISCARDED_BYTES
        try:
            self.sock.shutdown(socket.SHUT_WR)
            while remaining_bytes > 0 and self.state is State.SHUT_DOWN:
                try:
                    count = len(self.sock.recv(DISCARD_READ_BYTES))
                except (BlockingIOError, InterruptedError):
                    await anyio.wait_readable(self.sock)
                    continue
                if not count:
                    return
                remaining_bytes -= count
        except (OSError, anyio.ClosedResourceError):
            return  # the peer has reset the connection

    async def _write(self) -> None:
        while self.state in (State.OPEN, State.CLOSING):
            try:
                if self._output:
                    self._write_some()
                else:
                    self._output_written.set()
                    self._output_ready = anyio.Event()
                    await self._output_ready.wait()
                continue
            except (BlockingIOError, InterruptedError):
                pass
            except OSError as error:
                self.abort(str(error))
            try:
                await anyio.wait_writable(self.sock)
            except anyio.ClosedResourceError:
                continue
            except OSError:
                self.abort("closed during a write")

    def _write_some(self) -> None:
        """Performs one gathered write and removes the written bytes from the queue."""
        count = self.sock.sendmsg(list(islice(self._output, MAX_GATHERED_PARTS)))
        self.last_progress = clock.monotonic()
        self.unsent_bytes -= count
        while count:
            part = self._output.popleft()
            if len(part) > count:
                self._output.appendleft(memoryview(part)[count:])
                break
            count -= len(part)
        self._count_buffers()


async def connect(address: tuple[str, int]) -> socket.socket:
    """Returns a connected socket. Raises OSError if the connection cannot be established."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        if sock.connect_ex(address):
            await anyio.wait_writable(sock)
            if code := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                raise OSError(code, os.strerror(code))
        return sock
    except BaseException:
        sock.close()
        raise
