"""Proxies on loopback with injectable faults. TCP links can be cut, blocked in one direction, delayed, slow,
or reset in the middle of a message; datagram links can be cut, delayed or lossy.

A cut link resets its open connections and accepts no new ones. A link that is blocked in one direction holds
the data back without either end noticing."""

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

MAX_CHUNK = 65536  # bytes per read
SLOW_READ_S = 0.05  # interval between reads at a limited rate
PORTS = range(12_000, 32_000)  # below Linux's default range of ephemeral ports
LINGER_RESET = struct.pack("ii", 1, 0)  # with this SO_LINGER value, closing sends a reset

_port_numbers = itertools.count()


def free_port() -> int:
    """Returns a free port on which a process can listen, also after a restart.

    The port is outside the ephemeral range, so no outgoing connection takes it in the meantime.
    Raises OSError if no port is free."""
    for _ in range(len(PORTS)):
        index = zlib.crc32(f"{os.getpid()}/{next(_port_numbers)}".encode()) % len(PORTS)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", PORTS[index])):
            return PORTS[index]
    raise OSError("no port is free")


@dataclass(slots=True)
class LinkFault:
    """The faults of a link. "Forward" is the direction from the connecting (near) end to the far end."""

    is_cut: bool = False
    blocks_forward: bool = False
    blocks_backward: bool = False
    delay_ms: float = 0.0
    reset_after_bytes: int = 0  # bytes from the far end until a connection is reset; 0: never
    read_bytes_per_s: float = 0.0  # read rate of the near end; 0: no limit
    loss: float = 0.0  # fraction of datagrams that are lost, drawn from their numbers

    @property
    def is_none(self) -> bool:
        """Whether the link works."""
        return self == LinkFault()


async def accept_all(
    listener: socket.socket, handler: Callable[[socket.socket], Coroutine[Any, Any, None]]
) -> None:
    """Handles each connection in its own task until cancelled, then closes the listener."""
    async with anyio.create_task_group() as tasks:
        try:
            while True:
                await anyio.wait_readable(listener)
                with contextlib.suppress(BlockingIOError):
                    connection, _ = listener.accept()
                    tasks.start_soon(handler, connection)
        finally:
            listener.close()


class Link:
    """A TCP proxy on a free port; `run` closes its sockets."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.fault = LinkFault()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.address: tuple[str, int] = self.listener.getsockname()
        self.refused_connections = 0  # connections for which none to the far end was made
        self._connections: set[anyio.CancelScope] = set()
        self._fault_changed = anyio.Event()

    def set_fault(self, fault: LinkFault) -> None:
        """Replaces the current fault; a cut resets open connections."""
        self.fault = fault
        if fault.is_cut:
            for scope in list(self._connections):
                scope.cancel()
        self._fault_changed.set()
        self._fault_changed = anyio.Event()

    async def run(self) -> None:
        """Serves until cancelled."""
        await accept_all(self.listener, self._serve)

    async def _serve(self, near: socket.socket) -> None:
        far = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        is_connected = False
        try:
            if self.fault.is_cut:
                return
            for sock in (near, far):
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            is_connected = await self._connect(far)
            if is_connected:
                await self._forward(near, far)
        except OSError:
            pass
        finally:
            self.refused_connections += not is_connected
            for sock in (near, far):
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                sock.close()

    async def _connect(self, far: socket.socket) -> bool:
        with contextlib.suppress(BlockingIOError):
            far.connect(self.target)
        await anyio.wait_writable(far)
        return not far.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    async def _forward(self, near: socket.socket, far: socket.socket) -> None:
        async with anyio.create_task_group() as tasks:
            self._connections.add(tasks.cancel_scope)
            try:
                tasks.start_soon(self._pump, near, far, True, tasks.cancel_scope)
                await self._pump(far, near, False, tasks.cancel_scope)
            finally:
                self._connections.discard(tasks.cancel_scope)

    async def _pump(
        self, source: socket.socket, sink: socket.socket, is_forward: bool, scope: anyio.CancelScope
    ) -> None:
        """Copies bytes in one direction until an end closes, then cancels the whole connection."""
        copied = 0
        with contextlib.suppress(OSError):
            while data := await self._read(source, is_forward):
                copied += len(data)
                if not is_forward and 0 < self.fault.reset_after_bytes <= copied:
                    sink.send(data[: max(len(data) // 2, 1)])
                    break
                await self._wait_deliverable(is_forward)
                await _send_all(sink, data)
        scope.cancel()

    async def _read(self, source: socket.socket, is_forward: bool) -> bytes:
        await anyio.wait_readable(source)
        rate = 0.0 if is_forward else self.fault.read_bytes_per_s
        data = source.recv(max(int(rate * SLOW_READ_S), 1) if rate else MAX_CHUNK)
        if data and rate:
            await anyio.sleep(SLOW_READ_S)
        return data

    async def _wait_deliverable(self, is_forward: bool) -> None:
        """Waits for the delay, and while this direction is blocked."""
        if self.fault.delay_ms:
            await anyio.sleep(self.fault.delay_ms / 1000)
        while self.fault.blocks_forward if is_forward else self.fault.blocks_backward:
            await self._fault_changed.wait()


async def _send_all(sink: socket.socket, data: bytes) -> None:
    while data:
        await anyio.wait_writable(sink)
        with contextlib.suppress(BlockingIOError):
            data = data[sink.send(data) :]


class DatagramLink:
    """A one-way UDP proxy on a free port; `run` closes its socket."""

    def __init__(self, target: tuple[str, int], number: int) -> None:
        """`number` identifies the link, so that each link loses different datagrams."""
        self.target = target
        self.number = number
        self.fault = LinkFault()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind(("127.0.0.1", 0))
        self.address: tuple[str, int] = self.sock.getsockname()
        self.received = 0

    def set_fault(self, fault: LinkFault) -> None:
        """Replaces the current fault."""
        self.fault = fault

    async def run(self) -> None:
        """Serves until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                while True:
                    await anyio.wait_readable(self.sock)
                    with contextlib.suppress(OSError):
                        self._forward(self.sock.recv(MAX_CHUNK), tasks)
        finally:
            self.sock.close()

    def _forward(self, data: bytes, tasks: anyio.abc.TaskGroup) -> None:
        self.received += 1
        draw = zlib.crc32(f"{self.number}/{self.received}".encode()) / 2**32
        if self.fault.is_cut or draw < self.fault.loss:
            return
        tasks.start_soon(self._send, data, self.fault.delay_ms)

    async def _send(self, data: bytes, delay_ms: float) -> None:
        await anyio.sleep(delay_ms / 1000)
        with contextlib.suppress(OSError):
            self.sock.sendto(data, self.target)
