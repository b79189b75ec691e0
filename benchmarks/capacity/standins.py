"""One server process, and what it talks to, in this process: a runtime and a records service that answer at
once, and callers that ask by open loop. Each answer's own time here is known, and taken off."""

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
BODY = b"b" * 256  # bytes of a request, of a call, of its reply and of a result
TTL_MS = 4000
UP_S = 20.0  # s that a server may take until a check passes
LOOK_S = 0.02  # s between looks whether it is
LINKS = 8  # connections that requests are spread over
SOCKETS = 20_000  # descriptors that the server is told of
MEMORY_MB = 192  # that the server is told of, as in README.md
RUN_MS = 0.1  # that the runtime says a run took


@dataclass(slots=True)
class Books:
    """What was asked, when, and what of the time until the answer was spent here."""

    sent: dict[int, float] = field(default_factory=dict)  # s, by the number of a request
    own_s: dict[str, float] = field(default_factory=lambda: defaultdict(float))  # by call
    added_ms: list[float] = field(default_factory=list)
    unserved: int = 0  # answered otherwise than by a result


class Lines(asyncio.Protocol):
    """Lines that end in CR LF, some with a body behind them."""

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
            self.hear(words, began)

    def has_body(self, words: list[str]) -> bool:
        raise NotImplementedError

    def hear(self, words: list[str], began: float) -> None:
        """`began`: when the bytes came."""
        raise NotImplementedError


class Runtime(Lines):
    """Each run wants one call at once, and is over at once when it has the reply."""

    def __init__(self, books: Books) -> None:
        super().__init__()
        self.books, self.number = books, 0

    def has_body(self, words: list[str]) -> bool:
        return words[0] in ("start", "give")

    def hear(self, words: list[str], began: float) -> None:
        if words[0] == "sync":
            self.transport.write(b"ready hot 60000\r\n")
        elif words[0] == "gauges":
            self.transport.write(f"load {words[1]} 0.2 1 0.1 5\r\n".encode())
        elif words[0] == "start":
            self.notify("wants", f"{words[1]} {len(BODY)}", words[1], began)
        elif words[0] == "give":
            self.notify("end", f"{words[1]} complete {RUN_MS} {len(BODY)}", words[1], began)

    def notify(self, word: str, rest: str, call: str, began: float) -> None:
        self.number += 1
        self.transport.write(f"{word} {self.number} {rest}\r\n".encode() + BODY + b"\r\n")
        self.books.own_s[call] += time.perf_counter() - began


class Records(Lines):
    def __init__(self, books: Books) -> None:
        super().__init__()
        self.books = books

    def has_body(self, words: list[str]) -> bool:
        return words[0] == "OP"

    def hear(self, words: list[str], began: float) -> None:
        if words[0] == "OP":
            self.transport.write(f"{words[1]} DONE {len(BODY)}\r\n".encode() + BODY + b"\r\n")
            self.books.own_s[words[1]] += time.perf_counter() - began


class Caller(asyncio.Protocol):
    """One connection."""

    def __init__(self, books: Books) -> None:
        self.books, self.data, self.count = books, b"", 0
        self.numbers: dict[int, int] = {}  # of requests, by the id of their request
        self.checked = asyncio.Event()  # the last check is answered
        self.has_passed = False  # that one
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    async def check(self) -> bool:
        """Whether the server says that it is well."""
        self.checked.clear()
        self._send("check", {})
        await asyncio.wait_for(self.checked.wait(), UP_S)
        return self.has_passed

    def ask(self, number: int) -> None:
        """A request; each second one is referenced."""
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
        self.books.sent[number] = time.perf_counter()

    def _send(self, method: str, params: dict[str, object]) -> None:
        self.count += 1
        line = json.dumps({"jsonrpc": "2.0", "id": self.count, "method": method, "params": params})
        self.transport.write(line.encode() + b"\n")

    def data_received(self, data: bytes) -> None:
        now = time.perf_counter()
        *lines, self.data = (self.data + data).split(b"\n")
        for line in lines:
            told = json.loads(line)
            number = self.numbers.pop(told.get("id"), 0)
            if not number:
                self.has_passed = bool(told.get("result", {}).get("pass"))
                self.checked.set()
                continue
            took = now - self.books.sent.pop(number, now) - self.books.own_s.pop(f"{number:016x}", 0.0)
            if "result" in told:
                self.books.added_ms.append(took * 1000)
            else:
                self.books.unserved += 1


class Site:
    """A server that runs, and what it talks to."""

    def __init__(self, books: Books, address: tuple[str, int], pid: int) -> None:
        self.books, self.address, self.pid = books, address, pid
        self.callers: list[Caller] = []
        self.number = 0

    async def connect(self, count: int) -> list[Caller]:
        """So many more connections, each of which has been answered once."""
        loop = asyncio.get_running_loop()
        new: list[Caller] = []
        for _ in range(count):
            _, caller = await loop.create_connection(lambda: Caller(self.books), *self.address)
            await caller.check()
            new.append(caller)
        self.callers += new
        return new

    async def load(self, per_s: float, span_s: float, seed: int) -> int:
        """Asks by open loop, at drawn times; how many were asked."""
        chance, loop = random.Random(seed), asyncio.get_running_loop()
        began, due, asked = loop.time(), 0.0, 0
        while (due := due + chance.expovariate(per_s)) < span_s:
            if (wait := began + due - loop.time()) > 0:
                await asyncio.sleep(wait)
            self.number += 1
            asked += 1
            self.callers[self.number % len(self.callers)].ask(self.number)
        await asyncio.sleep(max(began + span_s - loop.time(), 0.0))
        return asked

    async def until_answered(self) -> None:
        """Or until the callers would have given up."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TTL_MS / 1000):
                while self.books.sent:
                    await asyncio.sleep(LOOK_S)
        self.books.sent.clear()


@contextlib.asynccontextmanager
async def serving() -> AsyncIterator[Site]:
    """One server process by the operators' words, ready; it is gone at the end."""
    loop, books = asyncio.get_running_loop(), Books()
    runtimes = await loop.create_server(lambda: Runtime(books), "127.0.0.1", 0)
    records = await loop.create_server(lambda: Records(books), "127.0.0.1", 0)
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
            site = Site(books, address, process.pid)
            await _until_up(site)
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


async def _until_up(site: Site) -> None:
    ends = time.monotonic() + UP_S
    while time.monotonic() < ends:
        with contextlib.suppress(OSError):  # nobody listens yet
            if not site.callers:
                await site.connect(1)
            if await site.callers[0].check():
                return
        await asyncio.sleep(LOOK_S)
    raise TimeoutError(f"the server is not up within {UP_S:g} s")
