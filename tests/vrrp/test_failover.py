"""A server process with a scripted VRRP peer and a gateway connection admits requests only as master."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from ipaddress import ip_address
from pathlib import Path

import pytest
from fake_gateway import FakeGateway
from fake_runtime import FakeRuntime
from helpers import ROOT
from line_connection import WAIT_S
from server_process import ServerProcess

from otterrudder.net import control
from otterrudder.vrrp import packet
from otterrudder.vrrp.authentication import TRAILER_SIZE, Authenticator
from otterrudder.vrrp.keys import read_keys

pytestmark = pytest.mark.exclusive

PEER_ADDRESS, SERVER_ADDRESS, VIRTUAL_ADDRESS, MULTICAST = map(
    ip_address, ("192.0.2.12", "192.0.2.11", "192.0.2.1", "224.0.0.18")
)
INTERVAL_MS = 100
TRANSITIONS = int(os.environ.get("VRRP_TURNS", "4"))  # forced failovers and failbacks; 100 take two minutes
VRRP_FILE = """
version = 1
listen = "127.0.0.1:{port}"
keys = "keys.toml"
hand_over_ms = 2000
hold_down = {{ first_ms = 20, most_ms = 40, forget_ms = 100 }}
[[group]]
name = "intake"
vrid = 7
address = "192.0.2.11"
virtual = ["192.0.2.1"]
priority = 150
interval_ms = 100
[[group.peer]]
address = "192.0.2.12"
udp = "127.0.0.1:{peer}"
"""


class ScriptedPeer:
    """A VRRP peer that advertises while `is_advertising` is set, and decodes what it receives."""

    def __init__(self, keys: Path) -> None:
        self.authenticator = Authenticator(read_keys(keys), int(time.time() * 1000))
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setsockopt(socket.IPPROTO_IP, socket.IP_TTL, 255)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.settimeout(WAIT_S)
        self.port = self.sock.getsockname()[1]
        self.target_port = 0
        self.is_advertising = threading.Event()
        self.is_stopped = threading.Event()
        self.priority = 200
        self.thread = threading.Thread(target=self._advertise, daemon=True)

    def advertise(self, priority: int, interval_ms: float = INTERVAL_MS) -> bytes:
        advertisement = packet.Advertisement(7, priority, interval_ms, (VIRTUAL_ADDRESS,))
        data = self.authenticator.sign(
            packet.encode(advertisement, PEER_ADDRESS, MULTICAST), str(PEER_ADDRESS)
        )
        self.sock.sendto(data, ("127.0.0.1", self.target_port))
        return data

    def _advertise(self) -> None:
        while not self.is_stopped.wait(INTERVAL_MS / 4000):
            if self.is_advertising.is_set():
                self.advertise(self.priority)

    def receive(self) -> packet.Advertisement:
        data = self.sock.recv(2048)
        return packet.decode(data[:-TRAILER_SIZE], SERVER_ADDRESS, MULTICAST)

    def close(self) -> None:
        self.is_stopped.set()
        self.thread.join(WAIT_S)
        self.sock.close()


@pytest.fixture
def pair(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[tuple[ServerProcess, ScriptedPeer]]:
    keys = tmp_path / "keys.toml"
    subprocess.run(
        [sys.executable, "-m", "otterrudder", "vrrp", "keygen", str(keys)],
        cwd=ROOT,
        check=True,
        capture_output=True,
    )
    peer = ScriptedPeer(keys)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
        free.bind(("127.0.0.1", 0))
        peer.target_port = free.getsockname()[1]
    (tmp_path / "vrrp.toml").write_text(VRRP_FILE.format(port=peer.target_port, peer=peer.port))
    monkeypatch.setenv("OTTERRUDDER_VRRP", str(tmp_path / "vrrp.toml"))
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    peer.thread.start()
    with ServerProcess(tmp_path) as server:
        yield server, peer
    peer.close()


def wait_for_state(server: ServerProcess, runtime: FakeRuntime, state: str, times: int) -> None:
    """Waits until the server has logged the VRRP state `times` times."""
    deadline = time.monotonic() + WAIT_S
    while server.log.read_text().count(f"state={state}") < times:
        assert time.monotonic() < deadline, server.log.read_text()
        runtime.answer_gauges(1)


def wait_for_open_gate(server: ServerProcess, runtime: FakeRuntime, times: int) -> None:
    """Waits until the server has logged an open gate `times` times."""
    deadline = time.monotonic() + WAIT_S
    while server.log.read_text().count("door=open serves") < times:
        assert time.monotonic() < deadline, server.log.read_text()
        runtime.answer_gauges(1)


def send_request(gateway: FakeGateway, n: int, product: str = "look") -> int:
    return gateway.send_request(f"{n:016x}", product, **({"dedupe": f"{n:032x}"} if product == "pay" else {}))


def test_server_admits_only_as_master_and_answers_its_requests_after_a_failover(
    pair: tuple[ServerProcess, ScriptedPeer],
) -> None:
    server, peer = pair
    peer.is_advertising.set()
    runtime, gateway = server.connect_all()
    check = gateway.send_message("check")
    assert gateway.read_answer()["result"]["pass"] is False  # discovery must not choose a backup
    rpc = send_request(gateway, 1)
    error = gateway.read_answer()
    assert error["id"] == rpc != check and error["error"]["code"] == -32014
    assert "stop" not in error["error"]["data"] and error["error"]["data"]["pushback"] > 0
    peer.is_advertising.clear()
    wait_for_state(server, runtime, "master", 1)
    wait_for_open_gate(server, runtime, 1)
    assert peer.receive().priority == 150
    rpc = send_request(gateway, 2, "pay")
    assert runtime.expect_command("start", f"{2:016x}", "pay")
    peer.is_advertising.set()  # a peer with a higher priority: the server steps down during a run
    wait_for_state(server, runtime, "backup", 2)
    time.sleep(0.6)  # longer than the grace period of 400 ms
    rejected_rpc = send_request(gateway, 3)
    assert gateway.read_answer()["id"] == rejected_rpc  # rejected at once, while request 2 still runs
    runtime.end_run(f"{2:016x}", b"paid")
    answer = gateway.read_answer()
    assert answer["id"] == rpc and "result" in answer
    repeat = gateway.send_request(f"{4:016x}", "pay", dedupe=f"{2:032x}", rep=1)
    # A backup keeps idempotency keys, but this repeat arrived after the grace period.
    assert gateway.read_answer()["id"] == repeat
    peer.is_advertising.clear()
    wait_for_open_gate(server, runtime, 2)
    second_repeat = gateway.send_request(f"{5:016x}", "pay", dedupe=f"{2:032x}", rep=1)
    answer = gateway.read_answer()  # the result of the first run is kept across both state changes
    assert answer["id"] == second_repeat and "result" in answer
    status = control.query("n3", "vrrp")["vrrp"][0]
    assert (status["state"], status["door"], status["priority"]) == ("master", "open", 150)
    assert control.socket_path("n3").stat().st_mode & 0o777 == 0o600


def test_sigterm_sends_priority_0_before_the_drain(pair: tuple[ServerProcess, ScriptedPeer]) -> None:
    server, peer = pair
    runtime, gateway = server.connect_all()
    wait_for_open_gate(server, runtime, 1)
    send_request(gateway, 1)
    runtime.expect_command("start", f"{1:016x}")
    server.process.send_signal(signal.SIGTERM)
    while peer.receive().priority:
        pass
    runtime.end_run(f"{1:016x}")
    assert gateway.read_answer()["result"]
    assert server.wait_for_exit() == 0 and not control.socket_path("n3").exists()


def test_each_request_gets_one_answer_across_forced_failovers(
    pair: tuple[ServerProcess, ScriptedPeer],
) -> None:
    server, peer = pair
    runtime, gateway = server.connect_all()
    wait_for_open_gate(server, runtime, 1)
    count, rpcs = 0, []
    for turn in range(1, TRANSITIONS + 1):
        for _ in range(4):  # some arrive while mastership changes
            count += 1
            rpcs.append(send_request(gateway, count, "pay" if count % 2 else "look"))
        peer.is_advertising.set()
        time.sleep(0.04 * (turn % 5))  # within two intervals: before, while and after it steps down
        count += 1
        rpcs.append(send_request(gateway, count))
        if turn % 2:  # the server becomes master again while it drains, otherwise after all answers
            peer.is_advertising.clear()
        answers = 0
        while answers < 5:
            words, _ = _next_start_or_answer(server, runtime, gateway)
            if words:
                runtime.end_run(words[1])
            else:
                answers += 1
        peer.is_advertising.clear()
        deadline = time.monotonic() + WAIT_S
        while control.query("n3", "vrrp")["vrrp"][0]["door"] != "open":
            assert time.monotonic() < deadline
            runtime.answer_gauges(1)
    assert sorted(gateway.answered_rpcs) == sorted(rpcs)  # each request is answered exactly once
    counts = control.query("n3", "vrrp")["vrrp"][0]["counts"]
    print(f"{len(rpcs)} requests, became master {counts['became master']}, backup {counts['became backup']}")
    assert counts["became master"] > TRANSITIONS // 2


def _next_start_or_answer(
    server: ServerProcess, runtime: FakeRuntime, gateway: FakeGateway
) -> tuple[list[str], bytes]:
    """Returns the next run that the runtime starts, or an empty list once the gateway receives an answer.

    The ids of the answers are kept in `gateway.answered_rpcs`."""
    gateway.answered_rpcs = getattr(gateway, "answered_rpcs", [])
    while True:
        gateway.sock.setblocking(False)
        try:
            received = gateway.sock.recv(65536)
            assert received
            gateway.data += received
        except BlockingIOError:
            pass
        finally:
            gateway.sock.settimeout(WAIT_S)
        if b"\n" in gateway.data:
            line, gateway.data = gateway.data.split(b"\n", 1)
            message = json.loads(line)
            if "id" in message:
                gateway.answered_rpcs.append(message["id"])
                return [], b""
            continue
        words = runtime.read_line().decode().split(" ")
        if words[0] == "gauges":
            runtime.send(f"load {words[1]} 0.2 1 0.1 5")
        else:
            return words, runtime.read_body(int(words[-1]))


def test_unauthenticated_messages_change_nothing_and_sighup_reloads_keys(
    pair: tuple[ServerProcess, ScriptedPeer], tmp_path: Path
) -> None:
    server, peer = pair
    runtime, _ = server.connect_all()
    wait_for_open_gate(server, runtime, 1)
    genuine = peer.advertise(1)
    for data in (b"", b"x" * 40, genuine, genuine[:-1] + bytes([genuine[-1] ^ 1])):
        peer.sock.sendto(data, ("127.0.0.1", peer.target_port))
    keys = tmp_path / "keys.toml"
    for options in (["--add"], ["--sign", "2"]):
        subprocess.run(
            [sys.executable, "-m", "otterrudder", "vrrp", "keygen", str(keys), *options],
            cwd=ROOT,
            check=True,
            capture_output=True,
        )
        before = server.log.read_text().count("vrrp keys reloaded")
        server.process.send_signal(signal.SIGHUP)
        while server.log.read_text().count("vrrp keys reloaded") == before:
            runtime.answer_gauges(1)
    peer.authenticator.keys = read_keys(keys)
    counts = control.query("n3", "vrrp")["vrrp"][0]["counts"]
    assert counts["replayed"] == 1 and counts["seal"] == 1 and counts["heard"] == 1
    peer.is_advertising.set()
    wait_for_state(server, runtime, "backup", 2)
    secret = keys.read_text().split('"')[1]
    assert secret not in server.log.read_text() and "Traceback" not in server.log.read_text()
