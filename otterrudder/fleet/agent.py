"""The fleet's actor in a server: carries out what the member wants, and tells the helm what follows from
it.

The helm's turn asks it first (`pulse`), so what is decided on the member's standing is decided by the clock
of the very turn that admits: a process that was frozen finds out before its first admission after waking. No
txn ever waits for the store: requests run in tasks of their own, one a lane, each with its deadline, and the
folder is written by a thread.

Owners: the store's channel and the folder are given back in `run`, on every way out."""

import contextlib
import functools
import secrets
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import anyio
import anyio.to_thread
import msgspec

from otterrudder import clock
from otterrudder.durable import BadState, Folder, in_thread
from otterrudder.fleet.change import Settler
from otterrudder.fleet.configuration import Fleet
from otterrudder.fleet.effects import Commit, Effect, Judge, Lane, Lease, Outcome, Read, Renew, Request, Save
from otterrudder.fleet.member import Member
from otterrudder.fleet.points import reached
from otterrudder.fleet.records import Keys, Live
from otterrudder.fleet.state import Policy, Record, Standing
from otterrudder.fleet.store import Store, StoreAway
from otterrudder.log import log

STATE = "member"  # the file in the folder
# ms from one hint to the next: a store that floods its watch is held back by its own window, and a read that
# any hint leads to shows all that was written before it
HINT_MS = 50.0
WATCH_AGAIN_MS = 500.0  # ms until a watch that ended is begun again
LEAVE_MS = 500.0  # ms that the way out may take: the name is free at once for the next life
DOUBT_MS = 2000.0  # ms that an engine in doubt is stayed with: the one before it may be back by then
FAILED_MS = 200.0  # ms until what failed is tried again: it must not spin
NAP_MS = 1000.0  # ms of sleep at the most where nothing is due


@dataclass(frozen=True, slots=True)
class Orders:
    """What the server is to do; each is called in the helm's turn, ahead of what arrives."""

    take: Callable[[str], None]  # a policy's text is in force; "": none is
    stand_aside: Callable[[bool], None]


class Agent:
    def __init__(
        self,
        fleet: Fleet,
        store: Store,
        name: str,
        live: Live,
        judge: Callable[[str], str],
        orders: Orders,
        folder: Folder | None,
        record: Record | None,
        facts: Callable[[], Mapping[str, float]] = dict,
    ) -> None:
        """`record`: what the folder holds, see `open_folder`; `facts`: how the server does, for trials."""
        self.facts, self.judge = facts, judge
        keys, epoch = Keys(fleet.name), secrets.token_hex(8)
        self.timeout = fleet.timeout_ms
        self.store, self.folder, self.orders = store, folder, orders
        place = record.folder if record else secrets.token_hex(8)
        self.member = Member(
            clock.monotonic(),
            keys,
            name,
            epoch,
            place,
            fleet.rules,
            judge,
            record=record,
            has_disk=folder is not None,
            live=msgspec.structs.replace(live, epoch=epoch),
            cluster=fleet.store_id,
        )
        self.settler = Settler(keys, name)
        self.wake = anyio.Event()
        self.is_writing = False  # to the folder
        self.standing: Standing | None = None
        self.taken: Policy | None = None
        self.counts = {"asked": 0, "unanswered": 0, "hints": 0, "asides": 0, "watches_ended": 0}
        self.away_since = 0.0  # when the store first did not answer; 0: it answers
        self.leave_at = 0.0  # when an engine in doubt may next be left for another address
        self.worst_ms = 0.0  # longest wait for an answer since it was last shown

    # In the helm's turn.

    def pulse(self, now: float) -> None:
        """Ahead of what arrives: which policy is in force, and whether this server admits."""
        member = self.member
        if self.taken is not member.known:
            self.taken = member.known
            self.orders.take(member.known.text)
            log.info(
                "policy in force",
                version=member.known.version,
                digest=member.known.digest,
                change=member.known.change,
            )
        standing = member.standing(now)
        if standing is self.standing:
            return
        before, self.standing = self.standing, standing
        if before is None or before.admits is not standing.admits:
            self.orders.stand_aside(not standing.admits)
            self.counts["asides"] += not standing.admits
        log.info(
            "fleet standing",
            now=standing.name.lower(),
            before=before.name.lower() if before else "",
            admits=standing.admits,
            version=member.known.version,
            why=member.why or standing.value,
        )

    # Its own tasks.

    async def run(self) -> None:
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._watch)
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
                    due = min(self.member.due(), self.settler.due())
                    with anyio.move_on_after(min(max(due - clock.monotonic(), 1.0), NAP_MS) / 1000):
                        await self.wake.wait()
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(LEAVE_MS / 1000):
                await self._leave()

    def shown(self) -> dict[str, object]:
        """For the control socket."""
        member, now = self.member, clock.monotonic()
        standing = member.standing(now)
        worst, self.worst_ms = self.worst_ms, 0.0
        return dict(
            fleet=member.keys.fleet,
            name=member.name,
            epoch=member.epoch,
            folder=member.folder,
            standing=standing.name.lower(),
            admits=standing.admits,
            why=member.why or standing.value,
            version=member.known.version,
            digest=member.known.digest,
            head=member.head,
            pledged=member.pledge.change if member.pledge else "",
            registered=bool(member.registered),
            leader=member.is_leader,
            absent=member.rules.absent,
            lease_left_ms=round(max(member.lease_until - now, 0.0), 1),
            worst_answer_ms=round(worst, 1),
            counts=self.counts,
        )

    def _settler_effects(self, now: float) -> list[Effect]:
        seen = self.member.seen
        if seen and seen.trial:  # nobody asks for them else
            self.member.figures = tuple(self.facts().items())
        settle = self.settler.effects_of(now, self.member)
        return [settle] if settle else []

    async def _carry_out(self, effect: Effect, sent: float) -> None:
        """A failure in one of them, a record that is none of ours say, is not the server's."""
        try:
            await self._play(effect, sent)
        except Exception:
            log.exception("the fleet's part failed", of=type(effect).__name__.lower())
            await anyio.sleep(FAILED_MS / 1000)
        self.wake.set()

    async def _play(self, effect: Effect, sent: float) -> None:
        """One want to its outcome; what follows from a settler's reading is carried out as well."""
        name = effect.what if isinstance(effect, Commit) else type(effect).__name__.lower()
        reached(f"before {name}")
        outcome = await self._outcome(effect)
        reached(f"after {name}")
        now = clock.monotonic()
        self.worst_ms = max(self.worst_ms, now - sent)
        if effect.lane is Lane.SETTLE:
            if isinstance(effect, Commit):
                self.member.hint()
            more = self.settler.completed(now, effect, outcome)
            if more:
                log.info("settling a change", change=self.settler.change, how=more.what)
                await self._play(more, now)
            return
        self.member.completed(now, effect, sent, outcome)
        if self.member.doubt and now >= self.leave_at:
            self.leave_at = now + DOUBT_MS
            log.warning("the store is not believed", why=self.member.doubt)
            await self.store.leave()

    async def _outcome(self, effect: Effect) -> Outcome:
        self.counts["asked"] += 1
        try:
            if isinstance(effect, Save):
                self.is_writing = True
                return await in_thread(functools.partial(self._save, effect))
            if isinstance(effect, Judge):
                return await anyio.to_thread.run_sync(self._judge, effect.text)
            outcome = await self._ask(effect)
        except Exception as why:  # whatever a library raises is no answer, and its lane must be free again
            self.counts["unanswered"] += 1
            if not isinstance(why, StoreAway):
                log.exception("a request to the store failed")
            if not self.away_since:
                self.away_since = clock.monotonic()
                log.warning("the store does not answer", why=str(why))
            return None

        if self.away_since:
            log.info("the store answers again", after_ms=round(clock.monotonic() - self.away_since))
            self.away_since = 0.0
        return outcome

    async def _ask(self, effect: Request) -> Outcome:
        if isinstance(effect, Read):
            return await self.store.read(effect.names, self.timeout)
        if isinstance(effect, Lease):
            return await self.store.lease(effect.span_ms, self.timeout)
        if isinstance(effect, Renew):
            return await self.store.renew(effect.lease, self.timeout)
        return await self.store.commit(effect.compares, effect.writes, self.timeout)

    def _judge(self, text: str) -> str:
        """In a thread: a policy of hundreds of names would hold up the loop for tens of ms."""
        try:
            return self.judge(text)
        except Exception as why:  # it is a no, with what there is of a reason
            log.exception("a policy could not be judged")
            return f"{self.member.name}: {type(why).__name__}: {why}"

    def _save(self, effect: Save) -> bool:
        """In a thread: it blocks until the disk has it."""
        try:
            assert self.folder
            self.folder.write(STATE, msgspec.json.encode(effect.record))
        except OSError as why:
            log.error("the fleet's folder can't be written", why=str(why))
            return False
        finally:
            self.is_writing = False
        return True

    async def _watch(self) -> None:
        """Hints; whoever misses one reads a little later by itself."""
        while True:
            try:
                async for _ in self.store.watch(self.member.keys.head):
                    self.counts["hints"] += 1
                    self.member.hint()
                    self.wake.set()
                    await anyio.sleep(HINT_MS / 1000)
            except StoreAway:
                self.counts["watches_ended"] += 1
            except Exception:  # whatever a library raises ends a watch, and never the server
                self.counts["watches_ended"] += 1
                log.exception("a watch failed")
            await anyio.sleep(WATCH_AGAIN_MS / 1000)

    async def _leave(self) -> None:
        """The lease is given back, so that the next life need not wait for it to lapse."""
        try:
            with contextlib.suppress(Exception):  # the name is free when the lease lapses, then
                if self.member.lease:
                    await self.store.revoke(self.member.lease, LEAVE_MS)
            with contextlib.suppress(Exception):
                await self.store.close()
        finally:
            # A write that is still under way could put its state over the next life's: the lock goes with the
            # process then.
            if self.folder and not self.is_writing:
                self.folder.close()


def open_folder(fleet: Fleet, name: str) -> tuple[Folder | None, Record | None]:
    """The folder, taken, and what it holds; Busy and OSError say why not. A record that is torn or another
    server's is no record, and is kept beside: whether this name may serve from here the roster says then."""
    if fleet.folder is None:
        return None, None
    folder = Folder(fleet.folder)
    folder.take()
    try:
        data = folder.read(STATE)
        record = decoded(data, name) if data is not None else None
        if data is not None and record is None:
            raise BadState(f"{fleet.folder / STATE}: it holds no record of {name}")
    except BadState as trouble:
        log.error("the fleet's folder is not believed", why=str(trouble))
        folder.set_aside(STATE)
        return folder, None
    except BaseException:
        folder.close()
        raise
    return folder, record


def decoded(data: bytes, name: str) -> Record | None:
    """The record in a file's state, if it is this server's."""
    try:
        record = msgspec.json.decode(data, type=Record)
    except msgspec.MsgspecError:
        return None
    return record if record.name == name else None
