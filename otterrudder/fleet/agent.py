"""The fleet's actor in a server: carries out what the member wants, and tells the dispatcher what follows
from it.

The dispatcher's turn asks it first (`pulse`), so what is decided on the member's standing is decided by the
clock of the very turn that admits: a process that was frozen finds out before its first admission after
waking. No request ever waits for the store: requests run in tasks of their own, one a lane, each with its
deadline, and the folder is written by a thread.

Owners: the store's channel and the folder are given back in `run`, on every way out."""

import secrets
from collections.abc import Callable, Mapping

import anyio
import anyio.to_thread
import msgspec

from otterrudder import clock
from otterrudder.durable import InvalidStateFileError, StateDirectory
from otterrudder.fleet.change import ChangeCoordinator
from otterrudder.fleet.configuration import Fleet
from otterrudder.fleet.effects import Commit, Effect, Lane, Outcome, ValidatePolicy, effect_name
from otterrudder.fleet.executor import CLOSE_TIMEOUT_MS, STATE, Executor
from otterrudder.fleet.failpoints import reach_failpoint
from otterrudder.fleet.member import Member
from otterrudder.fleet.records import Keys, MemberStatus
from otterrudder.fleet.server_control import ServerControl, ServerControlSender
from otterrudder.fleet.state import MemberState
from otterrudder.fleet.store import Store
from otterrudder.fleet.validation import validate_text
from otterrudder.log import log

FAILED_MS = 200.0  # ms until what failed is tried again: it must not spin
NAP_MS = 1000.0  # ms of sleep at the most where nothing is due


class Agent:
    def __init__(
        self,
        fleet: Fleet,
        store: Store,
        name: str,
        status: MemberStatus,
        validate: Callable[[str], str],
        orders: ServerControl,
        folder: StateDirectory | None,
        record: MemberState | None,
        facts: Callable[[], Mapping[str, float]] = dict,
    ) -> None:
        """`record`: from `open_state_directory`; `facts`: the metrics of this server, for trials."""
        self.facts, self.validate = facts, validate
        keys, incarnation = Keys(fleet.name), secrets.token_hex(8)
        self.executor, self.control_sender = (
            Executor(store, folder, fleet.timeout_ms),
            ServerControlSender(orders),
        )
        place = record.directory_id if record else secrets.token_hex(8)
        self.member = Member(
            clock.monotonic(),
            keys,
            name,
            incarnation,
            place,
            fleet.rules,
            validate,
            record=record,
            has_disk=folder is not None,
            status=msgspec.structs.replace(status, incarnation=incarnation),
            cluster=fleet.store_id,
        )
        self.coordinator = ChangeCoordinator(keys, name)
        self.wake = anyio.Event()

    @property
    def directory(self) -> StateDirectory | None:
        return self.executor.directory

    @property
    def is_writing(self) -> bool:
        """To the folder."""
        return self.executor.is_writing

    # In the dispatcher's turn.

    def pulse(self, now: float) -> None:
        """Ahead of what arrives: which policy is in force, and whether this server admits."""
        member = self.member
        self.control_sender.send(member.known, member.admission_status(now), member.status_detail)

    # Its own tasks.

    async def run(self) -> None:
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self.executor.watch, self.member.keys.head, self._hinted)
                while True:
                    self.wake = anyio.Event()
                    now = clock.monotonic()
                    for decide in (self.member.effects, self._settler_effects):
                        try:
                            for effect in decide(now):
                                group.start_soon(self._carry_out, effect, now)
                        except Exception:  # the fleet's part is not the server's: it is decided anew
                            log.exception("the fleet's part failed", of="effects")
                            await anyio.sleep(FAILED_MS / 1000)
                    due = min(self.member.due(), self.coordinator.due())
                    with anyio.move_on_after(min(max(due - clock.monotonic(), 1.0), NAP_MS) / 1000):
                        await self.wake.wait()
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(CLOSE_TIMEOUT_MS / 1000):
                await self.executor.close(self.member.lease)

    def shown(self) -> dict[str, object]:
        """For the control socket."""
        member, now = self.member, clock.monotonic()
        admission_status = member.admission_status(now)
        return dict(
            fleet=member.keys.fleet,
            name=member.name,
            epoch=member.identity.incarnation,
            folder=member.identity.directory_id,
            standing=admission_status.label,
            admits=admission_status.admits,
            why=member.status_detail or admission_status.description,
            version=member.known.version,
            digest=member.known.digest,
            head=member.policies.head,
            pledged=member.prepared_vote.change if member.prepared_vote else "",
            registered=bool(member.registered),
            leader=member.is_leader,
            absent=member.rules.absent,
            lease_left_ms=round(max(member.registration.lease_until - now, 0.0), 1),
            worst_answer_ms=round(self.executor.take_worst_ms(), 1),
            counts=self.executor.counts | {"asides": self.control_sender.asides},
        )

    def _settler_effects(self, now: float) -> list[Effect]:
        observed = self.member.observed
        if observed and observed.trial:  # nobody asks for them else
            self.member.reporter.metrics = tuple(self.facts().items())
        settle = self.coordinator.effects_for(now, self.member)
        return [settle] if settle else []

    async def _carry_out(self, effect: Effect, sent: float) -> None:
        """A failure in one of them, a record that is none of ours say, is not the server's."""
        try:
            await self._play(effect, sent)
        except Exception:
            log.exception("the fleet's part failed", of=effect_name(effect))
            await anyio.sleep(FAILED_MS / 1000)
        self.wake.set()

    async def _play(self, effect: Effect, sent: float) -> None:
        """One want to its outcome; what follows from a coordinator's reading is carried out as well."""
        name = effect_name(effect)
        reach_failpoint(f"before {name}")
        outcome = await self._outcome(effect)
        reach_failpoint(f"after {name}")
        now = clock.monotonic()
        self.executor.worst_ms = max(self.executor.worst_ms, now - sent)
        if effect.lane is Lane.COORDINATE:
            if isinstance(effect, Commit):
                self.member.handle_watch_event()
            more = self.coordinator.handle_result(now, effect, outcome)
            if more:
                log.info("settling a change", change=self.coordinator.change, how=more.purpose)
                await self._play(more, now)
            return
        self.member.handle_result(now, effect, sent, outcome)
        if self.member.mistrust:
            await self.executor.mistrust(now, self.member.mistrust)

    async def _outcome(self, effect: Effect) -> Outcome:
        if isinstance(effect, ValidatePolicy):
            # In a thread: a policy of hundreds of names would hold up the loop for tens of ms.
            return await anyio.to_thread.run_sync(validate_text, self.validate, self.member.name, effect.text)
        return await self.executor.perform(effect)

    def _hinted(self) -> None:
        self.member.handle_watch_event()
        self.wake.set()


def open_state_directory(fleet: Fleet, name: str) -> tuple[StateDirectory | None, MemberState | None]:
    """The folder, taken, and what it holds; Busy and OSError say why not. A record that is torn or another
    server's is no record, and is kept beside: whether this name may serve from here the roster says then."""
    if fleet.state_directory is None:
        return None, None
    folder = StateDirectory(fleet.state_directory)
    folder.take()
    try:
        data = folder.read(STATE)
        record = decoded(data, name) if data is not None else None
        if data is not None and record is None:
            raise InvalidStateFileError(f"{fleet.state_directory / STATE}: it holds no record of {name}")
    except InvalidStateFileError as trouble:
        log.error("the fleet's folder is not believed", why=str(trouble))
        folder.quarantine(STATE)
        return folder, None
    except BaseException:
        folder.close()
        raise
    return folder, record


def decoded(data: bytes, name: str) -> MemberState | None:
    """The record in a file's state, if it is this server's."""
    try:
        record = msgspec.json.decode(data, type=MemberState)
    except msgspec.MsgspecError:
        return None
    return record if record.name == name else None
