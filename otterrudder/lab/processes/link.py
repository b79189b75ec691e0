"""Links of ours between two ends on loopback that a rig can harm: cut, cut one way, delayed, read slowly,
reset in the middle of a message, and healed; for datagrams cut, delayed and lossy.

A cut link resets what is open and takes nothing new; one that is shut one way holds what comes from that side
and lets neither end know."""

import contextlib
import itertools
import os
import socket
import struct
import zlib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import anyio
import anyio.abc

CHUNK = 65536  # bytes that are moved in one go
SLICE_S = 0.05  # s of reading at a slow reader's rate
PORTS = range(12_000, 32_000)  # below those that Linux makes connections from, unless it is told otherwise
RESET = struct.pack("ii", 1, 0)  # closes with a reset

_numbers = itertools.count()


def free_port() -> int:
    """For a process that listens itself, and again after its death: one that no connection is given
    meanwhile. OSError: none was found."""
    for _ in range(len(PORTS)):
        at = zlib.crc32(f"{os.getpid()}/{next(_numbers)}".encode()) % len(PORTS)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", PORTS[at])):
            return PORTS[at]
    raise OSError("no port is free")


@dataclass(slots=True)
class Harm:
    is_cut: bool = False
    holds_there: bool = False  # from the end that connects
    holds_back: bool = False  # to it
    delay_ms: float = 0.0
    breaks_after: int = 0  # bytes from the far end after which a connection is reset, amid a message
    per_s: float = 0.0  # bytes a second that the near end reads; 0: all there is
    loss: float = 0.0  # share of datagrams that go, drawn by their number


async def accept_all(
    sock: socket.socket, serve: Callable[[socket.socket], Coroutine[Any, Any, None]]
) -> None:
    """Each connection in a task of its own, until cancelled; the listener is closed then."""
    async with anyio.create_task_group() as group:
        try:
            while True:
                await anyio.wait_readable(sock)
                with contextlib.suppress(BlockingIOError):
                    near, _ = sock.accept()
                    group.start_soon(serve, near)
        finally:
            sock.close()


class Link:
    """Listens on a port of the system's; whoever runs `run` owns its sockets."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target, self.harm = target, Harm()
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address: tuple[str, int] = self.sock.getsockname()
        self.sock.setblocking(False)
        self.refusals = 0  # connections that came and never had a far end
        self._open: set[anyio.CancelScope] = set()
        self._changed = anyio.Event()

    def set(self, harm: Harm) -> None:
        self.harm = harm
        if harm.is_cut:
            for scope in list(self._open):
                scope.cancel()
        self._changed.set()
        self._changed = anyio.Event()

    async def run(self) -> None:
        await accept_all(self.sock, self._serve)

    async def _serve(self, near: socket.socket) -> None:
        far, is_whole = socket.socket(socket.AF_INET, socket.SOCK_STREAM), False
        try:
            if self.harm.is_cut:
                return
            for sock in (near, far):
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with contextlib.suppress(BlockingIOError):
                far.connect(self.target)
            await anyio.wait_writable(far)
            if far.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return
            is_whole = True
            async with anyio.create_task_group() as group:
                self._open.add(group.cancel_scope)
                try:
                    group.start_soon(self._pump, near, far, True, group.cancel_scope)
                    await self._pump(far, near, False, group.cancel_scope)
                finally:
                    self._open.discard(group.cancel_scope)
        except OSError:
            pass
        finally:
            self.refusals += not is_whole
            for sock in (near, far):
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                sock.close()

    async def _pump(
        self, source: socket.socket, sink: socket.socket, there: bool, scope: anyio.CancelScope
    ) -> None:
        moved = 0
        with contextlib.suppress(OSError):
            while True:
                await anyio.wait_readable(source)
                slow = self.harm.per_s if not there else 0.0
                data = source.recv(max(int(slow * SLICE_S), 1) if slow else CHUNK)
                if not data:
                    break
                if slow:
                    await anyio.sleep(SLICE_S)
                moved += len(data)
                if not there and 0 < self.harm.breaks_after <= moved:
                    sink.send(data[: max(len(data) // 2, 1)])
                    break
                if self.harm.delay_ms:
                    await anyio.sleep(self.harm.delay_ms / 1000)
                while self.harm.holds_there if there else self.harm.holds_back:
                    await self._changed.wait()
                while data:
                    await anyio.wait_writable(sink)
                    with contextlib.suppress(BlockingIOError):
                        data = data[sink.send(data) :]
        scope.cancel()


class Datagrams:
    """One way, to one end. Listens on a port of the system's; whoever runs `run` owns its socket."""

    def __init__(self, target: tuple[str, int], number: int) -> None:
        """`number`: which of a rig's it is, for its losses."""
        self.target, self.number, self.harm = target, number, Harm()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind(("127.0.0.1", 0))
        self.address: tuple[str, int] = self.sock.getsockname()
        self.count = 0

    def set(self, harm: Harm) -> None:
        self.harm = harm

    async def run(self) -> None:
        try:
            async with anyio.create_task_group() as group:
                while True:
                    await anyio.wait_readable(self.sock)
                    with contextlib.suppress(OSError):
                        self._pass_on(self.sock.recv(CHUNK), group)
        finally:
            self.sock.close()

    def _pass_on(self, data: bytes, group: anyio.abc.TaskGroup) -> None:
        self.count += 1
        drawn = zlib.crc32(f"{self.number}/{self.count}".encode()) / 2**32
        if self.harm.is_cut or drawn < self.harm.loss:
            return
        group.start_soon(self._send, data, self.harm.delay_ms)

    async def _send(self, data: bytes, delay_ms: float) -> None:
        await anyio.sleep(delay_ms / 1000)
        with contextlib.suppress(OSError):
            self.sock.sendto(data, self.target)
