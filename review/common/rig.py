"""Stand-ins for the parties round one server, and the server as a process, for the cases of the review.

The server is started with the command of the deploy file. The platform (gateways, runtime, service
discovery) is played by this process, on loopback addresses and the real clock. As on the platform, the
runtime knows which requests a gateway has written to the server, and which of them are over."""

import asyncio
import base64
import json
import os
import shutil
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from secrets import token_hex
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
RUN = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2  # exit codes of a case
MAX_RUN_S = 110.0  # a case ends by then
SLACK_MS = 50.0  # the rules on sockets allow 50 ms more than the settings
MAX_NACKS_RECORDED = 100  # refused commands; further ones are not written to the record
GAUGES = ["core_use", "on_cores", "heap_share", "links"]


def austin_settings() -> dict[str, Any]:
    """Returns the settings of a form node, with the figures of the protocol note's example."""
    return {
        "classes": [
            {"name": "addr-lookup", "effect": "safe", "worth": 1.0, "lateWorth": 0.2, "promiseUs": 1200000,
             "hardLimitUs": 2900000, "windowUs": 5000000},
            {"name": "form-check", "effect": "safe", "worth": 2.0, "lateWorth": 0.2, "promiseUs": 2700000,
             "hardLimitUs": 6500000, "windowUs": 5000000},
            {"name": "form-submit", "effect": "keyed", "worth": 5.0, "lateWorth": 0.2, "promiseUs": 2000000,
             "hardLimitUs": 4700000, "windowUs": 14214000},
        ],
        "clients": {"marksRetry": True},
        "familyInfo": {
            "below": "next_hop", "callerIdleUs": 30000000, "callers": 3, "callsOut": 0.0,
            "classCalls": [True, True, True], "classSkipWorth": [0.0, 0.0, 0.0], "cores": 2,
            "deepChecks": False, "freshStart": False, "gauges": GAUGES, "heededUs": 1000000, "keyKb": 162.84,
            "lingerUs": 200000, "memoryKb": 80904.0, "passesDeadline": True, "readiness": False,
            "runFactor": 16.0, "say": "tokens", "shareForUs": 0, "stopMode": "silent", "tellsGone": True,
        },
        "kindOfService": "server",
        "limits": {"cpuUsPerRequest": 0.0, "cpuUsPerS": 60000, "maxRetryAfterUs": 1000000,
                   "retryAfter": True},
        "me": 3,
        "overShareWorth": 0.1,
        "realms": [{"allowancePerS": 45.0, "name": "brazos-plains", "share": 0.57},
                   {"allowancePerS": 34.0, "name": "hill-country", "share": 0.43}],
        "rules": {"coldFrom": 0.24, "coldUs": 18000000, "drainGraceUs": 2500000, "fallMultiple": 8.0,
                  "fallUs": 3000000, "graceToAnswerUs": 80000},
        "servers": 4,
        "tickUs": 4000,
        "tier": 0,
        "tiers": ["intake", "records"],
        "worthBy": "request",
    }  # fmt: skip


def kostka_settings() -> dict[str, Any]:
    """Returns the settings of an economy node, with the figures of its brief. Its requests make no calls."""
    return {
        "classes": [
            {"name": "wallet-read", "effect": "safe", "worth": 1.0, "lateWorth": 0.0, "promiseUs": 1200000,
             "hardLimitUs": 3600000, "windowUs": 5000000},
            {"name": "inventory-save", "effect": "safe", "worth": 1.0, "lateWorth": 0.0,
             "promiseUs": 1900000, "hardLimitUs": 5900000, "windowUs": 5000000},
            {"name": "spend", "effect": "keyed", "worth": 3.0, "lateWorth": 0.0, "promiseUs": 1400000,
             "hardLimitUs": 4700000, "windowUs": 14244000},
        ],
        "clients": {"marksRetry": True},
        "familyInfo": {
            "below": "silent", "callerIdleUs": 30000000, "callers": 4, "callsOut": 0.0,
            "classCalls": [False, False, False], "classSkipWorth": [0.0, 0.0, 0.0], "cores": 2,
            "deepChecks": False, "freshStart": False, "gauges": GAUGES, "heededUs": 1000000, "keyKb": 150.0,
            "lingerUs": 0, "memoryKb": 20000.0, "passesDeadline": True, "readiness": False,
            "runFactor": 8.0, "say": "min_rank", "shareForUs": 0, "stopMode": "silent", "tellsGone": True,
        },
        "kindOfService": "server",
        "limits": {"cpuUsPerRequest": 0.0, "cpuUsPerS": 60000, "maxRetryAfterUs": 1000000,
                   "retryAfter": True},
        "me": 3,
        "overShareWorth": 0.1,
        "realms": [{"allowancePerS": 45.0, "name": "hradby", "share": 0.53},
                   {"allowancePerS": 40.0, "name": "zelezna-fronta", "share": 0.47}],
        "rules": {"coldFrom": 0.2, "coldUs": 17000000, "drainGraceUs": 2000000, "fallMultiple": 8.0,
                  "fallUs": 2000000, "graceToAnswerUs": 100000},
        "servers": 4,
        "tickUs": 5000,
        "tier": 0,
        "tiers": ["economy"],
        "worthBy": "work",
    }  # fmt: skip


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run to record.txt, with the time since the start in ms."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line."""
        self._file.write(f"{(time.monotonic() - self._started) * 1000:10.1f} {text}\n")
        self._file.flush()


@dataclass
class Try:
    """One try of a request, as the platform sees it."""

    call: str
    method: str
    body: bytes
    key: str
    recv: int
    ttl: int
    gateway: str
    rpc_id: int = 0
    sent_at: float = 0.0
    slack_ms: float = 0.0  # the rule on lost requests allows so much after the time that the try states
    is_gone: bool = False  # the gateway has taken it back
    answers: list[dict[str, Any]] = field(default_factory=list)
    answered_at: float = 0.0
    runs: int = 0

    @property
    def is_over(self) -> bool:
        """Whether the try has its answer or its gateway does not wait for it any more."""
        return bool(self.answers) or self.is_gone

    def outcome(self) -> str:
        """Returns how the try was answered."""
        if not self.answers:
            return "taken back" if self.is_gone else "no answer"
        answer = self.answers[0]
        if "result" in answer:
            return "served"
        return "refused" if answer["error"]["code"] == -32014 else "failed"


def due_at(one: Try) -> float:
    """Returns the Unix time in s by which the try has to be answered, with all slack of the rules."""
    return (one.recv + one.ttl + one.slack_ms + SLACK_MS) / 1000


class Platform:
    """What all stand-ins know in common: the tries, and the record."""

    def __init__(self, record: Record, settings: dict[str, Any]) -> None:
        self.record = record
        self.settings = settings
        self.tries: dict[str, Try] = {}
        self.slack_ms: float = settings["rules"]["graceToAnswerUs"] / 1000
        family = settings["familyInfo"]
        classes = zip(settings["classes"], family["classCalls"], strict=True)
        self.calls = {one["name"]: may_call for one, may_call in classes}
        self.tenant: str = settings["realms"][0]["name"]

    def runs_of(self, key: str) -> int:
        """Returns how often the keyed request with this key was run."""
        return sum(one.runs for one in self.tries.values() if one.key == key)


class Runtime:
    """The runtime. A run of a class takes the time that `work_ms` states for it; a run of a class that calls
    makes one call, half way."""

    def __init__(self, platform: Platform, work_ms: dict[str, float]) -> None:
        self.platform = platform
        self.work_ms = work_ms
        self.started_at = time.monotonic()
        self.notices: list[bytes] = []
        self.running: dict[str, asyncio.Task[None]] = {}
        self.replies: dict[str, asyncio.Future[bytes]] = {}  # of the runs that wait for a call
        self.ended: set[str] = set()
        self.nacks = 0
        self.writer: asyncio.StreamWriter | None = None
        self.is_linked = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one link; a new link replaces the previous one."""
        if self.writer:
            self.writer.close()
        self.writer = writer
        try:
            while line := await reader.readline():
                words = line.decode().split()
                body = b""
                if words[0] in ("start", "give"):
                    body = (await reader.readexactly(int(words[-1]) + 2))[:-2]
                self._handle(words, body)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
            if self.writer is writer:
                self.writer = None

    def _handle(self, words: list[str], body: bytes) -> None:
        if words[0] == "gauges":
            load = min(len(self.running) / 2, 1.0)
            self._send(f"load {words[1]} {load:.2f} {len(self.running)} 0.2 5\r\n".encode())
        elif words[0] == "sync":
            self._send(f"ready hot {(time.monotonic() - self.started_at) * 1000 + 60000:.0f}\r\n".encode())
            for notice in self.notices[int(words[1]) :]:
                self._send(notice)
            self.is_linked.set()
        elif words[0] == "start":
            self._start(words[1], words[2], body)
        elif words[0] == "give":
            reply = self.replies.get(words[1])
            self.platform.record.write(f"runtime  give {words[1]}")
            if reply and not reply.done():
                reply.set_result(body)

    def _start(self, call: str, method: str, body: bytes) -> None:
        record = self.platform.record
        one = self.platform.tries.get(call)
        if not one or one.method != method or one.body != body:
            self.nacks += 1
            if self.nacks <= MAX_NACKS_RECORDED:
                record.write(f"runtime  nack start {call}")
            self._send(f"nack start {call}\r\n".encode())
        elif call in self.running:
            record.write(f"runtime  start {call}: runs already")
        elif call in self.ended or one.is_over:
            record.write(f"runtime  start {call}: the request is over")
            self._notify("end", f"{call} unknown 0 0", b"")
        else:
            one.runs += 1
            record.write(f"runtime  start {call} {method} key={one.key or '-'}: RUN number {one.runs}")
            self.running[call] = asyncio.create_task(self._run(one))

    async def _run(self, one: Try) -> None:
        work_ms = self.work_ms[one.method]
        outcome, result = "complete", result_of(one)
        if self.platform.calls[one.method]:
            await asyncio.sleep(work_ms / 2000)
            outcome = await self._call(one)
        if outcome == "complete":
            await asyncio.sleep(work_ms / 2000 if self.platform.calls[one.method] else work_ms / 1000)
        else:
            result = b""
        del self.running[one.call]
        self.ended.add(one.call)
        self.platform.record.write(f"runtime  end {one.call} {outcome}")
        self._notify("end", f"{one.call} {outcome} {work_ms:.1f} {len(result)}", result)

    async def _call(self, one: Try) -> str:
        """Waits for the reply to the run's call. Returns the outcome of the run so far."""
        reply = self.replies[one.call] = asyncio.get_running_loop().create_future()
        body = call_of(one)
        self.platform.record.write(f"runtime  wants {one.call}")
        self._notify("wants", f"{one.call} {len(body)}", body)
        while not reply.done() and not one.is_over:
            await asyncio.wait([reply], timeout=0.02)
        del self.replies[one.call]
        return "complete" if reply.done() else "cancelled"

    def _notify(self, word: str, rest: str, body: bytes) -> None:
        notice = f"{word} {len(self.notices) + 1} {rest}\r\n".encode() + body + b"\r\n"
        self.notices.append(notice)
        self._send(notice)

    def _send(self, data: bytes) -> None:
        if self.writer and not self.writer.is_closing():
            self.writer.write(data)


def result_of(one: Try) -> bytes:
    """Returns the result that a run makes for a try."""
    return b"result of " + one.call.encode()


def call_of(one: Try) -> bytes:
    """Returns the body of the call that a run makes."""
    return b"call of " + one.call.encode()


class Records:
    """The records service. It answers each call after some milliseconds."""

    def __init__(self, platform: Platform, delay_ms: float = 30.0) -> None:
        self.platform = platform
        self.delay_ms = delay_ms

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        try:
            while line := await reader.readline():
                words = line.decode().split()
                self.platform.record.write(f"records  reads {' '.join(words)}")
                if words[0] == "OP":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    await asyncio.sleep(self.delay_ms / 1000)
                    reply = b"reply to " + body
                    writer.write(f"{words[1]} DONE {len(reply)}\r\n".encode() + reply + b"\r\n")
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Gateway:
    """One connection of a gateway, or of another client."""

    def __init__(self, platform: Platform, name: str, number: int) -> None:
        self.platform = platform
        self.name = name
        self.number = number
        self._ids = count(1)
        self._open: dict[int, Try] = {}
        self._lines: list[bytes] = []
        self.answered = asyncio.Event()
        self.answers: list[dict[str, Any]] = []

    async def connect(self, address: tuple[str, int]) -> "Gateway":
        """Opens the connection."""
        self.reader, self.writer = await asyncio.open_connection(*address)
        self._task = asyncio.create_task(self._read())
        return self

    def new_try(self, method: str, body: bytes, ttl: int, key: str = "", *, is_retry: bool = False) -> Try:
        """Writes a new try to the output, which `flush` sends."""
        now = time.time()
        one = Try(token_hex(8), method, body, key, int(now * 1000), ttl, self.name, next(self._ids), now)
        one.slack_ms = self.platform.slack_ms
        self.platform.tries[one.call] = one
        self._open[one.rpc_id] = one
        self.add_request(one, is_retry)
        self.platform.record.write(
            f"{self.name:8} sends {one.call} {method} ttl={ttl} key={key or '-'}{' rep' if is_retry else ''}"
        )
        return one

    def add_request(self, one: Try, is_retry: bool = False) -> None:
        """Adds the line of a request to the output."""
        params: dict[str, Any] = dict(call=one.call, recv=one.recv, src=self.number, org=self.platform.tenant)
        params |= dict(ttl=one.ttl, heap=30.0, crit=0.625, blob=base64.b64encode(one.body).decode())
        if one.key:
            params["dedupe"] = one.key
        if is_retry:
            params["rep"] = 1
        self.add_line(dict(jsonrpc="2.0", id=one.rpc_id, method=one.method, params=params))

    def interrupt(self, one: Try) -> None:
        """Adds the notice that the gateway stops waiting for a try."""
        one.is_gone = True
        self._open.pop(one.rpc_id, None)
        self.add_interrupt(one.call)

    def add_interrupt(self, call: str) -> None:
        """Adds the line of an interrupt to the output."""
        self.platform.record.write(f"{self.name:8} sends interrupt {call}")
        self.add_line(dict(jsonrpc="2.0", method="interrupt", params={"call": call}))

    def add_line(self, document: dict[str, Any]) -> None:
        """Adds a message to the output."""
        self._lines.append(json.dumps(document, separators=(",", ":")).encode() + b"\n")

    def flush(self) -> None:
        """Sends the output in one write."""
        self.writer.write(b"".join(self._lines))
        self._lines.clear()

    def close(self) -> None:
        """Closes the connection."""
        self._task.cancel()
        self.writer.close()

    async def _read(self) -> None:
        try:
            while line := await self.reader.readline():
                self._handle(json.loads(line))
        except (ConnectionError, ValueError) as error:
            self.platform.record.write(f"{self.name:8} connection ended: {error}")
        else:
            self.platform.record.write(f"{self.name:8} end of the connection")
        self.answered.set()

    def _handle(self, answer: dict[str, Any]) -> None:
        self.platform.record.write(f"{self.name:8} receives {json.dumps(answer)[:150]}")
        self.answers.append(answer)
        one = self._open.pop(answer.get("id") or 0, None)
        if one:
            one.answers.append(answer)
            one.answered_at = time.time()
        self.answered.set()


class Server:
    """The server as a process, started with the command of the deploy file."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.process: asyncio.subprocess.Process | None = None
        self.config = folder / "config.json"
        self.document: dict[str, Any] = {}
        self.is_killed = False  # by the case, on purpose

    async def start(self, document: dict[str, Any], **environment: str) -> None:
        """Writes the configuration and starts the server."""
        self.document = document
        self.config.write_text(json.dumps(document))
        with (self.folder / "server.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", RUN, cwd=ROOT, stdout=log, stderr=log,
                env=os.environ | {"NODE_CONFIG": str(self.config), "TMPDIR": str(self.folder)} | environment,
                start_new_session=True,
            )  # fmt: skip
        self.record.write("platform starts the server")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the server's process."""
        assert self.process
        self.record.write(f"platform sends {number.name}")
        self.process.send_signal(number)

    async def kill(self, reason: str) -> None:
        """Kills the server, and waits for its end."""
        assert self.process
        self.is_killed = True
        self.record.write(f"platform kills the server, {reason}")
        self.process.kill()
        await self.process.wait()

    async def stop(self) -> None:
        """Kills the server, and copies its log to the record."""
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        log = self.folder / "server.log"
        if log.exists():
            for line in log.read_text(errors="replace").splitlines():
                self.record.write(f"log      {line}")


@dataclass
class Case:
    """One server with its runtime, and the means to connect gateways to it."""

    record: Record
    platform: Platform
    runtime: Runtime
    server: Server
    address: tuple[str, int]
    has_trouble: bool
    _numbers: Any = field(default_factory=lambda: count(1))

    async def gateway(self, name: str) -> Gateway:
        """Connects a gateway or another client."""
        return await Gateway(self.platform, name, next(self._numbers)).connect(self.address)


async def free_port() -> int:
    """Returns a free port."""
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    port: int = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return port


async def wait_until_listening(address: tuple[str, int]) -> None:
    """Waits until the server accepts connections."""
    for _ in range(300):
        try:
            _, writer = await asyncio.open_connection(*address)
        except OSError:
            await asyncio.sleep(0.1)
        else:
            writer.close()
            return
    raise CannotRunError("the server does not listen")


async def wait_until_answered(tries: list[Try], extra_s: float = 0.0) -> None:
    """Waits until all tries are over, or until the last of them was due."""
    until = max(due_at(one) for one in tries) + extra_s
    while time.time() < until and not all(one.is_over for one in tries):
        await asyncio.sleep(0.01)


async def _play(
    case_folder: Path,
    settings: dict[str, Any],
    work_ms: dict[str, float],
    play: Callable[[Case], Awaitable[bool]],
    memory_mb: int,
) -> int:
    record = Record(case_folder)
    platform = Platform(record, settings)
    runtime = Runtime(platform, work_ms)
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    server = Server(folder, record)
    loop = asyncio.get_running_loop()
    if task := asyncio.current_task():  # a case that is ended from outside ends its processes
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
    runtime_server = await asyncio.start_server(runtime.serve, "127.0.0.1", 0)
    records_server = await asyncio.start_server(Records(platform).serve, "127.0.0.1", 0)
    reports, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, ("127.0.0.1", 0))
    port = await free_port()
    try:
        document = {
            "name": "n3",
            "listen": f"127.0.0.1:{port}",
            "runtime": f"127.0.0.1:{runtime_server.sockets[0].getsockname()[1]}",
            "records": f"127.0.0.1:{records_server.sockets[0].getsockname()[1]}",
            "registry": f"127.0.0.1:{reports.get_extra_info('sockname')[1]}",
            "seed": "8c1f30d27a5be964",
            "stop_ms": 3200,
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 384},
            "settings": settings,
        }
        if not any(platform.calls.values()):
            del document["records"]
        await server.start(document)
        address = ("127.0.0.1", port)
        await wait_until_listening(address)
        await asyncio.wait_for(runtime.is_linked.wait(), 30)
        await asyncio.sleep(0.5)
        has_trouble = os.environ.get("TROUBLE", "1") != "0"
        case = Case(record, platform, runtime, server, address, has_trouble)
        is_held = await play(case)
        if server.process and server.process.returncode is not None and not server.is_killed:
            raise CannotRunError("the server has ended")
        result = HELD if is_held else BROKEN
    finally:
        await server.stop()
        runtime_server.close()
        records_server.close()
        reports.close()
        shutil.rmtree(folder, ignore_errors=True)
    record.write(f"result: {'the rule held' if result == HELD else 'the rule was BROKEN'}")
    return result


def main(
    case_folder: Path,
    settings: dict[str, Any],
    work_ms: dict[str, float],
    play: Callable[[Case], Awaitable[bool]],
    memory_mb: int = 192,
) -> None:
    """Plays a case and exits with its result. `play` returns whether the rule held."""
    try:
        code = asyncio.run(
            asyncio.wait_for(_play(case_folder, settings, work_ms, play, memory_mb), MAX_RUN_S)
        )
    except (Exception, asyncio.CancelledError) as error:  # whatever it is, the case has shown nothing
        print(f"could not run: {error!r}", file=sys.stderr)
        code = COULD_NOT_RUN
    print({HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "could not run"}[code])
    sys.exit(code)
