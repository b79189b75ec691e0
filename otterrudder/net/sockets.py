"""A stream's two ends in this process: a receive buffer that is parsed in place, and gathered writes."""

import os
import socket
from collections import deque
from collections.abc import Iterable
from itertools import islice

import anyio

GATHER_MOST = 256  # parts of one gathered write: below every system's bound of 1,024


class Buffer:
    """What was received and not yet taken. Codecs look at `data` from `start` to `end` and move `start`."""

    def __init__(self, room: int) -> None:
        self.data = bytearray(room)
        self.start = self.end = self.seen = 0  # seen: up to there no line end was found

    def space(self) -> memoryview:
        """Room for more; empty if one message fills it all, which no good peer does."""
        if self.start:
            rest = self.end - self.start
            self.data[:rest] = self.data[self.start : self.end]
            self.seen = max(self.seen - self.start, 0)
            self.start, self.end = 0, rest
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
        self.space()[: len(data)] = data
        self.end += len(data)


class Stream:
    """One connection. Its actor owns it: only the actor's task calls `close`."""

    def __init__(self, sock: socket.socket, room: int, unsent_most: int) -> None:
        sock.setblocking(False)
        if sock.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock, self.buffer, self.unsent_most = sock, Buffer(room), unsent_most
        self.parts: deque[bytes | memoryview] = deque()
        self.unsent, self.wake = 0, anyio.Event()
        self.broken = False

    async def read(self) -> bool:
        """Waits for more bytes; False at the end of the stream, however it ends, or when no more fits."""
        while not self.broken:
            try:
                await anyio.wait_readable(self.sock)
                with self.buffer.space() as space:
                    count = self.sock.recv_into(space) if space else 0
            except (BlockingIOError, InterruptedError):
                continue
            except (OSError, anyio.ClosedResourceError):
                return False
            self.buffer.end += count
            return count > 0
        return False

    def send(self, parts: Iterable[bytes]) -> None:
        """Never waits. A peer that reads too slowly to bound what it is owed is broken."""
        if self.broken:
            return
        for part in parts:
            self.parts.append(part)
            self.unsent += len(part)
        self.broken = self.unsent > self.unsent_most
        self.wake.set()

    async def write(self) -> None:
        """Sends what `send` was given until the stream breaks."""
        while not self.broken:
            if not self.parts:
                self.wake = anyio.Event()
                await self.wake.wait()
                continue
            try:
                self._take(self.sock.sendmsg(list(islice(self.parts, GATHER_MOST))))
            except (BlockingIOError, InterruptedError):
                await anyio.wait_writable(self.sock)
            except OSError:
                self.broken = True

    def _take(self, count: int) -> None:
        self.unsent -= count
        while count:
            part = self.parts.popleft()
            if len(part) > count:
                self.parts.appendleft(memoryview(part)[count:])
                return
            count -= len(part)

    def close(self) -> None:
        self.broken = True
        self.parts.clear()
        anyio.notify_closing(self.sock)
        self.sock.close()


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
