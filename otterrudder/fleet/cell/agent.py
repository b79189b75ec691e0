"""The fleet's actor in a server of a cell: carries out what the participant wants, and tells the dispatcher
what follows from it.

The interface is that of the plain member's agent (`fleet/agent.py`). The dispatcher's turn asks it first
(`pulse`), so a process that was frozen finds out before its first admission after waking that its lease has
ended. No transaction waits for a relay: streams have tasks of their own, and texts are checked in a
thread."""

import functools
import secrets
from collections.abc import Callable

import anyio
import anyio.abc
import anyio.to_thread

from otterrudder import clock
from otterrudder.fleet.cell.client import RelayStream, StreamEnded
from otterrudder.fleet.cell.messages import BadMessage, ServerMessage
from otterrudder.fleet.cell.participant import (
    CheckText,
    Connect,
    Disconnect,
    Identity,
    Participant,
    ParticipantEffect,
)
from otterrudder.fleet.configuration import Fleet
from otterrudder.fleet.server_control import ServerControl, ServerControlSender
from otterrudder.log import log

FAILED_MS = 200.0  # ms until what failed is tried again: it must not spin
NAP_MS = 1000.0  # ms of sleep at the most where nothing is due


class CellAgent:
    def __init__(
        self, fleet: Fleet, name: str, kind: str, judge: Callable[[str], str], orders: ServerControl
    ) -> None:
        """`judge`: what is wrong with a text for this server, "" if nothing."""
        self.fleet, self.name, self.judge = fleet, name, judge
        identity = Identity(fleet.name, name, secrets.token_hex(8), kind, fleet.zone)
        self.participant = Participant(clock.monotonic(), identity, fleet.relays, fleet.server_lease_ms)
        self.control_sender = ServerControlSender(orders)
        self.counts = {"connected": 0, "ended": 0, "sent": 0, "received": 0, "checks_begun": 0, "checked": 0}
        self._streams: dict[int, RelayStream] = {}
        self._scopes: dict[int, anyio.CancelScope] = {}
        self._wake = anyio.Event()

    # In the dispatcher's turn.

    def pulse(self, now: float) -> None:
        """Ahead of what arrives: which policy is in force, and whether this server admits."""
        participant = self.participant
        admission_status = participant.admission_status(now)
        self.control_sender.send(participant.known, admission_status, participant.status_detail)

    # Its own tasks.

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            while True:
                self._wake = anyio.Event()
                wait = self._begin_effects(group)
                with anyio.move_on_after(min(max(wait, 1.0), NAP_MS) / 1000):
                    await self._wake.wait()

    def shown(self) -> dict[str, object]:
        """For the control socket."""
        participant, now = self.participant, clock.monotonic()
        identity, admission_status = participant.identity, participant.admission_status(now)
        return dict(
            fleet=identity.fleet,
            name=identity.name,
            epoch=identity.incarnation,
            kind=identity.kind,
            relay=participant.relay,
            relays=list(participant.relays),
            standing=admission_status.label,
            admits=admission_status.admits,
            why=participant.status_detail or admission_status.description,
            version=participant.known.version,
            digest=participant.known.digest,
            head=participant.head,
            lease_left_ms=round(max(participant.lease_until - now, 0.0), 1),
            counts=self.counts | {"asides": self.control_sender.suspensions},
        )

    def _begin_effects(self, group: anyio.abc.TaskGroup) -> float:
        """How long until something is due by itself, in ms."""
        try:
            for effect in self.participant.effects(clock.monotonic()):
                self._begin(group, effect)
            return self.participant.due() - clock.monotonic()
        except Exception:  # the fleet's part is not the server's: it is decided anew
            log.exception("the fleet's part failed", of="effects")
            return FAILED_MS

    def _begin(self, group: anyio.abc.TaskGroup, effect: ParticipantEffect) -> None:
        if isinstance(effect, Connect):
            scope = self._scopes[effect.connection] = anyio.CancelScope()
            group.start_soon(self._keep_stream, effect, scope)
        elif isinstance(effect, Disconnect):
            if open_scope := self._scopes.get(effect.connection):
                open_scope.cancel()
        elif isinstance(effect, CheckText):
            group.start_soon(self._check, effect)
        else:
            self._send(effect.connection, effect.message)

    def _send(self, connection: int, message: ServerMessage) -> None:
        if stream := self._streams.get(connection):
            try:
                stream.send(message)
                self.counts["sent"] += 1
            except StreamEnded as why:
                log.warning("a relay is left", relay=stream.relay, why=str(why))
                self._scopes[connection].cancel()

    async def _keep_stream(self, effect: Connect, scope: anyio.CancelScope) -> None:
        """From the opening of a stream to its end, of which the participant is told."""
        connection = effect.connection
        try:
            with scope:
                await self._talk(connection, RelayStream(self.fleet, effect.relay))
        except* (StreamEnded, BadMessage) as ends:
            log.info("a relay's stream ended", relay=effect.relay, why=str(ends.exceptions[0]))
        except* Exception:
            log.exception("the fleet's part failed", of="stream")
        finally:
            self._streams.pop(connection, None)
            self._scopes.pop(connection, None)
            self.participant.disconnected(clock.monotonic(), connection)
            self.counts["ended"] += 1
            self._wake.set()

    async def _talk(self, connection: int, stream: RelayStream) -> None:
        async with stream.opened():
            self._streams[connection] = stream
            self.counts["connected"] += 1
            self.participant.connected(clock.monotonic(), connection)
            self._wake.set()
            async with anyio.create_task_group() as group:
                group.start_soon(stream.write_queued)
                while True:
                    message = await stream.receive()
                    self.counts["received"] += 1
                    self.participant.received(clock.monotonic(), connection, message)
                    self._wake.set()

    async def _check(self, effect: CheckText) -> None:
        """In a thread: a policy of hundreds of names would hold up the loop for tens of ms. A drain does not
        wait for it."""
        self.counts["checks_begun"] += 1
        judge = functools.partial(self._judge, effect.text)
        trouble = await anyio.to_thread.run_sync(judge, abandon_on_cancel=True)
        self.counts["checked"] += 1
        self.participant.checked(clock.monotonic(), effect.digest, trouble)
        self._wake.set()

    def _judge(self, text: str) -> str:
        try:
            return self.judge(text)
        except Exception as why:  # it is a no, with what there is of a reason
            log.exception("a policy could not be judged")
            return f"{self.name}: {type(why).__name__}: {why}"
