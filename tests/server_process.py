"""The server as a process, started as operators start it. The test takes the roles of the runtime, the
records service, the gateways and the service discovery."""

import base64
import json
import os
import resource
import signal
import socket
import subprocess
import time
from collections.abc import Callable
from pathlib import Path

from fake_gateway import FakeGateway
from fake_records import FakeRecords
from fake_runtime import FakeRuntime
from helpers import ROOT, RUN, SETTINGS
from line_connection import WAIT_S, LineConnection, listen

# Ids of requests, and an idempotency key.
A, B, C = "00000000000000aa", "00000000000000bb", "00000000000000cc"
IDEMPOTENCY_KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


def address_text(address: tuple[str, int]) -> str:
    return "{}:{}".format(*address)


def receive_reports() -> socket.socket:
    """Returns the socket that receives the reports to the service discovery."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    sock.settimeout(WAIT_S)
    return sock


class ServerProcess:
    """A server's process, started with the command of the deploy file and killed at the end of the `with`
    block."""

    def __init__(self, folder: Path, descriptors: int = 0, **configured: object) -> None:
        """`descriptors` is the process's limit of open files; 0 keeps the system's limit. `configured` has
        keys of the configuration that replace the defaults."""
        self.runtimes = listen()
        self.runtime_address: tuple[str, int] = self.runtimes.getsockname()
        self.records = FakeRecords()
        self.reports = receive_reports()
        with listen() as free:
            self.address: tuple[str, int] = free.getsockname()
        self.document = {
            "name": "n3",
            "listen": address_text(self.address),
            "runtime": address_text(self.runtime_address),
            "registry": address_text(self.reports.getsockname()),
            "records": address_text(self.records.address),
            "seed": "8c1f30d27a5be964",
            "stop_ms": 1500,
            "settings": SETTINGS,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        } | configured
        self.configuration = folder / "config.json"
        self.configuration.write_text(json.dumps(self.document))
        self.log = folder / "log.txt"
        self.descriptors = descriptors
        self.connections: list[LineConnection] = []
        self.start()

    def start(self) -> None:
        limit = self.descriptors
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", RUN],
            cwd=ROOT,
            env=os.environ | {"NODE_CONFIG": str(self.configuration)},
            stderr=self.log.open("ab"),
            preexec_fn=lambda: limit and resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit)),
        )

    def __enter__(self) -> "ServerProcess":
        return self

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.wait(WAIT_S)
        for item in (*self.connections, self.runtimes, self.records, self.reports):
            item.close()

    # Peers.

    def accept_runtime(
        self, ready: str = "hot 60000", missed: tuple[tuple[str, bytes | None], ...] = ()
    ) -> FakeRuntime:
        """Accepts the next link of the server as the runtime; see FakeRuntime for the arguments."""
        runtime = FakeRuntime(self.runtimes.accept()[0], ready, missed)
        self.connections.append(runtime)
        return runtime

    def accept_records(self) -> LineConnection:
        """Accepts the next connection of the server as the records service."""
        self.connections.append(connection := self.records.accept())
        return connection

    def accept_call(self, request_id: str, body: bytes) -> LineConnection:
        """Accepts the next connection as the records service, and checks that it carries this call."""
        self.connections.append(connection := self.records.accept_call(request_id, body))
        return connection

    def connect_gateway(self) -> FakeGateway:
        """Connects as a gateway once the server listens."""
        deadline = time.monotonic() + WAIT_S
        while True:
            try:
                gateway = FakeGateway(self.address)
            except ConnectionRefusedError:
                is_alive = self.process.poll() is None
                assert is_alive and time.monotonic() < deadline, self.log.read_text()
            else:
                self.connections.append(gateway)
                return gateway

    def connect_all(self) -> tuple[FakeRuntime, FakeGateway]:
        """Connects a runtime that is up, and a gateway."""
        runtime = self.accept_runtime()
        runtime.answer_gauges(2)
        return runtime, self.connect_gateway()

    # Configuration.

    def reload(self, text: str) -> None:
        """Replaces the configuration file and sends SIGHUP."""
        self.configuration.write_text(text)
        self.process.send_signal(signal.SIGHUP)

    def move_addresses(self) -> socket.socket:
        """Reloads with new addresses of all peers. Returns the socket that received the old reports."""
        earlier_reports = self.reports
        self.runtimes = listen()
        self.records = FakeRecords()
        self.reports = receive_reports()
        self.document |= {
            "runtime": address_text(self.runtimes.getsockname()),
            "records": address_text(self.records.address),
            "registry": address_text(self.reports.getsockname()),
        }
        self.reload(json.dumps(self.document))
        return earlier_reports

    # Output.

    def has_logged(self, text: str) -> bool:
        return text in self.log.read_text()

    def wait_for_log(self, text: str, meanwhile: Callable[[], object] = lambda: time.sleep(0.01)) -> None:
        deadline = time.monotonic() + WAIT_S
        while not self.has_logged(text):
            assert time.monotonic() < deadline, self.log.read_text()
            meanwhile()

    def wait_for_exit(self) -> int:
        """Waits for the end of the process and returns its exit code."""
        return self.process.wait(WAIT_S)


def complete_request(runtime: FakeRuntime, gateway: FakeGateway, call: str, body: bytes = b"ask") -> None:
    """Sends a request, and checks that its body and its response pass unchanged."""
    rpc = gateway.send_request(call, body=body)
    _, received = runtime.expect_command("start", call, "look")
    assert received == body
    runtime.end_run(call, body[::-1])
    answer = gateway.read_answer()
    assert answer["id"] == rpc and "load" in answer["result"]
    assert base64.b64decode(answer["result"]["blob"]) == body[::-1]
