"""The program, started as deployed and spoken to on sockets. Tests wait for events, never for a time."""

import signal
import time
from pathlib import Path

import pytest
from server_process import IDEMPOTENCY_KEY, A, B, C, ServerProcess, complete_request

pytestmark = pytest.mark.exclusive


def test_a_request_completes_byte_for_byte_and_answers_come_in_any_order(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    complete_request(runtime, gateway, A, bytes(range(256)) * 8)
    first, second = gateway.send_request(B), gateway.send_request(C)
    runtime.expect_command("start", B), runtime.expect_command("start", C)
    runtime.end_run(C, b""), runtime.end_run(B, b"x", how="error")
    answer = gateway.read_answer()
    assert (answer["id"], answer["result"]["blob"]) == (second, "")
    failed = gateway.read_answer()
    assert failed["id"] == first and failed["error"]["code"] not in (-32014, -32700)


def test_a_retry_is_answered_from_the_first_run(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    other = server.connect_gateway()
    gateway.send_request(A, "pay", dedupe=IDEMPOTENCY_KEY)
    runtime.expect_command("start", A, "pay")
    other.send_request(B, "pay", dedupe=IDEMPOTENCY_KEY, rep=1)  # while it runs
    runtime.answer_gauges()
    runtime.end_run(A, b"paid")
    assert gateway.read_result() == other.read_result() == b"paid"
    other.send_request(C, "pay", dedupe=IDEMPOTENCY_KEY, rep=1)  # afterwards
    assert other.read_result() == b"paid"
    runtime.answer_gauges()


def test_a_restart_takes_the_same_address_from_nothing(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    gateway.send_request(A)
    runtime.expect_command("start", A)
    server.process.kill()
    server.process.wait()
    assert gateway.read_line() == b""
    server.start()
    runtime = server.accept_runtime(ready="chilly 0")
    assert runtime.synced_notice == 0
    runtime.answer_gauges()
    complete_request(runtime, server.connect_gateway(), B)


def test_a_stall_of_the_process_is_handled_before_new_work(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    gateway.send_request(A, ttl=400)
    runtime.expect_command("start", A)
    server.process.send_signal(signal.SIGSTOP)
    gateway.send_request(B, ttl=300), gateway.send_request(C)
    time.sleep(0.6)  # longer than the first two may wait: what makes them late, not what the test waits for
    server.process.send_signal(signal.SIGCONT)
    assert gateway.read_answer()["error"]["code"] == -32000  # it ran
    assert (
        gateway.read_answer()["error"]["code"] == -32014
    )  # its age counts from `recv`: none of its time is left
    runtime.expect_command("start", C)


def test_a_key_with_another_body_or_method_is_never_served(server: ServerProcess) -> None:
    # Its result was once given to whoever named the mark.
    runtime, gateway = server.connect_all()
    gateway.send_request(A, "pay", dedupe=IDEMPOTENCY_KEY), runtime.expect_command("start", A)
    gateway.send_request(B, "pay", dedupe=IDEMPOTENCY_KEY, body=b"other")
    assert gateway.read_answer()["error"]["code"] == -32602
    runtime.end_run(A, b"paid")
    assert gateway.read_result() == b"paid"
    gateway.send_request(B, "pay", dedupe=IDEMPOTENCY_KEY, body=b"other")
    assert gateway.read_answer()["error"]["code"] == -32602
    gateway.send_request(C, "pay", dedupe=IDEMPOTENCY_KEY)
    assert gateway.read_result() == b"paid"


def test_a_start_that_the_runtime_refused_leaves_its_key_free(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    gateway.send_request(B, "pay", dedupe=IDEMPOTENCY_KEY, body=b"other"), runtime.expect_command("start", B)
    runtime.send(f"nack start {B}")
    assert gateway.read_answer()["error"]["code"] == -32602
    gateway.send_request(A, "pay", dedupe=IDEMPOTENCY_KEY), runtime.expect_command("start", A)
    runtime.end_run(A, b"paid")
    assert gateway.read_result() == b"paid"


def test_without_room_for_idempotency_keys_requests_are_rejected(tmp_path: Path) -> None:
    limits = {"cores": 1.0, "memory_mb": 0.02, "sockets": 256}  # room for one result
    with ServerProcess(tmp_path, limits=limits) as server:
        runtime, gateway = server.connect_all()
        gateway.send_request(A, "pay", dedupe=IDEMPOTENCY_KEY)
        runtime.expect_command("start", A)
        gateway.send_request(B, "pay", dedupe=IDEMPOTENCY_KEY[::-1])
        assert gateway.read_answer()["error"]["code"] == -32014
        gateway.send_request(C, "pay", dedupe=IDEMPOTENCY_KEY)  # the one that is kept is still known
        runtime.end_run(A, b"paid")
        assert {gateway.read_result(), gateway.read_result()} == {b"paid"}
