"""A relay's actor: carries out what the pure `Relay` wants done.

Every decision takes the monotonic clock at the moment it is made, so a process that was frozen grants
nothing on an authority that has ended meanwhile. A failure in one stream, request or effect ends that one
alone. `run` releases the streams, the store's lease and the state directory on every way out."""

import itertools
import secrets
from collections import Counter
from typing import Any

import anyio
import anyio.abc
import grpc

from otterrudder import __version__, clock
from otterrudder.durable import StateDirectory
from otterrudder.fleet.cell.configuration import RelayRole
from otterrudder.fleet.cell.descriptors import max_streams
from otterrudder.fleet.cell.effects import EndSession, PeerRequest, RelayEffect, SendToServer
from otterrudder.fleet.cell.identity import CellIdentity
from otterrudder.fleet.cell.limits import RelayLimits
from otterrudder.fleet.cell.messages import (
    EndorsementRequest,
    InvalidMessageError,
    LeaseGrant,
    PolicyUpdate,
    ServerMessage,
    decode_from_peer,
    encode,
)
from otterrudder.fleet.cell.peers import Peers
from otterrudder.fleet.cell.relay import Relay
from otterrudder.fleet.cell.relay_start import RelayStart
from otterrudder.fleet.cell.relay_status import TransportCounts, relay_status
from otterrudder.fleet.cell.streams import MessageEncoder, RelayHandler, ServerStream, StreamError
from otterrudder.fleet.cell.wire import make_server
from otterrudder.fleet.configuration import Fleet
from otterrudder.fleet.effects import Effect, effect_name
from otterrudder.fleet.executor import CLOSE_TIMEOUT_MS, Executor
from otterrudder.fleet.failpoints import reach_failpoint
from otterrudder.fleet.records import MemberStatus
from otterrudder.fleet.state import MemberState
from otterrudder.fleet.store import Store
from otterrudder.log import log

ERROR_RETRY_MS = 200.0  # after a failure of this code, so that it does not spin
MIN_SLEEP_MS = 1.0
MAX_SLEEP_MS = 1000.0  # where nothing is due
CLOSE_TIMEOUT_S = 0.2  # that connections have to close by themselves
FLUSH_MS = 500.0  # that servers have at the end to read their refusal


class RelayService:
    """Runs a relay: its streams, its requests to the store and to other relays, and its timers."""

    def __init__(
        self,
        fleet: Fleet,
        role: RelayRole,
        store: Store,
        directory: StateDirectory | None,
        state: MemberState | None,
    ) -> None:
        """`state`: what the state directory holds."""
        self.fleet = fleet
        self.role = role
        incarnation = secrets.token_hex(8)
        start = RelayStart(
            incarnation,
            state=state,
            has_disk=directory is not None,
            directory_id=_directory_id(directory, state),
            status=MemberStatus(incarnation, __version__, fleet.zone, relay=role.address),
            cluster=fleet.store_id,
        )
        self.relay = Relay(
            clock.monotonic(),
            CellIdentity(fleet.name, role.cell, role.address, role.candidates),
            start,
            fleet.rules,
            RelayLimits(fleet.server_lease_ms, role.max_sessions),
        )
        self.executor = Executor(store, directory, fleet.timeout_ms)
        self.peers = Peers(fleet)
        self._server: Any = None
        self._encoder = MessageEncoder()
        self._streams: dict[int, ServerStream] = {}
        self._connections = itertools.count(1)
        self._watches: dict[str, anyio.CancelScope] = {}
        self._wakeup = anyio.Event()
        self._is_stopping = False
        self._was_leading = False
        self._received = 0  # messages of servers
        self._stream_errors: Counter[str] = Counter()  # streams that this side ended, by status

    def listen(self) -> None:
        """To be called in the event loop, before `run`. OSError: the address can't be listened on."""
        handler = RelayHandler(self._handle_session, self._handle_endorsement_request)
        self._server = make_server(self.fleet, self.role, handler, max_streams(self.role.max_sessions))

    async def run(self) -> None:
        """Serves until `stop`."""
        try:
            await self._server.start()
            log.info("relay listening", address=self.role.address, at=self.role.listen, cell=self.role.cell)
            async with anyio.create_task_group() as group:
                while not self._is_stopping:
                    await self._run_batch(group)
                await self._dismiss_servers(group)
                group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after((CLOSE_TIMEOUT_MS + FLUSH_MS) / 1000):
                await self.executor.close(self.relay.member.lease)
                await self.peers.close()
                await self._server.stop(CLOSE_TIMEOUT_S)

    def stop(self) -> None:
        """The servers are sent to other relays, and the cell is free for one of them."""
        self._is_stopping = True
        self._wakeup.set()

    def control_status(self) -> dict[str, object]:
        """For the control socket."""
        counts = TransportCounts(
            streams=len(self._streams),
            received=self._received,
            streams_failed=self._stream_errors,
            worst_answer_ms=round(self.executor.take_max_answer_ms(), 1),
            store=self.executor.counts,
        )
        return relay_status(self.relay, counts, clock.monotonic())

    # Effects.

    async def _run_batch(self, group: anyio.abc.TaskGroup) -> None:
        """Begins what is due, and waits for the next event or time."""
        self._wakeup = anyio.Event()
        try:
            self._begin_effects(group)
            self._update_watches(group)
            wait_ms = self.relay.due() - clock.monotonic()
        except Exception:  # it is decided anew
            log.exception("the relay failed", of="effects")
            wait_ms = ERROR_RETRY_MS
        with anyio.move_on_after(min(max(wait_ms, MIN_SLEEP_MS), MAX_SLEEP_MS) / 1000):
            await self._wakeup.wait()

    def _begin_effects(self, group: anyio.abc.TaskGroup) -> None:
        now = clock.monotonic()
        for effect in self.relay.effects(now):
            self._begin(group, effect, now)
        if self.relay.leads() is not self._was_leading:
            self._was_leading = self.relay.leads()
            log.info("relay leads" if self._was_leading else "relay leads no more", cell=self.role.cell)

    def _begin(self, group: anyio.abc.TaskGroup, effect: RelayEffect, now: float) -> None:
        match effect:
            case SendToServer():
                self._send(effect)
            case EndSession():
                if stream := self._streams.get(effect.connection):
                    stream.end()
            case PeerRequest():
                group.start_soon(self._request_endorsement, effect)
            case _:
                group.start_soon(self._carry_out, effect, now)

    def _send(self, effect: SendToServer) -> None:
        if isinstance(effect.message, LeaseGrant):
            reach_failpoint("before grant")
        elif isinstance(effect.message, PolicyUpdate):
            reach_failpoint("before in force")
        if stream := self._streams.get(effect.connection):
            stream.send(self._encoder.encode(effect.message))

    async def _carry_out(self, effect: Effect, sent: float) -> None:
        """An effect of the store or the disk. A failure in one of them is not the relay's."""
        try:
            reach_failpoint(f"before {effect_name(effect)}")
            outcome = await self.executor.perform(effect)
            reach_failpoint(f"after {effect_name(effect)}")
            now = clock.monotonic()
            self.executor.max_answer_ms = max(self.executor.max_answer_ms, now - sent)
            self.relay.handle_result(now, effect, sent, outcome)
            if self.relay.member.distrust_reason:
                await self.executor.handle_untrusted_store(now, self.relay.member.distrust_reason)
        except Exception:
            log.exception("the relay failed", of=effect_name(effect))
            await anyio.sleep(ERROR_RETRY_MS / 1000)
        self._wakeup.set()

    async def _request_endorsement(self, request: PeerRequest) -> None:
        try:
            endorsement = await self.peers.request(request)
        except Exception:
            log.exception("the relay failed", of="consent")
            return
        if endorsement:
            self.relay.handle_endorsement(endorsement)
            self._wakeup.set()

    def _update_watches(self, group: anyio.abc.TaskGroup) -> None:
        """One watch on each prefix that the relay needs now."""
        prefixes = self.relay.watched()
        for prefix in [prefix for prefix in self._watches if prefix not in prefixes]:
            self._watches.pop(prefix).cancel()
        for prefix in prefixes:
            if prefix not in self._watches:
                self._watches[prefix] = anyio.CancelScope()
                group.start_soon(self._watch, prefix, self._watches[prefix])

    async def _watch(self, prefix: str, scope: anyio.CancelScope) -> None:
        def handle_event() -> None:
            self.relay.handle_watch_event(clock.monotonic(), prefix)
            self._wakeup.set()

        with scope:
            await self.executor.watch(prefix, handle_event)

    async def _dismiss_servers(self, group: anyio.abc.TaskGroup) -> None:
        self.relay.begin_shutdown()
        self._begin_effects(group)
        with anyio.move_on_after(FLUSH_MS / 1000):
            while self._streams:
                self._wakeup = anyio.Event()
                await self._wakeup.wait()
        log.info("relay left", cell=self.role.cell, streams_left=len(self._streams))

    # What gRPC calls.

    async def _handle_session(self, _requests: Any, context: Any) -> None:
        """A server's stream, from its opening to its end."""
        connection = next(self._connections)

        def handle_message(message: ServerMessage) -> None:
            self._received += 1
            self.relay.handle_message(clock.monotonic(), connection, message)
            self._wakeup.set()

        stream = self._streams[connection] = ServerStream(connection, context, handle_message)
        try:
            await stream.run()
        except StreamError as error:
            self._stream_errors[error.code.name.lower()] += 1
            log.warning("a stream is ended", peer=context.peer(), why=error.reason)
            self._remove_stream(connection)  # a server that does not read may hold up its status for long
            await context.abort(error.code, error.reason)
        finally:
            self._remove_stream(connection)

    def _remove_stream(self, connection: int) -> None:
        """The stream is over, as far as the relay goes."""
        if self._streams.pop(connection, None):
            self.relay.handle_stream_closed(connection)
            self._wakeup.set()

    async def _handle_endorsement_request(self, data: bytes, context: Any) -> bytes:
        """Another relay of the cell asks for an endorsement."""
        try:
            request = decode_from_peer(data)
            if not isinstance(request, EndorsementRequest):
                raise InvalidMessageError("an AskConsent is wanted")
        except InvalidMessageError as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
            raise  # never reached: abort raises
        reach_failpoint("before consent")
        endorsement = self.relay.handle_endorsement_request(clock.monotonic(), request)
        reach_failpoint("after consent")
        self._wakeup.set()
        return encode(endorsement)


def _directory_id(directory: StateDirectory | None, state: MemberState | None) -> str:
    """The name under which the roster knows the directory: a new one for an empty one, "" without one."""
    if directory is None:
        return ""
    return state.directory_id if state else secrets.token_hex(8)
