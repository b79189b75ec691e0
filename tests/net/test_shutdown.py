"""The end of a drain, and what may come between two of its steps: docs/design/closes.md has them."""

import json
import os
import signal
import time
from collections.abc import AsyncIterator
from pathlib import Path
from unittest.mock import Mock

import anyio
import pytest
from fake_gateway import FakeGateway
from helpers import SETTINGS
from net_harness import InProcessServer, read_to_end, run_in_process, run_pending_tasks, wait_until
from server_process import IDEMPOTENCY_KEY, A, B, C, ServerProcess

from otterrudder.admission.factory import create_controller, gauge_names, parse_request_classes
from otterrudder.net import gateway_listener, serve
from otterrudder.net.core import RequestCore
from otterrudder.net.server_parts import ServerParts

pytestmark = pytest.mark.exclusive


def test_a_drain_answers_all_and_ends_with_0(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    gateway.send_request(A, "pay", dedupe=IDEMPOTENCY_KEY), gateway.send_request(B), gateway.send_request(C)
    for call in (A, B, C):
        runtime.expect_command("start", call)
    runtime.send_notice(f"wants {C}", b"?")
    records = server.accept_records()
    assert records.read_line().startswith(b"OP ")
    server.process.terminate()
    server.wait_for_log("draining: 3 in hand", lambda: runtime.answer_gauges(1))
    gateway.send_message("check")
    assert gateway.read_answer()["result"]["pass"] is False
    server.process.terminate()  # a second one changes nothing
    runtime.end_run(B)
    assert gateway.read_result() == b"done"
    assert {gateway.read_answer()["error"]["code"] for _ in "AC"} == {-32000}  # they ran, so never "declined"
    with pytest.raises(AssertionError, match="closed"):
        while True:  # what crosses the end is answered as long as the connection stands
            gateway.send_request(os.urandom(8).hex())
            assert gateway.read_answer()["error"]["code"] == -32014
    assert server.wait_for_exit() == 0
    assert server.has_logged("event=stopped unanswered=0")


def test_a_drain_before_the_runtime_is_up_ends_at_once(server: ServerProcess) -> None:
    server.connect_gateway()
    server.process.terminate()
    assert server.wait_for_exit() == 0


def test_reports_go_on_and_say_when_it_drains(server: ServerProcess) -> None:
    server.connect_all()
    assert {server.reports.recv(100) for _ in range(3)} == {b"BEAT n3 ready"}
    server.process.terminate()
    while (told := server.reports.recv(100)) == b"BEAT n3 ready":
        pass
    assert told == b"BEAT n3 draining"


def test_what_comes_with_the_last_read_is_answered_and_what_comes_after_is_not_started() -> None:
    async def play(inside: InProcessServer) -> None:
        resting, half, busy = [(await inside.connect())[0] for _ in range(3)]
        data = half.request_message(B)
        half.sock.sendall(data[:30])
        left = inside.gateways._wait_until_closed

        async def last_moment() -> None:
            inside.gateways._wait_until_closed = left
            try:
                await left()
            finally:  # the time that peers have is over; nothing runs from here to the last look
                resting.sock.sendall(resting.request_message(A))
                half.sock.sendall(data[30:])
                busy.sock.sendall(busy.request_message(C)[:50])

        inside.gateways._wait_until_closed = last_moment
        inside.dispatcher.post(inside.dispatcher.core.begin_graceful_shutdown, 0.0)  # the stop is now
        inside.group.start_soon(inside.dispatcher.run)
        await inside.gateways.run(inside.group)
        for gateway in (resting, half):
            told = [json.loads(text) for text in (await read_to_end(gateway)).splitlines()]
            assert [message.get("method") for message in told[:1]] == ["noMore"]
            assert [message["error"]["code"] for message in told[1:]] == [-32014]
        assert b"noMore" in await read_to_end(busy)  # its half was never a request
        assert not inside.runtime.started and not inside.gateways.connections

    run_in_process(play)


def test_whoever_waits_to_be_accepted_at_the_end_of_a_drain_is_answered(tmp_path: Path) -> None:
    # The table is full of connections with an open request until the stop, so those behind wait in the
    # backlog.
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 48}
    with ServerProcess(tmp_path, limits=limits) as server:
        runtime = server.accept_runtime()
        runtime.answer_gauges(2)
        room = 48 - 48 // 8 - gateway_listener.SPARE_DESCRIPTORS
        busy = [server.connect_gateway() for _ in range(room)]
        for n, gateway in enumerate(busy):
            gateway.send_request(f"{n:016x}")
        while not server.has_logged("cannot accept connections"):  # full, and none may go: those behind wait
            server.connections.append(waiting := FakeGateway(server.address))
            waiting.send_request(os.urandom(8).hex())
            busy.append(waiting)
            runtime.answer_gauges(1) if len(runtime.data) else time.sleep(0.01)
            assert len(busy) < 3 * room
        server.process.terminate()
        answered = 0
        for gateway in busy:
            told = gateway.read_answer()
            assert "error" in told
            answered += 1
        assert answered == len(busy) and server.wait_for_exit() == 0


def stopped(server: ServerProcess) -> None:
    """Held still, so that what comes now comes in one turn."""
    server.process.send_signal(signal.SIGSTOP)
    while Path(f"/proc/{server.process.pid}/stat").read_text().rsplit(")")[1].split()[0] != "T":
        time.sleep(0.001)


def test_sigterm_in_the_batch_of_ready_drains_what_it_admits(tmp_path: Path) -> None:
    with ServerProcess(tmp_path) as server:
        gateway = server.connect_gateway()
        runtime = server.accept_runtime(ready="")
        gateway.send_message("check")
        gateway.read_answer()
        stopped(server)
        runtime.send("ready hot 60000")
        gateway.send_request(A), gateway.send_request(B, "pay", dedupe=IDEMPOTENCY_KEY)
        server.process.terminate()
        server.process.send_signal(signal.SIGCONT)
        answers = {}
        for _ in range(2):  # admitted or declined, each has its answer
            told = gateway.read_answer()
            answers[told["id"]] = told
        assert len(answers) == 2
        assert server.wait_for_exit() == 0 and server.has_logged("event=stopped unanswered=0")


def test_a_runtime_that_comes_up_in_a_drain_finds_nobody() -> None:
    async def play(inside: InProcessServer) -> None:
        core = RequestCore(
            lambda now, warm, up: create_controller(now, 1, 1, SETTINGS),
            parse_request_classes(SETTINGS),
            gauge_names(SETTINGS),
        )
        inside.dispatcher.core = inside.gateways.dispatcher.core = core
        gateway, _ = await inside.connect()
        inside.dispatcher.post(core.begin_graceful_shutdown, 1500.0)
        inside.dispatcher.post(core.handle_runtime_ready, True, 60_000.0)
        inside.dispatcher.post(core.handle_link_established)
        gateway.sock.sendall(gateway.request_message(A))
        await run_pending_tasks()
        inside.group.start_soon(inside.dispatcher.run)
        await inside.gateways.run(inside.group)  # it ends by itself
        told = [json.loads(text) for text in (await read_to_end(gateway)).splitlines()]
        assert [message["error"]["code"] for message in told if "id" in message] == [-32014]
        assert not inside.runtime.started

    run_in_process(play)


def test_sigterm_between_ready_and_the_batch_that_handles_it_is_a_whole_drain() -> None:
    """It once closed at once, as nothing was up yet, while what came within the grace was still begun."""

    async def play(inside: InProcessServer) -> None:
        core = RequestCore(
            lambda now, warm, up: create_controller(now, 1, 1, SETTINGS),
            parse_request_classes(SETTINGS),
            gauge_names(SETTINGS),
        )
        inside.dispatcher.core = inside.gateways.dispatcher.core = core

        async def terminated() -> AsyncIterator[signal.Signals]:
            yield signal.SIGTERM

        parts = ServerParts(inside.dispatcher, Mock(), Mock(), inside.gateways, Mock(), None, None)
        reloader = Mock(configuration=Mock(stop_ms=1500.0))
        inside.dispatcher.post(core.handle_runtime_ready, True, 60_000.0)
        inside.dispatcher.post(core.handle_link_established)
        await serve.handle_signals(terminated(), reloader, parts)
        over = anyio.Event()

        async def run() -> None:
            await inside.gateways.run(inside.group)
            over.set()

        inside.group.start_soon(run)
        inside.group.start_soon(inside.dispatcher.run)
        gateway, _ = await inside.connect()
        gateway.sock.sendall(gateway.request_message(A))
        await wait_until(lambda: inside.runtime.started)
        shutdown_s = gateway_listener.GOAWAY_GRACE_S + gateway_listener.FINAL_WRITE_TIMEOUT_S
        await anyio.sleep(2 * shutdown_s)  # longer than a way out takes
        assert not over.is_set()
        assert "result" in await inside.finish_request(gateway, A)
        await over.wait()

    run_in_process(play)


def test_signals_in_any_order_end_in_one_drain(tmp_path: Path) -> None:
    with ServerProcess(tmp_path) as server:
        runtime, gateway = server.connect_all()
        gateway.send_request(A)
        runtime.expect_command("start", A)
        stopped(server)
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
            server.process.send_signal(number)
        server.process.send_signal(signal.SIGCONT)
        server.wait_for_log("draining: 1 in hand", lambda: runtime.answer_gauges(1))
        server.process.send_signal(signal.SIGHUP)  # while it drains
        server.process.terminate()
        runtime.end_run(A)
        assert gateway.read_result() == b"done"
        assert server.wait_for_exit() == 0 and server.has_logged("event=stopped unanswered=0")
