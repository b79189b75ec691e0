"""Reload at SIGHUP: new addresses, new levels, and invalid files."""

import json
import signal
from pathlib import Path

import pytest
from line_connection import listen
from server_process import IDEMPOTENCY_KEY, A, B, C, ServerProcess, complete_request

pytestmark = pytest.mark.exclusive


def test_reload_changes_addresses_of_runtime_records_and_registry(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    gateway.send_request(A, "pay", dedupe=IDEMPOTENCY_KEY), runtime.expect_command("start", A)
    gateway.send_request(C), runtime.expect_command("start", C)
    runtime.send_notice(f"wants {C}", b"?")
    old_records = server.accept_call(C, b"?")
    for bad in ("{", '{"name": "n3"}'):  # incomplete files; the old configuration stays in force
        server.reload(bad)
        server.wait_for_log("configuration not reloaded", lambda: runtime.answer_gauges(1))
        server.log.write_text("")
    old_reports = server.move_addresses()
    while True:  # only gauges queries follow; the answer to the last one confirms the commands that were read
        words = runtime.read_line().decode().split()
        if not words:
            break
        assert words[0] == "gauges"
        runtime.send(f"load {words[1]} 0.2 1 0.1 5")
    new = server.accept_runtime()
    assert new.synced_notice == 1
    # A is not started again, because its start was read.
    gateway.send_request(B), new.expect_command("start", B)
    new.send_notice(f"wants {B}", b"?")
    server.accept_call(B, b"?").send(f"{B} DONE", b"!")
    new.expect_command("give", B)
    old_records.send(f"{C} DONE", b"old!")
    assert new.expect_command("give", C)[1] == b"old!"
    new.end_run(A, b"paid")
    assert gateway.read_result() == b"paid"
    assert server.reports.recv(100) == b"BEAT n3 ready"
    server.process.send_signal(signal.SIGHUP)  # a reload without any change
    server.wait_for_log("moved=[]", lambda: new.answer_gauges(1))
    old_reports.close()


def test_reloads_before_runtime_is_up_and_in_quick_succession(server: ServerProcess) -> None:
    server.connect_gateway()
    server.accept_runtime(ready="")  # the link is established, but the runtime is not up
    server.move_addresses().close()
    runtime = server.accept_runtime()
    runtime.answer_gauges(2)
    complete_request(runtime, server.connect_gateway(), A)
    # Two changes in quick succession; the last gauges query on the old link stays unanswered.
    server.move_addresses().close(), server.move_addresses().close()
    new = server.accept_runtime()
    new.answer_gauges(2)
    complete_request(new, server.connect_gateway(), B)


def test_levels_are_read_at_the_start_and_on_sighup(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    table = (
        'version = 1\nstart = "{start}"\n[[level]]\nname = "{start}"\nleast_stay_s = 60\n'
        "entry = {{ for_s = 1, pressure = 0.9 }}\nexit = {{ for_s = 9, pressure = 0.1 }}\n"
        'cut = [{{ do = "decline", products = ["{product}"] }}]\n'
    )
    file = tmp_path / "levels.toml"
    file.write_text(table.format(start="no-look", product="look"))
    monkeypatch.setenv("OTTERRUDDER_LEVELS", str(file))
    with ServerProcess(tmp_path) as server:
        runtime, gateway = server.connect_all()
        gateway.send_request(A)
        error = gateway.read_answer()["error"]
        assert error["code"] == -32014
        gateway.send_request(B, "pay", dedupe=IDEMPOTENCY_KEY), runtime.expect_command("start", B, "pay")
        file.write_text("version = 1\nlevel = 7")
        server.process.send_signal(signal.SIGHUP)
        server.wait_for_log("levels not reloaded", lambda: runtime.answer_gauges(1))
        file.write_text(table.format(start="no-pay", product="pay"))
        server.process.send_signal(signal.SIGHUP)
        server.wait_for_log("entered=no-pay", lambda: runtime.answer_gauges(1))
        gateway.send_request(A), runtime.expect_command("start", A, "look")
        gateway.send_request(C, "pay", dedupe=IDEMPOTENCY_KEY, rep=1)  # levels do not reject retries of a run
        runtime.answer_gauges()
        runtime.end_run(B, b"paid")
        assert gateway.read_result() == gateway.read_result() == b"paid"
        gateway.send_request("00000000000000dd", "pay", dedupe="d" * 32)
        assert gateway.read_answer()["error"]["code"] == -32014


def test_sighup_during_start_neither_ends_the_process_nor_is_missed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first SIGHUP arrives when the interpreter starts. The second, with new addresses, arrives after the
    configuration was read and before the server listens for signals."""
    (tmp_path / "sitecustomize.py").write_text(
        "import os, signal, sys\n"
        "os.kill(os.getpid(), signal.SIGHUP)\n"
        "done = []\n"
        "def hook(event, args):\n"
        "    if event == 'open' and 'anyio/_backends' in str(args[0]) and not done:\n"
        "        done.append(1)\n"
        "        os.replace(os.environ['NODE_CONFIG'] + '.new', os.environ['NODE_CONFIG'])\n"
        "        os.kill(os.getpid(), signal.SIGHUP)\n"
        "sys.addaudithook(hook)\n"
    )
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    new_runtimes = listen()
    new_configuration = tmp_path / "config.json.new"

    class PreparedServerProcess(ServerProcess):
        def start(self) -> None:
            new_configuration.write_text(
                json.dumps(self.document | {"runtime": "{}:{}".format(*new_runtimes.getsockname())})
            )
            super().start()

    with PreparedServerProcess(tmp_path) as server:
        server.wait_for_log("moved=['runtime']")
        server.runtimes.close()
        server.runtimes = new_runtimes
        runtime = server.accept_runtime()
        runtime.answer_gauges(2)
        gateway = server.connect_gateway()
        gateway.send_request(A)
        runtime.expect_command("start", A)
        runtime.end_run(A)
        assert gateway.read_result() == b"done"


BAD_FILES = ["[" * 200_000, "\x00", "{}", '{"settings": {"classes": [{}]}}', '{"limits": 7}', "\ud800"]


def test_reload_of_invalid_file_does_not_end_the_server(tmp_path: Path) -> None:
    with ServerProcess(tmp_path) as server:
        runtime, gateway = server.connect_all()
        for bad in BAD_FILES:
            server.log.write_text("")
            server.configuration.write_bytes(bad.encode("utf-8", "surrogatepass"))
            server.process.send_signal(signal.SIGHUP)
            server.wait_for_log("configuration not reloaded", lambda: runtime.answer_gauges(1))
        server.configuration.unlink()
        server.log.write_text("")
        server.process.send_signal(signal.SIGHUP)
        server.wait_for_log("configuration not reloaded", lambda: runtime.answer_gauges(1))
        gateway.send_request(A)
        runtime.expect_command("start", A)
        runtime.end_run(A)
        assert gateway.read_result() == b"done"
