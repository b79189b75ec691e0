"""Closing a connection while requests or answers are under way. Each test forces the unfavourable order of
events.

`docs/design/closes.md` describes the states."""

import contextlib
import gc
import json
import socket
import time
import weakref
from collections.abc import Callable

import anyio
import pytest
from fake_gateway import FakeGateway
from net_harness import (
    InProcessServer,
    read_answer,
    read_to_end,
    run_in_process,
    run_pending_tasks,
    wait_until,
)
from server_process import A, B

from otterrudder import clock
from otterrudder.admission.interface import Outcome
from otterrudder.net import connection_reaper, gateway_connection, gateway_listener
from otterrudder.net.connection_reaper import Timeouts, close_if_silent
from otterrudder.net.gateway_connection import GatewayConnection
from otterrudder.net.messages import (
    RequestCompleted,
)

pytestmark = pytest.mark.exclusive

ANSWERS = 30  # answers of maximum length, about 160 KB together
IDLE_MS = 1000.0  # idle timeout of a sweep
TIMEOUTS = Timeouts(IDLE_MS)


def send_long_answers(peer: GatewayConnection) -> None:
    """Sends answers of maximum length, more than the socket buffers hold for a slow reader."""
    for n in range(ANSWERS):
        peer.send(RequestCompleted(n + 1, b"r" * 4096, None))


def make_idle(peer: GatewayConnection) -> float:
    """Marks the connection as answered long ago and sent `noMore`. Returns the time at which a sweep closes
    it."""
    peer.has_response, peer.goaway_at = True, 1.0
    return peer.last_activity + 2 * IDLE_MS


def close_if_idle(peer: GatewayConnection, due: float) -> None:
    close_if_silent(peer, due, TIMEOUTS)


def close_to_make_room(peer: GatewayConnection, due: float) -> None:
    peer.last_activity = -1e9
    connection_reaper.make_room([peer], False)


@pytest.mark.parametrize("close", [close_if_idle, close_to_make_room])
def test_unread_request_on_closing_connection_is_answered(
    close: Callable[[GatewayConnection, float], None],
) -> None:
    async def scenario(server: InProcessServer) -> None:
        gateway, peer = await server.connect()
        due = make_idle(peer)
        gateway.sock.sendall(gateway.request_message(A))  # unread, because the event loop does not run
        close(peer, due)
        assert "result" in await server.finish_request(gateway, A)

    run_in_process(scenario)


@pytest.mark.parametrize("close", [close_if_idle, close_to_make_room])
def test_unread_partial_request_keeps_connection_open(
    close: Callable[[GatewayConnection, float], None],
) -> None:
    async def scenario(server: InProcessServer) -> None:
        gateway, peer = await server.connect()
        due, data = make_idle(peer), gateway.request_message(A)
        gateway.sock.sendall(data[:40])
        close(peer, due)
        await run_pending_tasks()
        gateway.sock.sendall(data[40:])
        assert "result" in await server.finish_request(gateway, A)

    run_in_process(scenario)


def test_partial_request_age_excludes_preceding_idle_time(monkeypatch: pytest.MonkeyPatch) -> None:
    # If the age counts from the last complete message, the next sweep closes the connection.
    async def scenario(server: InProcessServer) -> None:
        monkeypatch.setattr(connection_reaper, "PARTIAL_MESSAGE_TIMEOUT_MS", 50.0)
        gateway, peer = await server.connect()
        gateway.sock.sendall(gateway.request_message(A))
        await server.finish_request(gateway, A)
        await anyio.sleep(0.06)  # idle for longer than the timeout of a partial message
        data, before = gateway.request_message(B), peer.last_activity
        gateway.sock.sendall(data[:40])
        await wait_until(lambda: peer.last_activity > before)
        close_if_silent(peer, peer.last_activity, Timeouts(1e9))  # at the time of its arrival
        await run_pending_tasks()
        gateway.sock.sendall(data[40:])
        assert "result" in await server.finish_request(gateway, B)

    run_in_process(scenario)


def test_slowly_sent_message_is_closed_despite_unread_bytes() -> None:
    async def scenario(server: InProcessServer) -> None:
        gateway, peer = await server.connect()
        make_idle(peer)
        data = gateway.request_message(A)
        gateway.sock.sendall(data[:40])
        await wait_until(lambda: peer.partial_since < 1e300)
        gateway.sock.sendall(data[40:50])
        due = peer.partial_since + connection_reaper.PARTIAL_MESSAGE_TIMEOUT_MS + 1.0
        close_if_silent(peer, due, TIMEOUTS)
        assert await read_to_end(gateway) == b""

    run_in_process(scenario)


def test_idle_connection_with_unread_answers_stays_open() -> None:
    async def scenario(server: InProcessServer) -> None:
        gateway, peer = await server.connect(small=True)
        send_long_answers(peer)
        await run_pending_tasks()
        assert peer.stream.unsent_bytes  # the gateway does not read
        close_if_silent(peer, make_idle(peer), TIMEOUTS)
        close_to_make_room(peer, 0.0)
        assert not peer.stream.end_reason  # closing would limit the time for its answers
        for _ in range(ANSWERS):
            assert len((await read_answer(gateway))["result"]["blob"]) > 5000
        close_if_silent(peer, clock.monotonic() + 1e6, TIMEOUTS)
        assert not await read_to_end(gateway)

    run_in_process(scenario)


def test_gateway_that_never_reads_is_aborted_after_timeout() -> None:
    async def scenario(server: InProcessServer) -> None:
        _, peer = await server.connect()
        peer.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        peer.stream.send([b"x" * 400_000])
        await run_pending_tasks()
        close_if_silent(peer, clock.monotonic() + connection_reaper.READ_TIMEOUT_MS - 1000.0, TIMEOUTS)
        assert not peer.stream.end_reason
        close_if_silent(peer, clock.monotonic() + connection_reaper.READ_TIMEOUT_MS + 1.0, TIMEOUTS)
        await wait_until(lambda: not server.gateways.connections)

    run_in_process(scenario)


def test_close_with_unread_input_does_not_reset_or_truncate_answers() -> None:
    # Of 30 KB of invalid lines, most are unread when the sixth closes the connection.
    async def scenario(server: InProcessServer) -> None:
        gateway, _ = await server.connect()
        gateway.sock.sendall(gateway.request_message(A) + b"{\n" * 15_000)
        await wait_until(lambda: server.run_batch() and server.runtime.started == [A])
        gateway.sock.sendall(gateway.request_message(B))  # after the close: not processed
        server.dispatcher.post(server.dispatcher.core.handle_run_ended, A, Outcome.OK, b"r" * 4096)
        server.dispatcher.run_batch()
        lines = (await read_to_end(gateway)).splitlines()
        assert not gateway.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        assert len(lines) == gateway_connection.MAX_PROTOCOL_ERRORS + 1 and json.loads(lines[-1])["id"] == 1
        server.dispatcher.run_batch()
        assert server.runtime.started == [A]

    run_in_process(scenario)


def test_answers_before_too_many_invalid_messages_are_not_truncated() -> None:
    async def scenario(server: InProcessServer) -> None:
        gateway, peer = await server.connect(small=True)
        send_long_answers(peer)
        gateway.sock.sendall(b"{\n" * 10)
        await wait_until(lambda: peer.stream.end_reason)
        assert peer.stream.unsent_bytes
        messages = [json.loads(line) for line in (await read_to_end(gateway)).splitlines()]
        assert sum("result" in message for message in messages) == ANSWERS

    run_in_process(scenario)


def test_peer_that_never_reads_or_floods_does_not_delay_close() -> None:
    async def scenario(server: InProcessServer) -> None:
        stalled, stalled_peer = await server.connect()
        stalled_peer.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        stalled_peer.stream.send([b"x" * 400_000])
        floods = [await server.connect() for _ in range(2)]
        started_at = time.monotonic()
        stalled_peer.stream.close("test", 0.1)
        floods[0][1].stream.close("test", 0.1)
        floods[1][1].stream.close("test", 60.0)  # ended by the limit of discarded bytes

        async def send_flood(flood: FakeGateway, peer: GatewayConnection) -> None:
            flood.sock.setblocking(False)
            while peer in server.gateways.connections:
                with contextlib.suppress(BlockingIOError):
                    flood.sock.send(b"x" * 65536)
                await anyio.sleep(0)

        async with anyio.create_task_group() as flood_group:
            for flood, peer in floods:
                flood_group.start_soon(send_flood, flood, peer)
        await wait_until(lambda: not server.gateways.connections)
        assert time.monotonic() - started_at < 5.0  # 0.1 s unless the machine is busy
        stalled.close()

    run_in_process(scenario)


def test_closing_connection_with_open_request_does_not_block_making_room() -> None:
    # The connection is closing for as long as its request runs. Meanwhile idle connections must make room.
    async def scenario(server: InProcessServer) -> None:
        closing, closing_peer = await server.connect()
        closing.sock.sendall(closing.request_message(A) + b"{\n" * 6)
        await wait_until(
            lambda: closing_peer.stream.end_reason and server.run_batch() and server.runtime.started
        )
        idle = [await server.connect() for _ in range(server.gateways.max_connections - 1)]
        for _, peer in idle:
            peer.last_activity = -1e9
        newcomer = FakeGateway(server.gateways.sock.getsockname())
        newcomer.sock.sendall(newcomer.request_message(B))
        server.group.start_soon(server.gateways._accept, server.group)
        assert "result" in await server.finish_request(newcomer, B)
        assert closing_peer in server.gateways.connections
        server.dispatcher.post(server.dispatcher.core.handle_run_ended, A, Outcome.OK, b"done")
        server.dispatcher.run_batch()
        assert b"result" in await read_to_end(closing)

    run_in_process(scenario, max_descriptors=gateway_listener.SPARE_DESCRIPTORS + 10)


def test_ended_connection_is_freed_without_garbage_collection() -> None:
    async def scenario(server: InProcessServer) -> None:
        gc.disable()
        try:
            gateway, peer = await server.connect()
            gateway.sock.sendall(gateway.request_message(A))
            await server.finish_request(gateway, A)
            gateway.close()
            ended_connection = weakref.ref(peer)
            del peer
            await wait_until(lambda: not server.gateways.connections)
            server.dispatcher.run_batch()
            await run_pending_tasks()
            assert ended_connection() is None
        finally:
            gc.enable()

    run_in_process(scenario)
