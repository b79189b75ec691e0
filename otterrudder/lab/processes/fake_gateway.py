"""What a server talks to, by the platform's protocol: a runtime and a gateway of each server, and the list.

They write down all that crosses the wire, with the time, and judge nothing."""

import base64
import contextlib
import json
import socket
from dataclasses import dataclass, field

import anyio
import anyio.abc
from anyio.streams.buffered import BufferedByteReceiveStream

from otterrudder.clock import monotonic as clock
from otterrudder.clock import unix
from otterrudder.lab.processes.link import Link, accept_all

RUN_MS = 5.0  # of a run
LONG_RUN_MS = 300.0  # of one that a drain has to wait for
TTL_MS = 4000  # that a gateway waits for an answer
PRODUCTS = ("look", "pay")  # inquiry-like; referenced
OPEN_MOST = 30  # requests on one connection: the platform allows 32
REPEAT_MS = 15_000.0  # from a first try's sending in which it is asked for again: the window is 20 s
OLD_MS = 60_000.0  # that the runtimes are up at the start: no server is cold
NOTICES_MOST = 4000  # that a runtime keeps
KNOWN_MOST = 200  # requests of a connection whose answers are known as theirs, answered ones too
AGAIN_MS = 50.0  # until a lost connection is tried again
SETTINGS: dict[str, object] = {
    "classes": [
        {"name": "look", "effect": "safe", "worth": 1, "promiseUs": 2e6, "hardLimitUs": 4e6},
        {
            "name": "pay",
            "effect": "keyed",
            "worth": 5,
            "promiseUs": 2e6,
            "hardLimitUs": 4e6,
            "windowUs": 20e6,
        },
    ],
    "realms": [{"name": "north", "share": 1.0}],
    "familyInfo": {
        "cores": 6,
        "memoryKb": 80000.0,
        "runFactor": 4.0,
        "keyKb": 100.0,
        "callers": 3,
        "classCalls": [False, False],
        "callerIdleUs": 30e6,
        "passesDeadline": True,
        "tellsGone": True,
        "gauges": ["core_use", "on_cores", "heap_share", "links"],
        "stopMode": "silent",
        "say": "tokens",
    },
    "rules": {"fallMultiple": 8.0, "fallUs": 3e6, "drainGraceUs": 400e3},
    "limits": {"maxRetryAfterUs": 1e6, "retryAfter": True},
    "tickUs": 20000,
}


_GONE = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.IncompleteRead,
)


@dataclass(slots=True)
class Asked:
    """One request as its gateway saw it."""

    server: int
    life: int
    product: str
    call: str
    mark: str
    first: str  # the call whose result a repeat is owed; its own otherwise
    sent: float
    answered: float = 0.0
    outcome: str = ""  # settled, declined, voided, lost; refused: no server listened
    body: bytes = b""
    answers: int = 0


@dataclass(slots=True)
class Started:
    server: int
    call: str
    mark: str
    at: float


@dataclass(slots=True)
class Wire:
    """All that was seen."""

    asked: list[Asked] = field(default_factory=list)
    started: list[Started] = field(default_factory=list)
    # From when to when the rig itself stood still: what it sent or should have read then is nobody's fault.
    stalls: list[tuple[float, float]] = field(default_factory=list)


class Runtime:
    """The runtime of one server; it outlives links and the server's processes. Runs go on while no link
    exists, and a new link hears what it has missed."""

    def __init__(self, server: int, wire: Wire) -> None:
        self.server, self.wire = server, wire
        self.marks: dict[str, str] = {}  # by call, told by the gateway: the runtime is not told them
        self.over: set[str] = set()  # calls that no answer is owed to any more, told by the gateway as well
        self.life = 0  # of the server's process: notices are numbered anew with each
        self.run_ms = RUN_MS
        self.notices: list[tuple[int, bytes]] = []
        self.number = 0
        self.running: set[str] = set()
        self.born = clock() - OLD_MS
        self.link: anyio.abc.SocketStream | None = None
        self.lock = anyio.Lock()
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.address: tuple[str, int] = self.sock.getsockname()
        self.group: anyio.abc.TaskGroup | None = None

    def begin_life(self) -> None:
        """The server's process is another one: what ran for the one before ends unheard."""
        self.life += 1
        self.number, self.run_ms = 0, RUN_MS
        self.notices.clear()
        self.running.clear()

    async def run(self) -> None:
        async with anyio.create_task_group() as self.group:
            await accept_all(self.sock, self._serve)

    async def _serve(self, sock: socket.socket) -> None:
        try:
            async with await anyio.abc.SocketStream.from_socket(sock) as stream:
                before, self.link = self.link, stream
                if before:
                    await before.aclose()
                await self._hear(stream)
        except* _GONE:
            pass

    async def _hear(self, stream: anyio.abc.SocketStream) -> None:
        heard = BufferedByteReceiveStream(stream)
        while True:
            words = (await heard.receive_until(b"\r\n", 512)).decode().split(" ")
            if words[0] == "sync":
                since = int(words[1])
                told = b"".join(data for number, data in self.notices if number > since)
                await self._say(stream, f"ready hot {clock() - self.born:.0f}\r\n".encode() + told)
            elif words[0] == "gauges":
                await self._say(stream, f"load {words[1]} 0.2 1 0.1 5\r\n".encode())
            elif words[0] == "start":
                await heard.receive_exactly(int(words[3]) + 2)
                await self._start(words[1])

    async def _say(self, stream: anyio.abc.SocketStream | None, data: bytes) -> None:
        with contextlib.suppress(*_GONE):
            async with self.lock:
                if stream:
                    await stream.send(data)

    async def _start(self, call: str) -> None:
        """For what runs already nothing happens, and nothing starts for a request that is over."""
        if call in self.running:
            return
        if call in self.over:
            await self._notify(f"{call} unknown 0 0", b"")
            return
        self.running.add(call)
        self.wire.started.append(Started(self.server, call, self.marks.get(call, ""), clock()))
        assert self.group
        self.group.start_soon(self._finish, call, self.life)

    async def _finish(self, call: str, life: int) -> None:
        took = self.run_ms
        await anyio.sleep(took / 1000)
        if life != self.life:
            return
        self.running.discard(call)
        body = f"r:{call}".encode()
        await self._notify(f"{call} complete {took} {len(body)}", body)

    async def _notify(self, what: str, body: bytes) -> None:
        self.number += 1
        data = f"end {self.number} {what}\r\n".encode() + body + b"\r\n"
        self.notices = [*self.notices[1 - NOTICES_MOST :], (self.number, data)]
        await self._say(self.link, data)


class Gateway:
    """Asks one server, at an even pace, for each product in turn, and now and then for what was settled
    before: a repeat."""

    def __init__(self, server: int, link: Link, runtime: Runtime, wire: Wire, pace_ms: float) -> None:
        self.server, self.link, self.runtime, self.wire = server, link, runtime, wire
        self.pace = pace_ms
        self.refusals = 0  # of the link, when this connection was begun
        self.life = 0  # of the server's process, as the rig counts them
        self.count = 0
        self.is_asking = True
        self.no_more = False  # the server has said that this connection takes nothing new
        self.settled: list[Asked] = []  # of referenced ones, of the process that is the ...
        self.settled_in = 0
        self.doubtful: list[Asked] = []  # that had no answer when a connection ended

    async def run(self) -> None:
        while True:
            self.refusals = self.link.refusals
            try:
                async with await anyio.connect_tcp(*self.link.address) as stream:
                    await self._speak(stream)
            except* _GONE:
                pass
            await anyio.sleep(AGAIN_MS / 1000)

    async def _speak(self, stream: anyio.abc.SocketStream) -> None:
        """One connection. What is open at its end has no answer: of referenced ones the same process is asked
        again by the mark, as gateways do."""
        open_: dict[int, Asked] = {}
        life, self.no_more = self.life, False
        if life != self.settled_in:  # results do not outlive a process
            self.settled, self.doubtful, self.settled_in = [], [], life
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._ask, stream, open_, life)
                try:
                    await self._hear(stream, open_)
                finally:
                    group.cancel_scope.cancel()
        finally:
            now = clock()
            # What was sent where no server listened was never asked of one.
            outcome = "lost" if self.link.refusals == self.refusals else "refused"
            for asked in open_.values():
                if not asked.outcome:
                    asked.outcome, asked.answered = outcome, now
                    self.runtime.over.add(asked.call)
                    if outcome == "lost" and asked.mark and life == self.life:
                        self.doubtful.append(asked)

    def _earlier(self, product: str) -> Asked | None:
        """The try that is asked for again, if it is time for one; past the window it would be a new one."""
        if product != "pay":
            return None
        while self.doubtful:
            again = self.doubtful.pop()
            if clock() - again.sent <= REPEAT_MS:
                return again
        last = self.settled[-1] if self.settled and self.count % 5 == 0 else None
        return last if last and clock() - last.sent <= REPEAT_MS else None

    async def _ask(self, stream: anyio.abc.SocketStream, open_: dict[int, Asked], life: int) -> None:
        number = 0
        while True:
            await anyio.sleep(self.pace / 1000)
            if sum(not asked.outcome for asked in open_.values()) >= OPEN_MOST or not self.is_asking:
                continue
            if self.no_more:
                continue
            number += 1
            self.count += 1
            product, call = PRODUCTS[self.count % 2], f"{self.server:04x}{self.count:012x}"
            again = self._earlier(product)
            mark = (again.mark if again else call * 2) if product == "pay" else ""
            first = again.first if again else call
            asked = Asked(self.server, life, product, call, mark, first, clock())
            self.runtime.marks[call] = mark
            params: dict[str, object] = dict(
                call=call,
                recv=round(unix()),
                src=1,
                org="north",
                ttl=TTL_MS,
                heap=20.0,
                crit=0.5,
                blob=base64.b64encode(b"ask").decode(),
            )
            params |= {"dedupe": mark} if mark else {}
            params |= {"rep": 1} if again else {}
            line = json.dumps({"jsonrpc": "2.0", "id": number, "method": product, "params": params})
            open_[number] = asked
            open_.pop(number - KNOWN_MOST, None)
            self.wire.asked.append(asked)
            await stream.send(line.encode() + b"\n")

    async def _hear(self, stream: anyio.abc.SocketStream, open_: dict[int, Asked]) -> None:
        data = b""
        while True:
            data += await stream.receive()
            *lines, data = data.split(b"\n")
            for line in lines:
                told = json.loads(line)
                self.no_more = self.no_more or told.get("method") == "noMore"
                asked = open_.get(told.get("id"))
                if asked:  # answered or not: a second answer counts as one
                    self._note(asked, told)
            if self.no_more and all(asked.outcome for asked in open_.values()):
                return  # it is left as soon as nothing is open, as gateways do

    def _note(self, asked: Asked, told: dict[str, object]) -> None:
        asked.answers += 1
        self.runtime.over.add(asked.call)
        if asked.answers > 1:
            return
        asked.answered = clock()
        if isinstance(result := told.get("result"), dict):
            asked.outcome, asked.body = "settled", base64.b64decode(result["blob"])
            if asked.mark and asked.call == asked.first:
                self.settled.append(asked)
            return
        error = told.get("error")
        assert isinstance(error, dict)
        asked.outcome = "declined" if error["code"] == -32014 else "voided"


class Listing:
    """The list: hears reports, and nobody asks it."""

    def __init__(self) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind(("127.0.0.1", 0))
        self.address: tuple[str, int] = self.sock.getsockname()
        self.heard: list[tuple[float, str, str]] = []  # when, who, and in which state

    async def run(self) -> None:
        try:
            while True:
                await anyio.wait_readable(self.sock)
                with contextlib.suppress(BlockingIOError):
                    _, name, state = self.sock.recv(512).decode().split(" ")
                    self.heard.append((clock(), name, state))
        finally:
            self.sock.close()
