"""The program, started as deployed and spoken to on sockets. Tests wait for events, never for a time."""

import base64
import json
import os
import re
import signal
import socket
import struct
import subprocess
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from fake_gateway import FakeGateway
from fake_runtime import FakeRuntime
from helpers import ROOT, RUN, SETTINGS
from server_process import ServerProcess

from otterrudder.cli.migrate import migrate_settings

pytestmark = pytest.mark.exclusive

A, B, C, MARK = "00000000000000aa", "00000000000000bb", "00000000000000cc", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


@pytest.fixture
def server(tmp_path: Path) -> Iterator[ServerProcess]:
    with ServerProcess(tmp_path) as server:
        yield server


def settles(runtime: FakeRuntime, gateway: FakeGateway, call: str, body: bytes = b"ask") -> None:
    """A request from end to end, byte for byte: the server is well."""
    rpc = gateway.send_request(call, body=body)
    words, got = runtime.expect_command("start", call, "look")
    assert got == body
    runtime.end_run(call, body[::-1])
    answer = gateway.read_answer()
    assert answer["id"] == rpc and "load" in answer["result"]
    assert base64.b64decode(answer["result"]["blob"]) == body[::-1]


def test_a_txn_settles_byte_for_byte_and_answers_come_in_any_order(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    settles(runtime, gateway, A, bytes(range(256)) * 8)
    first, second = gateway.send_request(B), gateway.send_request(C)
    runtime.expect_command("start", B), runtime.expect_command("start", C)
    runtime.end_run(C, b""), runtime.end_run(B, b"x", how="error")
    answer = gateway.read_answer()
    assert (answer["id"], answer["result"]["blob"]) == (second, "")
    failed = gateway.read_answer()
    assert failed["id"] == first and failed["error"]["code"] not in (-32014, -32700)


def test_a_repeat_is_answered_from_the_first_run(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    other = server.connect_gateway()
    gateway.send_request(A, "pay", dedupe=MARK)
    runtime.expect_command("start", A, "pay")
    other.send_request(B, "pay", dedupe=MARK, rep=1)  # while it runs
    runtime.answer_gauges()
    runtime.end_run(A, b"paid")
    assert gateway.read_result() == other.read_result() == b"paid"
    other.send_request(C, "pay", dedupe=MARK, rep=1)  # afterwards
    assert other.read_result() == b"paid"
    runtime.answer_gauges()


def test_calls_are_made_repeated_given_up_and_late_replies_dropped(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    rpc = gateway.send_request(A, "pay", dedupe=MARK)
    runtime.expect_command("start", A)
    runtime.send_notice(f"wants {A}", b"row?")
    records = server.accept_records()
    op, call, wait, size = records.read_line().decode().split()
    assert (op, call, records.read_body(int(size))) == ("OP", A, b"row?") and 0 < int(wait) <= 15000
    records.send(f"{A} WAIT")  # proves that nothing ran, so it may go again, effect or not
    records = server.accept_call(A, b"row?")
    records.send(f"{A} DONE", b"row!")
    assert runtime.expect_command("give", A)[1] == b"row!"
    runtime.send_notice(f"wants {A}", b"more?")
    old, records = records, server.accept_call(A, b"more?")
    old.send(f"{A} DONE", b"row!")  # a second copy is no reply to the next call, and ends its connection
    assert old.read_line() == b"" and not runtime.answer_gauges()
    gateway.send_message("interrupt", call=A)
    assert records.read_line() == b""  # its close gives up its only call; a late reply meets nobody
    runtime.end_run(A, b"", how="cancelled")
    gateway.send_request(B)
    assert runtime.read_command()[0][:2] == ["start", B]  # no `give` of the late reply before it
    runtime.end_run(B)
    assert gateway.read_answer()["id"] == rpc + 2


def test_a_broken_records_link_proves_nothing_and_a_refused_one_that_nothing_ran(
    server: ServerProcess,
) -> None:
    runtime, gateway = server.connect_all()
    links = {}
    gateway.send_request(A, "pay", dedupe=MARK), gateway.send_request(B, "look")
    for call in (A, B):
        runtime.expect_command("start", call)
        runtime.send_notice(f"wants {call}", b"?")
        links[call] = server.accept_call(call, b"?")
    links[A].close()
    assert gateway.read_answer()["error"]["code"] not in (-32014,)  # the effect may have happened: voided
    links[B].close()
    records = server.accept_call(B, b"?")  # inquiry-like: again, on a new connection
    server.records.close()
    records.close()  # the next tries are refused: B waits on and tries again until somebody listens
    runtime.answer_gauges(20)
    server.wait_for_log("records service refuses")
    settles(runtime, gateway, C)


SPOILT = [b"%s DONE many\r\n", b"%s DONE 3000000000\r\nab", b"%s WHAT\r\n", b"\xff%s\r\n", b"x" * 600 + b"%s",
          b"%s DONE 1\r\nabc\r\n", b"%s DONE 50\r\nabc\r\n"]  # fmt: skip


def test_a_spoilt_reply_costs_its_call_and_no_other(server: ServerProcess) -> None:
    # One connection for all calls lost all of them with each spoilt reply.
    runtime, gateway = server.connect_all()
    gateway.send_request(B), runtime.expect_command("start", B)
    runtime.send_notice(f"wants {B}", b"?")
    good = server.accept_call(B, b"?")
    gateway.send_request(A), runtime.expect_command("start", A)
    runtime.send_notice(f"wants {A}", b"?")
    for spoilt in SPOILT:
        records = server.accept_call(A, b"?")
        records.sock.sendall(spoilt.replace(b"%s", A.encode()))
        assert records.read_line() == b""  # left at once, or when the rest does not come
    server.accept_call(A, b"?").send(f"{C} DONE 1\r\n?\r\n{A} DONE", b"yes")  # a stranger's comes first
    assert runtime.expect_command("give", A)[1] == b"yes"
    good.send(f"{B} DONE", b"row!")
    assert runtime.expect_command("give", B)[1] == b"row!"


def test_an_idle_records_connection_is_used_again_while_fresh(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    calls = (A, B)
    for call in calls:
        gateway.send_request(call), runtime.expect_command("start", call)
        runtime.send_notice(f"wants {call}", b"?")
        if call == calls[0]:
            records = server.accept_call(call, b"?")
        else:
            assert records.read_line().startswith(f"OP {call} ".encode()) and records.read_body(1)
        records.send(f"{call} DONE", b"!")
        runtime.expect_command("give", call)
    assert (
        records.read_line() == b""
    )  # unused, it is left: the service forgets such ones and resets the next call


def test_a_new_configuration_moves_runtime_records_and_registry(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    gateway.send_request(A, "pay", dedupe=MARK), runtime.expect_command("start", A)
    gateway.send_request(C), runtime.expect_command("start", C)
    runtime.send_notice(f"wants {C}", b"?")
    old_records = server.accept_call(C, b"?")
    for bad in ("{", '{"name": "n3"}'):  # half written, or lacking the rest: the old one stays in force
        server.reload(bad)
        server.wait_for_log("configuration not taken", lambda: runtime.answer_gauges(1))
        server.log.write_text("")
    old_reports = server.move_addresses()
    while True:  # its last question proves what it has read; nothing else comes on it
        words = runtime.read_line().decode().split()
        if not words:
            break
        assert words[0] == "gauges"
        runtime.send(f"load {words[1]} 0.2 1 0.1 5")
    new = server.accept_runtime()
    assert new.synced == 1
    gateway.send_request(B), new.expect_command("start", B)  # not A again: its start was read
    new.send_notice(f"wants {B}", b"?")
    server.accept_call(B, b"?").send(f"{B} DONE", b"!")
    new.expect_command("give", B)
    old_records.send(f"{C} DONE", b"old!")
    assert new.expect_command("give", C)[1] == b"old!"
    new.end_run(A, b"paid")
    assert gateway.read_result() == b"paid"
    assert server.reports.recv(100) == b"BEAT n3 ready"
    server.process.send_signal(signal.SIGHUP)  # nothing has changed
    server.wait_for_log("moved=[]", lambda: new.answer_gauges(1))
    old_reports.close()


def test_new_configurations_may_come_early_and_in_a_row(server: ServerProcess) -> None:
    server.connect_gateway()
    server.accept_runtime(ready="")  # the link stands, the runtime is not up
    server.move_addresses().close()
    runtime = server.accept_runtime()
    runtime.answer_gauges(2)
    settles(runtime, server.connect_gateway(), A)
    (
        server.move_addresses().close(),
        server.move_addresses().close(),
    )  # nobody answers the last question, nor in between
    new = server.accept_runtime()
    new.answer_gauges(2)
    settles(new, server.connect_gateway(), B)


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
    settles(runtime, gateway, B)


@pytest.mark.parametrize("cut", [b"end 2 ", f"end 2 {A} complete 3.5 40\r\nhalf of".encode()])
def test_a_lost_runtime_link_is_made_anew_and_replayed(server: ServerProcess, cut: bytes) -> None:
    runtime, gateway = server.connect_all()
    gateway.send_request(A, "pay", dedupe=MARK), gateway.send_request(B)
    runtime.expect_command("start", A), runtime.expect_command("start", B)
    runtime.answer_gauges()  # proves that both starts were read
    runtime.send_notice("info hello there")
    runtime.sock.sendall(cut)
    runtime.close()
    runtime = server.accept_runtime(missed=[(f"end {A} complete 3.5", b"a" * 40)])
    assert runtime.synced == 1 and gateway.read_result() == b"a" * 40
    runtime.answer_gauges()
    runtime.end_run(B, b"b")  # it ran on and was not started again
    assert gateway.read_result() == b"b"
    settles(runtime, gateway, C)


def test_after_a_lost_link_only_what_has_no_effect_is_started_again(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    runtime.ignores_gauges = True  # so nothing proves that the starts were read
    gateway.send_request(A, "pay", dedupe=MARK), gateway.send_request(B)
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
    settles(runtime, gateway, C)


def test_a_reply_that_comes_without_a_link_is_given_on_the_next(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    gateway.send_request(A)
    runtime.expect_command("start", A)
    runtime.send_notice(f"wants {A}", b"?")
    records = server.accept_records()
    records.read_line(), records.read_body(1)
    server.runtimes.close()
    runtime.close()
    server.wait_for_log("no link to the runtime")
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
    gateway.send_request(A, "pay", dedupe=MARK)
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
def test_a_runtime_that_speaks_nonsense_loses_its_link_only(server: ServerProcess, junk: str) -> None:
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
    runtime.send(f"end 1 {A} complete 1", b"heard before")
    runtime.send(f"nack stop {C}")
    settles(runtime, gateway, B)


def test_a_nack_and_an_unknown_end_a_txn(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    gateway.send_request(A), gateway.send_request(B)
    runtime.expect_command("start", A), runtime.expect_command("start", B)
    runtime.send(f"nack start {A}")
    assert gateway.read_answer()["error"]["code"] == -32602
    runtime.end_run(B, b"", how="unknown")
    assert gateway.read_answer()["error"]["code"] == -32000


def test_a_drain_answers_all_and_ends_with_0(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    gateway.send_request(A, "pay", dedupe=MARK), gateway.send_request(B), gateway.send_request(C)
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
    assert server.has_logged("event=left unanswered=0")


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


def test_a_restart_takes_the_same_address_from_nothing(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    gateway.send_request(A)
    runtime.expect_command("start", A)
    server.process.kill()
    server.process.wait()
    assert gateway.read_line() == b""
    server.start()
    runtime = server.accept_runtime(ready="chilly 0")
    assert runtime.synced == 0
    runtime.answer_gauges()
    settles(runtime, server.connect_gateway(), B)


def test_a_stall_of_the_process_is_dealt_with_before_new_work(server: ServerProcess) -> None:
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


BAD_FIELDS = [
    {"call": "xyz"}, {"call": 7}, {"call": None}, {"recv": "now"}, {"recv": -1}, {"recv": 1e300}, {"ttl": []},
    {"heap": -4}, {"heap": 1e9}, {"heap": True}, {"org": "nobody"}, {"org": 3}, {"blob": "*"}, {"blob": 5},
    {"blob": "A" * 2800}, {"row": "zz"}, {"dedupe": {}}, {"dedupe": "x" * 65}, {"dedupe": ""}, {"heap": 0},
    {"heap": 2000}, {"crit": 1.5}, {"crit": "x"}, {"src": -1}, {"rep": 2}, {"ttl": -1}, {"ttl": 1e12},
    {"recv": 1e12},
]  # fmt: skip
BAD_LINES = {
    b"{": -32700, b"\xff\xfe": -32700, b"[]": -32600, b'{"id":1}': -32600,
    b'{"jsonrpc":"2.0","id":"x"}': -32600, b'{"jsonrpc":"2.0","id":-1,"method":"look"}': -32600,
    b'{"jsonrpc":"2.0","id":1e3,"method":"look"}': -32600,
    b'{"jsonrpc":"2.0","id":1,"method":7}': -32600, b'{"jsonrpc":"2.0","id":1,"method":"nope"}': -32601,
    b'{"jsonrpc":"2.0","id":1,"method":"look","params":[]}': -32602,
    b'{"jsonrpc":"2.0","id":1,"method":"look","params":{"recv":NaN}}': -32700, b"[" * 9000: -32700,
}  # fmt: skip


def test_bad_input_is_answered_and_harms_nobody(server: ServerProcess) -> None:
    runtime, good = server.connect_all()
    bad = server.connect_gateway()
    for fields in BAD_FIELDS:
        rude = server.connect_gateway()
        rude.send_request(**({"call": B, "product": "pay", "dedupe": MARK} | fields))
        assert rude.read_answer()["error"]["code"] == -32602, fields
        rude.close()
    for line, code in BAD_LINES.items():
        rude = server.connect_gateway()
        rude.sock.sendall(line + b"\n")
        assert rude.read_answer()["error"]["code"] == code, line
        rude.close()
    bad.sock.sendall(b"\n" + b'{"jsonrpc":"2.0","method":"look"}\n')  # no id to answer under
    assert bad.read_answer() == {"jsonrpc": "2.0", "id": None, "error": {"code": -32600, "message": "no id"}}
    settles(runtime, bad, A)
    bad.send_request(B)
    runtime.expect_command("start", B)
    bad.send_request(B)  # open already
    assert "error" in bad.read_answer()
    runtime.end_run(B)
    assert bad.read_result() == b"done"
    bad.sock.sendall(b"x" * 40000)
    assert bad.read_line() == b""  # a line without end ends its peer
    settles(runtime, good, C)
    assert 1 <= server.log.read_text().count("connection error") <= 30  # some 45 bad peers, seconds


def test_a_mark_with_another_body_or_method_is_never_served(server: ServerProcess) -> None:
    # Its result was once given to whoever named the mark.
    runtime, gateway = server.connect_all()
    gateway.send_request(A, "pay", dedupe=MARK), runtime.expect_command("start", A)
    gateway.send_request(B, "pay", dedupe=MARK, body=b"other")
    assert gateway.read_answer()["error"]["code"] == -32602
    runtime.end_run(A, b"paid")
    assert gateway.read_result() == b"paid"
    gateway.send_request(B, "pay", dedupe=MARK, body=b"other")
    assert gateway.read_answer()["error"]["code"] == -32602
    gateway.send_request(C, "pay", dedupe=MARK)
    assert gateway.read_result() == b"paid"


def test_a_start_that_the_runtime_would_not_make_leaves_its_mark_free(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    gateway.send_request(B, "pay", dedupe=MARK, body=b"other"), runtime.expect_command("start", B)
    runtime.send(f"nack start {B}")
    assert gateway.read_answer()["error"]["code"] == -32602
    gateway.send_request(A, "pay", dedupe=MARK), runtime.expect_command("start", A)
    runtime.end_run(A, b"paid")
    assert gateway.read_result() == b"paid"


def test_peers_without_a_word_or_with_too_many_wrong_ones_are_closed(server: ServerProcess) -> None:
    runtime, _ = server.connect_all()
    silent, half, back = server.connect_gateway(), server.connect_gateway(), server.connect_gateway()
    half.sock.sendall(b'{"jsonrpc":"2.0","id":1,')
    back.send_request(A), back.send_message("interrupt", call=A)
    wrong = server.connect_gateway()
    wrong.sock.sendall(b"{\n" * 500)
    assert [json.loads(wrong.read_line())["id"] for _ in range(6)] == [None] * 6
    began = time.monotonic()
    for peer in (wrong, silent, half, back):
        assert peer.read_line() == b""
    assert time.monotonic() - began < 3  # owed within 3 s of connecting
    settles(runtime, server.connect_gateway(), B)


def test_peers_that_hold_on_make_room_for_others(tmp_path: Path) -> None:
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 48}
    with ServerProcess(tmp_path, limits=limits) as server:
        runtime, gateway = server.connect_all()
        settles(runtime, gateway, A)
        many = [socket.create_connection(server.address) for _ in range(200)]
        settles(runtime, server.connect_gateway(), B)  # though all came before it
        began = time.monotonic()  # at the bound one once made room each 50 ms, and only after 1 s of quiet
        asked = [server.connect_gateway() for _ in range(160)]
        for peer in asked:
            peer.send_message("check")
        settles(runtime, server.connect_gateway(), C)
        assert time.monotonic() - began < 4
        for sock in many:
            sock.close()


def test_a_33rd_open_request_is_turned_away(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    for n in range(33):
        gateway.send_request(f"{n:016x}", "pay", dedupe=MARK)
    answer = gateway.read_answer()
    assert answer["id"] == 33 and answer["error"]["code"] == -32600


def test_a_reset_and_a_peer_that_never_reads_harm_nobody(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    rude = server.connect_gateway()
    rude.send_request(A)
    runtime.expect_command("start", A)
    rude.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    rude.close()
    runtime.answer_gauges()
    runtime.end_run(A)  # its caller has gone: the run is over, and nobody is told
    deaf = server.connect_gateway()
    with pytest.raises(ConnectionError):  # closed from the other side, though it never reads that
        while True:
            deaf.sock.sendall(b'{"jsonrpc":"2.0","id":1,"method":"check"}\n' * 500)
    server.wait_for_log("reads too slowly")
    settles(runtime, gateway, B)


def test_descriptors_run_out_without_a_spin_or_a_loss(tmp_path: Path) -> None:
    with ServerProcess(tmp_path, descriptors=40) as server:  # fewer than the configuration says
        runtime, gateway = server.connect_all()
        many = [socket.create_connection(server.address) for _ in range(60)]
        server.wait_for_log("cannot accept", lambda: runtime.answer_gauges(1))
        before = cpu_ticks(server.process.pid)
        runtime.answer_gauges(25)  # about a second of rings
        assert cpu_ticks(server.process.pid) - before < 60  # of 100 a second
        settles(
            runtime, server.connect_gateway(), A
        )  # somebody who asks gets in beside all those that only hold on
        for sock in many:
            sock.close()
        settles(runtime, server.connect_gateway(), B)


def cpu_ticks(pid: int) -> int:
    return sum(map(int, Path(f"/proc/{pid}/stat").read_text().rsplit(")")[1].split()[11:13]))


def test_idle_connections_are_told_and_closed(tmp_path: Path) -> None:
    rare = SETTINGS["familyInfo"] | {"callers": 1000}  # none of them is back soon
    with ServerProcess(tmp_path, settings=SETTINGS | {"familyInfo": rare}) as server:
        _, gateway = server.connect_all()
        assert b"noMore" in gateway.read_line() and gateway.read_line() == b""


def test_no_room_for_references_is_declined(tmp_path: Path) -> None:
    limits = {"cores": 1.0, "memory_mb": 0.02, "sockets": 256}  # room for one result
    with ServerProcess(tmp_path, limits=limits) as server:
        runtime, gateway = server.connect_all()
        gateway.send_request(A, "pay", dedupe=MARK)
        runtime.expect_command("start", A)
        gateway.send_request(B, "pay", dedupe=MARK[::-1])
        assert gateway.read_answer()["error"]["code"] == -32014
        gateway.send_request(C, "pay", dedupe=MARK)  # the one that is kept is still known
        runtime.end_run(A, b"paid")
        assert {gateway.read_result(), gateway.read_result()} == {b"paid"}


@pytest.mark.parametrize("text", [None, "{", "[]", "{}", '{"name":"n","listen":"x"}'])
def test_a_bad_configuration_is_one_line_and_not_0(tmp_path: Path, text: str | None) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    for command in (RUN, RUN + " check"):
        done = subprocess.run(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            capture_output=True,
            timeout=60,
            env=os.environ | {"NODE_CONFIG": str(path)},
        )
        assert done.returncode not in (0, None) and done.stderr.count(b"\n") == 1, done.stderr


MISTYPED = [
    ("stop_ms", "x"),
    ("seed", "zz"),
    ("listen", 7),
    ("limits.sockets", None),
    ("settings.classes", {}),
    ("settings.classes.0.windowUs", "a"),
    ("settings.classes.0.effect", 3),
    ("settings.classes.0.name", []),
    ("settings.realms.1.name", 4),
    ("settings.familyInfo.cores", "six"),
    ("settings.familyInfo.gauges", 7),
    ("settings.familyInfo.memoryKb", []),
    ("settings.familyInfo.classCalls", True),
    ("settings.rules.drainGraceUs", []),
    ("settings.rules.coldUs", -1),
    ("settings.tickUs", {}),
    ("settings.limits.maxRetryAfterUs", "q"),
    ("settings.me", "one"),
    ("runtime", "nowhere"),
]


@pytest.mark.parametrize(("field", "value"), MISTYPED, ids=[field for field, _ in MISTYPED])
def test_a_mistyped_field_is_named_and_nothing_listens(tmp_path: Path, field: str, value: object) -> None:
    told = {name: "127.0.0.1:1" for name in ("listen", "runtime", "registry", "records")}
    told |= {
        "name": "n3",
        "seed": "8c1f30d27a5be964",
        "stop_ms": 1500,
        "settings": SETTINGS,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
    }
    told = json.loads(json.dumps(told))
    *way, last = field.split(".")
    at = told
    for step in way:
        at = at[int(step)] if step.isdigit() else at[step]
    at[last] = value
    path = tmp_path / "config.json"
    path.write_text(json.dumps(told))
    done = subprocess.run(
        ["/bin/sh", "-c", RUN],
        cwd=ROOT,
        capture_output=True,
        timeout=60,
        env=os.environ | {"NODE_CONFIG": str(path)},
    )
    text, named = done.stderr.decode(), re.sub(r"\.(\d+)", r"[\1]", field)
    assert done.returncode == 2 and text.count("\n") == 1 and "listening" not in text, text
    assert str(path) in text and named in text, text


def test_check_and_version_say_what_is_good(server: ServerProcess) -> None:
    for word, told in (
        ("check", b"n3: the configuration is good"),
        ("version", b"otterrudder "),
        ("--help", b"NODE_CONFIG"),
    ):
        done = subprocess.run(
            ["/bin/sh", "-c", f"{RUN} {word}"],
            cwd=ROOT,
            capture_output=True,
            timeout=60,
            env=os.environ | {"NODE_CONFIG": str(server.configuration)},
        )
        assert done.returncode == 0 and told in done.stdout


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
        gateway.send_request(B, "pay", dedupe=MARK), runtime.expect_command("start", B, "pay")
        file.write_text("version = 1\nlevel = 7")
        server.process.send_signal(signal.SIGHUP)
        server.wait_for_log("levels not taken", lambda: runtime.answer_gauges(1))
        file.write_text(table.format(start="no-pay", product="pay"))
        server.process.send_signal(signal.SIGHUP)
        server.wait_for_log("entered=no-pay", lambda: runtime.answer_gauges(1))
        gateway.send_request(A), runtime.expect_command("start", A, "look")
        gateway.send_request(C, "pay", dedupe=MARK, rep=1)  # what runs is never declined by a level
        runtime.answer_gauges()
        runtime.end_run(B, b"paid")
        assert gateway.read_result() == gateway.read_result() == b"paid"
        gateway.send_request("00000000000000dd", "pay", dedupe="d" * 32)
        assert gateway.read_answer()["error"]["code"] == -32014


def new_shape() -> dict:
    """The stand-ins' settings as the migration makes them."""
    return migrate_settings(
        SETTINGS, {"familyInfo": {"callsOut": 1.0, "classSkipWorth": [0.5, 0.0]}}
    ).settings


def test_a_migrated_server_serves_and_says_only_what_the_runtime_knows(tmp_path: Path) -> None:
    with ServerProcess(tmp_path, settings=new_shape()) as server:
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


def test_a_once_only_txn_is_not_started_again_on_a_new_link(tmp_path: Path) -> None:
    with ServerProcess(tmp_path, settings=new_shape()) as server:
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
