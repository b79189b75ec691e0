"""A fake runtime of one server, which simulates and records the runs that the server starts by the platform's
protocol."""

import contextlib
import socket
from dataclasses import dataclass

import anyio
import anyio.abc
from anyio.streams.buffered import BufferedByteReceiveStream

from otterrudder.clock import monotonic as clock
from otterrudder.lab.processes.history import RunRecord, WireHistory
from otterrudder.lab.processes.link import accept_all

RUN_MS = 5.0
LONG_RUN_MS = 300.0  # duration of runs that a drain has to await
UPTIME_MS = 60_000.0  # reported at the start, so that no server treats the runtime as cold
MAX_NOTICES = 4000  # kept for sending after a reconnection
MAX_LINE = 512  # bytes
CONNECTION_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.IncompleteRead,
)


@dataclass(frozen=True, slots=True)
class _Notice:
    """The message that reports the end of a run."""

    number: int
    data: bytes


class FakeRuntime:
    """Outlives connections and the server's processes.

    Runs continue without a connection, and a new connection receives the missed notices."""

    def __init__(self, server: int, wire: WireHistory) -> None:
        self.server = server
        self.wire = wire
        # Set by the fake gateway, by call, because the platform's protocol does not send them to the runtime.
        self.idempotency_keys: dict[str, str] = {}
        self.finished_calls: set[str] = set()  # calls that need no answer any more
        self.incarnation = 0  # incremented when the server's process starts; notice numbers restart then
        self.run_ms = RUN_MS
        self.started_runs = 0  # since the start of the fake runtime
        self.started_at = clock() - UPTIME_MS
        self._notices: list[_Notice] = []
        self._notice_number = 0
        self._running: set[str] = set()
        self._stream: anyio.abc.SocketStream | None = None
        self._send_lock = anyio.Lock()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self.address: tuple[str, int] = self._listener.getsockname()

    def begin_incarnation(self) -> None:
        """Handles a new server process: the runs of the earlier one end without a notice."""
        self.incarnation += 1
        self.run_ms = RUN_MS
        self._notice_number = 0
        self._notices.clear()
        self._running.clear()

    async def run(self) -> None:
        """Serves until cancelled."""
        async with anyio.create_task_group() as self._tasks:
            await accept_all(self._listener, self._serve)

    async def _serve(self, sock: socket.socket) -> None:
        try:
            async with await anyio.abc.SocketStream.from_socket(sock) as stream:
                previous = self._stream
                self._stream = stream
                if previous:
                    await previous.aclose()
                await self._receive(stream)
        except* CONNECTION_ERRORS:
            pass

    async def _receive(self, stream: anyio.abc.SocketStream) -> None:
        received = BufferedByteReceiveStream(stream)
        while True:
            words = (await received.receive_until(b"\r\n", MAX_LINE)).decode().split(" ")
            if words[0] == "sync":
                await self._handle_sync(stream, int(words[1]))
            elif words[0] == "gauges":
                await self._send(stream, f"load {words[1]} 0.2 1 0.1 5\r\n".encode())
            elif words[0] == "start":
                await received.receive_exactly(int(words[3]) + len(b"\r\n"))
                await self._handle_start(words[1])

    async def _handle_sync(self, stream: anyio.abc.SocketStream, last_number: int) -> None:
        missed = b"".join(notice.data for notice in self._notices if notice.number > last_number)
        uptime_ms = clock() - self.started_at
        await self._send(stream, f"ready hot {uptime_ms:.0f}\r\n".encode() + missed)

    async def _handle_start(self, call: str) -> None:
        """Starts a run, unless the call is running already or is finished."""
        if call in self._running:
            return
        if call in self.finished_calls:
            await self._notify(f"{call} unknown 0 0", b"")
            return
        self.started_runs += 1
        self._running.add(call)
        key = self.idempotency_keys.get(call, "")
        self.wire.runs.append(RunRecord(self.server, call, key, clock()))
        assert self._tasks
        self._tasks.start_soon(self._finish, call, self.incarnation)

    async def _finish(self, call: str, incarnation: int) -> None:
        run_ms = self.run_ms
        await anyio.sleep(run_ms / 1000)
        if incarnation != self.incarnation:
            return
        self._running.discard(call)
        body = result_body(call)
        await self._notify(f"{call} complete {run_ms} {len(body)}", body)

    async def _notify(self, text: str, body: bytes) -> None:
        self._notice_number += 1
        data = f"end {self._notice_number} {text}\r\n".encode() + body + b"\r\n"
        self._notices = [*self._notices[1 - MAX_NOTICES :], _Notice(self._notice_number, data)]
        await self._send(self._stream, data)

    async def _send(self, stream: anyio.abc.SocketStream | None, data: bytes) -> None:
        with contextlib.suppress(*CONNECTION_ERRORS):
            async with self._send_lock:
                if stream:
                    await stream.send(data)


def result_body(call: str) -> bytes:
    """Returns the body that a run of this call produces."""
    return f"r:{call}".encode()
