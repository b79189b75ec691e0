"""The link to the runtime: held open, made anew when lost, with every notice heard once and in order."""

import random
from typing import Any

import anyio
import anyio.abc

from otterrudder import clock
from otterrudder.log import log
from otterrudder.net import lines, sockets
from otterrudder.net.dispatcher import Dispatcher

PAUSE_MS = 20.0  # ms before the first try to connect again: the link is lost, the runtime most likely is not
PAUSE_MOST_MS = 500.0  # ms at most: a runtime that comes up is found within that
UNSENT_MOST = 8 << 20  # bytes not yet read by the runtime; past that it hangs, and a new link tells more
ANEW_MS = 5000.0  # ms a runtime may seem younger before it counts as another: a pause may lie between
MOVE_S = 0.3  # s that the old link has to prove what it read when the runtime's address changes
MOVED = "the address has changed"
REPLAYED = "replayed"  # tag of the gauges whose answer ends the replay: commands are dealt with in order


class Runtime:
    def __init__(self, dispatcher: Dispatcher, address: tuple[str, int]) -> None:
        self.dispatcher, self.address = dispatcher, address
        self.stream: sockets.Stream | None = None
        self.group: anyio.abc.TaskGroup  # while it runs
        self.last = 0  # the last notice heard
        self.replaying = False
        self.born: float | None = None  # when the runtime started, by our clock
        self.leaving = ""  # the tag of the last command on a link that is left for a new address
        self.left: sockets.Stream | None = None  # that link

    def move(self, address: tuple[str, int]) -> None:
        """The core is asked first: what it decides from then on waits for the new link."""
        self.address, self.left = address, self.stream
        if self.stream and self.replaying:
            self.stream.end(MOVED)  # nothing was sent on it
        elif self.stream:
            self.dispatcher.post(self.dispatcher.core.leave_link)

    def tell(self, word: str, *rest: Any) -> None:
        if not self.stream:
            return  # the core repeats what is missing once the link stands
        if word == "leave":
            self._leave(*rest)
            return
        if self.replaying or self.leaving:
            return
        self.stream.send(
            lines.encode_with_body(rest[-1], word, *rest[:-1])
            if word in ("start", "give")
            else lines.encode(word, *rest)
        )

    async def run(self) -> None:
        async with anyio.create_task_group() as self.group:
            await self._run()

    async def _run(self) -> None:
        pause = PAUSE_MS
        while True:
            try:
                sock = await sockets.connect(self.address)
                stream = sockets.Stream(sock, lines.ROOM, UNSENT_MOST, self._hear_all)
            except OSError as trouble:
                if pause == PAUSE_MS:
                    log.warning("no link to the runtime", why=str(trouble))
                pause = min(pause * 2, PAUSE_MOST_MS)
            else:
                moved = await self._serve(stream)
                pause = PAUSE_MS
                if moved:
                    continue
            await anyio.sleep(pause / 1000 * random.uniform(0.5, 1.0))

    async def _serve(self, stream: sockets.Stream) -> bool:
        """Whether it ended because the address is another now."""
        self.stream, self.replaying, self.leaving = stream, True, ""
        stream.send(lines.encode("sync", self.last))
        try:
            why = await stream.serve()
            if why == MOVED:
                log.info("runtime link moves", address=self.address, last_notice=self.last)
            else:
                log.warning("runtime link lost", why=why, last_notice=self.last, unsent=stream.unsent)
        finally:
            self.stream = None
            self.dispatcher.post(self.dispatcher.core.unlinked)
        return why == MOVED

    def _leave(self, tag: int) -> None:
        """The last question on the old link: its answer proves that all before it was read. What is decided
        meanwhile waits for the new link, so that no start is in doubt."""
        stream = self.stream
        if stream and stream is self.left and not self.leaving:
            self.leaving = str(tag)
            stream.send(lines.encode("gauges", tag))
            self.group.start_soon(self._end_late, stream)

    async def _end_late(self, stream: sockets.Stream) -> None:
        await anyio.sleep(MOVE_S)
        stream.end(MOVED)

    def _hear_all(self, buffer: sockets.Buffer) -> None:
        for words, body in lines.messages(buffer, lines.runtime_body):
            try:
                self._hear(words, body)
            except (ValueError, IndexError):
                raise sockets.ProtocolError(f"not understood: {' '.join(words)[:80]!r}") from None

    def _hear(self, words: lines.Words, body: bytes) -> None:
        word, core = words[0], self.dispatcher.core
        if word in ("end", "wants", "info"):
            number = lines.natural(words[1])
            if number <= self.last:
                log.warning("notice heard twice", notice=number, last_notice=self.last)
                return
            if number > self.last + 1 and not self.replaying:
                raise sockets.ProtocolError(f"notice {number} after {self.last}")
            if number > self.last + 1:  # the runtime keeps so many and no more: what is lost is lost
                log.error("notices are missing", notice=number, last_notice=self.last)
            self.last = number
            if word == "end":
                outcome = lines.ENDS.get(words[3])
                if outcome is None:
                    raise sockets.ProtocolError(f"unknown end {words[3][:20]!r}")
                self.dispatcher.post(core.ended, words[2], outcome, body, of=words[2])
            elif word == "wants":
                self.dispatcher.post(core.wants, words[2], body, of=words[2])
        elif word == "load":
            if words[1] == REPLAYED:
                self.replaying = False
                self.dispatcher.post(core.linked)
            else:
                self.dispatcher.post(
                    core.gauged, lines.natural(words[1]), [float(value) for value in words[2:]]
                )
                if self.stream and words[1] == self.leaving:
                    self.stream.end(MOVED)
        elif word == "ready":
            warm, up_ms = words[1] == "hot", float(words[2])
            # Not before: a runtime that is not up yet refuses the question, and the replay would never end.
            assert self.stream  # that it was heard on
            self.stream.send(lines.encode("gauges", REPLAYED))
            born = clock.monotonic() - up_ms
            if self.born is None:
                log.info("runtime is up", warm=warm, up_ms=up_ms)
                self.dispatcher.post(core.begin, warm, up_ms)
            elif born > self.born + ANEW_MS:
                log.error("runtime has started anew", up_ms=up_ms, last_notice=self.last)
                self.last = 0
                self.dispatcher.post(core.restarted)
            self.born = born
        elif word == "nack" and words[1:3] == ["gauges", REPLAYED]:
            raise sockets.ProtocolError("the replay has no end")  # the next link asks again
        elif word == "nack":
            self.dispatcher.post(core.refused, words[1], words[2] if len(words) > 2 else "")
        else:
            raise sockets.ProtocolError(f"unknown word {word[:20]!r}")
