"""A stream's two ends in this process: a receive buffer that is parsed in place, and gathered writes."""

import contextlib
import os
import socket
from collections import deque
from collections.abc import Callable, Iterable
from itertools import islice

import anyio

from otterrudder.net.log import log

ROOM_FIRST = 4 * 1024  # bytes of a new buffer: nearly all messages fit, and hundreds of peers are quiet
GATHER_MOST = 256  # parts of one gathered write: below every system's bound of 1,024


CLOSED = "closed by the other side"


class Broken(Exception):
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
                    raise Broken("a message that is too long")
                count = min(len(space), len(data))
                space[:count] = data[:count]
            self.end, data = self.end + count, data[count:]


class Stream:
    """One connection, read and written until either ends. Whoever runs `serve` owns it."""

    def __init__(self, sock: socket.socket, room: int, unsent_most: int) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock, self.buffer, self.unsent_most = sock, Buffer(room), unsent_most
        self.parts: deque[bytes | memoryview] = deque()
        self.unsent, self.wake = 0, anyio.Event()
        self.why = ""  # it has ended, once there is a reason

    async def serve(self, hear: Callable[[Buffer], None]) -> str:
        """Says why it ended; the socket is closed by then. `hear` takes what is whole from the buffer, and
        what it raises ends this connection and nothing else."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._write, group.cancel_scope)
                self.end(await self._read(hear))
        finally:
            self.end("the server ends")
            self.parts.clear()
            self.sock.close()
        return self.why

    def send(self, parts: Iterable[bytes]) -> None:
        """Never waits. A peer that reads too slowly to bound what it is owed is given up."""
        if self.why:
            return
        for part in parts:
            self.parts.append(part)
            self.unsent += len(part)
        self.wake.set()
        if self.unsent > self.unsent_most:
            self.end("reads too slowly")

    def flush(self) -> None:
        """Writes what the socket takes at once: an end right after it drops the rest."""
        with contextlib.suppress(OSError):
            while self.parts and not self.why:
                self._push()

    def end(self, why: str) -> None:
        if not self.why:
            self.why = why
            self.wake.set()
            anyio.notify_closing(self.sock)  # wakes reader and writer

    async def _read(self, hear: Callable[[Buffer], None]) -> str:
        while not self.why:
            try:
                await anyio.wait_readable(self.sock)
                with self.buffer.space() as space:
                    if not space:
                        return "a message that is too long"
                    count = self.sock.recv_into(space)
            except (BlockingIOError, InterruptedError):
                continue
            except (OSError, anyio.ClosedResourceError) as trouble:
                return str(trouble)
            if not count:
                return CLOSED
            self.buffer.end += count
            try:
                hear(self.buffer)
            except Broken as trouble:
                return str(trouble)
            except Exception:
                log.exception("input could not be dealt with")
                return "input could not be dealt with"
        return self.why

    async def _write(self, scope: anyio.CancelScope) -> None:
        while not self.why:
            try:
                if self.parts:
                    self._push()
                else:
                    self.wake = anyio.Event()
                    await self.wake.wait()
                continue
            except (BlockingIOError, InterruptedError):
                pass
            except OSError as trouble:
                self.end(str(trouble))
            try:
                await anyio.wait_writable(self.sock)
            except (OSError, anyio.ClosedResourceError):
                self.end("closed while it was written to")
        scope.cancel()

    def _push(self) -> None:
        """One gathered write, and what it took is gone."""
        count = self.sock.sendmsg(list(islice(self.parts, GATHER_MOST)))
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
