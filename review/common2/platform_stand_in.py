"""Stand-ins for the gateways, the runtime, the records service and the registry of a server, in one process.

The stand-ins follow the protocol page. They record what was sent, answered and run, and `violations` judges
that record by the four rules. Only the standard library is used."""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ANSWER_SLACK_MS = 80.0 + 50.0  # of the brief (austin-intake), and of the protocol page
LIMIT_SLACK_MS = 50.0  # of the protocol page, for each time limit
SAME_MOMENT_MS = 10.0  # a start and a refusal of one batch of the server may arrive in any order
CANNOT_RUN = 2
MAX_CASE_S = 110.0
MAX_OPEN = 32.0  # requests on a connection

SETTINGS = {
    "classes": [
        {
            "name": "addr-lookup",
            "effect": "safe",
            "worth": 1.0,
            "promiseUs": 1_200_000,
            "hardLimitUs": 2_900_000,
            "lateWorth": 0.2,
            "windowUs": 5_000_000,
        },
        {
            "name": "form-submit",
            "effect": "keyed",
            "worth": 5.0,
            "promiseUs": 2_000_000,
            "hardLimitUs": 4_700_000,
            "lateWorth": 0.2,
            "windowUs": 14_214_000,
        },
    ],
    "clients": {"marksRetry": True},
    "familyInfo": {
        "below": "next_hop",
        "callerIdleUs": 30_000_000,
        "callers": 3,
        "callsOut": 0.0,
        "classCalls": [True, True],
        "classSkipWorth": [0.0, 0.0],
        "cores": 6,
        "freshStart": False,
        "gauges": ["core_use", "on_cores", "heap_share", "links"],
        "keyKb": 100.0,
        "lingerUs": 200_000,
        "memoryKb": 80_000.0,
        "passesDeadline": True,
        "runFactor": 16.0,
        "say": "tokens",
        "stopMode": "silent",
        "tellsGone": True,
    },
    "kindOfService": "server",
    "limits": {"maxRetryAfterUs": 1_000_000, "retryAfter": True},
    "me": 3,
    "realms": [{"name": "north", "share": 0.6}, {"name": "south", "share": 0.4}],
    "rules": {
        "coldFrom": 0.24,
        "coldUs": 18_000_000,
        "drainGraceUs": 2_500_000,
        "fallMultiple": 8.0,
        "fallUs": 3_000_000,
        "graceToAnswerUs": 80_000,
    },
    "servers": 3,
    "tickUs": 4000,
    "tier": 0,
    "tiers": ["intake", "records"],
}


def unix_ms() -> float:
    """Returns the time by the system's Unix clock in ms."""
    return time.time() * 1000


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection by a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Request:
    """A request that a gateway sent, and what became of it."""

    def __init__(self, call: str, method: str, body: bytes, ttl_ms: float, key: str) -> None:
        self.call = call
        self.method = method
        self.body = body
        self.ttl_ms = ttl_ms
        self.key = key
        self.recv_ms = 0.0
        self.written_ms = 0.0
        self.answers: list[tuple[float, str, bytes]] = []  # time, kind, body
        self.given_up = False  # an interrupt was sent, or the gateway reset the connection
        self.is_foreign = False  # of a client that the runtime does not know
        self.steps: list[tuple[str, float]] = [("work", 50.0)]  # ("work", ms) or ("call", 0)
        self.runs = 0
        self.answered = asyncio.Event()

    @property
    def kind(self) -> str:
        """How the request was answered first, or "" if it was not."""
        return self.answers[0][1] if self.answers else ""

    @property
    def is_over(self) -> bool:
        """Whether the gateway needs no answer any more."""
        return bool(self.answers) or self.given_up


class Gateway:
    """One connection of a gateway."""

    def __init__(
        self, platform: "Platform", reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.platform = platform
        self.reader = reader
        self.writer = writer
        self.open: dict[int, Request] = {}
        self.numbers = itertools.count(1)
        self.has_no_more = False
        self.is_closed = False
        self.load = MAX_OPEN  # how many requests the server lets this gateway have open
        self.stay_away_until = 0.0
        self.task = asyncio.create_task(self._read())

    def send(
        self,
        request: Request,
        is_retry: bool = False,
        recv_ms: float | None = None,
        names_ttl: bool = True,
    ) -> None:
        """Writes a request."""
        number = next(self.numbers)
        request.recv_ms = unix_ms() if recv_ms is None else recv_ms
        self.open[number] = request
        params = {
            "call": request.call,
            "recv": round(request.recv_ms),
            "src": 4,
            "org": "north",
            "heap": 30.0,
            "crit": 0.5,
            "blob": base64.b64encode(request.body).decode(),
        }
        if names_ttl:
            params["ttl"] = request.ttl_ms
        if is_retry:
            params["rep"] = 1
        if request.key:
            params["dedupe"] = request.key
        self.write({"jsonrpc": "2.0", "id": number, "method": request.method, "params": params})
        request.written_ms = unix_ms()
        self.platform.requests[request.call] = request
        self.platform.log(
            f"sent {request.call} {request.method} key={request.key or '-'} ttl={request.ttl_ms:g}"
        )

    def may_send(self) -> bool:
        """Whether a gateway that heeds the server sends a request now."""
        limit = min(self.load, MAX_OPEN)
        whole = int(limit)
        whole += self.platform.random.random() < limit - whole
        return unix_ms() >= self.stay_away_until and len(self.open) < whole

    def write(self, message: object) -> None:
        """Writes a message of any form."""
        self.writer.write(json.dumps(message).encode() + b"\n")

    def interrupt(self, request: Request) -> None:
        """Tells the server that the gateway has stopped waiting."""
        request.given_up = True
        self.write({"jsonrpc": "2.0", "method": "interrupt", "params": {"call": request.call}})
        self.platform.log(f"interrupt {request.call}")

    def reset(self) -> None:
        """Resets the connection; all open requests are given up."""
        for request in self.open.values():
            request.given_up = True
            self.platform.log(f"reset with {request.call} open")
        self.open.clear()
        self.is_closed = True
        reset(self.writer)

    async def _read(self) -> None:
        try:
            while line := await self.reader.readline():
                self._handle(json.loads(line))
                if self.has_no_more and not self.open:
                    break
        except (OSError, asyncio.IncompleteReadError) as error:
            self.platform.log(f"connection failed: {error!r}")
        self.is_closed = True
        for request in self.open.values():
            self.platform.log(f"connection ended with {request.call} open")
        self.writer.close()

    def _handle(self, message: dict) -> None:
        if message.get("method") == "noMore":
            self.has_no_more = True
            return
        request = self.open.pop(message.get("id"), None)
        if request is None:
            self.platform.log(f"answer to no open request: {message}")
            return
        body = b""
        told = message.get("result") or message.get("error", {}).get("data", {})
        self.load = told.get("load", self.load)
        self.stay_away_until = unix_ms() + told.get("pushback", 0.0)
        if "result" in message:
            kind = "served"
            body = base64.b64decode(message["result"].get("blob", ""))
        else:
            kind = "refused" if message["error"]["code"] == -32014 else "failed"
        request.answers.append((unix_ms(), kind, body))
        request.answered.set()
        reason = "" if kind == "served" else f" {message['error']['message']}"
        self.platform.log(f"answer {request.call} {kind}{reason}")


class Runtime:
    """The runtime of the server. It outlives links; addresses may be changed."""

    def __init__(self, platform: "Platform") -> None:
        self.platform = platform
        self.notices: list[tuple[int, bytes]] = []
        self.number = 0
        self.running: dict[str, asyncio.Task] = {}
        self.replies: dict[str, asyncio.Future] = {}
        self.writer: asyncio.StreamWriter | None = None
        self.ports: list[asyncio.Server] = []
        self.is_deaf = False  # commands stay unread
        self.is_synced = False  # notices are sent on a link once `sync` was answered
        self.hold_notices_ms = 0.0  # delay of notices on the way
        self.refuses_links = False
        self.result_bytes = 0  # results are filled up to this length
        self.started_ms = unix_ms() - 60_000.0
        self.links = 0

    async def listen(self) -> int:
        """Opens one more address and returns its port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.ports.append(server)
        return server.sockets[0].getsockname()[1]

    def begin_life(self) -> None:
        """Handles a new process of the server: notices start from 1, and earlier runs are gone."""
        for task in self.running.values():
            task.cancel()
        self.running.clear()
        self.replies.clear()
        self.notices.clear()
        self.number = 0

    async def break_link(self, lose_ms: float = 0.0) -> None:
        """Breaks the link. Commands that arrive in the `lose_ms` before that are lost."""
        self.is_deaf = True
        await asyncio.sleep(lose_ms / 1000)
        if self.writer:
            reset(self.writer)
        self.writer = None
        self.is_deaf = False
        self.platform.log("runtime link broken")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refuses_links:
            reset(writer)
            return
        previous, self.writer = self.writer, writer
        self.is_synced = False
        self.links += 1
        if previous:
            previous.close()
        try:
            while self.writer is writer:
                line = await reader.readuntil(b"\r\n")
                words = line.decode().split()
                body = b""
                if words[0] in ("start", "give"):
                    body = (await reader.readexactly(int(words[-1]) + 2))[:-2]
                while self.is_deaf:
                    await asyncio.sleep(0.002)
                if self.writer is not writer:
                    return
                self._handle(words, body)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if self.writer is writer:
                self.writer = None
            writer.close()

    def _handle(self, words: list[str], body: bytes) -> None:
        match words[0]:
            case "sync":
                self._write(f"ready hot {unix_ms() - self.started_ms:.0f}\r\n".encode())
                self.is_synced = True
                for number, data in self.notices:
                    if number > int(words[1]):
                        self._write(data)
            case "gauges":
                on_cores = len(self.running) - len(self.replies)
                self._write(f"load {words[1]} {min(on_cores / 6, 1):.3f} {on_cores} 0.1 5\r\n".encode())
            case "start":
                self._start(words[1], words[2], body)
            case "give":
                self.platform.log(f"give {words[1]}")
                if waiting := self.replies.pop(words[1], None):
                    waiting.set_result(body)

    def _start(self, call: str, method: str, body: bytes) -> None:
        request = self.platform.requests.get(call)
        if request is None or request.is_foreign or (method, body) != (request.method, request.body):
            self.platform.log(f"nack start {call}")
            self._write(f"nack start {call}\r\n".encode())
            if request and not request.is_foreign:
                self.platform.changed.append(call)
            return
        if call in self.running:
            self.platform.log(f"start {call}: runs already")
            return
        if request.is_over:
            self.platform.log(f"start {call}: is over")
            self._notify(call, "unknown", 0.0, b"")
            return
        request.runs += 1
        self.platform.runs.append((unix_ms(), call))
        self.platform.log(f"run {call}")
        self.running[call] = asyncio.create_task(self._run(request))

    async def _run(self, request: Request) -> None:
        began = unix_ms()
        outcome, result = (
            "complete",
            f"r:{request.call}:{request.runs}".encode().ljust(self.result_bytes, b"."),
        )
        for index, (step, span_ms) in enumerate(request.steps):
            if step == "work":
                await asyncio.sleep(span_ms / 1000)
            elif not await self._call(request, index):
                outcome, result = "cancelled", b""
                break
        del self.running[request.call]
        self.platform.log(f"run of {request.call} ends: {outcome}")
        if outcome == "complete":
            self.platform.results.setdefault(request.call, []).append(result)
        self._notify(request.call, outcome, unix_ms() - began, result)

    async def _call(self, request: Request, index: int) -> bool:
        if request.is_over:
            return False
        body = f"c:{request.call}:{index}".encode()
        self.number += 1
        waiting = self.replies[request.call] = asyncio.get_running_loop().create_future()
        self._add(f"wants {self.number} {request.call} {len(body)}\r\n".encode() + body + b"\r\n")
        while not waiting.done():
            await asyncio.wait([waiting], timeout=0.02)
            if request.is_over and not waiting.done():
                self.replies.pop(request.call, None)
                return False
        if waiting.result() != b"reply to " + body:
            self.platform.changed.append(request.call)
        return True

    def _notify(self, call: str, outcome: str, span_ms: float, result: bytes) -> None:
        self.number += 1
        head = f"end {self.number} {call} {outcome} {span_ms:.0f} {len(result)}\r\n"
        self._add(head.encode() + result + b"\r\n")

    def remark(self, text: str) -> None:
        """Sends a remark."""
        self.number += 1
        self._add(f"info {self.number} {text}\r\n".encode())

    def _add(self, data: bytes) -> None:
        self.notices = [*self.notices[-3999:], (self.number, data)]
        if self.hold_notices_ms:
            loop, writer = asyncio.get_running_loop(), self.writer
            loop.call_later(self.hold_notices_ms / 1000, lambda: self.writer is writer and self._write(data))
        elif self.is_synced:
            self._write(data)

    def _write(self, data: bytes) -> None:
        if self.writer:
            self.writer.write(data)


class Records:
    """The records service. `reply_ms` and `treatment` decide how calls are answered."""

    def __init__(self, platform: "Platform") -> None:
        self.platform = platform
        self.reply_ms = 20.0
        self.treatment: Callable[[str, asyncio.StreamWriter, bytes], Awaitable[bool]] | None = None
        self.calls: list[tuple[float, str]] = []  # calls that had their effect
        self.servers: list[asyncio.Server] = []

    async def listen(self) -> int:
        """Opens one more address and returns its port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                words = (await reader.readuntil(b"\r\n")).decode().split()
                if words[0] == "OP":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    self.platform.log(f"call {words[1]}")
                    asyncio.create_task(self._answer(words[1], body, writer))
                else:
                    self.platform.log(f"call given up {words[1]}")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, call: str, body: bytes, writer: asyncio.StreamWriter) -> None:
        if self.treatment and await self.treatment(call, writer, body):
            return
        self.calls.append((unix_ms(), call))
        await asyncio.sleep(self.reply_ms / 1000)
        reply = b"reply to " + body
        writer.write(f"{call} DONE {len(reply)}\r\n".encode() + reply + b"\r\n")


class Platform:
    """Everything outside the server, and the server's process."""

    def __init__(
        self,
        folder: Path,
        settings: dict | None = None,
        stop_ms: float = 3200.0,
        memory_mb: int = 192,
        sockets: int = 512,
    ) -> None:
        self.folder = folder
        self.temporary = Path(tempfile.mkdtemp(prefix="case-"))
        self.settings = settings or SETTINGS
        self.stop_ms = stop_ms
        self.requests: dict[str, Request] = {}
        self.runs: list[tuple[float, str]] = []
        self.results: dict[str, list[bytes]] = {}
        self.changed: list[str] = []
        self.lines: list[str] = []
        self.began_ms = unix_ms()
        self.random = random.Random(1)
        self.runtime = Runtime(self)
        self.records = Records(self)
        self.gateways: list[Gateway] = []
        self.process: asyncio.subprocess.Process | None = None
        self.term_ms: float | None = None
        self.paused_spans: list[tuple[float, float]] = []
        self.unexpected_exit: int | None = None
        self.is_stopping = False
        self.arguments = ""
        self.name = "n3"
        self.memory_mb = memory_mb
        self.sockets = sockets

    def log(self, text: str) -> None:
        """Adds a line to the record."""
        self.lines.append(f"{unix_ms() - self.began_ms:9.1f} {text}")

    # The server.

    async def open(self) -> None:
        """Opens the stand-ins and starts the server."""
        self.registry = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.registry.bind(("127.0.0.1", 0))
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.port = free.getsockname()[1]
        self.document = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "runtime": f"127.0.0.1:{await self.runtime.listen()}",
            "records": f"127.0.0.1:{await self.records.listen()}",
            "registry": f"127.0.0.1:{self.registry.getsockname()[1]}",
            "seed": "8c1f30d27a5be964",
            "stop_ms": self.stop_ms,
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "settings": self.settings,
        }
        self.configuration = self.temporary / "config.json"
        self.write_configuration()
        await self.start_server()

    def write_configuration(self) -> None:
        """Replaces the configuration file."""
        new = self.configuration.with_suffix(".new")
        new.write_text(json.dumps(self.document))
        new.replace(self.configuration)

    async def start_server(self) -> None:
        """Starts the server with the deploy file's command, and waits for a good health check."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"] + self.arguments
        self.runtime.begin_life()
        self.is_stopping = False
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env=os.environ
            | {"NODE_CONFIG": str(self.configuration), "TMPDIR": str(self.temporary), "NODE_NAME": self.name},
            stdout=asyncio.subprocess.DEVNULL,
            stderr=(self.temporary / "log.txt").open("ab"),
        )
        self.log(f"server started, pid {self.process.pid}")
        asyncio.create_task(self._await_exit(self.process))
        deadline = time.monotonic() + 15
        while not await self.is_healthy():
            if time.monotonic() > deadline or self.process.returncode is not None:
                raise RuntimeError("the server does not come up")
            await asyncio.sleep(0.05)

    async def _await_exit(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        self.log(f"server exited with {code}")
        if not self.is_stopping:
            self.unexpected_exit = code

    async def is_healthy(self) -> bool:
        """Sends one health check on a connection of its own."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        try:
            writer.write(b'{"jsonrpc":"2.0","id":1,"method":"check"}\n')
            line = await asyncio.wait_for(reader.readline(), 2)
            return bool(line) and json.loads(line).get("result", {}).get("pass") is True
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        """Signals the server."""
        assert self.process
        self.log(f"signal {number.name}")
        if number is signal.SIGTERM:
            self.term_ms = unix_ms()
            self.is_stopping = True
        if number is signal.SIGKILL:
            self.is_stopping = True
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def pause(self, span_ms: float) -> None:
        """Lets the server's process stand still."""
        began = unix_ms()
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(span_ms / 1000)
        self.signal(signal.SIGCONT)
        self.paused_spans.append((began, unix_ms()))

    async def move(self, *names: str) -> None:
        """Gives the runtime or the records service a new address, and reloads.

        The old address takes nothing new."""
        for name in names:
            part = self.runtime if name == "runtime" else self.records
            old = (part.ports if name == "runtime" else part.servers)[-1]
            self.document[name] = f"127.0.0.1:{await part.listen()}"
            old.close()
        self.write_configuration()
        self.signal(signal.SIGHUP)

    # Clients.

    async def connect(self) -> Gateway:
        """Opens a connection of a gateway."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        gateway = Gateway(self, reader, writer)
        self.gateways.append(gateway)
        return gateway

    def request(
        self, method: str = "addr-lookup", key: str = "", ttl_ms: float = 0.0, body: bytes = b""
    ) -> Request:
        """Creates a request. A try with the key of an earlier one carries the same body."""
        if key and not body:
            body = f"body of {key}".encode()
        call = f"{self.random.getrandbits(64):016x}"
        limits = {entry["name"]: entry["hardLimitUs"] / 1000 for entry in self.settings["classes"]}
        return Request(call, method, body or f"body of {call}".encode(), ttl_ms or limits[method], key)

    def key(self) -> str:
        """Returns a new idempotency key."""
        return f"{self.random.getrandbits(128):032x}"

    # The verdict.

    def violations(self) -> list[str]:
        """Returns the broken rules, in words."""
        found = [f"a body or class reached the other side changed: {call}" for call in self.changed]
        self._by_key: dict[str, list[Request]] = {}
        self._first_runs: dict[str, float] = {}
        for request in self.requests.values():
            self._by_key.setdefault(request.key, []).append(request)
        for at, call in self.runs:
            self._first_runs.setdefault(call, at)
        if self.unexpected_exit is not None:
            found.append(f"crash: the server exited with {self.unexpected_exit}")
        for request in self.requests.values():
            found += self._request_violations(request)
        found += self._duplicates()
        grace_ms = self.settings["rules"]["drainGraceUs"] / 1000 + LIMIT_SLACK_MS
        for at, call in self.runs:
            request = self.requests[call]
            if self.term_ms and at > self.term_ms and request.recv_ms > self.term_ms + grace_ms:
                late = request.recv_ms - self.term_ms
                found.append(f"drain: {call} ran though it arrived {late:.0f} ms after the notice")
        return found

    def _paused_ms(self, since: float, until: float) -> float:
        return sum(max(min(end, until) - max(begin, since), 0.0) for begin, end in self.paused_spans)

    def _request_violations(self, request: Request) -> list[str]:
        call = request.call
        found = []
        if len(request.answers) > 1:
            found.append(f"duplicate: {call} was answered {len(request.answers)} times")
        if request.is_foreign:
            return [f"lost: {call} of a bad client was served"] if request.kind == "served" else []
        if not request.answers and not request.given_up:
            found.append(f"lost: {call} got no answer")
        if request.answers:
            at, kind, body = request.answers[0]
            due = request.recv_ms + request.ttl_ms + ANSWER_SLACK_MS
            late = at - due - self._paused_ms(request.recv_ms, at)
            if late > 0 and not request.given_up:
                found.append(f"lost: {call} was answered {late:.0f} ms after its due time")
            if kind == "served" and body not in self._results_of(request):
                found.append(f"lost: {call} was served with {body!r}, which no run made for it")
            if kind == "refused" and self._ran(request, at):
                found.append(f"duplicate: {call} was refused though it, or a try of it, had run")
        return found

    def _results_of(self, request: Request) -> list[bytes]:
        return [result for other in self._tries_of(request) for result in self.results.get(other.call, [])]

    def _tries_of(self, request: Request) -> list[Request]:
        return self._by_key[request.key] if request.key else [request]

    def _ran(self, request: Request, before_ms: float) -> bool:
        latest = before_ms - SAME_MOMENT_MS
        return any(self._first_runs.get(other.call, latest) < latest for other in self._tries_of(request))

    def _duplicates(self) -> list[str]:
        windows = {entry["name"]: entry.get("windowUs", 0) / 1000 for entry in self.settings["classes"]}
        found = []
        first: dict[str, Request] = {}
        for _, call in self.runs:
            request = self.requests[call]
            if not request.key:
                continue
            earlier = first.setdefault(request.key, request)
            if earlier is request and request.runs < 2:
                continue
            if request.written_ms <= earlier.recv_ms + windows[request.method] + LIMIT_SLACK_MS:
                found.append(f"duplicate: {call} ran after {earlier.call} with the same key")
        return sorted(set(found))

    async def close(self) -> None:
        """Ends the server and the stand-ins."""
        if self.process and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        log_file = self.temporary / "log.txt"
        if log_file.exists():
            self.lines += ["", "the server's log:", *log_file.read_text(errors="replace").splitlines()[-200:]]
        shutil.rmtree(self.temporary, ignore_errors=True)


def run_case(file: str, play: Callable[[Platform, bool], Awaitable[list[str]]], **options: object) -> None:
    """Plays a case and exits: 1 if a rule was broken, 0 if all held, 2 if the case couldn't run.

    `play` gets the platform and whether to make the disruption. It returns broken rules that the platform
    does not judge itself."""
    folder = Path(file).resolve().parent
    with_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> int:
        platform = Platform(folder, **options)
        code = CANNOT_RUN
        try:
            async with asyncio.timeout(MAX_CASE_S):
                await platform.open()
                found = await play(platform, with_trouble)
                found += platform.violations()
            code = 1 if found else 0
            for text in found or ["all rules held"]:
                platform.log(f"verdict: {text}")
                print(text)
        except Exception as error:
            platform.log(f"the case couldn't run: {error!r}")
            print(f"the case couldn't run: {error!r}")
        finally:
            await platform.close()
            (folder / "record.txt").write_text("\n".join(platform.lines) + "\n")
        return code

    sys.exit(asyncio.run(main()))
