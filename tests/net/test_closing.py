"""Closing a connection, and what may fall between two lines of it, the bad order forced each time.

`docs/design/closes.md` has the states."""

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

ANSWERS = 30  # longest ones: some 160 KB


IDLE_MS = 1000.0  # ms as a sweep is told them


TIMEOUTS = Timeouts(IDLE_MS)


def owe(peer: GatewayConnection) -> None:
    """Answers of the longest kind, more than the system holds for a slow reader."""
    for n in range(ANSWERS):
        peer.send(RequestCompleted(n + 1, b"r" * 4096, None))


def at_rest(peer: GatewayConnection) -> float:
    """Makes the peer one that was answered long ago and was told `noMore`; when its end is due."""
    peer.has_response, peer.goaway_at = True, 1.0
    return peer.last_activity + 2 * IDLE_MS


def sweeps(peer: GatewayConnection, due: float) -> None:
    close_if_silent(peer, due, TIMEOUTS)


def makes_room(peer: GatewayConnection, due: float) -> None:
    peer.last_activity = -1e9
    connection_reaper.make_room([peer], False)


@pytest.mark.parametrize("ends", [sweeps, makes_room])
def test_a_request_that_lies_unread_as_its_connection_is_to_end_is_served(
    ends: Callable[[GatewayConnection, float], None],
) -> None:
    async def play(server: InProcessServer) -> None:
        gateway, peer = await server.connect()
        due = at_rest(peer)
        gateway.sock.sendall(gateway.request_message(A))  # in the queue, for the loop does not run
        ends(peer, due)
        assert "result" in await server.finish_request(gateway, A)

    run_in_process(play)


@pytest.mark.parametrize("ends", [sweeps, makes_room])
def test_a_partial_request_that_lies_unread_keeps_its_connection(
    ends: Callable[[GatewayConnection, float], None],
) -> None:
    async def play(server: InProcessServer) -> None:
        gateway, peer = await server.connect()
        due, data = at_rest(peer), gateway.request_message(A)
        gateway.sock.sendall(data[:40])
        ends(peer, due)
        await run_pending_tasks()
        gateway.sock.sendall(data[40:])
        assert "result" in await server.finish_request(gateway, A)

    run_in_process(play)


def test_a_partial_request_after_a_rest_is_no_old_one(monkeypatch: pytest.MonkeyPatch) -> None:
    # Its age was once counted from the last whole message, so it was cut off at the next look.
    async def play(server: InProcessServer) -> None:
        monkeypatch.setattr(connection_reaper, "PARTIAL_MESSAGE_TIMEOUT_MS", 50.0)
        gateway, peer = await server.connect()
        gateway.sock.sendall(gateway.request_message(A))
        await server.finish_request(gateway, A)
        await anyio.sleep(0.06)  # the rest, longer than a half may last
        data, before = gateway.request_message(B), peer.last_activity
        gateway.sock.sendall(data[:40])
        await wait_until(lambda: peer.last_activity > before)
        close_if_silent(peer, peer.last_activity, Timeouts(1e9))  # in the moment in which it came
        await run_pending_tasks()
        gateway.sock.sendall(data[40:])
        assert "result" in await server.finish_request(gateway, B)

    run_in_process(play)


def test_a_dripping_message_is_cut_off_though_more_of_it_always_lies_unread() -> None:
    async def play(server: InProcessServer) -> None:
        gateway, peer = await server.connect()
        at_rest(peer)
        data = gateway.request_message(A)
        gateway.sock.sendall(data[:40])
        await wait_until(lambda: peer.partial_since < 1e300)
        gateway.sock.sendall(data[40:50])
        due = peer.partial_since + connection_reaper.PARTIAL_MESSAGE_TIMEOUT_MS + 1.0
        close_if_silent(peer, due, TIMEOUTS)
        assert await read_to_end(gateway) == b""

    run_in_process(play)


def test_what_a_slow_reader_is_owed_outlasts_its_rest() -> None:
    async def play(server: InProcessServer) -> None:
        gateway, peer = await server.connect(small=True)
        owe(peer)
        await run_pending_tasks()
        assert peer.stream.unsent_bytes  # it does not read
        close_if_silent(peer, at_rest(peer), TIMEOUTS)
        makes_room(peer, 0.0)
        assert not peer.stream.end_reason  # nor is it on its way out, which is bounded
        for _ in range(ANSWERS):
            assert len((await read_answer(gateway))["result"]["blob"]) > 5000
        close_if_silent(peer, clock.monotonic() + 1e6, TIMEOUTS)
        assert not await read_to_end(gateway)

    run_in_process(play)


def test_a_gateway_that_never_reads_is_aborted_at_last() -> None:
    async def play(server: InProcessServer) -> None:
        _, peer = await server.connect()
        peer.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        peer.stream.send([b"x" * 400_000])
        await run_pending_tasks()
        close_if_silent(peer, clock.monotonic() + connection_reaper.READ_TIMEOUT_MS - 1000.0, TIMEOUTS)
        assert not peer.stream.end_reason
        close_if_silent(peer, clock.monotonic() + connection_reaper.READ_TIMEOUT_MS + 1.0, TIMEOUTS)
        await wait_until(lambda: not server.gateways.connections)

    run_in_process(play)


def test_a_close_over_unread_bytes_is_no_reset_and_answers_come_whole() -> None:
    # 30 KB of wrong lines: most of them lie unread as the sixth ends the connection.
    async def play(server: InProcessServer) -> None:
        gateway, _ = await server.connect()
        gateway.sock.sendall(gateway.request_message(A) + b"{\n" * 15_000)
        await wait_until(lambda: server.run_batch() and server.runtime.started == [A])
        gateway.sock.sendall(gateway.request_message(B))  # after the last wrong one: never reported
        server.dispatcher.post(server.dispatcher.core.handle_run_ended, A, Outcome.OK, b"r" * 4096)
        server.dispatcher.run_batch()
        lines = (await read_to_end(gateway)).splitlines()
        assert not gateway.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        assert len(lines) == gateway_connection.MAX_PROTOCOL_ERRORS + 1 and json.loads(lines[-1])["id"] == 1
        server.dispatcher.run_batch()
        assert server.runtime.started == [A]

    run_in_process(play)


def test_owed_answers_of_a_connection_with_too_many_wrong_messages_are_not_cut_in_half() -> None:
    async def play(server: InProcessServer) -> None:
        gateway, peer = await server.connect(small=True)
        owe(peer)
        gateway.sock.sendall(b"{\n" * 10)
        await wait_until(lambda: peer.stream.end_reason)
        assert peer.stream.unsent_bytes
        told = [json.loads(text) for text in (await read_to_end(gateway)).splitlines()]
        assert sum("result" in message for message in told) == ANSWERS

    run_in_process(play)


def test_nobody_who_neither_reads_nor_closes_and_no_flood_holds_up_a_close() -> None:
    async def play(server: InProcessServer) -> None:
        deaf, deaf_peer = await server.connect()
        deaf_peer.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        deaf_peer.stream.send([b"x" * 400_000])
        floods = [await server.connect() for _ in range(2)]
        began = time.monotonic()
        deaf_peer.stream.close("test", 0.1)
        floods[0][1].stream.close("test", 0.1)
        floods[1][1].stream.close("test", 60.0)  # the bound of bytes ends it

        async def pour(flood: FakeGateway, peer: GatewayConnection) -> None:
            flood.sock.setblocking(False)
            while peer in server.gateways.connections:
                with contextlib.suppress(BlockingIOError):
                    flood.sock.send(b"x" * 65536)
                await anyio.sleep(0)

        async with anyio.create_task_group() as pouring:
            for flood, peer in floods:
                pouring.start_soon(pour, flood, peer)
        await wait_until(lambda: not server.gateways.connections)
        assert time.monotonic() - began < 5.0  # 0.1 s, on a busy machine
        deaf.close()

    run_in_process(play)


def test_a_connection_that_is_owed_an_answer_keeps_no_room_from_being_made() -> None:
    # It is on its way out as long as its request runs; the others were once not asked meanwhile.
    async def play(server: InProcessServer) -> None:
        owed, owed_peer = await server.connect()
        owed.sock.sendall(owed.request_message(A) + b"{\n" * 6)
        await wait_until(
            lambda: owed_peer.stream.end_reason and server.run_batch() and server.runtime.started
        )
        resting = [await server.connect() for _ in range(server.gateways.max_connections - 1)]
        for _, peer in resting:
            peer.last_activity = -1e9
        newcomer = FakeGateway(server.gateways.sock.getsockname())
        newcomer.sock.sendall(newcomer.request_message(B))
        server.group.start_soon(server.gateways._accept, server.group)
        assert "result" in await server.finish_request(newcomer, B)
        assert owed_peer in server.gateways.connections
        server.dispatcher.post(server.dispatcher.core.handle_run_ended, A, Outcome.OK, b"done")
        server.dispatcher.run_batch()
        assert b"result" in await read_to_end(owed)

    run_in_process(play, max_descriptors=gateway_listener.SPARE_DESCRIPTORS + 10)


def test_a_connection_that_is_over_leaves_nothing_to_the_collector() -> None:
    async def play(server: InProcessServer) -> None:
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

    run_in_process(play)
