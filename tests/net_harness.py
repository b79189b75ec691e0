"""The server's parts in the test's own process, on real loopback connections.

Nothing of the server runs between two lines of a test unless the test waits."""

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
    """Takes what the core sends to the runtime."""

    def __init__(self) -> None:
        self.started: list[str] = []

    def send(self, message: RuntimeMessage) -> None:
        if isinstance(message, StartRun):
            self.started.append(message.request_id)


class InProcessServer:
    """The dispatcher, the listener and a stand-in of the runtime, in this process; its turns are the
    test's own."""

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
        """A connection, and its peer once it is served; `small`: the system holds next to nothing for it."""
        before = set(self.gateways.connections)
        gateway = FakeGateway(self.gateways.sock.getsockname(), receive_buffer=2048 if small else 0)
        self.gateways._accept_some(self.group)
        (peer,) = self.gateways.connections - before
        if small:
            peer.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        await run_pending_tasks()
        return gateway, peer

    async def finish_request(
        self, gateway: FakeGateway, call: str, body: bytes = b"done", **more: object
    ) -> dict:
        """Takes the one start that is there or to come, ends it, and hands over the answer."""
        await wait_until(lambda: self.run_batch() and call in self.runtime.started)
        self.dispatcher.post(self.dispatcher.core.handle_run_ended, call, Outcome.OK, body)
        self.dispatcher.run_batch()
        return await read_answer(gateway)

    def run_batch(self) -> bool:
        self.dispatcher.run_batch()
        return True


def run_in_process(test: Callable[[InProcessServer], Awaitable[None]], **told: int) -> None:
    async def play() -> None:
        async with anyio.create_task_group() as group:
            with anyio.fail_after(20):
                server = InProcessServer(group, **told)
                try:
                    await test(server)
                finally:
                    server.gateways.sock.close()
            group.cancel_scope.cancel()

    anyio.run(play)


async def run_pending_tasks() -> None:
    """Whoever can go on does, until nobody can."""
    for _ in range(20):
        await anyio.sleep(0)


async def wait_until(true: Callable[[], object]) -> None:
    while not true():
        await anyio.sleep(0.001)


async def read_line(gateway: FakeGateway) -> bytes:
    return await anyio.to_thread.run_sync(gateway.read_line)


async def read_answer(gateway: FakeGateway) -> dict:
    return await anyio.to_thread.run_sync(gateway.read_answer)


async def read_to_end(gateway: FakeGateway) -> bytes:
    """The rest up to an orderly end; a reset raises."""

    def read() -> bytes:
        data, gateway.data = gateway.data, b""
        while more := gateway.sock.recv(65536):
            data += more
        return data

    return await anyio.to_thread.run_sync(read)
