"""One connection in this process: its receive buffer, gathered writes, and the one way in which it is closed.

docs/design/closes.md has the states and what may fall between them."""

import os
import socket
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from itertools import islice

import anyio

from otterrudder import clock
from otterrudder.log import log
from otterrudder.net.buffer import Buffer, ProtocolError

MAX_GATHERED_PARTS = 256  # of one gathered write: below every system's bound of 1,024
MAX_DISCARDED_BYTES = 64 * 1024  # read after the shutdown: who sends more floods, and is cut off
DISCARD_READ_BYTES = 16 * 1024  # of one read of these

# Reasons for an end.
CLOSED_BY_PEER = "closed by the other side"
SERVER_SHUTDOWN = "the server ends"
MESSAGE_TOO_LONG = "a message that is too long"


class State(Enum):
    """Of a connection, as this process has decided; each leads on to those below it and never back."""

    OPEN = "open"  # read and written
    CLOSING = "closing"  # input is left unread; what is owed is still written
    SHUT_DOWN = "shut down"  # all is written and the write side is shut: input is read and discarded
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """The bounds of a connection."""

    max_message_bytes: int
    max_unsent_bytes: int
    close_timeout_s: float = 0.0  # to write the answers and to read what still comes, once it is closing


def _ignore_input(_: Buffer) -> None: ...


def _owes_nothing() -> bool:
    return False


class Stream:
    """One connection, read and written until either side ends it. Whoever runs `serve` owns it.

    `close` is an orderly end: what was received is answered, nothing more is received, and the other side's
    last bytes are read and discarded, for a close over unread bytes resets the connection and loses what the
    other side has not read yet. `abort` is for a connection that is of no more use."""

    def __init__(
        self,
        sock: socket.socket,
        limits: StreamLimits,
        handle_input: Callable[[Buffer], None],
        owes_answers: Callable[[], bool] = _owes_nothing,
    ) -> None:
        """`handle_input` takes what is whole from the buffer; what it raises ends this connection alone.
        `owes_answers`: whether something that was received is still to be answered."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self.buffer = Buffer(limits.max_message_bytes)
        self.state = State.OPEN
        self.end_reason = ""  # set once it is closing or closed
        self.unsent_bytes = 0
        self.last_progress = clock.monotonic()  # when the other side last read some or all of its output
        self._max_unsent_bytes = limits.max_unsent_bytes
        self._handle_input = handle_input
        self._owes_answers = owes_answers
        self._close_timeout_s = limits.close_timeout_s
        self._output: deque[bytes | memoryview] = deque()
        self._output_ready = anyio.Event()
        self._output_written = anyio.Event()

    async def serve(self) -> str:
        """Runs the connection to its end, and returns the reason; the socket is closed by then."""
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
            self.sock.close()
            # Breaks the reference cycle with the owner: left to the garbage collector, the buffers of a day
            # of short connections are memory that grows.
            self._handle_input = _ignore_input
            self._owes_answers = _owes_nothing
        return self.end_reason

    def send(self, parts: Iterable[bytes]) -> None:
        """Never waits. A connection whose other side reads too slowly to bound its output is aborted."""
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

    def receive_pending(self) -> bool:
        """Handles what lies unread in the system's queue; whether there was anything, an end included.

        To be called before a close for silence: a busy loop may have left input unread for long."""
        return self.state is State.OPEN and self._receive()

    def close(self, reason: str, timeout_s: float | None = None) -> None:
        """Begins the orderly end. `timeout_s`: instead of the limit's."""
        if timeout_s is not None:
            self._close_timeout_s = timeout_s
        if self.state is State.OPEN:
            self.state = State.CLOSING
            self.end_reason = reason
            anyio.notify_closing(self.sock)  # wakes the reader; the writer goes on waiting

    def abort(self, reason: str) -> None:
        """Ends it at once; unsent and unread bytes are lost."""
        if self.state is not State.CLOSED:
            self.state = State.CLOSED
            self.end_reason = self.end_reason or reason
            self._output_ready.set()
            self._output_written.set()
            anyio.notify_closing(self.sock)  # wakes reader and writer

    async def _read(self) -> None:
        while self.state is State.OPEN:
            try:
                await anyio.wait_readable(self.sock)
            except anyio.ClosedResourceError:
                continue
            except OSError as error:
                self.abort(str(error))
            self.receive_pending()

    def _receive(self) -> bool:
        """One read, whose whole messages are handled; whether anything came, an end included."""
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
        self.buffer.end += count
        try:
            self._handle_input(self.buffer)
        except ProtocolError as error:
            self.close(str(error))
        except Exception:
            log.exception("input could not be handled")
            self.close("input could not be handled")
        return True

    async def _finish_close(self) -> None:
        """Waits for the answers that are owed; then writing, the shutdown and reading are bounded in time."""
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
        """Shuts the write side, so the other side closes; one that does not is not waited for."""
        self.state = State.SHUT_DOWN
        allowed = MAX_DISCARDED_BYTES
        try:
            self.sock.shutdown(socket.SHUT_WR)
            while allowed > 0 and self.state is State.SHUT_DOWN:
                try:
                    count = len(self.sock.recv(DISCARD_READ_BYTES))
                except (BlockingIOError, InterruptedError):
                    await anyio.wait_readable(self.sock)
                    continue
                if not count:
                    return
                allowed -= count
        except (OSError, anyio.ClosedResourceError):
            return  # it has gone

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
                self.abort("closed while it was written to")

    def _write_some(self) -> None:
        """One gathered write; what it wrote is dropped."""
        count = self.sock.sendmsg(list(islice(self._output, MAX_GATHERED_PARTS)))
        self.last_progress = clock.monotonic()
        self.unsent_bytes -= count
        while count:
            part = self._output.popleft()
            if len(part) > count:
                self._output.appendleft(memoryview(part)[count:])
                return
            count -= len(part)


async def connect(address: tuple[str, int]) -> socket.socket:
    """A connected socket, or OSError."""
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
