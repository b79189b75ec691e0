"""Gateways that send bad input, hold on, stay silent or do not read, on sockets."""

import json
import socket
import struct
import time
from pathlib import Path

import pytest
from helpers import SETTINGS
from server_process import IDEMPOTENCY_KEY, A, B, C, ServerProcess, complete_request

pytestmark = pytest.mark.exclusive

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


def test_bad_input_is_answered_and_affects_nobody_else(server: ServerProcess) -> None:
    runtime, good = server.connect_all()
    bad = server.connect_gateway()
    for fields in BAD_FIELDS:
        rude = server.connect_gateway()
        rude.send_request(**({"call": B, "product": "pay", "dedupe": IDEMPOTENCY_KEY} | fields))
        assert rude.read_answer()["error"]["code"] == -32602, fields
        rude.close()
    for line, code in BAD_LINES.items():
        rude = server.connect_gateway()
        rude.sock.sendall(line + b"\n")
        assert rude.read_answer()["error"]["code"] == code, line
        rude.close()
    bad.sock.sendall(b"\n" + b'{"jsonrpc":"2.0","method":"look"}\n')  # no id to answer under
    assert bad.read_answer() == {
        "jsonrpc": "2.0",
        "id": None,
        "error": {"code": -32600, "message": "id is missing"},
    }
    complete_request(runtime, bad, A)
    bad.send_request(B)
    runtime.expect_command("start", B)
    bad.send_request(B)  # open already
    assert "error" in bad.read_answer()
    runtime.end_run(B)
    assert bad.read_result() == b"done"
    bad.sock.sendall(b"x" * 40000)
    assert bad.read_line() == b""  # a line without end ends its peer
    complete_request(runtime, good, C)
    assert 1 <= server.log.read_text().count("connection error") <= 30  # some 45 bad peers, seconds


def test_connections_without_a_message_or_with_too_many_wrong_ones_are_closed(server: ServerProcess) -> None:
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
    complete_request(runtime, server.connect_gateway(), B)


def test_idle_connections_make_room_for_others(tmp_path: Path) -> None:
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 48}
    with ServerProcess(tmp_path, limits=limits) as server:
        runtime, gateway = server.connect_all()
        complete_request(runtime, gateway, A)
        many = [socket.create_connection(server.address) for _ in range(200)]
        complete_request(runtime, server.connect_gateway(), B)  # though all came before it
        began = time.monotonic()  # at the bound one once made room each 50 ms, and only after 1 s of quiet
        asked = [server.connect_gateway() for _ in range(160)]
        for peer in asked:
            peer.send_message("check")
        complete_request(runtime, server.connect_gateway(), C)
        assert time.monotonic() - began < 4
        for sock in many:
            sock.close()


def test_a_33rd_open_request_is_turned_away(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    for n in range(33):
        gateway.send_request(f"{n:016x}", "pay", dedupe=IDEMPOTENCY_KEY)
    answer = gateway.read_answer()
    assert answer["id"] == 33 and answer["error"]["code"] == -32600


def test_a_reset_and_a_gateway_that_never_reads_affect_nobody_else(server: ServerProcess) -> None:
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
    complete_request(runtime, gateway, B)


def test_descriptors_run_out_without_a_spin_or_a_loss(tmp_path: Path) -> None:
    with ServerProcess(tmp_path, descriptors=40) as server:  # fewer than the configuration says
        runtime, gateway = server.connect_all()
        many = [socket.create_connection(server.address) for _ in range(60)]
        server.wait_for_log("cannot accept connections", lambda: runtime.answer_gauges(1))
        before = cpu_ticks(server.process.pid)
        runtime.answer_gauges(25)  # about a second of rings
        assert cpu_ticks(server.process.pid) - before < 60  # of 100 a second
        complete_request(
            runtime, server.connect_gateway(), A
        )  # somebody who asks gets in beside all those that only hold on
        for sock in many:
            sock.close()
        complete_request(runtime, server.connect_gateway(), B)


def cpu_ticks(pid: int) -> int:
    return sum(map(int, Path(f"/proc/{pid}/stat").read_text().rsplit(")")[1].split()[11:13]))


def test_idle_connections_are_told_and_closed(tmp_path: Path) -> None:
    rare = SETTINGS["familyInfo"] | {"callers": 1000}  # none of them is back soon
    with ServerProcess(tmp_path, settings=SETTINGS | {"familyInfo": rare}) as server:
        _, gateway = server.connect_all()
        assert b"noMore" in gateway.read_line() and gateway.read_line() == b""


def test_requests_get_in_while_idle_clients_fill_the_descriptors(tmp_path: Path) -> None:
    """Nobody leaves by a new list. All fill the table after a word each, and rest until they are ended."""
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 64}
    with ServerProcess(tmp_path, descriptors=64, limits=limits) as server:
        runtime = server.accept_runtime()
        runtime.answer_gauges(2)
        idle = []
        for _ in range(150):
            gateway = server.connect_gateway()
            gateway.send_message("check")
            idle.append(gateway)
        for n in range(5):
            call, gateway = f"{n:016x}", server.connect_gateway()
            began = time.monotonic()
            gateway.send_request(call, ttl=4000)
            runtime.expect_command("start", call)
            if not n:  # descriptors for the service below are there
                runtime.send_notice(f"wants {call}", b"?")
                server.accept_call(call, b"?").send(f"{call} DONE", b"!")
                runtime.expect_command("give", call)
            runtime.end_run(call)
            assert gateway.read_result() == b"done" and time.monotonic() - began < 4.0
        assert not server.has_logged("Too many open files")
