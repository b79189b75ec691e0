"""Plans of faults for a rig of cells, drawn whole from a seed before anything starts.

A round is either one change of policy with the faults of that round, or quiet: no change is open, one fault
is dealt that nobody's service hangs on, and no server may stand aside from then until all is mended."""

import random
from dataclasses import dataclass

from otterrudder.lab.processes.fake_gateway import PRODUCTS
from otterrudder.lab.processes.fault_schedule import (
    COMMIT,
    DUTY,
    NO_VOTES,
    PROPOSER_POINTS,
    REPLACED,
    STORE_DOWN,
    STORE_FAULTS,
)
from otterrudder.lab.processes.link import Harm

CUT, HELD_THERE, HELD_BACK = Harm(is_cut=True), Harm(holds_there=True), Harm(holds_back=True)
# Of a relay: which of its links, and what is done to it. "peer": from the other relay of its cell.
RELAY_HARMS = {
    "relay cut from store": ("store", CUT),
    "relay one way to store": ("store", HELD_THERE),
    "relay one way from store": ("store", HELD_BACK),
    "relay slow to store": ("store", Harm(delay_ms=100.0)),
    "relay cut from servers": ("servers", CUT),
    "relay one way from servers": ("servers", HELD_THERE),
    "relay one way to servers": ("servers", HELD_BACK),
    "relay cut from peer": ("peer", CUT),
    "relay one way from peer": ("peer", HELD_THERE),
    "relay cut off": ("all", CUT),
}
RELAY_LATER = ("relay killed later", "relay frozen later", "relay cut from store later")  # its cell has voted
RELAY_FAULTS = ("relay killed", "relay stopped", "relay frozen", "relay full", *RELAY_LATER, *RELAY_HARMS)
ROLES = ("leader", "standby")
LEADERS_ONLY = ("relay full", *RELAY_LATER)
CELL_FAULTS = ("cell killed", "cell frozen", "cell cut from store", "servers restarted")
# Of a server: which of its links, "relays" for all of them, and what is done to it.
SERVER_HARMS = {
    "server cut": ("relays", CUT),
    "server one way there": ("relays", HELD_THERE),
    "server one way back": ("relays", HELD_BACK),
    "server slow": ("relays", Harm(delay_ms=120.0)),
    "server half a message": ("relays", Harm(breaks_after=700)),
    "server moves": ("present", CUT),
    "gateway cut": ("gateway", CUT),
    "network gone": ("network", CUT),
}
SERVER_FAULTS = ("server killed", "server drained", "server frozen", "server frozen later", *SERVER_HARMS)
STORE_ONCE_OPEN = ("store killed once open", "store frozen once open")
CHANGE_FAULTS = ("two at once", "bad policy", "kind refuses")
# Of the relay that leads a cell, while it votes, settles, and tells its servers.
LEADER_POINTS = (
    "before vote",
    "after vote",
    "before commit",
    "after commit",
    *DUTY,
    "before grant",
    "before in force",
)
# Of the one that stands by: the leader is killed, or the store frozen, so that it comes to them.
TAKEOVER_POINTS = ("before register", "after register")
CONSENT_POINTS = ("before consent", "after consent")
POINTS = (*LEADER_POINTS, *TAKEOVER_POINTS, *CONSENT_POINTS)
ANYBODYS_POINTS = (*DUTY, "before commit", "after commit")  # who settles is not known before
POINT_FAULTS = ("relay killed at point", "relay halted at point")
DECK = (
    *((kind, role, "") for kind in RELAY_FAULTS if kind not in LEADERS_ONLY for role in ROLES),
    *((kind, "leader", "") for kind in LEADERS_ONLY),
    *(
        (kind, "", "")
        for kind in (*CELL_FAULTS, *SERVER_FAULTS, *STORE_FAULTS, *STORE_ONCE_OPEN, *CHANGE_FAULTS)
    ),
    *((kind, "", point) for kind in POINT_FAULTS for point in POINTS),
    *(("proposer killed", "", point) for point in PROPOSER_POINTS),
)
# What no server's service hangs on: one relay of a cell; the store, under `wait`.
QUIET_RELAY = (
    ("relay killed", "leader"),
    ("relay frozen", "leader"),
    ("relay stopped", "leader"),
    ("relay cut from servers", "leader"),
    ("relay one way to servers", "leader"),
    ("relay cut off", "leader"),
    ("relay killed", "standby"),
    ("relay frozen", "standby"),
)
QUIET_STORE = (("store killed", ""), ("store frozen", ""), ("store down", ""))
QUIET_EACH = 5  # of so many rounds one is quiet
HOLD_S = (0.5, 5.0)  # s that the faults of a round last: beyond the store's lease at times
QUIET_HOLD_S = (4.5, 6.5)
# A leader that is cut off from the store goes on for its lease; the other takes over, a change is committed,
# and the bound ends: two leaders are at it until then.
TWO_LEADERS = (
    "relay cut from store",
    "relay cut from store later",
    "relay one way to store",
    "relay one way from store",
    "relay cut off",
    "cell cut from store",
)
TWO_LEADERS_HOLD_S = (7.5, 9.5)


@dataclass(frozen=True, slots=True)
class CellFault:
    kind: str
    cell: str = ""  # of a relay's or a cell's fault
    role: str = ""  # of the relay, as the fault is dealt
    server: int = -1
    point: str = ""

    def __str__(self) -> str:
        server = f"n{self.server}" if self.server >= 0 else ""
        return " ".join(filter(None, (self.kind, self.point, self.role, self.cell, server)))


@dataclass(frozen=True, slots=True)
class CellRound:
    number: int
    declines: str  # the product that the change declines; "": quiet
    faults: tuple[CellFault, ...]
    hold_s: float

    @property
    def is_quiet(self) -> bool:
        return not self.declines


def draw(seed: int, cells: tuple[str, ...], servers: int, rounds: int, absent: str) -> list[CellRound]:
    """The plan of a seed."""
    return _Drawer(seed, cells, servers, absent).draw(rounds)


class _Drawer:
    def __init__(self, seed: int, cells: tuple[str, ...], servers: int, absent: str) -> None:
        self.chance = random.Random(f"cells/{seed}")
        self.cells, self.servers, self.absent = cells, servers, absent
        self.deck: list[tuple[str, str, str]] = []
        self.quiet_deck: list[tuple[str, str]] = []

    def draw(self, rounds: int) -> list[CellRound]:
        found, changes = [], 0
        for n in range(1, rounds + 1):
            if n % QUIET_EACH == 0:
                found.append(self._quiet(n))
                continue
            changes += 1
            faults = self._dealt()
            are_two = any(fault.kind in TWO_LEADERS and fault.role != "standby" for fault in faults)
            hold_s = self.chance.uniform(*(TWO_LEADERS_HOLD_S if are_two else HOLD_S))
            found.append(CellRound(n, PRODUCTS[changes % 2], faults, hold_s))
        return found

    def _quiet(self, number: int) -> CellRound:
        if not self.quiet_deck:
            self.quiet_deck = [*QUIET_RELAY, *(QUIET_STORE if self.absent == "wait" else ())]
            self.chance.shuffle(self.quiet_deck)
        kind, role = self.quiet_deck.pop()
        cell = self.chance.choice(self.cells) if role else ""
        return CellRound(number, "", (CellFault(kind, cell, role),), self.chance.uniform(*QUIET_HOLD_S))

    def _dealt(self) -> tuple[CellFault, ...]:
        """Of a round with a change: what does not go together with the others is dealt later."""
        kept: list[CellFault] = []
        passed: list[tuple[str, str, str]] = []
        for _ in range(self.chance.choice((0, 1, 1, 1, 2, 2))):
            if not self.deck:
                self.deck = [card for card in DECK if self._comes_about(card)]
                self.chance.shuffle(self.deck)
            card = self.deck.pop()
            fault = self._fault(*card)
            if go_together([*kept, fault]):
                kept.append(fault)
            else:
                passed.append(card)
        self.deck[:0] = passed
        return tuple(kept)

    def _comes_about(self, card: tuple[str, str, str]) -> bool:
        """Nobody is asked for consent under leave-out."""
        return self.absent == "wait" or card[2] not in CONSENT_POINTS

    def _fault(self, kind: str, role: str, point: str) -> CellFault:
        if kind in SERVER_FAULTS:
            return CellFault(kind, server=self.chance.randrange(self.servers))
        if kind in (*RELAY_FAULTS, *CELL_FAULTS, *POINT_FAULTS):
            return CellFault(kind, self.chance.choice(self.cells), role, point=point)
        return CellFault(kind, point=point)


def go_together(faults: list[CellFault]) -> bool:
    """One a cell's relays, one a server, one for the store, one for the change; and each must be able to come
    about."""
    ends = [end for fault in faults for end in _ends(fault)]
    if len(ends) != len(set(ends)):
        return False
    if len(faults) > 1 and any(fault.kind == "kind refuses" for fault in faults):
        return False  # a server that is away is not asked, and nobody refuses for it
    if len(faults) > 1 and any(fault.kind == "servers restarted" for fault in faults):
        return False
    return _come_about(faults)


def _ends(fault: CellFault) -> list[str]:
    """What a fault takes for itself."""
    if fault.point in CONSENT_POINTS:
        return ["store", f"cell {fault.cell}"]
    if fault.point in ANYBODYS_POINTS and fault.kind in POINT_FAULTS:
        return ["any relay"]
    if fault.kind in (*STORE_FAULTS, *STORE_DOWN, *STORE_ONCE_OPEN):
        return ["store"]
    if fault.cell:
        return [f"cell {fault.cell}"]
    if fault.server >= 0:
        return [f"server {fault.server}"]
    return ["change"]


def _come_about(faults: list[CellFault]) -> bool:
    kinds = {fault.kind for fault in faults}
    points = {fault.point for fault in faults if fault.kind in POINT_FAULTS}
    if points & set(ANYBODYS_POINTS) and any(
        fault.cell and fault.point not in ANYBODYS_POINTS for fault in faults
    ):
        return False
    wants_votes = bool(points - set(CONSENT_POINTS)) or bool(
        kinds & {*RELAY_LATER, "server frozen later", "older copy later"}
    )
    wants_votes = wants_votes or any(fault.point in COMMIT for fault in faults)
    stops_votes = bool(kinds & {*NO_VOTES, *STORE_ONCE_OPEN, "store slow"} or points & set(CONSENT_POINTS))
    stops_votes = stops_votes or any(fault.point == "before propose" for fault in faults)
    if wants_votes and (stops_votes or len(faults) > 1 and "bad policy" in kinds):
        return False
    # A relay that starts anew has no memory, and believes the first engine that it hears.
    return not (kinds & set(REPLACED) and any(fault.cell for fault in faults))
