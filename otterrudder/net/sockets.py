"""A stream's two ends in this process: a receive buffer that is parsed in place, gathered writes, and the one
way in which a connection is closed. docs/design/closes.md has its states and what may fall between them."""

import os
import socket
from collections import deque
from collections.abc import Callable, Iterable
from enum import Enum
from itertools import islice

import anyio

from otterrudder import clock
from otterrudder.log import log

ROOM_FIRST = 4 * 1024  # bytes of a new buffer: nearly all messages fit, and hundreds of peers are quiet
GATHER_MOST = 256  # parts of one gathered write: below every system's bound of 1,024
READ_OUT_MOST = 64 * 1024  # bytes read out of a peer that is left: past that it floods, and is cut off
READ_OUT_GO = 16 * 1024  # bytes of one read of these


CLOSED = "closed by the other side"


class ProtocolError(Exception):
    """What came is no message, and what follows it can't be told from it: the connection has to go."""


class Buffer:
    """What was received and not yet taken. Codecs look at `data` from `start` to `end` and move `start`.
    It grows up to its room with the longest message."""

    def __init__(self, room: int) -> None:
        self.room, self.data = room, bytearray(min(room, ROOM_FIRST))
        self.start = self.end = self.seen = 0  # seen: up to there no line end was found

    def space(self) -> memoryview:
        """Room for more; empty if one message fills it all, which no good peer does."""
        if self.start:
            rest = self.end - self.start
            self.data[:rest] = self.data[self.start : self.end]
            self.seen = max(self.seen - self.start, 0)
            self.start, self.end = 0, rest
        if self.end == len(self.data) < self.room:
            self.data += bytes(min(self.end, self.room - self.end))
        return memoryview(self.data)[self.end :]

    def line(self, mark: bytes) -> memoryview | None:
        """The next line without its mark, in place, if it is whole. `drop` it before the next one."""
        at = self.data.find(mark, max(self.seen, self.start), self.end)
        if at < 0:
            self.seen = max(self.end - len(mark) + 1, self.start)
            return None
        return memoryview(self.data)[self.start : at]

    def drop(self, count: int) -> None:
        self.start = self.seen = self.start + count

    def put(self, data: bytes) -> None:
        while data:
            with self.space() as space:
                if not space:
                    raise ProtocolError("a message that is too long")
                count = min(len(space), len(data))
                space[:count] = data[:count]
            self.end, data = self.end + count, data[count:]


class State(Enum):
    """Of a connection, as this process has decided; each leads on to those below it and never back."""

    OPEN = "open"  # heard, and written to
    DEAF = "deaf"  # what comes is left unread; what is owed still goes out
    SHUT = "shut"  # all that is owed is written, the write side is shut: what comes is read and dropped
    CLOSED = "closed"


def _heard_by_nobody(_: Buffer) -> None: ...


def _owes_nothing() -> bool:
    return False


class Stream:
    """One connection, read and written until either ends. Whoever runs `serve` owns it.

    `leave` is this side's own wish: what was heard is answered, nothing more is heard, and the other side's
    last bytes are read, for a close over unread ones resets the connection and takes with it what the other
    side had not read yet. `end` is for a connection that is of no more use."""

    def __init__(
        self,
        sock: socket.socket,
        room: int,
        unsent_most: int,
        hear: Callable[[Buffer], None],
        owes: Callable[[], bool] = _owes_nothing,
        leave_s: float = 0.0,
    ) -> None:
        """`hear` takes what is whole from the buffer; what it raises ends this connection and nothing else.
        `owes`: whether something that was heard is still to be answered. `leave_s`: s to write that and to
        read out what still comes, once it is left; 0: whoever is left has nothing to come."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock, self.buffer, self.unsent_most = sock, Buffer(room), unsent_most
        self.hear, self.owes = hear, owes
        self.parts: deque[bytes | memoryview] = deque()
        self.unsent, self.wake = 0, anyio.Event()
        self.taken_at = clock.monotonic()  # when the other side last took some of what it was owed, or all
        self.state = State.OPEN
        self.sent = anyio.Event()  # while it is left: nothing is owed or unsent
        self.leave_s = leave_s
        self.why = ""  # it is left or has ended, once there is a reason

    async def serve(self) -> str:
        """Says why it ended; the socket is closed by then."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._write)
                await self._listen()
                if self.state is State.DEAF:
                    await self._see_off()
                self.end("the server ends")
                group.cancel_scope.cancel()
        finally:
            self.end("the server ends")
            self.parts.clear()
            self.sock.close()
            # Its owner and it held on to each other: left to the collector, the buffers of a day of short
            # connections are memory that grows.
            self.hear, self.owes = _heard_by_nobody, _owes_nothing
        return self.why

    def send(self, parts: Iterable[bytes]) -> None:
        """Never waits. A peer that reads too slowly to bound what it is owed is given up."""
        if self.state not in (State.OPEN, State.DEAF):
            return
        if not self.parts:
            self.taken_at = clock.monotonic()
        for part in parts:
            self.parts.append(part)
            self.unsent += len(part)
        self.wake.set()
        if self.unsent > self.unsent_most:
            self.end("reads too slowly")

    def catch_up(self) -> bool:
        """Hands on what lies unread in the system's queue; whether there was anything, the end included. Who
        closes for want of words asks this first: a busy loop may have left them unread for long."""
        return self.state is State.OPEN and self._take()

    def leave(self, why: str, leave_s: float | None = None) -> None:
        """Nothing more is heard. Once what is owed is answered, it has `leave_s` to be written and read."""
        self.leave_s = self.leave_s if leave_s is None else leave_s
        if self.state is State.OPEN:
            self.state, self.why = State.DEAF, why
            anyio.notify_closing(self.sock)  # wakes the reader; the writer waits on

    def end(self, why: str) -> None:
        """At once, and whatever is unsent or unread goes with it."""
        if self.state is not State.CLOSED:
            self.state, self.why = State.CLOSED, self.why or why
            self.wake.set()
            self.sent.set()
            anyio.notify_closing(self.sock)  # wakes reader and writer

    async def _listen(self) -> None:
        while self.state is State.OPEN:
            try:
                await anyio.wait_readable(self.sock)
            except anyio.ClosedResourceError:
                continue
            except OSError as trouble:
                self.end(str(trouble))
            self.catch_up()

    def _take(self) -> bool:
        """One read, and what is whole in it goes to the owner; whether anything came, the end included."""
        try:
            with self.buffer.space() as space:
                if not space:
                    self.leave("a message that is too long")
                    return True
                count = self.sock.recv_into(space)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as trouble:
            self.end(str(trouble))
            return True
        if not count:
            self.end(CLOSED)
            return True
        self.buffer.end += count
        try:
            self.hear(self.buffer)
        except ProtocolError as trouble:
            self.leave(str(trouble))
        except Exception:
            log.exception("input could not be dealt with")
            self.leave("input could not be dealt with")
        return True

    async def _see_off(self) -> None:
        """What is owed is answered by whoever owes it; then writing, shutting and reading out are bounded."""
        while self.owes() and self.state is State.DEAF:
            self.sent = anyio.Event()
            await self.sent.wait()
        with anyio.move_on_after(self.leave_s):
            while self.parts and self.state is State.DEAF:
                self.sent = anyio.Event()
                await self.sent.wait()
            if self.state is State.DEAF:
                await self._read_out()

    async def _read_out(self) -> None:
        """The other side learns of the end, and closes; one that does not is not waited for."""
        self.state = State.SHUT
        left = READ_OUT_MOST
        try:
            self.sock.shutdown(socket.SHUT_WR)
            while left > 0 and self.state is State.SHUT:
                try:
                    count = len(self.sock.recv(READ_OUT_GO))
                except (BlockingIOError, InterruptedError):
                    await anyio.wait_readable(self.sock)
                    continue
                if not count:
                    return
                left -= count
        except (OSError, anyio.ClosedResourceError):
            return  # it has gone

    async def _write(self) -> None:
        while self.state in (State.OPEN, State.DEAF):
            try:
                if self.parts:
                    self._push()
                else:
                    self.sent.set()
                    self.wake = anyio.Event()
                    await self.wake.wait()
                continue
            except (BlockingIOError, InterruptedError):
                pass
            except OSError as trouble:
                self.end(str(trouble))
            try:
                await anyio.wait_writable(self.sock)
            except anyio.ClosedResourceError:
                continue
            except OSError:
                self.end("closed while it was written to")

    def _push(self) -> None:
        """One gathered write, and what it took is gone."""
        count = self.sock.sendmsg(list(islice(self.parts, GATHER_MOST)))
        self.taken_at = clock.monotonic()
        self.unsent -= count
        while count:
            part = self.parts.popleft()
            if len(part) > count:
                self.parts.appendleft(memoryview(part)[count:])
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
