"""Links between two ends on loopback that can be made faulty: cut, held one way, delayed, slow, reset amid a
message, and working again; for datagrams cut, delayed and lossy.

A cut link resets its open connections and takes no new ones. A link that is held one way keeps what comes
from that side, and neither end notices."""

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

MAX_CHUNK = 65536  # bytes that are moved in one go
SLOW_READ_S = 0.05  # between reads at a slow reader's rate
PORTS = range(12_000, 32_000)  # below those that Linux makes connections from by default
LINGER_RESET = struct.pack("ii", 1, 0)  # a close sends a reset

_port_numbers = itertools.count()


def free_port() -> int:
    """A port for a process that listens itself, and again after its death: no connection is made from it
    meanwhile. OSError: none was found."""
    for _ in range(len(PORTS)):
        index = zlib.crc32(f"{os.getpid()}/{next(_port_numbers)}".encode()) % len(PORTS)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", PORTS[index])):
            return PORTS[index]
    raise OSError("no port is free")


@dataclass(slots=True)
class LinkFault:
    """What is wrong with a link. "Forward" is from the end that connects."""

    is_cut: bool = False
    blocks_forward: bool = False
    blocks_backward: bool = False
    delay_ms: float = 0.0
    reset_after_bytes: int = 0  # from the far end: a connection is reset then, amid a message; 0: never
    read_bytes_per_s: float = 0.0  # that the near end reads; 0: no limit
    loss: float = 0.0  # share of datagrams that are lost, drawn by their number

    @property
    def is_none(self) -> bool:
        """Whether the link works."""
        return self == LinkFault()


async def accept_all(
    listener: socket.socket, handler: Callable[[socket.socket], Coroutine[Any, Any, None]]
) -> None:
    """Handles each connection in a task of its own until cancelled; closes the listener then."""
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
    """A TCP proxy on a port of its own; `run` owns its sockets."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.fault = LinkFault()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.address: tuple[str, int] = self.listener.getsockname()
        self.refused_connections = 0  # that never had a far end
        self._connections: set[anyio.CancelScope] = set()
        self._fault_changed = anyio.Event()

    def set_fault(self, fault: LinkFault) -> None:
        """Another fault from now on; a cut resets open connections."""
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
        """Moves bytes one way until an end closes; then the whole connection is cancelled."""
        moved = 0
        with contextlib.suppress(OSError):
            while data := await self._read(source, is_forward):
                moved += len(data)
                if not is_forward and 0 < self.fault.reset_after_bytes <= moved:
                    sink.send(data[: max(len(data) // 2, 1)])
                    break
                await self._hold(is_forward)
                await _send_all(sink, data)
        scope.cancel()

    async def _read(self, source: socket.socket, is_forward: bool) -> bytes:
        await anyio.wait_readable(source)
        rate = 0.0 if is_forward else self.fault.read_bytes_per_s
        data = source.recv(max(int(rate * SLOW_READ_S), 1) if rate else MAX_CHUNK)
        if data and rate:
            await anyio.sleep(SLOW_READ_S)
        return data

    async def _hold(self, is_forward: bool) -> None:
        """Waits for the delay, and as long as this way is held."""
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
    """A UDP proxy, one way, on a port of its own; `run` owns its socket."""

    def __init__(self, target: tuple[str, int], number: int) -> None:
        """`number`: of this link among others, which tells its losses from theirs."""
        self.target = target
        self.number = number
        self.fault = LinkFault()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind(("127.0.0.1", 0))
        self.address: tuple[str, int] = self.sock.getsockname()
        self.received = 0

    def set_fault(self, fault: LinkFault) -> None:
        """Another fault from now on."""
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
        drawn = zlib.crc32(f"{self.number}/{self.received}".encode()) / 2**32
        if self.fault.is_cut or drawn < self.fault.loss:
            return
        tasks.start_soon(self._send, data, self.fault.delay_ms)

    async def _send(self, data: bytes, delay_ms: float) -> None:
        await anyio.sleep(delay_ms / 1000)
        with contextlib.suppress(OSError):
            self.sock.sendto(data, self.target)
