"""The connections to the records service: a bounded pool, one call at a time on each while the bound allows,
so that whatever spoils a connection costs one call. A reply counts only where its call went out."""

import math
from collections import deque
from typing import Any

import anyio
import anyio.abc

from otterrudder import clock
from otterrudder.admission.interface import Outcome
from otterrudder.log import log
from otterrudder.net import lines, sockets
from otterrudder.net.dispatcher import Dispatcher

LINKS_MOST = 48  # connections: twice the calls that a server of the usual size has out
REUSE_MS = 500.0  # ms unused after which one takes no call: the service may have forgotten it, and then it
# resets it at the call, which proves nothing; a new one costs less than a request with an effect
HALF_MS = 250.0  # ms that a reply may stay half read: its length is wrong, or its line never ends
SWEEP_S = 0.1  # s between looks for connections unused or stuck
CARRIED_MOST = 16  # last calls known of a connection: a request's next call must not meet a copy of its reply
UNSENT_MOST = 1 << 20  # bytes not yet read by the service
CONNECT_S = 1.0  # s to connect: a proxy on this machine answers at once or hangs


class Link:
    """One connection. Gives back its calls in `run`, on every way out."""

    def __init__(self, records: "Records", address: tuple[str, int]) -> None:
        self.records, self.address = records, address
        self.stream: sockets.Stream | None = None
        self.calls: dict[str, list[bytes]] = {}  # out on it, with what is sent once it is connected
        self.carried: deque[str] = deque(maxlen=CARRIED_MOST)
        self.heard = clock.monotonic()
        self.spent = ""  # why it takes no further call

    def take(self, call: str, parts: list[bytes]) -> None:
        self.calls[call] = parts
        self.carried.append(call)
        if self.stream:
            self.stream.send(parts)

    def give_up(self, call: str) -> None:
        del self.calls[call]
        if self.stream and self.calls:  # else its close says the same
            self.stream.send(lines.encode("UNOP", call))
        self.spend("a call on it was given up")  # its reply may be on the way

    def spend(self, why: str) -> None:
        self.spent = self.spent or why
        if self.stream and not self.calls:
            self.stream.end(self.spent)

    def has_gone(self) -> bool:
        """Whether the service has ended it, or says more than it was asked for, and nobody has read that yet:
        a call on it would be reset, which proves nothing."""
        return bool(self.stream and (self.stream.catch_up() or self.stream.why))

    async def run(self) -> None:
        outcome, why = Outcome.UNREACHABLE, "no answer to the connection"
        try:
            with anyio.move_on_after(CONNECT_S):
                sock = await sockets.connect(self.address)
                outcome = Outcome.RESET  # from here on a call may have run
                self.stream = sockets.Stream(sock, lines.ROOM, UNSENT_MOST, self._hear_all)
                for parts in self.calls.values():
                    self.stream.send(parts)
            if self.stream:
                if not self.calls:
                    self.spend("nothing to call")
                why = await self.stream.serve()
        except OSError as trouble:
            why = str(trouble)
        finally:
            if not self.stream:
                self.records.is_refused = True
            if self.calls:
                log.warning(
                    "records connection lost" if self.stream else "records service refuses",
                    why=why,
                    calls=len(self.calls),
                )
            for call in list(self.calls):
                self.records.ended(self, call, outcome)
            self.records.gone(self)

    def _hear_all(self, buffer: sockets.Buffer) -> None:
        self.heard = clock.monotonic()
        self.records.is_refused = False
        for words, body in lines.messages(buffer, lines.records_body):
            outcome = lines.REPLIES.get(words[1]) if len(words) > 1 else None
            if outcome is None:
                raise sockets.ProtocolError(f"unknown reply {' '.join(words)[:40]!r}")
            if words[0] in self.calls:
                self.records.ended(self, words[0], outcome, body)
            else:  # a copy, or somebody else's: the good one may still follow
                self.spend("a reply to no call")
        if not self.calls:
            if buffer.start < buffer.end or self.spent:
                self.spend("more than the reply")
            else:
                self.records.idle.append(self)

    def sweep(self, now: float) -> None:
        stream = self.stream
        if not self.calls and now - self.heard > REUSE_MS:
            self.spend("unused")
        elif (
            stream
            and stream.buffer.start < stream.buffer.end
            and now - self.heard > HALF_MS
            and not stream.catch_up()
        ):  # the other half may lie unread where this loop was busy
            stream.end("half a reply")


class Records:
    def __init__(self, dispatcher: Dispatcher, address: tuple[str, int] | None, sockets_most: int) -> None:
        self.dispatcher, self.address = dispatcher, address
        self.most = max(min(LINKS_MOST, sockets_most // 8), 2)
        self.links: set[Link] = set()
        self.idle: list[Link] = []  # the last used at the end
        self.on: dict[str, Link] = {}  # where a call is out
        self.group: anyio.abc.TaskGroup | None = None
        self.is_refused = False  # the last that was heard of the service is a connection that was not made

    def tell(self, word: str, *rest: Any) -> None:
        call = rest[0]
        if word == "call":
            if earlier := self.on.pop(call, None):  # a second call for one request gives up the first
                earlier.give_up(call)
            link = self._link(call, self.address, self.group) if self.address and self.group else None
            if link:
                self.on[call] = link
                link.take(call, lines.encode_with_body(rest[2], "OP", call, max(math.ceil(rest[1]), 1)))
            else:  # it never ran: the module may try again
                self.dispatcher.post(self.dispatcher.core.replied, call, Outcome.UNREACHABLE, of=call)
        elif link := self.on.pop(call, None):
            link.give_up(call)

    def _link(self, call: str, address: tuple[str, int], group: anyio.abc.TaskGroup) -> Link | None:
        """The freshest idle one, else a new one, else the one with the fewest calls."""
        now = clock.monotonic()
        for link in self.idle[::-1]:  # one that has gone may leave the list
            if now - link.heard > REUSE_MS:
                break
            if not link.spent and call not in link.carried and not link.has_gone():
                self.idle.remove(link)
                return link
        if len(self.links) < self.most:
            link = Link(self, address)
            self.links.add(link)
            group.start_soon(link.run)
            return link
        usable = [link for link in self.links if not link.spent and call not in link.carried]
        least = min(usable, key=lambda link: len(link.calls), default=None)
        if least in self.idle:
            self.idle.remove(least)
        return least

    def ended(self, link: Link, call: str, outcome: Outcome, body: bytes = b"") -> None:
        del link.calls[call], self.on[call]
        self.dispatcher.post(self.dispatcher.core.replied, call, outcome, body, of=call)

    def gone(self, link: Link) -> None:
        link.spent = link.spent or "gone"
        self.links.discard(link)
        if link in self.idle:
            self.idle.remove(link)

    def move(self, address: tuple[str, int] | None) -> None:
        """New calls go to a new address; those that are out end where they are."""
        self.address = address
        for link in self.links:
            link.spend("the service has moved")

    async def run(self) -> None:
        async with anyio.create_task_group() as self.group:
            while True:
                await anyio.sleep(SWEEP_S)
                now = clock.monotonic()
                for link in self.links:
                    link.sweep(now)
