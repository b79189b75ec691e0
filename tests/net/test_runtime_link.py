"""The link to the runtime: lost, made anew, moved, and spoken nonsense on."""

import os
import socket
import subprocess
from pathlib import Path

import pytest
from helpers import ROOT, RUN, SETTINGS
from server_process import IDEMPOTENCY_KEY, A, B, C, ServerProcess, complete_request

from otterrudder.cli.migrate import migrate_settings

pytestmark = pytest.mark.exclusive


def test_a_runtime_that_comes_up_late_refuses_the_gauges_and_starts_cold(server: ServerProcess) -> None:
    # A restarted server once ran nothing: its question for the end of the replay came before `ready`.
    gateway = server.connect_gateway()
    check = gateway.send_message("check")
    assert gateway.read_answer() == {"jsonrpc": "2.0", "id": check, "result": {"pass": False}}
    gateway.send_request(A)
    assert gateway.read_answer()["error"]["code"] == -32014
    runtime = server.accept_runtime(ready="")
    runtime.sock.settimeout(0.3)
    with pytest.raises(TimeoutError):
        runtime.read_line()  # nothing is asked before `ready`
    runtime.sock.settimeout(20)
    runtime.send("ready chilly 0")
    runtime.answer_gauges(3)
    gateway.send_message("check")
    assert gateway.read_answer()["result"]["pass"] is True
    complete_request(runtime, gateway, B)


@pytest.mark.parametrize("cut", [b"end 2 ", f"end 2 {A} complete 3.5 40\r\nhalf of".encode()])
def test_a_lost_runtime_link_is_made_anew_and_replayed(server: ServerProcess, cut: bytes) -> None:
    runtime, gateway = server.connect_all()
    gateway.send_request(A, "pay", dedupe=IDEMPOTENCY_KEY), gateway.send_request(B)
    runtime.expect_command("start", A), runtime.expect_command("start", B)
    runtime.answer_gauges()  # proves that both starts were read
    runtime.send_notice("info hello there")
    runtime.sock.sendall(cut)
    runtime.close()
    runtime = server.accept_runtime(missed=[(f"end {A} complete 3.5", b"a" * 40)])
    assert runtime.synced_notice == 1 and gateway.read_result() == b"a" * 40
    runtime.answer_gauges()
    runtime.end_run(B, b"b")  # it ran on and was not started again
    assert gateway.read_result() == b"b"
    complete_request(runtime, gateway, C)


def test_after_a_lost_link_only_what_has_no_effect_is_started_again(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    runtime.ignores_gauges = True  # so nothing proves that the starts were read
    gateway.send_request(A, "pay", dedupe=IDEMPOTENCY_KEY), gateway.send_request(B)
    runtime.expect_command("start", A), runtime.expect_command("start", B)
    runtime.close()
    runtime = server.accept_runtime()
    runtime.expect_command("start", B)
    runtime.answer_gauges()
    runtime.end_run(B)
    assert gateway.read_answer()["id"] == 2
    gateway.send_message(
        "interrupt", call=A
    )  # answered or left, a start tells how it stands and does no harm
    runtime.expect_command("start", A)
    runtime.end_run(A, b"", how="unknown")
    complete_request(runtime, gateway, C)


def test_a_reply_that_comes_without_a_link_is_given_on_the_next(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    gateway.send_request(A)
    runtime.expect_command("start", A)
    runtime.send_notice(f"wants {A}", b"?")
    records = server.accept_records()
    records.read_line(), records.read_body(1)
    server.runtimes.close()
    runtime.close()
    server.wait_for_log("cannot connect to the runtime")
    records.send(f"{A} DONE", b"row!")
    gateway.send_message("check")
    assert gateway.read_answer()["result"]["pass"] is True
    server.runtimes = socket.create_server(server.runtime_address)
    server.runtimes.settimeout(20)
    runtime = server.accept_runtime()
    runtime.send("nack gauges replayed")  # refused once more: a link of its own is made for it
    runtime = server.accept_runtime()
    assert runtime.expect_command("give", A)[1] == b"row!"
    runtime.end_run(A)
    assert gateway.read_result() == b"done"


def test_starts_decided_without_a_link_go_out_with_the_next(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    server.runtimes.close()
    runtime.close()
    server.wait_for_log(
        "runtime link lost"
    )  # a start on a link that dies unseen is in doubt, which is another test
    gateway.send_request(A, "pay", dedupe=IDEMPOTENCY_KEY)
    gateway.send_message("check")
    assert gateway.read_answer()["result"]["pass"] is True  # it has read the request before
    server.runtimes = socket.create_server(server.runtime_address)
    server.runtimes.settimeout(20)
    runtime = server.accept_runtime()
    runtime.expect_command("start", A, "pay")
    runtime.end_run(A)
    assert gateway.read_result() == b"done"


@pytest.mark.parametrize(
    "junk",
    [
        "what is this",
        f"end x {A} complete 1 0\r\n",
        f"end 1 {A} complete 1 99999999",
        "wants 1",
        f"end 7 {A} complete 1 0\r\n",
        "\xff",
        "x" * 5000,
    ],
    ids=range(7),
)
def test_a_runtime_that_breaks_the_protocol_loses_its_link_only(server: ServerProcess, junk: str) -> None:
    runtime, gateway = server.connect_all()
    gateway.send_request(A)
    runtime.expect_command("start", A)
    runtime.answer_gauges()
    runtime.sock.sendall(junk.encode("latin-1") + b"\r\n")
    runtime = server.accept_runtime()
    runtime.answer_gauges()
    runtime.end_run(A)
    assert gateway.read_result() == b"done"
    runtime.send_notice(f"end {C} complete 1", b"of no txn")
    runtime.send(f"end 1 {A} complete 1", b"reported before")
    runtime.send(f"nack stop {C}")
    complete_request(runtime, gateway, B)


def test_a_nack_and_an_unknown_end_a_request(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    gateway.send_request(A), gateway.send_request(B)
    runtime.expect_command("start", A), runtime.expect_command("start", B)
    runtime.send(f"nack start {A}")
    assert gateway.read_answer()["error"]["code"] == -32602
    runtime.end_run(B, b"", how="unknown")
    assert gateway.read_answer()["error"]["code"] == -32000


def migrated_settings() -> dict:
    """The stand-ins' settings as the migration makes them."""
    return migrate_settings(
        SETTINGS, {"familyInfo": {"callsOut": 1.0, "classSkipWorth": [0.5, 0.0]}}
    ).settings


def test_a_non_idempotent_request_is_not_started_again_on_a_new_link(tmp_path: Path) -> None:
    with ServerProcess(tmp_path, settings=migrated_settings()) as server:
        runtime, gateway = server.connect_all()
        runtime.ignores_gauges = True  # so nothing proves that the starts were read
        gateway.send_request(A, "pay"), gateway.send_request(B)
        runtime.expect_command("start", A), runtime.expect_command("start", B)
        runtime.close()
        runtime = server.accept_runtime()
        runtime.expect_command("start", B)  # what has no effect is; A is in doubt and waits for its end
        runtime.answer_gauges()
        runtime.end_run(B, b"b")
        runtime.end_run(A, b"a")
        assert {gateway.read_result(), gateway.read_result()} == {b"a", b"b"}


def test_a_migrated_server_serves_and_sends_only_what_the_runtime_knows(tmp_path: Path) -> None:
    with ServerProcess(tmp_path, settings=migrated_settings()) as server:
        runtime, gateway = server.connect_all()
        gateway.send_request(A)
        runtime.expect_command("start", A)
        gateway.close()  # under `pause` the module would stop it: a line that is no command ends the link
        runtime.answer_gauges()
        gateway = server.connect_gateway()
        gateway.send_request(B)
        runtime.expect_command("start", B)
        runtime.end_run(B, b"b")
        assert gateway.read_result() == b"b"
        done = subprocess.run(
            ["/bin/sh", "-c", f"{RUN} check"],
            cwd=ROOT,
            capture_output=True,
            timeout=60,
            env=os.environ | {"NODE_CONFIG": str(server.configuration)},
        )
        assert done.returncode == 0 and b"stopMode" in done.stdout and b"classSkipWorth" in done.stdout
