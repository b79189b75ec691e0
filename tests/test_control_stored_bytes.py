"""Compares the lines of the control socket with bytes that commit 44b68c1 wrote.

An older command may query a newer server, and a newer command an older server. The keys and words below are
independent of the names in the code and must never change. Values that differ at each start, and prose, are
replaced."""

import socket
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace

import anyio
import pytest

from otterrudder.fleet.agent import Agent
from otterrudder.fleet.cell.agent import CellAgent
from otterrudder.fleet.cell.service import RelayService
from otterrudder.fleet.client import Client
from otterrudder.fleet.configuration import Fleet, read_fleet
from otterrudder.fleet.records import MemberStatus
from otterrudder.fleet.server_control import ServerControl
from otterrudder.net import control
from otterrudder.vrrp.configuration_reader import read_configuration
from otterrudder.vrrp.router import VrrpRouter

pytestmark = pytest.mark.exclusive

ORDERS = ServerControl(lambda text: None, lambda is_aside: None)
FLEET = 'version = 1\nfleet = "f"\nstore = ["127.0.0.1:1"]\nbound_ms = 3000\n'
RELAY = '[relay]\ncell = "a"\naddress = "127.0.0.1:7301"\nfolder = "state-a"\nsessions_most = 20\n'
KEYS = 'signs = 1\n[[key]]\nnumber = 1\nsecret = "%s"\n' % ("5a" * 32)
GROUPS = """
version = 1
listen = "127.0.0.1:7412"
keys = "keys.toml"
[[group]]
name = "intake"
vrid = 7
address = "192.0.2.11"
virtual = ["192.0.2.1"]
priority = 150
interval_ms = 100
[[group.peer]]
address = "192.0.2.12"
udp = "127.0.0.1:7413"
"""

# Replacements for values that differ at each start or are prose.
REPLACED = {"epoch": "EPOCH", "folder": "FOLDER", "why": "WHY"}

VRRP = (
    b'{"v": 1, "vrrp": [{"group": "intake", "vrid": 7, "state": "initialize", "door": "closed", '
    b'"priority": 150, "base": 150, "lowered_by": [], "interval_ms": 100.0, "timer_ms": null, '
    b'"returns": 0, "counts": {}}]}\n'
)
MEMBER = (
    b'{"v": 1, "fleet": {"fleet": "f", "name": "n1", "epoch": "EPOCH", "folder": "FOLDER", '
    b'"standing": "starting", "admits": false, "why": "WHY", '
    b'"version": 0, "digest": "", "head": 0, "pledged": "", "registered": false, "leader": false, '
    b'"absent": "wait", "lease_left_ms": 0.0, "worst_answer_ms": 0.0, "counts": {"asked": 0, '
    b'"unanswered": 0, "hints": 0, "watches_ended": 0, "asides": 0}}}\n'
)
CELL_SERVER = (
    b'{"v": 1, "fleet": {"fleet": "f", "name": "n1", "epoch": "EPOCH", "kind": "kind", "relay": '
    b'"127.0.0.1:7301", "relays": ["127.0.0.1:7301"], "standing": "starting", "admits": false, '
    b'"why": "WHY", "version": 0, "digest": "", "head": 0, '
    b'"lease_left_ms": 0.0, "counts": {"connected": 0, "ended": 0, "sent": 0, "received": 0, '
    b'"checks_begun": 0, "checked": 0, "asides": 0}}}\n'
)
RELAY_ANSWER = (
    b'{"v": 1, "relay": {"fleet": "f", "cell": "a", "address": "127.0.0.1:7301", "leads": false, '
    b'"standing": "starting", "why": "WHY", "version": 0, "digest": '
    b'"", "settles": false, "store_lease_left_ms": 0.0, "authority_left_ms": 0.0, "consent_left_ms": '
    b'0.0, "consented_left_ms": 0.0, "sessions": 0, "sessions_most": 20, "streams": 0, "received": '
    b'0, "kinds": {}, "versions": {}, "standings": {}, "refused": {}, "streams_failed": {}, '
    b'"worst_answer_ms": 0.0, "counts": {"asked": 0, "unanswered": 0, "hints": 0, "watches_ended": '
    b"0}}}\n"
)


def fleet_of(folder: Path, text: str) -> Fleet:
    path = folder / "fleet.toml"
    path.write_text(FLEET + text)
    return read_fleet(path)


def vrrp(folder: Path) -> object:
    path = folder / "vrrp.toml"
    path.write_text(GROUPS)
    keys = folder / "keys.toml"
    keys.write_text(KEYS)
    keys.chmod(0o600)
    return VrrpRouter(read_configuration(path, [], []), 1, lambda command: None, dict).status()


def member(folder: Path) -> object:
    fleet = fleet_of(folder, f'folder = "{folder}/state"\n')
    return Agent(
        fleet, Client(fleet), "n1", MemberStatus(""), lambda text: "", ORDERS, None, None
    ).control_status()


def cell_server(folder: Path) -> object:
    fleet = fleet_of(folder, 'relays = ["127.0.0.1:7301"]\n')
    return CellAgent(fleet, "n1", "kind", lambda text: "", ORDERS).control_status()


def relay(folder: Path) -> object:
    fleet = fleet_of(folder, RELAY)
    assert fleet.relay
    return RelayService(fleet, fleet.relay, Client(fleet), None, None).control_status()


def replace_variable_values(answer: object) -> object:
    return (
        answer | {key: value for key, value in REPLACED.items() if key in answer}
        if isinstance(answer, dict)
        else answer
    )


async def exchange(path: Path, line: bytes) -> bytes:
    """Sends a request and returns the reply, read to the end of the stream."""

    def send_and_receive() -> bytes:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
            sock.settimeout(10.0)
            sock.connect(str(path))
            sock.sendall(line)
            data = b""
            while more := sock.recv(65536):
                data += more
        return data

    return await anyio.to_thread.run_sync(send_and_receive)


def replies(name: str, answers: dict[str, Callable[[], object]], lines: list[bytes]) -> list[bytes]:
    async def scenario() -> list[bytes]:
        served = control.ControlSocket(name, answers)
        async with anyio.create_task_group() as group:
            group.start_soon(served.run)
            while not served.path.exists():
                await anyio.sleep(0.001)
            got = [await exchange(served.path, line) for line in lines]
            group.cancel_scope.cancel()
        return got

    return anyio.run(scenario)


@pytest.mark.parametrize(
    ("word", "answer", "written"),
    [
        ("vrrp", vrrp, VRRP),
        ("fleet", member, MEMBER),
        ("fleet", cell_server, CELL_SERVER),
        ("relay", relay, RELAY_ANSWER),
    ],
    ids=["vrrp", "fleet", "fleet-cell", "relay"],
)
def test_replies_match_stored_bytes(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    word: str,
    answer: Callable[[Path], object],
    written: bytes,
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))

    async def query() -> object:
        return replace_variable_values(answer(tmp_path))

    shown = anyio.run(query)
    (reply,) = replies("n1", {word: lambda: shown}, [b'{"v": 1, "ask": "%s"}\n' % word.encode()])
    assert reply == written


def test_errors_match_stored_bytes(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    answers: dict[str, Callable[[], object]] = {"vrrp": list, "fleet": lambda: {"a": Path("/b")}}
    lines = [
        b'{"v": 2, "ask": "vrrp"}\n',
        b'{"v": 1, "ask": "x"}\n',
        b"{\n",
        b"[]\n",
        b'{"v": 1, "ask": "fleet"}\n',
    ]
    assert replies("n1", answers, lines) == [
        b'{"v": 1, "error": "this server speaks version 1"}\n',
        b'{"v": 1, "error": "ask for one of fleet, vrrp"}\n',
        b'{"v": 1, "error": "not a line of JSON"}\n',
        b'{"v": 1, "error": "not a line of JSON"}\n',
        b'{"v": 1, "fleet": {"a": "/b"}}\n',
    ]


def test_request_matches_stored_bytes(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    path, sent = control.socket_path("n1"), SimpleNamespace(data=b"")
    assert path == tmp_path / "otterrudder-n1.sock"

    async def scenario() -> dict[str, object]:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as listener:
            listener.settimeout(10.0)
            listener.bind(str(path))
            listener.listen(1)

            def serve() -> None:
                sock, _ = listener.accept()
                with sock:
                    sent.data = sock.recv(4096)
                    sock.sendall(b'{"v": 1, "vrrp": []}\n')

            async with anyio.create_task_group() as group:
                group.start_soon(anyio.to_thread.run_sync, serve)
                return await anyio.to_thread.run_sync(control.query, "n1", "vrrp")

    assert anyio.run(scenario) == {"v": 1, "vrrp": []}
    assert sent.data == b'{"v": 1, "ask": "vrrp"}\n'
