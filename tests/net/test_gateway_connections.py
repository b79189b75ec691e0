"""Gateways that send invalid input, stay silent, stay connected or do not read, on sockets."""

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


def test_invalid_input_is_answered_and_does_not_affect_other_connections(server: ServerProcess) -> None:
    runtime, good = server.connect_all()
    mixed = server.connect_gateway()
    for fields in BAD_FIELDS:
        faulty = server.connect_gateway()
        faulty.send_request(**({"call": B, "product": "pay", "dedupe": IDEMPOTENCY_KEY} | fields))
        assert faulty.read_answer()["error"]["code"] == -32602, fields
        faulty.close()
    for line, code in BAD_LINES.items():
        faulty = server.connect_gateway()
        faulty.sock.sendall(line + b"\n")
        assert faulty.read_answer()["error"]["code"] == code, line
        faulty.close()
    mixed.sock.sendall(b"\n" + b'{"jsonrpc":"2.0","method":"look"}\n')  # answered with the id null
    assert mixed.read_answer() == {
        "jsonrpc": "2.0",
        "id": None,
        "error": {"code": -32600, "message": "id is missing"},
    }
    complete_request(runtime, mixed, A)
    mixed.send_request(B)
    runtime.expect_command("start", B)
    mixed.send_request(B)  # a request with this id is already open
    assert "error" in mixed.read_answer()
    runtime.end_run(B)
    assert mixed.read_result() == b"done"
    mixed.sock.sendall(b"x" * 40000)
    assert mixed.read_line() == b""  # an endless line ends its connection
    complete_request(runtime, good, C)
    # About 45 connections had errors within some seconds.
    assert 1 <= server.log.read_text().count("connection error") <= 30


def test_silent_connections_and_those_with_too_many_errors_are_closed(server: ServerProcess) -> None:
    runtime, _ = server.connect_all()
    silent, partial, cancelled = server.connect_gateway(), server.connect_gateway(), server.connect_gateway()
    partial.sock.sendall(b'{"jsonrpc":"2.0","id":1,')
    cancelled.send_request(A), cancelled.send_message("interrupt", call=A)
    invalid = server.connect_gateway()
    invalid.sock.sendall(b"{\n" * 500)
    assert [json.loads(invalid.read_line())["id"] for _ in range(6)] == [None] * 6
    started_at = time.monotonic()
    for peer in (invalid, silent, partial, cancelled):
        assert peer.read_line() == b""
    assert time.monotonic() - started_at < 3  # gateways are promised a response within 3 s of connecting
    complete_request(runtime, server.connect_gateway(), B)


def test_idle_connections_make_room_for_others(tmp_path: Path) -> None:
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 48}
    with ServerProcess(tmp_path, limits=limits) as server:
        runtime, gateway = server.connect_all()
        complete_request(runtime, gateway, A)
        many = [socket.create_connection(server.address) for _ in range(200)]
        complete_request(runtime, server.connect_gateway(), B)  # although all of them connected earlier
        started_at = time.monotonic()  # fails if room is made only every 50 ms or after 1 s of idle time
        checking = [server.connect_gateway() for _ in range(160)]
        for peer in checking:
            peer.send_message("check")
        complete_request(runtime, server.connect_gateway(), C)
        assert time.monotonic() - started_at < 4
        for sock in many:
            sock.close()


def test_more_than_32_open_requests_are_refused(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    for n in range(33):
        gateway.send_request(f"{n:016x}", "pay", dedupe=IDEMPOTENCY_KEY)
    answer = gateway.read_answer()
    assert answer["id"] == 33 and answer["error"]["code"] == -32600


def test_reset_and_unread_answers_do_not_affect_other_connections(server: ServerProcess) -> None:
    runtime, gateway = server.connect_all()
    complete_request(runtime, gateway, C)  # a connection without a message is closed after 1.5 s
    faulty = server.connect_gateway()
    faulty.send_request(A)
    runtime.expect_command("start", A)
    faulty.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    faulty.close()
    runtime.answer_gauges()
    runtime.end_run(A)  # its caller has disconnected, so no answer is sent
    stalled = server.connect_gateway()
    with pytest.raises(ConnectionError):  # the server closes the connection
        while True:
            stalled.sock.sendall(b'{"jsonrpc":"2.0","id":1,"method":"check"}\n' * 500)
    server.wait_for_log("reads too slowly")
    complete_request(runtime, gateway, B)


def test_lack_of_descriptors_causes_no_busy_loop_and_loses_no_request(tmp_path: Path) -> None:
    with ServerProcess(tmp_path, descriptors=40) as server:  # fewer than configured
        runtime, gateway = server.connect_all()
        many = [socket.create_connection(server.address) for _ in range(60)]
        server.wait_for_log("cannot accept connections", lambda: runtime.answer_gauges(1))
        before = cpu_ticks(server.process.pid)
        runtime.answer_gauges(25)  # takes about 1 s
        assert cpu_ticks(server.process.pid) - before < 60  # there are 100 ticks per second
        # A gateway with a request is accepted despite the silent connections.
        complete_request(runtime, server.connect_gateway(), A)
        for sock in many:
            sock.close()
        complete_request(runtime, server.connect_gateway(), B)


def cpu_ticks(pid: int) -> int:
    """Returns the CPU time that the process has used, in clock ticks."""
    return sum(map(int, Path(f"/proc/{pid}/stat").read_text().rsplit(")")[1].split()[11:13]))


def test_idle_connections_get_no_more_and_are_closed(tmp_path: Path) -> None:
    family = SETTINGS["familyInfo"] | {"callers": 1000}  # with many callers, each one returns rarely
    with ServerProcess(tmp_path, settings=SETTINGS | {"familyInfo": family}) as server:
        _, gateway = server.connect_all()
        assert b"noMore" in gateway.read_line() and gateway.read_line() == b""


def test_requests_are_served_while_idle_clients_use_all_descriptors(tmp_path: Path) -> None:
    """Idle clients never disconnect by themselves. Each sends a health check and stays connected until the
    server closes the connection."""
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
            started_at = time.monotonic()
            gateway.send_request(call, ttl=4000)
            runtime.expect_command("start", call)
            if not n:  # descriptors for the records service are available
                runtime.send_notice(f"wants {call}", b"?")
                server.accept_call(call, b"?").send(f"{call} DONE", b"!")
                runtime.expect_command("give", call)
            runtime.end_run(call)
            assert gateway.read_result() == b"done" and time.monotonic() - started_at < 4.0
        assert not server.has_logged("Too many open files")
