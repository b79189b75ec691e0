"""The listener, and one peer a connection: each answers for its own input and output alone.

A peer that says nothing, half a thing or too many wrong things is closed early; when connections run short,
those quiet for longest make room. None with an open request is closed for another's sake."""

import errno
import math
import socket
from typing import Any

import anyio
import anyio.abc

from otterrudder import clock
from otterrudder.admission.interface import Idempotency
from otterrudder.log import log
from otterrudder.net import jsonrpc, sockets
from otterrudder.net.dispatcher import Dispatcher

BACKLOG = 1024  # connections that may wait to be accepted while the loop is busy
OPEN_MOST = 32  # open requests of a connection
UNSENT_MOST = 512 * 1024  # bytes owed to a peer: its 32 longest answers, three times over
PAUSE_S = 0.05  # s without accepting when there are too many connections, or no descriptor
LEAVE_S = 0.5  # s in which a peer that is left may read what it is owed, and close: many round trips
ROOM_S = 0.02  # the same where others wait for its descriptor: nothing is owed to it, and nothing unread
STUCK_MS = 10_000.0  # ms without reading anything of what it is owed after which a peer is given up
PEERS_LEAST = 8  # connections that are taken however few descriptors there are
SPARE = 24  # descriptors kept for the runtime, registry, logs and the loop itself
SWEEP_S = 0.1  # s between looks for connections that have to go
GRACE_MS = 1000.0  # ms after which an idle peer told `noMore` is closed from this side
WORDLESS_MS = 1500.0  # ms after connecting by which something was answered or is open: half of what is owed
HALF_MS = 1500.0  # ms that a message may stay half read: gateways write a message in one go
CROWDED = 0.5  # share of the connections from which on quiet ones are left early: gateways need at most half
QUIET_MS = 1000.0  # ms of quiet after which one is left early; gateways are back sooner or open another
HUSHED_MS = 100.0  # ms without a word after which one may make room at once: gateways connect to ask
RESTED_MS = 250.0  # ms of quiet after its answers after which one may: what crosses its close comes again
ROOM_MADE = 16  # peers that make room in one go: looking for them costs a look at all
ACCEPTED_MOST = 16  # connections accepted before others get their turn: hundreds come at once
LEAVING_S = 0.002  # s without accepting while those that make room go
WRONGS_MOST = 6  # wrong messages after which a peer is closed: a good gateway sends none
COMPLAINTS_MOST = 5  # log lines a second on peers; past that they are counted
IDLE, ROOM, LEFT = "idle", "room for others", "the server leaves"
QUIETLY = (sockets.CLOSED, IDLE, LEFT)  # ends that are no trouble
CROSS_S = 0.1  # s at the end of a drain for what crosses `noMore`, and for peers to close: twice the bound
LAST_S = 0.05  # s after that for what is owed to be written and the rest read out; both lie ahead of the stop


class Peer:
    """One connection. Gives back its socket and its open requests in `run`, on every way out."""

    def __init__(self, gateways: "Gateways", sock: socket.socket) -> None:
        self.gateways, self.dispatcher = gateways, gateways.dispatcher
        self.open: dict[int, str] = {}  # calls by the id of their request
        self.stream = sockets.Stream(
            sock,
            jsonrpc.LINE_MOST,
            UNSENT_MOST,
            self._hear_all,
            owes=lambda: bool(self.open),
            leave_s=LEAVE_S,
        )
        self.since = self.quiet_since = clock.monotonic()
        self.half_since = math.inf  # when what is half read began to come
        self.told_no_more = 0.0  # when
        self.worded = False  # something was answered
        self.wrongs = 0

    def tell(self, word: str, rpc: int, *rest: Any) -> None:
        if word == "health":
            parts = jsonrpc.health(rpc, *rest)
        else:
            self.open.pop(rpc, None)
            if word == "rejected":
                self._reject(rpc, jsonrpc.PARAMS, *rest)
                return
            if word == "settled":
                parts = jsonrpc.settled(rpc, *rest)
            elif word == "declined":
                parts = jsonrpc.declined(rpc, *rest)
            else:
                parts = jsonrpc.voided(rpc, jsonrpc.FAILED, *rest)
        self.quiet_since, self.worded = clock.monotonic(), True
        self.stream.send(parts)

    async def run(self) -> None:
        try:
            why = await self.stream.serve()
            if why not in QUIETLY:
                self.gateways.complain(why)
        except Exception:  # a fault of this connection's is not the others'
            log.exception("a connection failed")
        finally:
            self.gateways.gone(self)
            for call in self.open.values():
                self.dispatcher.post_arrival(self.dispatcher.core.left, call, of=call)

    def _hear_all(self, buffer: sockets.Buffer) -> None:
        self.quiet_since, heard = clock.monotonic(), False
        for message in jsonrpc.messages(buffer):
            heard = True
            self._hear(message)
            if self.stream.why:
                return
        if buffer.start == buffer.end:
            self.half_since = math.inf
        elif heard or self.half_since == math.inf:  # after a rest the last whole message says nothing of it
            self.half_since = self.quiet_since

    def _hear(self, message: jsonrpc.Message | jsonrpc.Malformed) -> None:
        if isinstance(message, jsonrpc.Malformed):
            self._reject(message.rpc, message.code, str(message))
            return
        rpc, method, params = message
        core = self.dispatcher.core
        if method == "interrupt":
            self._interrupt(params)
        elif rpc is None:
            self._reject(None, jsonrpc.REQUEST, "no id")
        elif method == "check":
            self.dispatcher.post_arrival(core.check, self, rpc)
        elif (product := core.names.get(method)) is None:
            self._reject(rpc, jsonrpc.METHOD, "no such method")
        elif rpc in self.open:
            # An answer under this id would be taken for that of the open request.
            self._wrong(f"id {rpc} is open already")
        elif len(self.open) >= OPEN_MOST:
            self._reject(rpc, jsonrpc.REQUEST, f"more than {OPEN_MOST} open requests")
        else:
            try:
                fields = jsonrpc.request(
                    params,
                    self.gateways.tenants,
                    clock.unix(),
                    core.products[product].idempotency is Idempotency.IDEMPOTENT,
                )
            except ValueError as trouble:
                self._reject(rpc, jsonrpc.PARAMS, str(trouble))
                return
            self.open[rpc] = fields["call"]
            self.dispatcher.post_arrival(core.arrive, self, rpc, product, of=fields["call"], **fields)

    def _interrupt(self, params: dict[str, Any]) -> None:
        for rpc, call in self.open.items():
            if call == params.get("call"):
                del self.open[rpc]
                self.dispatcher.post_arrival(self.dispatcher.core.left, call, of=call)
                return

    def _reject(self, rpc: int | None, code: int, why: str) -> None:
        self.worded = True
        self.stream.send(jsonrpc.voided(rpc, code, why, None))
        self._wrong(why)

    def _wrong(self, why: str) -> None:
        self.wrongs += 1
        if self.wrongs == 1:
            self.gateways.complain(why)
        elif self.wrongs >= WRONGS_MOST:
            self.stream.leave("too many wrong messages")  # its good requests are still answered

    def sweep(self, now: float, idle_ms: float, wordless_ms: float, grace_ms: float) -> None:
        """An idle peer is told first: a request on its way here still comes, and is answered."""
        if self.stream.unsent and now - self.stream.taken_at > STUCK_MS:
            self.stream.end("reads nothing of what it is owed")
        if self.is_busy():
            return
        if not self.worded and now - self.since > wordless_ms:
            self.leave("nothing to answer in time")
        elif now - self.half_since > HALF_MS:
            self.leave("half a message")
        elif now - self.quiet_since < idle_ms:
            return
        elif not self.told_no_more:
            self.no_more(now)
        elif now - max(self.told_no_more, self.quiet_since) > grace_ms:
            self.leave(IDLE)

    def is_busy(self) -> bool:
        """Owed something, sent or not: an answer that it has not taken would be lost with its connection."""
        return bool(self.open or self.stream.unsent or self.stream.why)

    def leave(self, why: str, leave_s: float = LEAVE_S) -> bool:
        """Whether it is on its way out. A request may lie unread where the loop was busy, or half of one:
        what has come is heard first, and who said something new stays. More of an old half is nothing new."""
        half = self.half_since
        if not self.stream.catch_up() or half == self.half_since < math.inf:
            self.stream.leave(why, leave_s)
        return bool(self.stream.why)

    def no_more(self, now: float) -> None:
        if not self.told_no_more:
            self.told_no_more = now
            self.stream.send(jsonrpc.NO_MORE)


class Gateways:
    def __init__(
        self, dispatcher: Dispatcher, address: tuple[str, int], sockets_most: int, tenants: dict[str, int]
    ) -> None:
        """`sockets_most`: descriptors that are left to connections."""
        self.dispatcher, self.tenants = dispatcher, tenants
        self.most = max(sockets_most - SPARE, PEERS_LEAST)
        self.second, self.complaints = 0, 0
        self.peers: set[Peer] = set()
        self.idle_ms, self.full = math.inf, False
        self.is_leaving = False  # the drain is over: whoever connects is told `noMore` at once
        self.closing = anyio.Event()
        self.left = anyio.Event()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind(address)
        self.sock.listen(BACKLOG)

    def tell(self, word: str, *rest: Any) -> None:
        if word == "idle":
            self.idle_ms = rest[0]
        elif word == "close":
            self.closing.set()

    async def run(self, group: anyio.abc.TaskGroup) -> None:
        """Accepts until the drain is over, then sees the peers off and returns. The order of the way out, and
        what may come between any two steps: docs/design/closes.md."""
        group.start_soon(self._sweep)
        async with anyio.create_task_group() as accepting:
            accepting.start_soon(self._accept, group)
            await self.closing.wait()
            accepting.cancel_scope.cancel()
        self.is_leaving = True
        for peer in self.peers:
            peer.no_more(clock.monotonic())
        with anyio.move_on_after(CROSS_S):
            await self._accept_the_last(group)
            await self._until_left()
        if self.sock.fileno() >= 0:  # more wait than there was room for in that time
            self._accept_some(group)
            self.sock.close()
        for peer in self.peers:  # nothing is awaited from the last look to the end of hearing
            peer.stream.catch_up()
            peer.stream.leave(LEFT, LAST_S)  # which waits for the answers to what came with that look
        with anyio.move_on_after(LAST_S):
            await self._until_left()

    async def _accept_the_last(self, group: anyio.abc.TaskGroup) -> None:
        """What waits to be accepted may have been written to, and would be reset with the listener."""
        while pause := self._accept_some(group):
            await anyio.sleep(pause)
        self.sock.close()

    async def _until_left(self) -> None:
        while self.peers:
            self.left = anyio.Event()
            await self.left.wait()

    async def _accept(self, group: anyio.abc.TaskGroup) -> None:
        while True:
            await anyio.wait_readable(self.sock)
            if pause := self._accept_some(group, ACCEPTED_MOST):
                await anyio.sleep(pause)

    def _accept_some(self, group: anyio.abc.TaskGroup, most: int = BACKLOG) -> float:
        """Takes at most so many that wait. Seconds to wait if there is no room for more, for trying at once
        would only spin; 0 if none waits."""
        while most and len(self.peers) < self.most:
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                self.full = False
                return 0.0
            except OSError as trouble:
                if trouble.errno == errno.EMFILE:  # fewer than was told: the links below need theirs too
                    self.most = max(min(self.most, len(self.peers) - ROOM_MADE), PEERS_LEAST)
                if trouble.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    return self._pause(str(trouble))
                most -= 1
                continue  # that one connection went before it was taken
            most -= 1
            try:
                peer = Peer(self, sock)
            except OSError:
                sock.close()  # reset before it could be set up
                continue
            self.peers.add(peer)
            group.start_soon(peer.run)
            if self.is_leaving:
                peer.no_more(clock.monotonic())
        return 0.0 if len(self.peers) < self.most else self._pause("as many connections as the limit allows")

    def _pause(self, why: str) -> float:
        if self._make_room():
            return LEAVING_S
        if not self.full:
            self.full = True
            log.error("cannot accept", why=why, connections=len(self.peers))
        return PAUSE_S

    def _make_room(self) -> bool:
        """Some go at once: the longest wordless, then the longest quiet. Whether any is on its way out."""
        if any(peer.stream.why == ROOM for peer in self.peers):  # others may be owed something for long
            return True
        now = clock.monotonic()
        rested = [
            peer
            for peer in self.peers
            if not peer.is_busy()
            and (self.is_leaving or now - peer.quiet_since > (RESTED_MS if peer.worded else HUSHED_MS))
        ]
        rested.sort(key=lambda peer: (peer.worded, peer.quiet_since))
        made = 0
        for peer in rested:
            made += peer.leave(ROOM, ROOM_S)
            if made == ROOM_MADE:
                break
        return made > 0

    def complain(self, why: str) -> None:
        second = int(clock.monotonic() / 1000)
        if second != self.second:
            self.second, left_out, self.complaints = second, max(self.complaints - COMPLAINTS_MOST, 0), 0
            if left_out:
                log.warning("more trouble with connections", lines_left_out=left_out)
        self.complaints += 1
        if self.complaints <= COMPLAINTS_MOST:
            log.warning("trouble with a gateway's connection", why=why)

    def gone(self, peer: Peer) -> None:
        self.peers.discard(peer)
        self.left.set()

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP_S)
            now = clock.monotonic()
            patience = (self.idle_ms, WORDLESS_MS, GRACE_MS)
            if len(self.peers) > CROWDED * self.most:
                patience = (min(self.idle_ms, QUIET_MS), RESTED_MS, HUSHED_MS)
            for peer in self.peers:
                peer.sweep(now, *patience)
