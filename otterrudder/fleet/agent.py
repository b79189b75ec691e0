"""The fleet's actor in a server: carries out the effects of the member, and controls the server by what
follows.

The dispatcher calls `update_server` first in each batch, so the admission status is evaluated with the clock
of the batch that admits: a process that was frozen suspends admission, if it has to, before it admits its
first request after it resumes. No request ever waits for the store: effects run in tasks of their own, one a
lane, each with its deadline, and the state directory is written by a thread.

The store's channel and the state directory are given back in `run`, on every way out."""

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

FAILURE_PAUSE_MS = 200.0  # ms until what failed is tried again: it must not spin
MIN_WAIT_MS = 1.0
MAX_WAIT_MS = 1000.0  # ms without a look at what is due


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
        """`status`: what does not change while the process runs; `validate`: what is wrong with a policy's
        text here, "" if nothing; `directory` and `record`: from `open_state_directory`; `load_report`: the
        server's metrics, for trials."""
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
        """The state directory, locked."""
        return self.executor.directory

    @property
    def is_writing(self) -> bool:
        """Whether a write to the state directory is under way."""
        return self.executor.is_writing

    # In the dispatcher's batch.

    def update_server(self, now: float) -> None:
        """Ahead of what arrives: which policy is in force, and whether this server admits."""
        member = self.member
        self.control_sender.send(member.applied_policy, member.admission_status(now), member.status_detail)

    def control_status(self) -> dict[str, object]:
        """For the control socket; its keys are those of the first release."""
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

    # Its own tasks.

    async def run(self) -> None:
        """Until it is cancelled."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self.executor.watch, self.member.keys.head, self._handle_watch_event)
                while True:
                    self.wakeup = anyio.Event()
                    await self._begin_effects(group)
                    await self._wait_until_due()
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(CLOSE_TIMEOUT_MS / 1000):
                await self.executor.close(self.member.lease)

    async def _begin_effects(self, group: anyio.abc.TaskGroup) -> None:
        now = clock.monotonic()
        for decide in (self.member.effects, self._coordinator_effects):
            try:
                for effect in decide(now):
                    group.start_soon(self._carry_out, effect, now)
            except Exception:  # a fault of the fleet's part must not end the server: it is decided anew
                log.exception("the fleet's part failed", of="effects")
                await anyio.sleep(FAILURE_PAUSE_MS / 1000)

    async def _wait_until_due(self) -> None:
        due = min(self.member.due(), self.coordinator.due())
        wait_ms = min(max(due - clock.monotonic(), MIN_WAIT_MS), MAX_WAIT_MS)
        with anyio.move_on_after(wait_ms / 1000):
            await self.wakeup.wait()

    def _coordinator_effects(self, now: float) -> list[Effect]:
        observed = self.member.observed
        if observed and observed.trial:  # nobody asks for metrics else
            self.member.reporter.metrics = tuple(self.load_report().items())
        effect = self.coordinator.effects_for(now, self.member)
        return [effect] if effect else []

    async def _carry_out(self, effect: Effect, sent: float) -> None:
        """A failure in one of them, for example by a record that can't be read, must not end the server."""
        try:
            await self._perform(effect, sent)
        except Exception:
            log.exception("the fleet's part failed", of=effect_name(effect))
            await anyio.sleep(FAILURE_PAUSE_MS / 1000)
        self.wakeup.set()

    async def _perform(self, effect: Effect, sent: float) -> None:
        """One effect to its outcome; what follows from a coordinator's read is carried out as well."""
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
            # In a thread: a policy of hundreds of names would hold up the loop for tens of ms.
            return await anyio.to_thread.run_sync(validate_text, self.validate, self.member.name, effect.text)
        return await self.executor.perform(effect)

    def _handle_watch_event(self) -> None:
        self.member.handle_watch_event()
        self.wakeup.set()
