"""The end of a drain, and events that occur between its steps. docs/design/closes.md describes the steps."""

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


def test_drain_answers_all_requests_and_exits_with_0(server: ServerProcess) -> None:
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
    server.process.terminate()  # a second SIGTERM has no effect
    runtime.end_run(B)
    assert gateway.read_result() == b"done"
    assert {gateway.read_answer()["error"]["code"] for _ in "AC"} == {
        -32000
    }  # they ran, so they must not be rejected
    with pytest.raises(AssertionError, match="the server closed the connection"):
        while True:  # requests that cross the close are answered while the connection is open
            gateway.send_request(os.urandom(8).hex())
            assert gateway.read_answer()["error"]["code"] == -32014
    assert server.wait_for_exit() == 0
    assert server.has_logged("event=stopped unanswered=0")


def test_drain_before_runtime_is_up_ends_at_once(server: ServerProcess) -> None:
    server.connect_gateway()
    server.process.terminate()
    assert server.wait_for_exit() == 0


def test_reports_continue_during_drain_with_state_draining(server: ServerProcess) -> None:
    server.connect_all()
    assert {server.reports.recv(100) for _ in range(3)} == {b"BEAT n3 ready"}
    server.process.terminate()
    while (report := server.reports.recv(100)) == b"BEAT n3 ready":
        pass
    assert report == b"BEAT n3 draining"


def test_requests_in_the_last_read_are_answered_and_not_started() -> None:
    async def scenario(server: InProcessServer) -> None:
        idle, partial, unfinished = [(await server.connect())[0] for _ in range(3)]
        data = partial.request_message(B)
        partial.sock.sendall(data[:30])
        wait_until_closed = server.gateways._wait_until_closed

        async def send_after_grace() -> None:
            server.gateways._wait_until_closed = wait_until_closed
            try:
                await wait_until_closed()
            finally:  # the grace is over, and no other task runs until the last read
                idle.sock.sendall(idle.request_message(A))
                partial.sock.sendall(data[30:])
                unfinished.sock.sendall(unfinished.request_message(C)[:50])

        server.gateways._wait_until_closed = send_after_grace
        server.dispatcher.post(server.dispatcher.core.begin_graceful_shutdown, 0.0)  # no time left
        server.group.start_soon(server.dispatcher.run)
        await server.gateways.run(server.group)
        for gateway in (idle, partial):
            messages = [json.loads(line) for line in (await read_to_end(gateway)).splitlines()]
            assert [message.get("method") for message in messages[:1]] == ["noMore"]
            assert [message["error"]["code"] for message in messages[1:]] == [-32014]
        assert b"noMore" in await read_to_end(unfinished)  # the partial message is not answered
        assert not server.runtime.started and not server.gateways.connections

    run_in_process(scenario)


def test_connections_in_the_backlog_at_end_of_drain_are_answered(tmp_path: Path) -> None:
    # Connections with open requests use the whole connection limit until the stop, so later ones wait in the
    # backlog.
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 48}
    with ServerProcess(tmp_path, limits=limits) as server:
        runtime = server.accept_runtime()
        runtime.answer_gauges(2)
        max_connections = 48 - 48 // 8 - gateway_listener.SPARE_DESCRIPTORS
        busy = [server.connect_gateway() for _ in range(max_connections)]
        for n, gateway in enumerate(busy):
            gateway.send_request(f"{n:016x}")
        while not server.has_logged(
            "cannot accept connections"
        ):  # the limit is reached, and no connection may be closed
            server.connections.append(waiting := FakeGateway(server.address))
            waiting.send_request(os.urandom(8).hex())
            busy.append(waiting)
            runtime.answer_gauges(1) if len(runtime.data) else time.sleep(0.01)
            assert len(busy) < 3 * max_connections
        server.process.terminate()
        answered = 0
        for gateway in busy:
            answer = gateway.read_answer()
            assert "error" in answer
            answered += 1
        assert answered == len(busy) and server.wait_for_exit() == 0


def pause_process(server: ServerProcess) -> None:
    """Pauses the process, so that it handles all events until SIGCONT in one batch."""
    server.process.send_signal(signal.SIGSTOP)
    while Path(f"/proc/{server.process.pid}/stat").read_text().rsplit(")")[1].split()[0] != "T":
        time.sleep(0.001)


def test_sigterm_in_same_batch_as_ready_answers_all_requests(tmp_path: Path) -> None:
    with ServerProcess(tmp_path) as server:
        gateway = server.connect_gateway()
        runtime = server.accept_runtime(ready="")
        gateway.send_message("check")
        gateway.read_answer()
        pause_process(server)
        runtime.send("ready hot 60000")
        gateway.send_request(A), gateway.send_request(B, "pay", dedupe=IDEMPOTENCY_KEY)
        server.process.terminate()
        server.process.send_signal(signal.SIGCONT)
        answers = {}
        for _ in range(2):  # admitted or rejected, each request gets an answer
            answer = gateway.read_answer()
            answers[answer["id"]] = answer
        assert len(answers) == 2
        assert server.wait_for_exit() == 0 and server.has_logged("event=stopped unanswered=0")


def test_no_request_starts_if_runtime_comes_up_during_drain() -> None:
    async def scenario(server: InProcessServer) -> None:
        core = RequestCore(
            lambda now, warm, up: create_controller(now, 1, 1, SETTINGS),
            parse_request_classes(SETTINGS),
            gauge_names(SETTINGS),
        )
        server.dispatcher.core = server.gateways.dispatcher.core = core
        gateway, _ = await server.connect()
        server.dispatcher.post(core.begin_graceful_shutdown, 1500.0)
        server.dispatcher.post(core.handle_runtime_ready, True, 60_000.0)
        server.dispatcher.post(core.handle_link_established)
        gateway.sock.sendall(gateway.request_message(A))
        await run_pending_tasks()
        server.group.start_soon(server.dispatcher.run)
        await server.gateways.run(server.group)  # the drain ends by itself
        messages = [json.loads(line) for line in (await read_to_end(gateway)).splitlines()]
        assert [message["error"]["code"] for message in messages if "id" in message] == [-32014]
        assert not server.runtime.started

    run_in_process(scenario)


def test_sigterm_before_batch_with_ready_causes_complete_drain() -> None:
    """Without the controller the server must not close at once, because requests that arrive within the grace
    are still started."""

    async def scenario(server: InProcessServer) -> None:
        core = RequestCore(
            lambda now, warm, up: create_controller(now, 1, 1, SETTINGS),
            parse_request_classes(SETTINGS),
            gauge_names(SETTINGS),
        )
        server.dispatcher.core = server.gateways.dispatcher.core = core

        async def sigterm() -> AsyncIterator[signal.Signals]:
            yield signal.SIGTERM

        parts = ServerParts(server.dispatcher, Mock(), Mock(), server.gateways, Mock(), None, None)
        reloader = Mock(configuration=Mock(stop_ms=1500.0))
        server.dispatcher.post(core.handle_runtime_ready, True, 60_000.0)
        server.dispatcher.post(core.handle_link_established)
        await serve.handle_signals(sigterm(), reloader, parts)
        closed = anyio.Event()

        async def run() -> None:
            await server.gateways.run(server.group)
            closed.set()

        server.group.start_soon(run)
        server.group.start_soon(server.dispatcher.run)
        gateway, _ = await server.connect()
        gateway.sock.sendall(gateway.request_message(A))
        await wait_until(lambda: server.runtime.started)
        shutdown_s = gateway_listener.GOAWAY_GRACE_S + gateway_listener.FINAL_WRITE_TIMEOUT_S
        await anyio.sleep(2 * shutdown_s)  # longer than the close takes
        assert not closed.is_set()
        assert "result" in await server.finish_request(gateway, A)
        await closed.wait()

    run_in_process(scenario)


def test_signals_in_any_order_cause_one_drain(tmp_path: Path) -> None:
    with ServerProcess(tmp_path) as server:
        runtime, gateway = server.connect_all()
        gateway.send_request(A)
        runtime.expect_command("start", A)
        pause_process(server)
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
            server.process.send_signal(number)
        server.process.send_signal(signal.SIGCONT)
        server.wait_for_log("draining: 1 in hand", lambda: runtime.answer_gauges(1))
        server.process.send_signal(signal.SIGHUP)  # it arrives during the drain
        server.process.terminate()
        runtime.end_run(A)
        assert gateway.read_result() == b"done"
        assert server.wait_for_exit() == 0 and server.has_logged("event=stopped unanswered=0")
