"""Plays a scenario: a text file of our own notation against one server's decisions.

server cores=2 crowd=4          what the server is told at its start (names: SERVER)
product pay referenced sla=1000 expiry=3000 window=9000 value=3 calls
tenant north 0.5 1.2            its share, and how many requests/s of it are one server's part, if known
at 10 arrive a pay key=7        a call at 10 ms, after all due rings; a1..a9: nine requests; *: all running
at 50 finished a ok             also: needs a, called a full, left a, retire 5000; or nothing
at 55 stepdown pay 2000         a product (-: all) is left with so long to answer; stepup pay
at 60 reduce - look=decline     a level in force; also =share:0.5, =omit, held, away, stay=5000
  sees start a                  a command since the last `at`, by its first words (<3: less); `sees 2 start`
  lacks reject a                no such command
memory 100                      what the server may use now, in kB, by its own count, is no more than this
"""

import base64
import json
import os
import re
import resource
import signal
import socket
import subprocess
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

from otterrudder.admission import commands
from otterrudder.admission.commands import Command
from otterrudder.admission.controller import AdmissionController
from otterrudder.admission.interface import (
    DownstreamKind,
    Idempotency,
    Limits,
    LoadSignal,
    Outcome,
    RequestClass,
    RequestScope,
    Restriction,
    RestrictionKind,
    ServiceLevel,
    Tenant,
)
from otterrudder.admission.settings import ControllerSettings

ROOT = Path(__file__).parent.parent
RUN = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]  # how the operators start it
SERVER = {
    "cores": 2, "callers": 2, "memory": 1e6, "factor": 4, "ref": 10, "crowd": 4, "fresh": 0, "cold_from": 0.2,
    "cold": 10000, "grace": 1000, "tick": 4, "say": "", "away": 1000, "stop": 0, "below": "", "share": 0,
    "idle": 30000, "on_cores": 0, "span": 5000, "linger": 200, "busy": 1.0,
    "over": 0.05, "marks": 1,
}  # fmt: skip


WORDS = {
    commands.StartRequest: "start",
    commands.ReplayResponse: "replay",
    commands.StopRequest: "stop",
    commands.RejectRequest: "reject",
    commands.FailRequest: "fail",
    commands.RetainKey: "retain",
    commands.EvictKey: "evict",
    commands.CallDownstream: "call",
    commands.SkipCall: "skip",
    commands.ScheduleTick: "tick",
    commands.AdvertiseLoad: "advertise",
    commands.SetHealth: "health",
    commands.SetIdleTimeout: "idle",
    commands.LogMessage: "log",
    commands.CloseConnections: "close",
}

# `handle_arrival`'s parameters by a scenario's words.
PARAMETERS = {
    "age": "age_ms",
    "earlier": "earlier_attempt_id",
    "kb": "size_kb",
    "key": "session_key",
    "left": "time_left_ms",
    "rank": "criticality",
    "retry": "is_retry",
}


class Play:
    def __init__(self) -> None:
        self.told: dict = dict(SERVER)
        self.products: list[RequestClass] = []
        self.tenants: list[Tenant] = []
        self.controller: AdmissionController | None = None
        self.commands: list[Command] = []
        self.running: list[str] = []
        self.ring_at = 0.0

    def take(self, now: float, taken: list[Command]) -> None:
        for command in taken:
            if isinstance(command, commands.ScheduleTick):
                self.ring_at = now + command.delay_ms
        self.commands += taken
        self.running += [
            command.request_id for command in taken if isinstance(command, commands.StartRequest)
        ]

    def start(self, now: float) -> AdmissionController:
        t = self.told
        settings = ControllerSettings(
            request_classes=self.products,
            tenants=self.tenants,
            limits=Limits(t["away"], t["share"], t["over"]),
            cores=int(t["cores"]),
            memory_kb=t["memory"],
            run_memory_factor=t["factor"],
            idempotency_entry_kb=t["ref"],
            can_stop_requests=bool(t["stop"]),
            max_concurrency_per_core=t["crowd"],
            is_cold_start=bool(t["fresh"]),
            slow_start_from=t["cold_from"],
            slow_start_ms=t["cold"],
            clock_tick_ms=t["tick"],
            drain_grace_ms=t["grace"],
            callers=int(t["callers"]),
            load_signal=LoadSignal(t["say"]),
            max_idle_timeout_ms=t["idle"],
            are_retries_marked=bool(t["marks"]),
            downstream=DownstreamKind(t["below"]),
            downstream_quota_window_ms=t["span"],
            downstream_linger_ms=t["linger"],
        )
        controller = AdmissionController(now, settings, instance=1, seed=1)
        controller.start()
        self.take(now, controller.take_commands())
        return controller

    def at(self, now: float, words: list[str]) -> None:
        self.commands = []
        self.controller = self.controller or self.start(now)
        while self.ring_at <= now:
            self.controller.advance_to(self.ring_at)
            self.controller.tick(self.told["busy"], self.told["on_cores"])
            self.take(self.ring_at, self.controller.take_commands())
        if not words:
            return
        verb, *rest = words
        for ident in list(self.running) if rest[0] == "*" else names(rest[0]):
            self.controller.advance_to(now)
            self.call(verb, ident, rest[1:])
            self.take(now, self.controller.take_commands())

    def call(self, verb: str, ident: str, rest: list[str]) -> None:
        controller = self.controller
        if verb == "arrive":
            more = {k: v if k == "earlier" else float(v) for k, v in (w.split("=") for w in rest[1:])}
            kinds = {"key": int, "tenant": int, "retry": bool}
            more = {k: kinds.get(k, type(v))(v) for k, v in more.items()}
            more = {PARAMETERS.get(k, k): v for k, v in more.items()}
            number = [p.name for p in self.products].index(rest[0])
            controller.handle_arrival(ident, number, **{"size_kb": 10.0, **more})
            return
        if verb == "reduce":
            controller.set_service_level(self.relief(rest))
            return
        if verb in ("stepdown", "stepup"):
            names = [product.name for product in self.products]
            part = RequestScope(None if ident == "-" else frozenset({names.index(ident)}))
            controller.drain(part, float(rest[0])) if rest else controller.resume(part)
            return
        if verb == "finished" and ident in self.running:
            self.running.remove(ident)
        calls = {
            "finished": controller.handle_finished,
            "called": controller.handle_call_ended,
            "needs": controller.handle_call_needed,
            "left": controller.handle_disconnect,
            "retire": lambda left: controller.begin_graceful_shutdown(float(left)),
        }
        calls[verb](ident, *map(Outcome, rest[:1]))

    def relief(self, words: list[str]) -> ServiceLevel:
        told = dict(word.split("=") for word in words if "=" in word)
        stay = float(told.pop("stay", 1000))
        trims = []
        for product in self.products:
            cut, _, share = told.get(product.name, "").partition(":")
            trims.append((Restriction(RestrictionKind(cut), float(share or 0)),) if cut else ())
        return ServiceLevel("level", tuple(trims), "held" in words, "away" in words, stay)

    def line(self, text: str) -> None:
        word, *rest = text.split()
        if word == "server":
            for name, value in (w.split("=") for w in rest):
                assert name in SERVER, name
                self.told[name] = value if isinstance(SERVER[name], str) else float(value)
        elif word == "product":
            facts = dict(w.split("=") for w in rest[2:] if "=" in w)
            self.products.append(RequestClass(
                rest[0], Idempotency(rest[1]), float(facts.get("value", 1)), float(facts["sla"]),
                float(facts["expiry"]), float(facts.get("window", 0)), float(facts.get("late", 0)),
                "calls" in rest, float(facts.get("omit", 0)),
            ))  # fmt: skip
        elif word == "tenant":
            self.tenants.append(Tenant(rest[0], float(rest[1]), float(rest[2]) / 1000 if rest[2:] else 0.0))
        elif word == "at":
            self.at(float(rest[0]), rest[1:])
        elif word == "memory":
            assert self.controller.memory_budget.used_kb <= float(
                rest[0]
            ), self.controller.memory_budget.used_kb
        else:
            count = int(rest.pop(0)) if rest[0].isdigit() else None
            found = sum(matches(command, rest) for command in self.commands)
            expected = {"sees": found == count if count is not None else found > 0, "lacks": found == 0}[word]
            assert expected, f"{text!r}: got {self.commands}"


def matches(command: Command, words: list[str]) -> bool:
    values = (WORDS[type(command)], *command)
    return len(values) >= len(words) and all(map(fits, values, words))


def fits(value: object, word: str) -> bool:
    if word[0] in "<>":
        return value < float(word[1:]) if word[0] == "<" else value > float(word[1:])
    return str(value) == word


def names(word: str) -> list[str]:
    if span := re.fullmatch(r"([a-z]+)(\d+)\.\.[a-z]*(\d+)", word):
        return [f"{span[1]}{n}" for n in range(int(span[2]), int(span[3]) + 1)]
    return [word]


def play(path: Path) -> None:
    stage = Play()
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if text := line.split("#")[0].strip():
            try:
                stage.line(text)
            except AssertionError as trouble:
                raise AssertionError(f"{path.name}:{number}: {trouble}") from None


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
