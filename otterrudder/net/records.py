"""The connection to the records service: made when a call needs it, left when idle, one for all calls."""

import math

import anyio

from otterrudder.interface import Outcome
from otterrudder.net import clock, lines, sockets
from otterrudder.net.helm import Helm
from otterrudder.net.log import log

IDLE_S = 6.0  # s without calls after which it is closed: at 10 the service does so, perhaps across a call
UNSENT_MOST = 4 << 20  # bytes not yet read by the service


class Records:
    def __init__(self, helm: Helm, address: tuple[str, int] | None) -> None:
        self.helm, self.address = helm, address
        self.stream: sockets.Stream | None = None
        self.waiting: dict[str, list[bytes]] = {}  # calls that wait for a connection
        self.out: set[str] = set()  # calls sent on the present one
        self.wake = anyio.Event()
        self.used = 0.0  # when it last carried something

    def tell(self, word: str, call: str, *rest: object) -> None:
        self.used = clock.monotonic()
        if word == "call":
            parts = lines.say_body(rest[1], "OP", call, max(math.ceil(rest[0]), 1))
            if not self.address:
                self._ended(call, Outcome.UNREACHED)
            elif self.stream and not self.stream.why:
                self.out.add(call)
                self.stream.send(parts)
            else:
                self.waiting[call] = parts
                self.wake.set()
        elif call in self.out:
            self.out.discard(call)
            self.stream.send(lines.say("UNOP", call))
        else:
            self.waiting.pop(call, None)

    def _ended(self, call: str, outcome: Outcome, body: bytes = b"") -> None:
        self.helm.post(self.helm.core.replied, call, outcome, body, of=call)

    async def run(self) -> None:
        while True:
            while not self.waiting:
                self.wake = anyio.Event()
                await self.wake.wait()
            try:
                sock = await sockets.connect(self.address)
            except OSError as trouble:
                log.warning("records service refuses", why=str(trouble), calls=len(self.waiting))
                waiting, self.waiting = self.waiting, {}
                for call in waiting:
                    self._ended(call, Outcome.UNREACHED)
            else:
                await self._serve(sockets.Stream(sock, lines.ROOM, UNSENT_MOST))

    async def _serve(self, stream: sockets.Stream) -> None:
        self.stream = stream
        waiting, self.waiting = self.waiting, {}
        for call, parts in waiting.items():
            self.out.add(call)
            stream.send(parts)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._leave_when_idle, stream)
                why = await stream.serve(self._hear_all)
                group.cancel_scope.cancel()
        finally:
            self.stream = None
            lost, self.out = self.out, set()
        if lost:
            log.warning("records connection lost", why=why, calls=len(lost))
        for call in lost:  # they may have run
            self._ended(call, Outcome.RESET)

    async def _leave_when_idle(self, stream: sockets.Stream) -> None:
        while self.out or clock.monotonic() - self.used < IDLE_S * 1000:
            await anyio.sleep(IDLE_S / 4)
        stream.end("idle")

    def _hear_all(self, buffer: sockets.Buffer) -> None:
        for words, body in lines.messages(buffer, lines.records_body):
            self._hear(words, body)

    def _hear(self, words: lines.Words, body: bytes) -> None:
        self.used = clock.monotonic()
        outcome = lines.REPLIES.get(words[1]) if len(words) > 1 else None
        if outcome is None:
            raise sockets.Broken(f"unknown reply {' '.join(words)[:40]!r}")
        if words[0] in self.out:  # else it was given up, and its reply comes late
            self.out.discard(words[0])
            self._ended(words[0], outcome, body)
