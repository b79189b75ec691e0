"""The actor of a server in a cell: performs the effects of the participant, and passes the resulting policy
and admission status to the dispatcher.

It has the same interface as the plain member's agent (`fleet/agent.py`). The dispatcher calls `update_server`
at the start of each batch, so a process that was frozen notices the end of its lease before its first
admission after it resumes. No request waits for a relay: streams run in their own tasks, and texts are
validated in a thread."""

import functools
import secrets
from collections.abc import Callable

import anyio
import anyio.abc
import anyio.to_thread

from otterrudder import clock
from otterrudder.fleet.cell.client import RelayStream, StreamClosedError
from otterrudder.fleet.cell.effects import Connect, Disconnect, ParticipantEffect, SendToRelay, ValidateText
from otterrudder.fleet.cell.identity import ServerIdentity
from otterrudder.fleet.cell.messages import InvalidMessageError
from otterrudder.fleet.cell.participant import Participant
from otterrudder.fleet.configuration import Fleet
from otterrudder.fleet.server_control import ServerControl, ServerControlSender
from otterrudder.fleet.validation import validate_text
from otterrudder.log import log

ERROR_RETRY_MS = 200.0  # delay after an unexpected exception, so that the loop does not spin
MIN_SLEEP_MS = 1.0
MAX_SLEEP_MS = 1000.0  # maximum sleep when nothing is due


class CellAgent:
    """Runs a server's participant: its streams, validations and timers."""

    def __init__(
        self, fleet: Fleet, name: str, fingerprint: str, validate: Callable[[str], str], orders: ServerControl
    ) -> None:
        """`validate` returns why this server rejects a policy text, "" if it accepts it."""
        self.fleet = fleet
        self.name = name
        self.validate = validate
        identity = ServerIdentity(fleet.name, name, secrets.token_hex(8), fingerprint, fleet.zone)
        self.participant = Participant(clock.monotonic(), identity, fleet.relays, fleet.server_lease_ms)
        self.control_sender = ServerControlSender(orders)
        self.counts = {"connected": 0, "ended": 0, "sent": 0, "received": 0, "checks_begun": 0, "checked": 0}
        self._streams: dict[int, RelayStream] = {}
        self._scopes: dict[int, anyio.CancelScope] = {}
        self._wakeup = anyio.Event()

    # Called in the dispatcher's batch.

    def update_server(self, now: float) -> None:
        """Passes the policy in force and the admission status to the server, before the batch's events are
        handled."""
        participant = self.participant
        admission_status = participant.admission_status(now)
        self.control_sender.send(participant.applied_policy, admission_status, participant.status_detail)

    # The agent's own tasks.

    async def run(self) -> None:
        """Runs until it is cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                self._wakeup = anyio.Event()
                wait_ms = self._begin_effects(group)
                with anyio.move_on_after(min(max(wait_ms, MIN_SLEEP_MS), MAX_SLEEP_MS) / 1000):
                    await self._wakeup.wait()

    def control_status(self) -> dict[str, object]:
        """Returns the status that the control socket shows."""
        now = clock.monotonic()
        participant = self.participant
        identity = participant.identity
        admission_status = participant.admission_status(now)
        return dict(
            fleet=identity.fleet,
            name=identity.name,
            epoch=identity.incarnation,
            kind=identity.fingerprint,
            relay=participant.relay,
            relays=list(participant.selector.addresses),
            standing=admission_status.label,
            admits=admission_status.admits,
            why=participant.status_detail or admission_status.description,
            version=participant.applied_policy.version,
            digest=participant.applied_policy.digest,
            head=participant.newest_version,
            lease_left_ms=round(max(participant.lease.until - now, 0.0), 1),
            counts=self.counts | {"asides": self.control_sender.suspensions},
        )

    def _begin_effects(self, group: anyio.abc.TaskGroup) -> float:
        """Starts the effects that are due; returns the time in ms until the next ones are due."""
        try:
            for effect in self.participant.effects(clock.monotonic()):
                self._begin(group, effect)
            return self.participant.due() - clock.monotonic()
        except Exception:  # an error here must not end the server; the next call decides again
            log.exception("the fleet agent failed", of="effects")
            return ERROR_RETRY_MS

    def _begin(self, group: anyio.abc.TaskGroup, effect: ParticipantEffect) -> None:
        match effect:
            case Connect():
                scope = self._scopes[effect.connection] = anyio.CancelScope()
                group.start_soon(self._run_stream, effect, scope)
            case Disconnect():
                if open_scope := self._scopes.get(effect.connection):
                    open_scope.cancel()
            case ValidateText():
                group.start_soon(self._validate, effect)
            case SendToRelay():
                self._send(effect)

    def _send(self, effect: SendToRelay) -> None:
        stream = self._streams.get(effect.connection)
        if stream is None:
            return
        try:
            stream.send(effect.message)
            self.counts["sent"] += 1
        except StreamClosedError as error:
            log.warning("closing the stream to the relay", relay=stream.relay, why=str(error))
            self._scopes[effect.connection].cancel()

    async def _run_stream(self, effect: Connect, scope: anyio.CancelScope) -> None:
        """Runs a stream from its opening to its end, and notifies the participant of the end."""
        connection = effect.connection
        try:
            with scope:
                await self._exchange_messages(connection, RelayStream(self.fleet, effect.relay))
        except* (StreamClosedError, InvalidMessageError) as errors:
            log.info("stream to the relay ended", relay=effect.relay, why=str(errors.exceptions[0]))
        except* Exception:
            log.exception("the fleet agent failed", of="stream")
        finally:
            self._streams.pop(connection, None)
            self._scopes.pop(connection, None)
            self.participant.handle_disconnected(clock.monotonic(), connection)
            self.counts["ended"] += 1
            self._wakeup.set()

    async def _exchange_messages(self, connection: int, stream: RelayStream) -> None:
        async with stream.opened():
            self._streams[connection] = stream
            self.counts["connected"] += 1
            self.participant.handle_connected(clock.monotonic(), connection)
            self._wakeup.set()
            async with anyio.create_task_group() as group:
                group.start_soon(stream.write_queued)
                while True:
                    message = await stream.receive()
                    self.counts["received"] += 1
                    self.participant.handle_message(clock.monotonic(), connection, message)
                    self._wakeup.set()

    async def _validate(self, effect: ValidateText) -> None:
        """Validates a text in a thread: a policy with hundreds of names would block the event loop for tens
        of ms. A drain does not wait for the thread."""
        self.counts["checks_begun"] += 1
        validate = functools.partial(validate_text, self.validate, self.name, effect.text)
        rejection = await anyio.to_thread.run_sync(validate, abandon_on_cancel=True)
        self.counts["checked"] += 1
        self.participant.handle_validated(clock.monotonic(), effect.digest, rejection)
        self._wakeup.set()
