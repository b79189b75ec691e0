"""Runs one server process against a fake runtime and a fake records service, which answer at once, and
open-loop callers. All fakes run in this process. The time that they spend on a request is subtracted from its
latency.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path

from otterrudder.lab.processes.fake_settings import SETTINGS
from otterrudder.lab.processes.link import free_port

ROOT = Path(__file__).parents[2]
BODY = b"b" * 256  # body of a request, of a downstream call, of its reply and of a result
TTL_MS = 4000
START_TIMEOUT_S = 20.0  # time limit for the first successful health check, in s
POLL_INTERVAL_S = 0.02
GATEWAY_CONNECTIONS = 8  # connections over which requests are distributed
SOCKETS = 20_000  # configured limit of file descriptors
MEMORY_MB = 192  # configured memory limit, as in README.md
RUN_MS = 0.1  # duration of a run, in ms, as reported by the runtime


@dataclass(slots=True)
class RequestLog:
    """Send times and added latencies of requests, and the time `fake_s` that the fakes spent on them."""

    sent: dict[int, float] = field(default_factory=dict)  # send time in s, by request number
    fake_s: dict[str, float] = field(default_factory=lambda: defaultdict(float))  # by request id
    added_ms: list[float] = field(default_factory=list)
    unserved: int = 0  # requests that were answered without a result


class LineProtocol(asyncio.Protocol):
    """Protocol of lines that end in CR LF. Some lines are followed by a body."""

    def __init__(self) -> None:
        self.data = b""
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        began = time.perf_counter()
        self.data += data
        while (end := self.data.find(b"\r\n")) >= 0:
            words = self.data[:end].decode().split(" ")
            size = int(words[-1]) + 2 if self.has_body(words) else 0
            if len(self.data) < end + 2 + size:
                return
            self.data = self.data[end + 2 + size :]
            self.handle_line(words, began)

    def has_body(self, words: list[str]) -> bool:
        raise NotImplementedError

    def handle_line(self, words: list[str], began: float) -> None:
        """Handles one line. `began` is the time at which its bytes were received."""
        raise NotImplementedError


class Runtime(LineProtocol):
    """Fake runtime. Each run makes one downstream call at once and ends as soon as it has the reply."""

    def __init__(self, request_log: RequestLog) -> None:
        super().__init__()
        self.request_log, self.number = request_log, 0

    def has_body(self, words: list[str]) -> bool:
        return words[0] in ("start", "give")

    def handle_line(self, words: list[str], began: float) -> None:
        if words[0] == "sync":
            self.transport.write(b"ready hot 60000\r\n")
        elif words[0] == "gauges":
            self.transport.write(f"load {words[1]} 0.2 1 0.1 5\r\n".encode())
        elif words[0] == "start":
            self.send_notification("wants", f"{words[1]} {len(BODY)}", words[1], began)
        elif words[0] == "give":
            self.send_notification("end", f"{words[1]} complete {RUN_MS} {len(BODY)}", words[1], began)

    def send_notification(self, message_type: str, rest: str, call: str, began: float) -> None:
        self.number += 1
        self.transport.write(f"{message_type} {self.number} {rest}\r\n".encode() + BODY + b"\r\n")
        self.request_log.fake_s[call] += time.perf_counter() - began


class Records(LineProtocol):
    """Fake records service that completes each operation at once."""

    def __init__(self, request_log: RequestLog) -> None:
        super().__init__()
        self.request_log = request_log

    def has_body(self, words: list[str]) -> bool:
        return words[0] == "OP"

    def handle_line(self, words: list[str], began: float) -> None:
        if words[0] == "OP":
            self.transport.write(f"{words[1]} DONE {len(BODY)}\r\n".encode() + BODY + b"\r\n")
            self.request_log.fake_s[words[1]] += time.perf_counter() - began


class Caller(asyncio.Protocol):
    """One gateway connection to the server."""

    def __init__(self, request_log: RequestLog) -> None:
        self.request_log, self.data, self.count = request_log, b"", 0
        self.numbers: dict[int, int] = {}  # request numbers by JSON-RPC id
        self.check_answered = asyncio.Event()  # set when the last health check is answered
        self.is_healthy = False  # result of the last health check
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    async def check(self) -> bool:
        """Sends a health check and returns whether it passed."""
        self.check_answered.clear()
        self._send("check", {})
        await asyncio.wait_for(self.check_answered.wait(), START_TIMEOUT_S)
        return self.is_healthy

    def send_request(self, number: int) -> None:
        """Sends a request. Every second request has an idempotency key."""
        call, is_pay = f"{number:016x}", number % 2 == 0
        params: dict[str, object] = dict(
            call=call,
            recv=round(time.time() * 1000),
            src=1,
            org="north",
            ttl=TTL_MS,
            heap=20.0,
            crit=0.5,
            blob=base64.b64encode(BODY).decode(),
        )
        params |= {"dedupe": call * 2} if is_pay else {}
        self.numbers[self.count + 1] = number
        self._send("pay" if is_pay else "look", params)
        self.request_log.sent[number] = time.perf_counter()

    def _send(self, method: str, params: dict[str, object]) -> None:
        self.count += 1
        line = json.dumps({"jsonrpc": "2.0", "id": self.count, "method": method, "params": params})
        self.transport.write(line.encode() + b"\n")

    def data_received(self, data: bytes) -> None:
        now = time.perf_counter()
        *lines, self.data = (self.data + data).split(b"\n")
        for line in lines:
            message = json.loads(line)
            number = self.numbers.pop(message.get("id"), 0)
            if not number:
                self.is_healthy = bool(message.get("result", {}).get("pass"))
                self.check_answered.set()
                continue
            took = (
                now
                - self.request_log.sent.pop(number, now)
                - self.request_log.fake_s.pop(f"{number:016x}", 0.0)
            )
            if "result" in message:
                self.request_log.added_ms.append(took * 1000)
            else:
                self.request_log.unserved += 1


class RunningServer:
    """A running server with its connections."""

    def __init__(self, request_log: RequestLog, address: tuple[str, int], pid: int) -> None:
        self.request_log, self.address, self.pid = request_log, address, pid
        self.callers: list[Caller] = []
        self.number = 0

    async def connect(self, count: int) -> list[Caller]:
        """Opens `count` more connections and waits for a health check on each."""
        loop = asyncio.get_running_loop()
        new: list[Caller] = []
        for _ in range(count):
            _, caller = await loop.create_connection(lambda: Caller(self.request_log), *self.address)
            await caller.check()
            new.append(caller)
        self.callers += new
        return new

    async def load(self, per_s: float, span_s: float, seed: int) -> int:
        """Sends requests in an open loop with random intervals. Returns the number of requests sent."""
        rng, loop = random.Random(seed), asyncio.get_running_loop()
        began, due, asked = loop.time(), 0.0, 0
        while (due := due + rng.expovariate(per_s)) < span_s:
            if (wait := began + due - loop.time()) > 0:
                await asyncio.sleep(wait)
            self.number += 1
            asked += 1
            self.callers[self.number % len(self.callers)].send_request(self.number)
        await asyncio.sleep(max(began + span_s - loop.time(), 0.0))
        return asked

    async def wait_for_answers(self) -> None:
        """Waits until all requests are answered or have expired."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TTL_MS / 1000):
                while self.request_log.sent:
                    await asyncio.sleep(POLL_INTERVAL_S)
        self.request_log.sent.clear()


@contextlib.asynccontextmanager
async def running_server() -> AsyncIterator[RunningServer]:
    """Starts a server process by the operators' command, waits until it is healthy, and kills it at exit."""
    loop, request_log = asyncio.get_running_loop(), RequestLog()
    runtimes = await loop.create_server(lambda: Runtime(request_log), "127.0.0.1", 0)
    records = await loop.create_server(lambda: Records(request_log), "127.0.0.1", 0)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as listing, tempfile.TemporaryDirectory() as folder:
        listing.bind(("127.0.0.1", 0))
        address = ("127.0.0.1", free_port())
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(_configuration(address, _port(runtimes), _port(records), listing)))
        with (Path(folder) / "log.txt").open("wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "otterrudder"],
                cwd=ROOT,
                env=os.environ | {"NODE_CONFIG": str(path)},
                stderr=log,
            )
        try:
            site = RunningServer(request_log, address, process.pid)
            await _wait_until_healthy(site)
            yield site
        finally:
            process.kill()
            process.wait()
            for caller in site.callers:
                caller.transport.abort()
            runtimes.close()
            records.close()


def _port(server: asyncio.Server) -> int:
    return int(server.sockets[0].getsockname()[1])


def _configuration(
    address: tuple[str, int], runtime: int, records: int, listing: socket.socket
) -> dict[str, object]:
    family = dict(SETTINGS["familyInfo"])  # type: ignore[call-overload]
    family |= {"classCalls": [True, True], "below": "next_hop"}
    return {
        "name": "n1",
        "listen": f"127.0.0.1:{address[1]}",
        "runtime": f"127.0.0.1:{runtime}",
        "records": f"127.0.0.1:{records}",
        "registry": f"127.0.0.1:{listing.getsockname()[1]}",
        "seed": "1",
        "stop_ms": 2000,
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "settings": SETTINGS | {"familyInfo": family},
    }


async def _wait_until_healthy(site: RunningServer) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError):  # the server does not listen yet
            if not site.callers:
                await site.connect(1)
            if await site.callers[0].check():
                return
        await asyncio.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"the server passed no health check within {START_TIMEOUT_S:g} s")
