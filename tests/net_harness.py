"""The server's parts in the process of the test, on real loopback connections.

The server's code runs only while the test awaits something, or calls it."""

import socket
from collections.abc import Awaitable, Callable

import anyio
from fake_gateway import FakeGateway
from helpers import SETTINGS

from otterrudder.admission.factory import create_controller, gauge_names, parse_request_classes
from otterrudder.admission.interface import Outcome
from otterrudder.net.core import RequestCore
from otterrudder.net.dispatcher import Dispatcher
from otterrudder.net.gateway_connection import GatewayConnection
from otterrudder.net.gateway_listener import GatewayListener
from otterrudder.net.messages import (
    Destination,
    RuntimeMessage,
    StartRun,
)


class RuntimeRecorder:
    """Records the requests that the core starts at the runtime."""

    def __init__(self) -> None:
        self.started: list[str] = []

    def send(self, message: RuntimeMessage) -> None:
        if isinstance(message, StartRun):
            self.started.append(message.request_id)


class InProcessServer:
    """A dispatcher, a listener and a recorder in place of the runtime, in this process. The test runs the
    batches of the dispatcher."""

    def __init__(self, group: anyio.abc.TaskGroup, max_descriptors: int = 256) -> None:
        self.group, self.runtime = group, RuntimeRecorder()
        core = RequestCore(
            lambda now, warm, up: create_controller(now, 1, 1, SETTINGS, is_cold_start=False),
            parse_request_classes(SETTINGS),
            gauge_names(SETTINGS),
        )
        self.dispatcher = Dispatcher(core)
        self.gateways = GatewayListener(
            self.dispatcher, ("127.0.0.1", 0), max_descriptors, {"north": 0, "south": 1}
        )
        self.dispatcher.recipients |= {
            Destination.RUNTIME: self.runtime,
            Destination.GATEWAYS: self.gateways,
        }
        self.dispatcher.post(core.handle_runtime_ready, True, 60_000.0)
        self.dispatcher.post(core.handle_link_established)
        self.dispatcher.run_batch()

    async def connect(self, small: bool = False) -> tuple[FakeGateway, GatewayConnection]:
        """Connects a gateway and returns both ends of the connection, the server's end being served. With
        `small` the socket buffers have the minimum size."""
        before = set(self.gateways.connections)
        gateway = FakeGateway(self.gateways.sock.getsockname(), receive_buffer=2048 if small else 0)
        self.gateways._accept_some(self.group)
        (peer,) = self.gateways.connections - before
        if small:
            peer.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        await run_pending_tasks()
        return gateway, peer

    async def finish_request(self, gateway: FakeGateway, call: str, body: bytes = b"done") -> dict:
        """Waits for the start of a request, ends its run, and returns the answer."""
        await wait_until(lambda: self.run_batch() and call in self.runtime.started)
        self.dispatcher.post(self.dispatcher.core.handle_run_ended, call, Outcome.OK, body)
        self.dispatcher.run_batch()
        return await read_answer(gateway)

    def run_batch(self) -> bool:
        self.dispatcher.run_batch()
        return True


def run_in_process(test: Callable[[InProcessServer], Awaitable[None]], **options: int) -> None:
    async def scenario() -> None:
        async with anyio.create_task_group() as group:
            with anyio.fail_after(20):
                server = InProcessServer(group, **options)
                try:
                    await test(server)
                finally:
                    server.gateways.sock.close()
            group.cancel_scope.cancel()

    anyio.run(scenario)


async def run_pending_tasks() -> None:
    """Yields to the event loop often enough that all tasks that can continue do."""
    for _ in range(20):
        await anyio.sleep(0)


async def wait_until(condition: Callable[[], object]) -> None:
    while not condition():
        await anyio.sleep(0.001)


async def read_line(gateway: FakeGateway) -> bytes:
    return await anyio.to_thread.run_sync(gateway.read_line)


async def read_answer(gateway: FakeGateway) -> dict:
    return await anyio.to_thread.run_sync(gateway.read_answer)


async def read_to_end(gateway: FakeGateway) -> bytes:
    """Reads until the server closes the connection. Raises ConnectionError if it is reset."""

    def read() -> bytes:
        data, gateway.data = gateway.data, b""
        while more := gateway.sock.recv(65536):
            data += more
        return data

    return await anyio.to_thread.run_sync(read)
