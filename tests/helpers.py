"""Fake peers of a server, written from the protocol, and the server's process: for tests on sockets."""

import base64
import json
import os
import resource
import signal
import socket
import subprocess
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).parent.parent
RUN = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]  # how the operators start it

# Stand-ins of what a server talks to, written from the protocol: blocking, scripted by the tests.

WAIT_S = 20.0  # s that any single wait of a test may take: a bound for failures, nothing is timed by it


class Wire:
    """One end of a connection, read by lines and lengths."""

    def __init__(self, sock: socket.socket, mark: bytes = b"\r\n") -> None:
        sock.settimeout(WAIT_S)
        self.sock, self.mark, self.data = sock, mark, b""

    def line(self) -> bytes:
        """The next line without its end; b"" at the end of the stream."""
        while self.mark not in self.data:
            try:
                more = self.sock.recv(65536)
            except ConnectionError:
                more = b""
            if not more:
                return b""
            self.data += more
        line, self.data = self.data.split(self.mark, 1)
        return line

    def body(self, size: int) -> bytes:
        while len(self.data) < size + 2:
            more = self.sock.recv(65536)
            assert more, "ended in a body"
            self.data += more
        body, end, self.data = self.data[:size], self.data[size : size + 2], self.data[size + 2 :]
        assert end == b"\r\n"
        return body

    def say(self, text: str, body: bytes | None = None) -> None:
        self.sock.sendall(
            text.encode() + b"\r\n" if body is None else f"{text} {len(body)}\r\n".encode() + body + b"\r\n"
        )

    def close(self) -> None:
        self.sock.close()


class Runtime(Wire):
    """Answers the questions for gauges by itself, and hands on all other commands."""

    def __init__(self, sock: socket.socket, ready: str = "hot 60000", missed: tuple = ()) -> None:
        super().__init__(sock)
        self.synced = int(self.line().split()[1])
        self.notice, self.unanswered = self.synced, False
        if ready:
            self.say(f"ready {ready}")
        for text, body in missed:
            self.tell(text, body)

    def next(self) -> tuple[list[str], bytes]:
        ends = time.monotonic() + WAIT_S
        while time.monotonic() < ends:
            words = self.line().decode().split(" ")
            if words[0] == "gauges":
                if not self.unanswered:
                    self.say(f"load {words[1]} 0.2 1 0.1 5")
            else:
                return words, self.body(int(words[-1])) if words[0] in ("start", "give") else b""
        raise AssertionError("nothing but questions for gauges")

    def expect(self, *words: str) -> tuple[list[str], bytes]:
        got, body = self.next()
        assert tuple(got[: len(words)]) == words, got
        return got, body

    def idle(self, asked: int = 3) -> None:
        """Nothing but questions for gauges comes, so many of them."""
        for _ in range(asked):
            words = self.line().decode().split(" ")
            assert words[0] == "gauges", words
            self.say(f"load {words[1]} 0.2 1 0.1 5")

    def tell(self, text: str, body: bytes | None = None) -> None:
        """A notice: its number goes behind its word."""
        self.notice += 1
        word, rest = text.split(" ", 1)
        self.say(f"{word} {self.notice} {rest}", body)

    def ends(self, call: str, body: bytes = b"done", how: str = "complete") -> None:
        self.tell(f"end {call} {how} 12.5", body)


class Gateway(Wire):
    def __init__(self, address: tuple[str, int], room: int = 0) -> None:
        """`room`: bytes that the system may hold for it unread, if it is to be few."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if room:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, room)
        sock.settimeout(WAIT_S)
        sock.connect(address)
        super().__init__(sock, b"\n")
        self.count = 0

    def message(self, method: str, **params: object) -> bytes:
        """The next request, not sent."""
        self.count += 1
        told = {"jsonrpc": "2.0", "id": self.count, "method": method, "params": params}
        return json.dumps(told).encode() + b"\n"

    def txn_message(self, call: str, product: str = "look", body: bytes = b"ask", **params: object) -> bytes:
        fields = {
            "call": call,
            "recv": round(time.time() * 1000),
            "src": 4,
            "org": "north",
            "ttl": 15000,
            "heap": 20.0,
            "crit": 0.5,
            "blob": base64.b64encode(body).decode(),
        }
        return self.message(product, **(fields | params))

    def ask(self, method: str, **params: object) -> int:
        self.sock.sendall(self.message(method, **params))
        return self.count

    def request(self, call: str, product: str = "look", body: bytes = b"ask", **params: object) -> int:
        self.sock.sendall(self.txn_message(call, product, body, **params))
        return self.count

    def answer(self) -> dict:
        while True:
            line = self.line()
            assert line, "the server closed"
            told = json.loads(line)
            if "id" in told:
                return told

    def result(self) -> bytes:
        return base64.b64decode(self.answer()["result"]["blob"])


SETTINGS = {
    "classes": [
        {"name": "look", "effect": "safe", "worth": 1, "promiseUs": 12e6, "hardLimitUs": 16e6},
        {"name": "pay", "effect": "keyed", "worth": 5, "promiseUs": 12e6, "hardLimitUs": 16e6,
         "windowUs": 20e6},
    ],
    "realms": [{"name": "north", "share": 0.7}, {"name": "south", "share": 0.3}],
    "familyInfo": {"cores": 6, "memoryKb": 80000.0, "runFactor": 4.0, "keyKb": 100.0, "callers": 3,
                   "classCalls": [True, True], "classSkipWorth": [0.0, 0.0], "below": "next_hop",
                   "callerIdleUs": 30e6, "gauges": ["core_use", "on_cores", "heap_share", "links"],
                   "passesDeadline": True, "tellsGone": True, "stopMode": "silent", "say": "tokens"},
    "rules": {"fallMultiple": 8.0, "fallUs": 3e6, "drainGraceUs": 400e3, "coldFrom": 0.2, "coldUs": 1e6},
    "limits": {"maxRetryAfterUs": 1e6, "retryAfter": True},
    "tickUs": 4000,
}  # fmt: skip


def listener() -> socket.socket:
    sock = socket.create_server(("127.0.0.1", 0))
    sock.settimeout(WAIT_S)
    return sock


class Server:
    """The program, started by the deploy file's own words, and what it talks to."""

    def __init__(self, folder: Path, descriptors: int = 0, **told: object) -> None:
        self.runtimes, self.records = listener(), listener()
        self.runtimes_at = self.runtimes.getsockname()
        self.registry = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.registry.bind(("127.0.0.1", 0))
        self.registry.settimeout(WAIT_S)
        with listener() as free:
            self.address = free.getsockname()
        where = "{0}:{1}".format
        self.told = {
            "name": "n3",
            "listen": where(*self.address),
            "runtime": where(*self.runtimes_at),
            "registry": where(*self.registry.getsockname()),
            "records": where(*self.records.getsockname()),
            "seed": "8c1f30d27a5be964",
            "stop_ms": 1500,
            "settings": SETTINGS,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        } | told
        self.configuration, self.log = folder / "config.json", folder / "log.txt"
        self.configuration.write_text(json.dumps(self.told))
        self.descriptors, self.wires = descriptors, []
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

    def __enter__(self) -> "Server":
        return self

    def runtime(self, **how: object) -> Runtime:
        self.wires.append(Runtime(self.runtimes.accept()[0], **how))
        return self.wires[-1]

    def record(self) -> Wire:
        self.wires.append(Wire(self.records.accept()[0]))
        return self.wires[-1]

    def called(self, call: str, body: bytes) -> Wire:
        """A new connection with this call on it."""
        records = self.record()
        assert records.line().startswith(f"OP {call} ".encode()) and records.body(len(body)) == body
        return records

    def reload(self, text: str) -> None:
        self.configuration.write_text(text)
        self.process.send_signal(signal.SIGHUP)

    def move(self) -> socket.socket:
        """New addresses for what the server talks to; the old list comes back."""
        self.runtimes, self.records, old = listener(), listener(), self.registry
        self.registry = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.registry.bind(("127.0.0.1", 0))
        self.registry.settimeout(WAIT_S)
        self.told |= {
            name: "{}:{}".format(*sock.getsockname())
            for name, sock in (
                ("runtime", self.runtimes),
                ("records", self.records),
                ("registry", self.registry),
            )
        }
        self.reload(json.dumps(self.told))
        return old

    def gateway(self) -> Gateway:
        """Connects once the server listens."""
        ends = time.monotonic() + WAIT_S
        while True:
            try:
                self.wires.append(Gateway(self.address))
                return self.wires[-1]
            except ConnectionRefusedError:
                assert self.process.poll() is None and time.monotonic() < ends, self.log.read_text()

    def up(self) -> tuple[Runtime, Gateway]:
        runtime = self.runtime()
        runtime.idle(2)
        return runtime, self.gateway()

    def logged(self, text: str) -> bool:
        return text in self.log.read_text()

    def until(self, text: str, meanwhile: Callable[[], object] = lambda: time.sleep(0.01)) -> None:
        ends = time.monotonic() + WAIT_S
        while not self.logged(text):
            assert time.monotonic() < ends, self.log.read_text()
            meanwhile()

    def ends(self) -> int:
        return self.process.wait(WAIT_S)

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.wait(WAIT_S)
        for wire in (*self.wires, self.runtimes, self.records, self.registry):
            wire.close()
