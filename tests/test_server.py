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
from helpers import ROOT, RUN, SETTINGS, Gateway, Runtime, Server

from otterrudder.cli.migrate import migrate_settings

A, B, C, MARK = "00000000000000aa", "00000000000000bb", "00000000000000cc", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


@pytest.fixture
def server(tmp_path: Path) -> Iterator[Server]:
    with Server(tmp_path) as server:
        yield server


def settles(runtime: Runtime, gateway: Gateway, call: str, body: bytes = b"ask") -> None:
    """A request from end to end, byte for byte: the server is well."""
    rpc = gateway.request(call, body=body)
    words, got = runtime.expect("start", call, "look")
    assert got == body
    runtime.ends(call, body[::-1])
    answer = gateway.answer()
    assert answer["id"] == rpc and "load" in answer["result"]
    assert base64.b64decode(answer["result"]["blob"]) == body[::-1]


def test_a_txn_settles_byte_for_byte_and_answers_come_in_any_order(server: Server) -> None:
    runtime, gateway = server.up()
    settles(runtime, gateway, A, bytes(range(256)) * 8)
    first, second = gateway.request(B), gateway.request(C)
    runtime.expect("start", B), runtime.expect("start", C)
    runtime.ends(C, b""), runtime.ends(B, b"x", how="error")
    answer = gateway.answer()
    assert (answer["id"], answer["result"]["blob"]) == (second, "")
    failed = gateway.answer()
    assert failed["id"] == first and failed["error"]["code"] not in (-32014, -32700)


def test_a_repeat_is_answered_from_the_first_run(server: Server) -> None:
    runtime, gateway = server.up()
    other = server.gateway()
    gateway.request(A, "pay", dedupe=MARK)
    runtime.expect("start", A, "pay")
    other.request(B, "pay", dedupe=MARK, rep=1)  # while it runs
    runtime.idle()
    runtime.ends(A, b"paid")
    assert gateway.result() == other.result() == b"paid"
    other.request(C, "pay", dedupe=MARK, rep=1)  # afterwards
    assert other.result() == b"paid"
    runtime.idle()


def test_calls_are_made_repeated_given_up_and_late_replies_dropped(server: Server) -> None:
    runtime, gateway = server.up()
    rpc = gateway.request(A, "pay", dedupe=MARK)
    runtime.expect("start", A)
    runtime.tell(f"wants {A}", b"row?")
    records = server.record()
    op, call, wait, size = records.line().decode().split()
    assert (op, call, records.body(int(size))) == ("OP", A, b"row?") and 0 < int(wait) <= 15000
    records.say(f"{A} WAIT")  # proves that nothing ran, so it may go again, effect or not
    records = server.called(A, b"row?")
    records.say(f"{A} DONE", b"row!")
    assert runtime.expect("give", A)[1] == b"row!"
    runtime.tell(f"wants {A}", b"more?")
    old, records = records, server.called(A, b"more?")
    old.say(f"{A} DONE", b"row!")  # a second copy is no reply to the next call, and ends its connection
    assert old.line() == b"" and not runtime.idle()
    gateway.ask("interrupt", call=A)
    assert records.line() == b""  # its close gives up its only call; a late reply meets nobody
    runtime.ends(A, b"", how="cancelled")
    gateway.request(B)
    assert runtime.next()[0][:2] == ["start", B]  # no `give` of the late reply before it
    runtime.ends(B)
    assert gateway.answer()["id"] == rpc + 2


def test_a_broken_records_link_proves_nothing_and_a_refused_one_that_nothing_ran(server: Server) -> None:
    runtime, gateway = server.up()
    links = {}
    gateway.request(A, "pay", dedupe=MARK), gateway.request(B, "look")
    for call in (A, B):
        runtime.expect("start", call)
        runtime.tell(f"wants {call}", b"?")
        links[call] = server.called(call, b"?")
    links[A].close()
    assert gateway.answer()["error"]["code"] not in (-32014,)  # the effect may have happened: voided
    links[B].close()
    records = server.called(B, b"?")  # inquiry-like: again, on a new connection
    server.records.close()
    records.close()  # the next tries are refused: B waits on and tries again until somebody listens
    runtime.idle(20)
    server.until("records service refuses")
    settles(runtime, gateway, C)


SPOILT = [b"%s DONE many\r\n", b"%s DONE 3000000000\r\nab", b"%s WHAT\r\n", b"\xff%s\r\n", b"x" * 600 + b"%s",
          b"%s DONE 1\r\nabc\r\n", b"%s DONE 50\r\nabc\r\n"]  # fmt: skip


def test_a_spoilt_reply_costs_its_call_and_no_other(server: Server) -> None:
    # One connection for all calls lost all of them with each spoilt reply.
    runtime, gateway = server.up()
    gateway.request(B), runtime.expect("start", B)
    runtime.tell(f"wants {B}", b"?")
    good = server.called(B, b"?")
    gateway.request(A), runtime.expect("start", A)
    runtime.tell(f"wants {A}", b"?")
    for spoilt in SPOILT:
        records = server.called(A, b"?")
        records.sock.sendall(spoilt.replace(b"%s", A.encode()))
        assert records.line() == b""  # left at once, or when the rest does not come
    server.called(A, b"?").say(f"{C} DONE 1\r\n?\r\n{A} DONE", b"yes")  # a stranger's ahead of the good one
    assert runtime.expect("give", A)[1] == b"yes"
    good.say(f"{B} DONE", b"row!")
    assert runtime.expect("give", B)[1] == b"row!"


def test_an_idle_records_connection_is_used_again_while_fresh(server: Server) -> None:
    runtime, gateway = server.up()
    calls = (A, B)
    for call in calls:
        gateway.request(call), runtime.expect("start", call)
        runtime.tell(f"wants {call}", b"?")
        if call == calls[0]:
            records = server.called(call, b"?")
        else:
            assert records.line().startswith(f"OP {call} ".encode()) and records.body(1)
        records.say(f"{call} DONE", b"!")
        runtime.expect("give", call)
    assert records.line() == b""  # unused, it is left: the service forgets such ones and resets the next call


def test_a_new_configuration_moves_runtime_records_and_registry(server: Server) -> None:
    runtime, gateway = server.up()
    gateway.request(A, "pay", dedupe=MARK), runtime.expect("start", A)
    gateway.request(C), runtime.expect("start", C)
    runtime.tell(f"wants {C}", b"?")
    old_records = server.called(C, b"?")
    for bad in ("{", '{"name": "n3"}'):  # half written, or lacking the rest: the old one stays in force
        server.reload(bad)
        server.until("configuration not taken", lambda: runtime.idle(1))
        server.log.write_text("")
    old_registry = server.move()
    while True:  # its last question proves what it has read; nothing else comes on it
        words = runtime.line().decode().split()
        if not words:
            break
        assert words[0] == "gauges"
        runtime.say(f"load {words[1]} 0.2 1 0.1 5")
    new = server.runtime()
    assert new.synced == 1
    gateway.request(B), new.expect("start", B)  # not A again: its start was read
    new.tell(f"wants {B}", b"?")
    server.called(B, b"?").say(f"{B} DONE", b"!")
    new.expect("give", B)
    old_records.say(f"{C} DONE", b"old!")
    assert new.expect("give", C)[1] == b"old!"
    new.ends(A, b"paid")
    assert gateway.result() == b"paid"
    assert server.registry.recv(100) == b"BEAT n3 ready"
    server.process.send_signal(signal.SIGHUP)  # nothing has changed
    server.until("moved=[]", lambda: new.idle(1))
    old_registry.close()


def test_new_configurations_may_come_early_and_in_a_row(server: Server) -> None:
    server.gateway()
    server.runtime(ready="")  # the link stands, the runtime is not up
    server.move().close()
    runtime = server.runtime()
    runtime.idle(2)
    settles(runtime, server.gateway(), A)
    server.move().close(), server.move().close()  # nobody answers the last question, nor in between
    new = server.runtime()
    new.idle(2)
    settles(new, server.gateway(), B)


def test_a_runtime_that_comes_up_late_refuses_the_gauges_and_starts_cold(server: Server) -> None:
    # A restarted server once ran nothing: its question for the end of the replay came before `ready`.
    gateway = server.gateway()
    check = gateway.ask("check")
    assert gateway.answer() == {"jsonrpc": "2.0", "id": check, "result": {"pass": False}}
    gateway.request(A)
    assert gateway.answer()["error"]["code"] == -32014
    runtime = server.runtime(ready="")
    runtime.sock.settimeout(0.3)
    with pytest.raises(TimeoutError):
        runtime.line()  # nothing is asked before `ready`
    runtime.sock.settimeout(20)
    runtime.say("ready chilly 0")
    runtime.idle(3)
    gateway.ask("check")
    assert gateway.answer()["result"]["pass"] is True
    settles(runtime, gateway, B)


@pytest.mark.parametrize("cut", [b"end 2 ", f"end 2 {A} complete 3.5 40\r\nhalf of".encode()])
def test_a_lost_runtime_link_is_made_anew_and_replayed(server: Server, cut: bytes) -> None:
    runtime, gateway = server.up()
    gateway.request(A, "pay", dedupe=MARK), gateway.request(B)
    runtime.expect("start", A), runtime.expect("start", B)
    runtime.idle()  # proves that both starts were read
    runtime.tell("info hello there")
    runtime.sock.sendall(cut)
    runtime.close()
    runtime = server.runtime(missed=[(f"end {A} complete 3.5", b"a" * 40)])
    assert runtime.synced == 1 and gateway.result() == b"a" * 40
    runtime.idle()
    runtime.ends(B, b"b")  # it ran on and was not started again
    assert gateway.result() == b"b"
    settles(runtime, gateway, C)


def test_after_a_lost_link_only_what_has_no_effect_is_started_again(server: Server) -> None:
    runtime, gateway = server.up()
    runtime.unanswered = True  # so nothing proves that the starts were read
    gateway.request(A, "pay", dedupe=MARK), gateway.request(B)
    runtime.expect("start", A), runtime.expect("start", B)
    runtime.close()
    runtime = server.runtime()
    runtime.expect("start", B)
    runtime.idle()
    runtime.ends(B)
    assert gateway.answer()["id"] == 2
    gateway.ask("interrupt", call=A)  # answered or left, a start tells how it stands and does no harm
    runtime.expect("start", A)
    runtime.ends(A, b"", how="unknown")
    settles(runtime, gateway, C)


def test_a_reply_that_comes_without_a_link_is_given_on_the_next(server: Server) -> None:
    runtime, gateway = server.up()
    gateway.request(A)
    runtime.expect("start", A)
    runtime.tell(f"wants {A}", b"?")
    records = server.record()
    records.line(), records.body(1)
    server.runtimes.close()
    runtime.close()
    server.until("no link to the runtime")
    records.say(f"{A} DONE", b"row!")
    gateway.ask("check")
    assert gateway.answer()["result"]["pass"] is True
    server.runtimes = socket.create_server(server.runtimes_at)
    server.runtimes.settimeout(20)
    runtime = server.runtime()
    runtime.say("nack gauges replayed")  # refused once more: a link of its own is made for it
    runtime = server.runtime()
    assert runtime.expect("give", A)[1] == b"row!"
    runtime.ends(A)
    assert gateway.result() == b"done"


def test_starts_decided_without_a_link_go_out_with_the_next(server: Server) -> None:
    runtime, gateway = server.up()
    server.runtimes.close()
    runtime.close()
    server.until("runtime link lost")  # a start on a link that dies unseen is in doubt, which is another test
    gateway.request(A, "pay", dedupe=MARK)
    gateway.ask("check")
    assert gateway.answer()["result"]["pass"] is True  # it has read the request before
    server.runtimes = socket.create_server(server.runtimes_at)
    server.runtimes.settimeout(20)
    runtime = server.runtime()
    runtime.expect("start", A, "pay")
    runtime.ends(A)
    assert gateway.result() == b"done"


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
def test_a_runtime_that_speaks_nonsense_loses_its_link_only(server: Server, junk: str) -> None:
    runtime, gateway = server.up()
    gateway.request(A)
    runtime.expect("start", A)
    runtime.idle()
    runtime.sock.sendall(junk.encode("latin-1") + b"\r\n")
    runtime = server.runtime()
    runtime.idle()
    runtime.ends(A)
    assert gateway.result() == b"done"
    runtime.tell(f"end {C} complete 1", b"of no txn")
    runtime.say(f"end 1 {A} complete 1", b"heard before")
    runtime.say(f"nack stop {C}")
    settles(runtime, gateway, B)


def test_a_nack_and_an_unknown_end_a_txn(server: Server) -> None:
    runtime, gateway = server.up()
    gateway.request(A), gateway.request(B)
    runtime.expect("start", A), runtime.expect("start", B)
    runtime.say(f"nack start {A}")
    assert gateway.answer()["error"]["code"] == -32602
    runtime.ends(B, b"", how="unknown")
    assert gateway.answer()["error"]["code"] == -32000


def test_a_drain_answers_all_and_ends_with_0(server: Server) -> None:
    runtime, gateway = server.up()
    gateway.request(A, "pay", dedupe=MARK), gateway.request(B), gateway.request(C)
    for call in (A, B, C):
        runtime.expect("start", call)
    runtime.tell(f"wants {C}", b"?")
    records = server.record()
    assert records.line().startswith(b"OP ")
    server.process.terminate()
    server.until("draining: 3 in hand", lambda: runtime.idle(1))
    gateway.ask("check")
    assert gateway.answer()["result"]["pass"] is False
    server.process.terminate()  # a second one changes nothing
    runtime.ends(B)
    assert gateway.result() == b"done"
    assert {gateway.answer()["error"]["code"] for _ in "AC"} == {-32000}  # they ran, so never "declined"
    with pytest.raises(AssertionError, match="closed"):
        while True:  # what crosses the end is answered as long as the connection stands
            gateway.request(os.urandom(8).hex())
            assert gateway.answer()["error"]["code"] == -32014
    assert server.ends() == 0
    assert server.logged("event=left unanswered=0")


def test_a_drain_before_the_runtime_is_up_ends_at_once(server: Server) -> None:
    server.gateway()
    server.process.terminate()
    assert server.ends() == 0


def test_reports_go_on_and_say_when_it_drains(server: Server) -> None:
    server.up()
    assert {server.registry.recv(100) for _ in range(3)} == {b"BEAT n3 ready"}
    server.process.terminate()
    while (told := server.registry.recv(100)) == b"BEAT n3 ready":
        pass
    assert told == b"BEAT n3 draining"


def test_a_restart_takes_the_same_address_from_nothing(server: Server) -> None:
    runtime, gateway = server.up()
    gateway.request(A)
    runtime.expect("start", A)
    server.process.kill()
    server.process.wait()
    assert gateway.line() == b""
    server.start()
    runtime = server.runtime(ready="chilly 0")
    assert runtime.synced == 0
    runtime.idle()
    settles(runtime, server.gateway(), B)


def test_a_stall_of_the_process_is_dealt_with_before_new_work(server: Server) -> None:
    runtime, gateway = server.up()
    gateway.request(A, ttl=400)
    runtime.expect("start", A)
    server.process.send_signal(signal.SIGSTOP)
    gateway.request(B, ttl=300), gateway.request(C)
    time.sleep(0.6)  # longer than the first two may wait: what makes them late, not what the test waits for
    server.process.send_signal(signal.SIGCONT)
    assert gateway.answer()["error"]["code"] == -32000  # it ran
    assert gateway.answer()["error"]["code"] == -32014  # its age counts from `recv`: none of its time is left
    runtime.expect("start", C)


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


def test_bad_input_is_answered_and_harms_nobody(server: Server) -> None:
    runtime, good = server.up()
    bad = server.gateway()
    for fields in BAD_FIELDS:
        rude = server.gateway()
        rude.request(**({"call": B, "product": "pay", "dedupe": MARK} | fields))
        assert rude.answer()["error"]["code"] == -32602, fields
        rude.close()
    for line, code in BAD_LINES.items():
        rude = server.gateway()
        rude.sock.sendall(line + b"\n")
        assert rude.answer()["error"]["code"] == code, line
        rude.close()
    bad.sock.sendall(b"\n" + b'{"jsonrpc":"2.0","method":"look"}\n')  # no id to answer under
    assert bad.answer() == {"jsonrpc": "2.0", "id": None, "error": {"code": -32600, "message": "no id"}}
    settles(runtime, bad, A)
    bad.request(B)
    runtime.expect("start", B)
    bad.request(B)  # open already
    assert "error" in bad.answer()
    runtime.ends(B)
    assert bad.result() == b"done"
    bad.sock.sendall(b"x" * 40000)
    assert bad.line() == b""  # a line without end ends its peer
    settles(runtime, good, C)
    assert 1 <= server.log.read_text().count("connection error") <= 30  # some 45 bad peers, seconds


def test_a_mark_with_another_body_or_method_is_never_served(server: Server) -> None:
    # Its result was once given to whoever named the mark.
    runtime, gateway = server.up()
    gateway.request(A, "pay", dedupe=MARK), runtime.expect("start", A)
    gateway.request(B, "pay", dedupe=MARK, body=b"other")
    assert gateway.answer()["error"]["code"] == -32602
    runtime.ends(A, b"paid")
    assert gateway.result() == b"paid"
    gateway.request(B, "pay", dedupe=MARK, body=b"other")
    assert gateway.answer()["error"]["code"] == -32602
    gateway.request(C, "pay", dedupe=MARK)
    assert gateway.result() == b"paid"


def test_a_start_that_the_runtime_would_not_make_leaves_its_mark_free(server: Server) -> None:
    runtime, gateway = server.up()
    gateway.request(B, "pay", dedupe=MARK, body=b"other"), runtime.expect("start", B)
    runtime.say(f"nack start {B}")
    assert gateway.answer()["error"]["code"] == -32602
    gateway.request(A, "pay", dedupe=MARK), runtime.expect("start", A)
    runtime.ends(A, b"paid")
    assert gateway.result() == b"paid"


def test_peers_without_a_word_or_with_too_many_wrong_ones_are_closed(server: Server) -> None:
    runtime, _ = server.up()
    silent, half, back = server.gateway(), server.gateway(), server.gateway()
    half.sock.sendall(b'{"jsonrpc":"2.0","id":1,')
    back.request(A), back.ask("interrupt", call=A)
    wrong = server.gateway()
    wrong.sock.sendall(b"{\n" * 500)
    assert [json.loads(wrong.line())["id"] for _ in range(6)] == [None] * 6
    began = time.monotonic()
    for peer in (wrong, silent, half, back):
        assert peer.line() == b""
    assert time.monotonic() - began < 3  # owed within 3 s of connecting
    settles(runtime, server.gateway(), B)


def test_peers_that_hold_on_make_room_for_others(tmp_path: Path) -> None:
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 48}
    with Server(tmp_path, limits=limits) as server:
        runtime, gateway = server.up()
        settles(runtime, gateway, A)
        many = [socket.create_connection(server.address) for _ in range(200)]
        settles(runtime, server.gateway(), B)  # though all came before it
        began = time.monotonic()  # at the bound one once made room each 50 ms, and only after 1 s of quiet
        asked = [server.gateway() for _ in range(160)]
        for peer in asked:
            peer.ask("check")
        settles(runtime, server.gateway(), C)
        assert time.monotonic() - began < 4
        for sock in many:
            sock.close()


def test_a_33rd_open_request_is_turned_away(server: Server) -> None:
    runtime, gateway = server.up()
    for n in range(33):
        gateway.request(f"{n:016x}", "pay", dedupe=MARK)
    answer = gateway.answer()
    assert answer["id"] == 33 and answer["error"]["code"] == -32600


def test_a_reset_and_a_peer_that_never_reads_harm_nobody(server: Server) -> None:
    runtime, gateway = server.up()
    rude = server.gateway()
    rude.request(A)
    runtime.expect("start", A)
    rude.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    rude.close()
    runtime.idle()
    runtime.ends(A)  # its caller has gone: the run is over, and nobody is told
    deaf = server.gateway()
    with pytest.raises(ConnectionError):  # closed from the other side, though it never reads that
        while True:
            deaf.sock.sendall(b'{"jsonrpc":"2.0","id":1,"method":"check"}\n' * 500)
    server.until("reads too slowly")
    settles(runtime, gateway, B)


def test_descriptors_run_out_without_a_spin_or_a_loss(tmp_path: Path) -> None:
    with Server(tmp_path, descriptors=40) as server:  # fewer than the configuration says
        runtime, gateway = server.up()
        many = [socket.create_connection(server.address) for _ in range(60)]
        server.until("cannot accept", lambda: runtime.idle(1))
        before = cpu_ticks(server.process.pid)
        runtime.idle(25)  # about a second of rings
        assert cpu_ticks(server.process.pid) - before < 60  # of 100 a second
        settles(runtime, server.gateway(), A)  # somebody who asks gets in beside all those that only hold on
        for sock in many:
            sock.close()
        settles(runtime, server.gateway(), B)


def cpu_ticks(pid: int) -> int:
    return sum(map(int, Path(f"/proc/{pid}/stat").read_text().rsplit(")")[1].split()[11:13]))


def test_idle_connections_are_told_and_closed(tmp_path: Path) -> None:
    rare = SETTINGS["familyInfo"] | {"callers": 1000}  # none of them is back soon
    with Server(tmp_path, settings=SETTINGS | {"familyInfo": rare}) as server:
        _, gateway = server.up()
        assert b"noMore" in gateway.line() and gateway.line() == b""


def test_no_room_for_references_is_declined(tmp_path: Path) -> None:
    limits = {"cores": 1.0, "memory_mb": 0.02, "sockets": 256}  # room for one result
    with Server(tmp_path, limits=limits) as server:
        runtime, gateway = server.up()
        gateway.request(A, "pay", dedupe=MARK)
        runtime.expect("start", A)
        gateway.request(B, "pay", dedupe=MARK[::-1])
        assert gateway.answer()["error"]["code"] == -32014
        gateway.request(C, "pay", dedupe=MARK)  # the one that is kept is still known
        runtime.ends(A, b"paid")
        assert {gateway.result(), gateway.result()} == {b"paid"}


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


def test_check_and_version_say_what_is_good(server: Server) -> None:
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
    with Server(tmp_path) as server:
        runtime, gateway = server.up()
        gateway.request(A)
        error = gateway.answer()["error"]
        assert error["code"] == -32014
        gateway.request(B, "pay", dedupe=MARK), runtime.expect("start", B, "pay")
        file.write_text("version = 1\nlevel = 7")
        server.process.send_signal(signal.SIGHUP)
        server.until("levels not taken", lambda: runtime.idle(1))
        file.write_text(table.format(start="no-pay", product="pay"))
        server.process.send_signal(signal.SIGHUP)
        server.until("entered=no-pay", lambda: runtime.idle(1))
        gateway.request(A), runtime.expect("start", A, "look")
        gateway.request(C, "pay", dedupe=MARK, rep=1)  # what runs is never declined by a level
        runtime.idle()
        runtime.ends(B, b"paid")
        assert gateway.result() == gateway.result() == b"paid"
        gateway.request("00000000000000dd", "pay", dedupe="d" * 32)
        assert gateway.answer()["error"]["code"] == -32014


def new_shape() -> dict:
    """The stand-ins' settings as the migration makes them."""
    return migrate_settings(
        SETTINGS, {"familyInfo": {"callsOut": 1.0, "classSkipWorth": [0.5, 0.0]}}
    ).settings


def test_a_migrated_server_serves_and_says_only_what_the_runtime_knows(tmp_path: Path) -> None:
    with Server(tmp_path, settings=new_shape()) as server:
        runtime, gateway = server.up()
        gateway.request(A)
        runtime.expect("start", A)
        gateway.close()  # under `pause` the module would stop it: a line that is no command ends the link
        runtime.idle()
        gateway = server.gateway()
        gateway.request(B)
        runtime.expect("start", B)
        runtime.ends(B, b"b")
        assert gateway.result() == b"b"
        done = subprocess.run(
            ["/bin/sh", "-c", f"{RUN} check"],
            cwd=ROOT,
            capture_output=True,
            timeout=60,
            env=os.environ | {"NODE_CONFIG": str(server.configuration)},
        )
        assert done.returncode == 0 and b"stopMode" in done.stdout and b"classSkipWorth" in done.stdout


def test_a_once_only_txn_is_not_started_again_on_a_new_link(tmp_path: Path) -> None:
    with Server(tmp_path, settings=new_shape()) as server:
        runtime, gateway = server.up()
        runtime.unanswered = True  # so nothing proves that the starts were read
        gateway.request(A, "pay"), gateway.request(B)
        runtime.expect("start", A), runtime.expect("start", B)
        runtime.close()
        runtime = server.runtime()
        runtime.expect("start", B)  # what has no effect is; A is in doubt and waits for its end
        runtime.idle()
        runtime.ends(B, b"b")
        runtime.ends(A, b"a")
        assert {gateway.result(), gateway.result()} == {b"a", b"b"}
