"""The relay's actor: performs the effects of the pure `Relay`, and passes events to it.

Each decision uses the monotonic clock at the moment when it is made, so a process that was frozen grants no
leases if its authority has ended in the meantime. A failure in a stream, a request or an effect ends only
that stream, request or effect. `run` always releases the streams, the store lease and the state directory
when it ends."""

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

ERROR_RETRY_MS = 200.0  # delay after an unexpected exception, so that the loop does not spin
MIN_SLEEP_MS = 1.0
MAX_SLEEP_MS = 1000.0  # maximum sleep when nothing is due
CLOSE_TIMEOUT_S = 0.2  # time that connections have to close by themselves
FLUSH_MS = 500.0  # time that servers have to read their refusal during shutdown


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
        """`state`: the member state read from the state directory, None if the directory has none."""
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
        self._received = 0  # messages received from servers
        self._stream_errors: Counter[str] = Counter()  # streams that the relay ended with an error, by status

    def listen(self) -> None:
        """Binds the listening address; raises OSError if that fails.

        It has to be called in the event loop, before `run`."""
        handler = RelayHandler(self._handle_session, self._handle_endorsement_request)
        self._server = make_server(self.fleet, self.role, handler, max_streams(self.role.max_sessions))

    async def run(self) -> None:
        """Serves until `stop` is called."""
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
        """Makes `run` end the sessions, so that servers connect to other relays, and release the cell."""
        self._is_stopping = True
        self._wakeup.set()

    def control_status(self) -> dict[str, object]:
        """Returns the status that the control socket shows."""
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
        """Starts the effects that are due, and waits for the next event or due time."""
        self._wakeup = anyio.Event()
        try:
            self._begin_effects(group)
            self._update_watches(group)
            wait_ms = self.relay.due() - clock.monotonic()
        except Exception:  # the next batch decides again
            log.exception("relay: unexpected error", of="effects")
            wait_ms = ERROR_RETRY_MS
        with anyio.move_on_after(min(max(wait_ms, MIN_SLEEP_MS), MAX_SLEEP_MS) / 1000):
            await self._wakeup.wait()

    def _begin_effects(self, group: anyio.abc.TaskGroup) -> None:
        now = clock.monotonic()
        for effect in self.relay.effects(now):
            self._begin(group, effect, now)
        if self.relay.leads() is not self._was_leading:
            self._was_leading = self.relay.leads()
            log.info(
                "relay leads the cell" if self._was_leading else "relay no longer leads the cell",
                cell=self.role.cell,
            )

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
        """Performs a store or disk effect. An exception in it is logged and does not end the relay."""
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
            log.exception("relay: unexpected error", of=effect_name(effect))
            await anyio.sleep(ERROR_RETRY_MS / 1000)
        self._wakeup.set()

    async def _request_endorsement(self, request: PeerRequest) -> None:
        try:
            endorsement = await self.peers.request(request)
        except Exception:
            log.exception("relay: unexpected error", of="consent")
            return
        if endorsement:
            self.relay.handle_endorsement(endorsement)
            self._wakeup.set()

    def _update_watches(self, group: anyio.abc.TaskGroup) -> None:
        """Starts and cancels watches, so that there is one watch on each prefix that the relay needs."""
        prefixes = self.relay.watched_prefixes()
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
        log.info("relay ended its sessions", cell=self.role.cell, streams_left=len(self._streams))

    # gRPC handlers.

    async def _handle_session(self, _requests: Any, context: Any) -> None:
        """Runs a server's stream from its opening to its end."""
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
            log.warning("relay ended a server's stream", peer=context.peer(), why=error.reason)
            # The stream is removed first: sending the status may take long if the server does not read.
            self._remove_stream(connection)
            await context.abort(error.code, error.reason)
        finally:
            self._remove_stream(connection)

    def _remove_stream(self, connection: int) -> None:
        """Removes a stream and notifies the relay of its end, unless that has been done."""
        if self._streams.pop(connection, None):
            self.relay.handle_stream_closed(connection)
            self._wakeup.set()

    async def _handle_endorsement_request(self, data: bytes, context: Any) -> bytes:
        """Answers an endorsement request from another relay of the cell."""
        try:
            request = decode_from_peer(data)
            if not isinstance(request, EndorsementRequest):
                raise InvalidMessageError("expected an AskConsent message")
        except InvalidMessageError as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
            raise  # not reached: abort raises
        reach_failpoint("before consent")
        endorsement = self.relay.handle_endorsement_request(clock.monotonic(), request)
        reach_failpoint("after consent")
        self._wakeup.set()
        return encode(endorsement)


def _directory_id(directory: StateDirectory | None, state: MemberState | None) -> str:
    """Returns the ID that identifies the state directory in the roster.

    An empty directory gets a new ID; the ID is "" without a directory."""
    if directory is None:
        return ""
    return state.directory_id if state else secrets.token_hex(8)
