"""How a run on a rig of cells goes through its plan: deals the faults, makes the changes, mends."""

import signal
import subprocess
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import anyio

from otterrudder.clock import monotonic as clock
from otterrudder.fleet.records import Keys
from otterrudder.lab.processes.cell_faults import (
    ANYBODYS_POINTS,
    CONSENT_POINTS,
    CUT,
    POINT_FAULTS,
    RELAY_HARMS,
    SERVER_HARMS,
    STORE_ONCE_OPEN,
    TAKEOVER_POINTS,
    CellFault,
    CellRound,
)
from otterrudder.lab.processes.cluster import FLEET, Place, policy_text
from otterrudder.lab.processes.fake_gateway import PRODUCTS
from otterrudder.lab.processes.fault_schedule import (
    DUTY,
    PROPOSER_POINTS,
    STORE_DOWN,
    STORE_HARMS,
    Fault,
    named_end,
    odd_servers,
    proposer_halts,
    until,
)
from otterrudder.lab.processes.link import Harm
from otterrudder.lab.processes.linked_cells import ONLY_MOST, LinkedCellRig, LinkedRelay, QuietWindow

DEADLINE_S = 14.0  # of a change: a cell votes again within some 6 s of its leader's death
SETTLE_S = 25.0  # s in which a change must have ended once all is mended
LATER_S = 4.0  # s that a cell's vote is waited for
REACH_S = 9.0  # s that a point is waited for: a lease lapses first, and another relay takes over
FEW_SESSIONS = 2  # of a relay at its bound: half of its servers have to go elsewhere
NO_STORE = "exit 4"  # of a proposer: the store does not answer
LEADER_DEATHS = ("relay killed",)
BAD_POLICY = "no-such-product"
SECOND = 100_000  # number of the second of two changes at once


@dataclass(frozen=True, slots=True)
class LeaderDeath:
    """A leader was killed, and its cell has voted again, by the rig's clock."""

    at: float
    cell: str
    voted_at: float


@dataclass(slots=True)
class RoundPlayed:
    """What came of a round."""

    number: int
    faults: str
    missed: str = ""
    how: str = ""
    in_force: int = 0  # changes
    version: int = 0  # in force at its end
    odd: list[str] = field(default_factory=list)
    troubled: list[str] = field(default_factory=list)  # who was not at work again in time


@dataclass(slots=True)
class CellsPlayed:
    """What came of a run."""

    rounds: list[RoundPlayed] = field(default_factory=list)
    changes: int = 0
    committed: int = 0
    aborted: int = 0
    unheard: int = 0  # whose proposer did not hear from the store, and which did not come into force
    undecided: int = 0
    odd: int = 0  # servers that went by another policy than the one in force at the end of a round
    troubled: int = 0
    dealt: int = 0
    missed: int = 0
    refused_in_force: int = 0  # policies in force that a kind had to refuse
    deaths: list[LeaderDeath] = field(default_factory=list)


class CellPlayer:
    def __init__(self, rig: LinkedCellRig, tell: Callable[[str], None] = lambda line: None) -> None:
        self.rig, self.tell = rig, tell
        self.played = CellsPlayed()
        self._relays: dict[CellFault, LinkedRelay] = {}  # whom a fault is dealt to
        self._children: list[subprocess.Popen[bytes]] = []  # proposers of this round
        self._missed: list[CellFault] = []

    async def play(self, rounds: list[CellRound]) -> CellsPlayed:
        await self.rig.until_calm()
        for this in rounds:
            await self._play(this)
            if self.played.refused_in_force:
                break  # the server that refuses it is out from here on
        return self.played

    async def _play(self, this: CellRound) -> None:
        rig, before = self.rig, self.rig.versions[-1].version
        rig.keep_copy()
        self._relays, self._children, self._missed = {}, [], []
        for fault in this.faults:
            await self._choose(fault)
        done = RoundPlayed(this.number, ", ".join(map(str, this.faults)))
        if this.is_quiet:
            done.how, done.troubled = "quiet", await self._keep_quiet(this)
        else:
            done.how = await self._change(this)
        was_refused = _is_refused(this) and rig.versions[-1].version > before
        if not was_refused:  # the server that refuses it stands aside for good
            done.troubled = done.troubled or await rig.until_calm()
            done.odd = await odd_servers(rig)
        done.version = rig.versions[-1].version
        done.in_force = done.version - before
        done.missed = ", ".join(map(str, self._missed))
        self._count(this, done)

    def _count(self, this: CellRound, done: RoundPlayed) -> None:
        played = self.played
        played.rounds.append(done)
        played.dealt += len(this.faults)
        played.missed += len(self._missed)
        played.odd += len(done.odd)
        played.troubled += len(done.troubled)
        if not this.is_quiet:
            played.changes += len(self._children)
            played.committed += done.in_force
            not_in_force = len(self._children) - done.in_force
            unheard = min(done.how.count(NO_STORE), not_in_force)
            played.unheard += unheard
            played.aborted += not_in_force - unheard
            played.undecided += done.how == "undecided"
            played.refused_in_force += done.in_force if _is_refused(this) else 0
        result = "" if this.is_quiet else f"in force: {done.in_force}"
        more = [f"(missed: {done.missed})"] if done.missed else []
        more += [f"ODD: {done.odd}"] if done.odd else []
        more += [f"NOT AT WORK: {done.troubled}"] if done.troubled else []
        self.tell(
            f"{this.number:4}  {done.how:10}  {result:12}  {done.faults or 'no fault'}  {' '.join(more)}"
        )

    # A round.

    async def _keep_quiet(self, this: CellRound) -> list[str]:
        since = clock()
        for fault in this.faults:
            await self._deal(fault)
        await anyio.sleep(this.hold_s)
        await self._mend(this)
        troubled = await self.rig.until_calm()
        self.rig.quiet.append(QuietWindow(since, clock(), str(this.faults[0])))
        return troubled

    async def _change(self, this: CellRound) -> str:
        """How its proposer ended; "undecided": the change never did."""
        rig, since = self.rig, clock()
        for fault in this.faults:
            await self._arm(fault)
        for fault in this.faults:
            if fault not in self._missed:
                await self._deal(fault)
        holds = any(_wants_open(fault) for fault in this.faults)
        if holds:
            await rig.hold_ends(True)
        self._propose(this)
        for fault in this.faults:
            if fault not in self._missed:
                await self._deal_later(fault, holds)
        if holds:
            await rig.hold_ends(False)
        await anyio.sleep(this.hold_s)
        await self._mend(this)
        ends = [named_end(await rig.ended(child, SETTLE_S)) for child in self._children]
        is_over = await until(lambda: not rig.opened, SETTLE_S)
        self._note_deaths(this, since)
        return ", ".join(ends) if is_over else "undecided"

    def _propose(self, this: CellRound) -> None:
        rig, kinds = self.rig, {fault.kind for fault in this.faults}
        text = ""
        if "bad policy" in kinds:
            text = policy_text(BAD_POLICY, this.number)
        elif "kind refuses" in kinds:
            text = f"{policy_text(this.declines, this.number)}[products.{ONLY_MOST}]\nvalue = 1.0\n"
        self._children.append(rig.propose(this.number, this.declines, DEADLINE_S, text))
        if "two at once" in kinds:
            other = PRODUCTS[1 - PRODUCTS.index(this.declines)]
            self._children.append(rig.propose(this.number + SECOND, other, DEADLINE_S))

    def _note_deaths(self, this: CellRound, since: float) -> None:
        """Of a leader that was killed while nothing else was done, how long its cell did not vote."""
        if (
            len(this.faults) != 1
            or this.faults[0].kind not in LEADER_DEATHS
            or this.faults[0].role != "leader"
        ):
            return
        cell = this.faults[0].cell
        votes = [seen.at for seen in self.rig.votes if seen.cell == cell and seen.at > since]
        if votes:
            self.played.deaths.append(LeaderDeath(since, cell, votes[0]))

    # Faults.

    async def _choose(self, fault: CellFault) -> None:
        """The relay that a fault is dealt to, while all are at work."""
        if not fault.cell:
            return
        leader = await self.rig.leader_of(fault.cell)
        if leader is None:
            self._missed.append(fault)
            return
        stands_by = fault.role == "standby" or fault.point in (*TAKEOVER_POINTS, *CONSENT_POINTS)
        others = [relay for relay in self.rig.relays_of(fault.cell) if relay is not leader]
        self._relays[fault] = others[0] if stands_by else leader

    async def _arm(self, fault: CellFault) -> None:
        """Points are armed before the round, and nobody leads who could keep others from coming forward."""
        if fault in self._missed:
            return
        if fault.kind == "proposer killed":
            is_late = fault.point == "after commit"  # at that one once it has come to its own commit
            self.rig.arm(self.rig.proposer_halts, "before commit" if is_late else fault.point)
        elif fault.kind in POINT_FAULTS:
            if fault.point in DUTY:
                await self.rig.tell_store(strike=Keys(FLEET).leader)
            self.rig.arm(self._halts(fault), fault.point)

    def _halts(self, fault: CellFault) -> Path:
        return self.rig.halts if fault.point in ANYBODYS_POINTS else self._relays[fault].halts

    async def _deal(self, fault: CellFault) -> None:
        """What is done before the change is proposed."""
        rig = self.rig
        if fault.kind in RELAY_HARMS:
            self._set_relay(self._relays[fault], *RELAY_HARMS[fault.kind])
        elif fault.kind == "relay killed":
            rig.kill_relay(self._relays[fault])
        elif fault.kind == "relay stopped":
            await rig.stop_relay(self._relays[fault])
        elif fault.kind == "relay frozen":
            rig.freeze_relay(self._relays[fault])
        elif fault.kind == "relay full":
            for relay in rig.relays_of(fault.cell):
                rig.restart_bounded(relay, FEW_SESSIONS)
        elif fault.kind.startswith("cell "):
            self._deal_to_cell(fault)
        elif fault.kind == "servers restarted":
            for place in rig.servers_of(fault.cell):
                rig.kill(place)
            for place in rig.servers_of(fault.cell):
                rig.start_server(place)
        elif fault.server >= 0:
            await self._deal_to_server(fault, rig.places[fault.server])
        elif fault.point in TAKEOVER_POINTS:
            self._kill_leader_of(fault)
        elif fault.point in CONSENT_POINTS:
            rig.signal_store(signal.SIGSTOP)
        else:
            await self._deal_to_store(fault)

    def _kill_leader_of(self, fault: CellFault) -> None:
        for relay in self.rig.relays_of(fault.cell):
            if relay is not self._relays[fault]:
                self.rig.kill_relay(relay)

    def _deal_to_cell(self, fault: CellFault) -> None:
        for relay in self.rig.relays_of(fault.cell):
            if fault.kind == "cell killed":
                self.rig.kill_relay(relay)
            elif fault.kind == "cell frozen":
                self.rig.freeze_relay(relay)
            else:
                relay.store.set(CUT)

    async def _deal_to_server(self, fault: CellFault, place: Place) -> None:
        rig = self.rig
        if fault.kind == "server killed":
            rig.kill(place)
        elif fault.kind == "server frozen":
            rig.freeze(place)
        elif fault.kind == "server drained":
            await rig.drain(place)
        elif fault.kind in SERVER_HARMS:
            which, harm = SERVER_HARMS[fault.kind]
            if which == "present":
                told = await rig.server_status(place)
                rig.set_relay_links(place, harm, self._dialled(place, str(told.get("relay"))))
            elif which == "relays":
                rig.set_relay_links(place, harm)
            else:
                rig.set_link(place, fault.kind, harm, which)

    def _dialled(self, place: Place, address: str) -> tuple[str, ...]:
        """The relay that a server reaches by that address of a link."""
        found = [name for name, link in place.links.items() if "{}:{}".format(*link.address) == address]
        return tuple(found)

    async def _deal_to_store(self, fault: CellFault) -> None:
        rig = self.rig
        if fault.kind == "store frozen":
            rig.signal_store(signal.SIGSTOP)
        elif fault.kind == "store killed":
            rig.kill_store()
        elif fault.kind == "store down":
            await rig.tell_store(down=True)
        elif fault.kind in ("older copy answers", "empty store answers"):
            await rig.replace_store(with_copy=fault.kind == "older copy answers")
        elif fault.kind in STORE_HARMS:
            await rig.tell_store(**STORE_HARMS[fault.kind])

    async def _deal_later(self, fault: CellFault, holds: bool) -> None:
        """What is done while the change is open: at a point, or once the cell has voted."""
        rig = self.rig
        if fault.kind in POINT_FAULTS:
            relay = await rig.relay_halted(self._halts(fault), fault.point, REACH_S)
            if relay is None:
                self._missed.append(fault)
            elif fault.kind == "relay killed at point":
                rig.kill_relay(relay)
        elif fault.kind == "proposer killed":
            # The rig of plain members knows how a proposer comes to each of its points.
            if not await proposer_halts(rig, Fault(fault.kind, -1, fault.point), self._children[0]):
                self._missed.append(fault)
        elif fault.kind in STORE_ONCE_OPEN:
            if not await until(lambda: bool(rig.opened), LATER_S):
                self._missed.append(fault)
            if fault.kind == "store killed once open":
                rig.kill_store()
            else:
                rig.signal_store(signal.SIGSTOP)
        elif fault.kind.endswith(" later"):
            if not await until(lambda: self._has_voted(fault), LATER_S if holds else 0.1):
                self._missed.append(fault)
            await self._deal_once_voted(fault)

    def _has_voted(self, fault: CellFault) -> bool:
        if fault.server >= 0:
            return self.rig.home_of(fault.server) in self.rig.voted
        return fault.cell in self.rig.voted if fault.cell else bool(self.rig.voted)

    async def _deal_once_voted(self, fault: CellFault) -> None:
        rig = self.rig
        if fault.kind == "server frozen later":
            rig.freeze(rig.places[fault.server])
        elif fault.kind == "relay killed later":
            rig.kill_relay(self._relays[fault])
        elif fault.kind == "relay frozen later":
            rig.freeze_relay(self._relays[fault])
        elif fault.kind == "relay cut from store later":
            self._relays[fault].store.set(CUT)
        else:
            await rig.replace_store(with_copy=True)

    def _set_relay(self, relay: LinkedRelay, which: str, harm: Harm) -> None:
        if which in ("store", "all"):
            relay.store.set(harm)
        if which in ("peer", "all"):
            relay.peer.set(harm)
        if which in ("servers", "all"):
            self.rig.set_server_links(relay, harm)
        self.rig.note(-1, f"relay {relay.address}: {which}: {harm}")

    # After the faults.

    async def _mend(self, this: CellRound) -> None:
        """All is as it should be again."""
        rig = self.rig
        await rig.disarm(0.0)
        kinds = {fault.kind for fault in this.faults}
        if kinds & {*STORE_DOWN, "store killed once open"}:
            await rig.restart_store()
        elif kinds & {"store frozen", "store frozen once open"} or any(
            fault.point in CONSENT_POINTS for fault in this.faults
        ):
            rig.signal_store(signal.SIGCONT)
        await rig.tell_store(slow_ms=0, lose_answers=0, deaf_watches=False, down=False)
        await self._mend_relays()
        await self._mend_servers(this)
        for child in self._children:
            if "proposer killed" in kinds and child.poll() is None:
                child.kill()
                child.wait()

    async def _mend_relays(self) -> None:
        rig = self.rig
        for relay in rig.relays:
            relay.store.set(Harm())
            relay.peer.set(Harm())
            rig.set_server_links(relay, Harm())
            if relay.is_frozen:
                rig.thaw_relay(relay)
            if relay.sessions_most != rig.plan.sessions_most:
                relay.sessions_most = rig.plan.sessions_most
                rig.kill_relay(relay)
        await rig.start_relays()

    async def _mend_servers(self, this: CellRound) -> None:
        rig = self.rig
        leaving = [rig.places[fault.server] for fault in this.faults if fault.kind == "server drained"]
        await until(lambda: not any(place.is_up for place in leaving), SETTLE_S)
        for place in rig.places:
            if not place.is_up:
                rig.start_server(place)
            elif "frozen" in place.begun:
                rig.thaw(place)
        for fault in this.faults:
            which, _ = SERVER_HARMS.get(fault.kind, ("", None))
            if which in ("gateway", "network"):
                rig.set_link(rig.places[fault.server], "healed", Harm(), which)


def _is_refused(this: CellRound) -> bool:
    """Whether its policy is one that a kind of server has to refuse."""
    return any(fault.kind == "kind refuses" for fault in this.faults)


def _wants_open(fault: CellFault) -> bool:
    """Whether it is to meet a change that is open still: the store holds the end back until then."""
    if fault.kind == "proposer killed":
        return fault.point in PROPOSER_POINTS[2:]
    if fault.kind in POINT_FAULTS:
        return fault.point in (*DUTY, "before commit")
    return fault.kind.endswith(" later")
