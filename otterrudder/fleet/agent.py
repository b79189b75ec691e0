"""Runs a fleet member in a server: carries out the member's effects, and applies its policy and admission
status to the server.

The dispatcher calls `update_server` first in each batch, so the admission status is evaluated with the clock
of the batch that admits: a process that was frozen suspends admission, if it has to, before it admits its
first request after it resumes. No request ever waits for the store: effects run in separate tasks, at most
one per lane, each with a deadline, and a thread writes the state directory.

`run` releases the connection to the store and the state directory on every exit."""

import secrets
from collections.abc import Callable, Mapping

import anyio
import anyio.to_thread
import msgspec

from otterrudder import clock
from otterrudder.durable import StateDirectory
from otterrudder.fleet.change import ChangeCoordinator
from otterrudder.fleet.configuration import Fleet
from otterrudder.fleet.effects import Commit, Effect, Lane, Outcome, ValidatePolicy, effect_name
from otterrudder.fleet.executor import CLOSE_TIMEOUT_MS, Executor
from otterrudder.fleet.failpoints import reach_failpoint
from otterrudder.fleet.member import Member
from otterrudder.fleet.records import Keys, MemberStatus
from otterrudder.fleet.server_control import ServerControl, ServerControlSender
from otterrudder.fleet.state import MemberState
from otterrudder.fleet.store import Store
from otterrudder.fleet.validation import validate_text
from otterrudder.log import log

FAILURE_PAUSE_MS = 200.0  # delay after a failed effect, so that repeated failures do not keep the loop busy
MIN_WAIT_MS = 1.0
MAX_WAIT_MS = 1000.0  # maximum time between two checks for effects that are due


class Agent:
    """A member of the fleet that runs in a server."""

    def __init__(
        self,
        fleet: Fleet,
        store: Store,
        name: str,
        status: MemberStatus,
        validate: Callable[[str], str],
        control: ServerControl,
        directory: StateDirectory | None,
        record: MemberState | None,
        load_report: Callable[[], Mapping[str, float]] = dict,
    ) -> None:
        """`status` has the fields that do not change while the process runs. `validate` returns why this
        server rejects a policy's text, or "" if it accepts it. `directory` and `record` come from
        `open_state_directory`. `load_report` returns the server's metrics for trials."""
        self.load_report = load_report
        self.validate = validate
        keys, incarnation = Keys(fleet.name), secrets.token_hex(8)
        self.executor = Executor(store, directory, fleet.timeout_ms)
        self.control_sender = ServerControlSender(control)
        self.member = Member(
            clock.monotonic(),
            keys,
            name,
            incarnation,
            record.directory_id if record else secrets.token_hex(8),
            fleet.rules,
            validate,
            record=record,
            has_disk=directory is not None,
            status=msgspec.structs.replace(status, incarnation=incarnation),
            cluster=fleet.store_id,
        )
        self.coordinator = ChangeCoordinator(keys, name)
        self.wakeup = anyio.Event()

    @property
    def directory(self) -> StateDirectory | None:
        """The locked state directory, or None."""
        return self.executor.directory

    @property
    def is_writing(self) -> bool:
        """Whether a write to the state directory is in progress."""
        return self.executor.is_writing

    # Called in the dispatcher's batch.

    def update_server(self, now: float) -> None:
        """Applies the policy in force and the admission status to the server, before the batch handles
        requests."""
        member = self.member
        self.control_sender.send(member.applied_policy, member.admission_status(now), member.status_detail)

    def control_status(self) -> dict[str, object]:
        """Returns the member's status for the control socket. The keys are those of the first release."""
        member, now = self.member, clock.monotonic()
        status = member.admission_status(now)
        return dict(
            fleet=member.keys.fleet,
            name=member.name,
            epoch=member.identity.incarnation,
            folder=member.identity.directory_id,
            standing=status.label,
            admits=status.admits,
            why=member.status_detail or status.description,
            version=member.applied_policy.version,
            digest=member.applied_policy.digest,
            head=member.policies.newest_version,
            pledged=member.prepared_vote.change if member.prepared_vote else "",
            registered=bool(member.registered),
            leader=member.is_leader,
            absent=member.rules.absent,
            lease_left_ms=round(max(member.registration.lease_until - now, 0.0), 1),
            worst_answer_ms=round(self.executor.take_max_answer_ms(), 1),
            counts=self.executor.counts | {"asides": self.control_sender.suspensions},
        )

    # The agent's own tasks.

    async def run(self) -> None:
        """Runs the agent until it is cancelled."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self.executor.watch, self.member.keys.head, self._handle_watch_event)
                while True:
                    self.wakeup = anyio.Event()
                    await self._start_effects(group)
                    await self._wait_until_due()
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(CLOSE_TIMEOUT_MS / 1000):
                await self.executor.close(self.member.lease)

    async def _start_effects(self, group: anyio.abc.TaskGroup) -> None:
        now = clock.monotonic()
        for effects_due in (self.member.effects, self._coordinator_effects):
            try:
                for effect in effects_due(now):
                    group.start_soon(self._carry_out, effect, now)
            except Exception:  # a fault in the fleet code must not end the server; the next pass decides anew
                log.exception("the fleet agent failed", of="effects")
                await anyio.sleep(FAILURE_PAUSE_MS / 1000)

    async def _wait_until_due(self) -> None:
        due = min(self.member.due(), self.coordinator.due())
        wait_ms = min(max(due - clock.monotonic(), MIN_WAIT_MS), MAX_WAIT_MS)
        with anyio.move_on_after(wait_ms / 1000):
            await self.wakeup.wait()

    def _coordinator_effects(self, now: float) -> list[Effect]:
        observed = self.member.observed
        if observed and observed.trial:  # metrics are only reported during a trial
            self.member.reporter.metrics = tuple(self.load_report().items())
        effect = self.coordinator.effects_for(now, self.member)
        return [effect] if effect else []

    async def _carry_out(self, effect: Effect, sent: float) -> None:
        """Carries out one effect. A failure, for example because of a record that can't be decoded, must not
        end the server."""
        try:
            await self._perform(effect, sent)
        except Exception:
            log.exception("the fleet agent failed", of=effect_name(effect))
            await anyio.sleep(FAILURE_PAUSE_MS / 1000)
        self.wakeup.set()

    async def _perform(self, effect: Effect, sent: float) -> None:
        """Carries out one effect and handles its outcome. A commit that follows from a coordinator's read is
        carried out as well."""
        name = effect_name(effect)
        reach_failpoint(f"before {name}")
        outcome = await self._outcome(effect)
        reach_failpoint(f"after {name}")
        now = clock.monotonic()
        self.executor.max_answer_ms = max(self.executor.max_answer_ms, now - sent)
        if effect.lane is Lane.COORDINATE:
            await self._handle_coordinator_result(now, effect, outcome)
            return
        self.member.handle_result(now, effect, sent, outcome)
        if self.member.distrust_reason:
            await self.executor.handle_untrusted_store(now, self.member.distrust_reason)

    async def _handle_coordinator_result(self, now: float, effect: Effect, outcome: Outcome) -> None:
        if isinstance(effect, Commit):
            self.member.handle_watch_event()
        following = self.coordinator.handle_result(now, effect, outcome)
        if following:
            log.info("coordinating a change", change=self.coordinator.change, how=following.purpose)
            await self._perform(following, now)

    async def _outcome(self, effect: Effect) -> Outcome:
        if isinstance(effect, ValidatePolicy):
            # Runs in a thread, because a policy with hundreds of names would block the event loop for tens of
            # ms.
            return await anyio.to_thread.run_sync(validate_text, self.validate, self.member.name, effect.text)
        return await self.executor.perform(effect)

    def _handle_watch_event(self) -> None:
        self.member.handle_watch_event()
        self.wakeup.set()
