"""A relay's actor: carries out what the pure `Relay` wants done.

Every decision takes the monotonic clock at the moment it is made, so a process that was frozen grants
nothing on an authority that has ended meanwhile. A failure in one stream, request or effect ends that one
alone. `run` gives the streams, the store's lease and the folder back on every way out."""

import itertools
import resource
import secrets
from collections import Counter
from typing import Any

import anyio
import anyio.abc
import grpc

from otterrudder import __version__, clock
from otterrudder.durable import StateDirectory
from otterrudder.fleet.cell.configuration import RelayRole
from otterrudder.fleet.cell.consent import PeerRequest
from otterrudder.fleet.cell.messages import (
    AskConsent,
    BadMessage,
    Grant,
    InForce,
    ServerMessage,
    decode_from_peer,
    encode,
)
from otterrudder.fleet.cell.peers import Peers
from otterrudder.fleet.cell.relay import (
    CellIdentity,
    EndSession,
    Relay,
    RelayEffect,
    RelayLimits,
    SendToServer,
)
from otterrudder.fleet.cell.streams import MessageEncoder, RelayHandler, ServerStream, StreamFailed
from otterrudder.fleet.cell.wire import make_server
from otterrudder.fleet.configuration import Fleet
from otterrudder.fleet.effects import Effect, effect_name
from otterrudder.fleet.executor import CLOSE_TIMEOUT_MS, Executor
from otterrudder.fleet.failpoints import reach_failpoint
from otterrudder.fleet.records import MemberStatus
from otterrudder.fleet.state import MemberState
from otterrudder.fleet.store import Store
from otterrudder.log import log

STREAMS_SPARE = 64  # streams beyond the sessions: of servers that are told that it is full, and of relays
DESCRIPTORS_SPARE = 64  # beyond one a stream: the store, the other relays, logs
FAILED_MS = 200.0  # ms until what failed is tried again: it must not spin
NAP_MS = 1000.0  # ms of sleep at the most where nothing is due
CLOSE_S = 0.2  # s that connections have to close by themselves
FLUSH_MS = 500.0  # ms that servers have at the end to read where to go


class TooFewDescriptors(Exception):
    """The process may not open as many files as its sessions need."""


def check_descriptors(sessions_most: int) -> None:
    """Raises TooFewDescriptors. The limit is the operators' to raise."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = sessions_most + STREAMS_SPARE + DESCRIPTORS_SPARE
    if allowed != resource.RLIM_INFINITY and allowed < wanted:
        raise TooFewDescriptors(
            f"relay.sessions_most: {sessions_most} sessions need {wanted} descriptors, and RLIMIT_NOFILE "
            f"allows {allowed}"
        )


class RelayService:
    def __init__(
        self,
        fleet: Fleet,
        role: RelayRole,
        store: Store,
        folder: StateDirectory | None,
        record: MemberState | None,
    ) -> None:
        """`record`: what the folder holds."""
        self.fleet, self.role = fleet, role
        incarnation = secrets.token_hex(8)
        self.relay = Relay(
            clock.monotonic(),
            CellIdentity(fleet.name, role.cell, role.address, role.candidates),
            incarnation,
            fleet.rules,
            RelayLimits(fleet.server_lease_ms, role.sessions_most),
            record=record,
            has_disk=folder is not None,
            status=MemberStatus(incarnation, __version__, fleet.zone, relay=role.address),
            cluster=fleet.store_id,
            folder="" if folder is None else record.directory_id if record else secrets.token_hex(8),
        )
        self.executor, self.peers = Executor(store, folder, fleet.timeout_ms), Peers(fleet)
        self._server: Any = None
        self._encoder = MessageEncoder()
        self._streams: dict[int, ServerStream] = {}
        self._connections = itertools.count(1)
        self._watches: dict[str, anyio.CancelScope] = {}
        self._wake = anyio.Event()
        self._is_stopping = False
        self._led = False
        self._received = 0  # messages of servers
        self._failures: Counter[str] = Counter()  # streams that this side ended, by status

    def listen(self) -> None:
        """To be called in the event loop, before `run`. OSError: the address can't be listened on."""
        handler = RelayHandler(self._handle_session, self._handle_consent)
        streams_most = self.role.sessions_most + STREAMS_SPARE
        self._server = make_server(self.fleet, self.role, handler, streams_most)

    async def run(self) -> None:
        """Serves until `stop`."""
        try:
            await self._server.start()
            log.info("relay listening", address=self.role.address, at=self.role.listen, cell=self.role.cell)
            async with anyio.create_task_group() as group:
                while not self._is_stopping:
                    await self._turn(group)
                await self._dismiss_servers(group)
                group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after((CLOSE_TIMEOUT_MS + FLUSH_MS) / 1000):
                await self.executor.close(self.relay.member.lease)
                await self.peers.close()
                await self._server.stop(CLOSE_S)

    def stop(self) -> None:
        """The servers are sent to other relays, and the cell is free for one of them."""
        self._is_stopping = True
        self._wake.set()

    def shown(self) -> dict[str, object]:
        """For the control socket."""
        relay, now = self.relay, clock.monotonic()
        member = relay.member
        return dict(
            fleet=self.fleet.name,
            cell=self.role.cell,
            address=self.role.address,
            leads=relay.leads(),
            standing=member.admission_status(now).label,
            why=member.status_detail or member.admission_status(now).description,
            version=member.known.version,
            digest=member.known.digest,
            settles=member.is_leader,
            store_lease_left_ms=_left(member.registration.lease_until - now),
            authority_left_ms=_left(relay.authority_until(now) - now),
            consent_left_ms=_left(member.registration.endorsed_until - now),
            consented_left_ms=_left(relay.promise.until - now),
            sessions=len(relay.sessions),
            sessions_most=self.role.sessions_most,
            streams=len(self._streams),
            received=self._received,
            kinds=Counter(session.kind for session in relay.sessions.values()),
            versions=Counter(session.version for session in relay.sessions.values()),
            standings=Counter(session.admission_status for session in relay.sessions.values()),
            refused={reason.value: count for reason, count in relay.refused.items() if count},
            streams_failed=self._failures,
            worst_answer_ms=round(self.executor.take_worst_ms(), 1),
            counts=self.executor.counts,
        )

    # Decisions.

    async def _turn(self, group: anyio.abc.TaskGroup) -> None:
        """Begins what is due, and waits for the next event or time."""
        self._wake = anyio.Event()
        try:
            self._begin_effects(group)
            self._keep_watches(group)
            wait = self.relay.due() - clock.monotonic()
        except Exception:  # it is decided anew
            log.exception("the relay failed", of="effects")
            wait = FAILED_MS
        with anyio.move_on_after(min(max(wait, 1.0), NAP_MS) / 1000):
            await self._wake.wait()

    def _begin_effects(self, group: anyio.abc.TaskGroup) -> None:
        now = clock.monotonic()
        for effect in self.relay.effects(now):
            self._begin(group, effect, now)
        if self.relay.leads() is not self._led:
            self._led = self.relay.leads()
            log.info("relay leads" if self._led else "relay leads no more", cell=self.role.cell)

    def _begin(self, group: anyio.abc.TaskGroup, effect: RelayEffect, now: float) -> None:
        if isinstance(effect, SendToServer):
            self._send(effect)
        elif isinstance(effect, EndSession):
            if stream := self._streams.get(effect.connection):
                stream.end()
        elif isinstance(effect, PeerRequest):
            group.start_soon(self._ask_peer, effect)
        else:
            group.start_soon(self._carry_out, effect, now)

    def _send(self, effect: SendToServer) -> None:
        if isinstance(effect.message, Grant):
            reach_failpoint("before grant")
        elif isinstance(effect.message, InForce):
            reach_failpoint("before in force")
        if stream := self._streams.get(effect.connection):
            stream.send(self._encoder.encode(effect.message))

    async def _carry_out(self, effect: Effect, sent: float) -> None:
        """A failure in one of them is not the relay's."""
        try:
            reach_failpoint(f"before {effect_name(effect)}")
            outcome = await self.executor.perform(effect)
            reach_failpoint(f"after {effect_name(effect)}")
            now = clock.monotonic()
            self.executor.worst_ms = max(self.executor.worst_ms, now - sent)
            self.relay.handle_result(now, effect, sent, outcome)
            if self.relay.member.mistrust:
                await self.executor.mistrust(now, self.relay.member.mistrust)
        except Exception:
            log.exception("the relay failed", of=effect_name(effect))
            await anyio.sleep(FAILED_MS / 1000)
        self._wake.set()

    async def _ask_peer(self, request: PeerRequest) -> None:
        try:
            consent = await self.peers.ask(request)
        except Exception:
            log.exception("the relay failed", of="consent")
            return
        if consent:
            self.relay.peer_answered(consent)
            self._wake.set()

    def _keep_watches(self, group: anyio.abc.TaskGroup) -> None:
        """One on each prefix that is wanted now."""
        wanted = self.relay.watched()
        for prefix in [prefix for prefix in self._watches if prefix not in wanted]:
            self._watches.pop(prefix).cancel()
        for prefix in wanted:
            if prefix not in self._watches:
                self._watches[prefix] = anyio.CancelScope()
                group.start_soon(self._watch, prefix, self._watches[prefix])

    async def _watch(self, prefix: str, scope: anyio.CancelScope) -> None:
        def handle_watch_event() -> None:
            self.relay.handle_watch_event(clock.monotonic(), prefix)
            self._wake.set()

        with scope:
            await self.executor.watch(prefix, handle_watch_event)

    async def _dismiss_servers(self, group: anyio.abc.TaskGroup) -> None:
        self.relay.leave(clock.monotonic())
        self._begin_effects(group)
        with anyio.move_on_after(FLUSH_MS / 1000):
            while self._streams:
                self._wake = anyio.Event()
                await self._wake.wait()
        log.info("relay left", cell=self.role.cell, streams_left=len(self._streams))

    # What gRPC calls.

    async def _handle_session(self, _requests: Any, context: Any) -> None:
        """A server's stream, from its opening to its end."""
        connection = next(self._connections)

        def received(message: ServerMessage) -> None:
            self._received += 1
            self.relay.received(clock.monotonic(), connection, message)
            self._wake.set()

        stream = self._streams[connection] = ServerStream(connection, context, received)
        try:
            await stream.run()
        except StreamFailed as failure:
            self._failures[failure.code.name.lower()] += 1
            log.warning("a stream is ended", peer=context.peer(), why=failure.why)
            self._forget(connection)  # a server that does not read may hold up its status for long
            await context.abort(failure.code, failure.why)
        finally:
            self._forget(connection)

    def _forget(self, connection: int) -> None:
        """The stream is over, as far as the relay goes."""
        if self._streams.pop(connection, None):
            self.relay.closed(connection)
            self._wake.set()

    async def _handle_consent(self, data: bytes, context: Any) -> bytes:
        """Another relay of the cell asks for consent."""
        try:
            request = decode_from_peer(data)
            if not isinstance(request, AskConsent):
                raise BadMessage("an AskConsent is wanted")
        except BadMessage as why:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(why))
            raise  # never reached: abort raises
        reach_failpoint("before consent")
        consent = self.relay.peer_asked(clock.monotonic(), request)
        reach_failpoint("after consent")
        self._wake.set()
        return encode(consent)


def _left(ms: float) -> float:
    return round(max(ms, 0.0), 1) if ms < float("inf") else -1.0  # -1: it has no end
