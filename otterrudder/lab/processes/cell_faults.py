"""The faults of a cluster of cells: their names, the links that they break, and the failpoints.

The names stand in results; the order of the tuples decides what a seed draws."""

from dataclasses import dataclass
from typing import NamedTuple

from otterrudder.lab.processes.faults import (
    BLOCKED_BACKWARD,
    BLOCKED_FORWARD,
    COMMIT_POINTS,
    CUT,
    LEADER_POINTS,
    NO_SERVER,
    PROPOSER_POINTS,
    STORE_FAULTS,
    BrokenLink,
)
from otterrudder.lab.processes.link import LinkFault
from otterrudder.lab.processes.server_process import NETWORK

LEADER = "leader"
STANDBY = "standby"
ROLES = (LEADER, STANDBY)


@dataclass(frozen=True, slots=True)
class CellFault:
    """A fault by its name, and whom it is drawn to."""

    kind: str
    cell: str = ""  # of a relay's or a cell's fault
    role: str = ""  # of the relay, as the fault is drawn
    server: int = NO_SERVER
    point: str = ""  # the failpoint

    @property
    def is_of_server(self) -> bool:
        """Whether it is drawn to a server."""
        return self.server >= 0

    def __str__(self) -> str:
        server = f"n{self.server}" if self.is_of_server else ""
        return " ".join(filter(None, (self.kind, self.point, self.role, self.cell, server)))


@dataclass(frozen=True, slots=True)
class CellRound:
    """One change of policy with the faults that go on meanwhile, or a quiet round: no change, and one fault
    that no server's service depends on."""

    number: int
    rejected_product: str  # by the policy that is proposed; "": quiet
    faults: tuple[CellFault, ...]
    fault_duration_s: float  # that the faults last

    @property
    def is_quiet(self) -> bool:
        """Whether no change is made."""
        return not self.rejected_product

    @property
    def kinds(self) -> set[str]:
        """The names of its faults."""
        return {fault.kind for fault in self.faults}


class Card(NamedTuple):
    """A fault of the deck, before it is drawn to somebody."""

    kind: str
    role: str = ""
    point: str = ""


# The links of a relay.
STORE_LINK = "store"
PEER_LINK = "peer"  # from the other relay of its cell
SERVERS_LINKS = "servers"
ALL_LINKS = "all"
RELAY_LINK_FAULTS = {
    "relay cut from store": BrokenLink(STORE_LINK, CUT),
    "relay one way to store": BrokenLink(STORE_LINK, BLOCKED_FORWARD),
    "relay one way from store": BrokenLink(STORE_LINK, BLOCKED_BACKWARD),
    "relay slow to store": BrokenLink(STORE_LINK, LinkFault(delay_ms=100.0)),
    "relay cut from servers": BrokenLink(SERVERS_LINKS, CUT),
    "relay one way from servers": BrokenLink(SERVERS_LINKS, BLOCKED_FORWARD),
    "relay one way to servers": BrokenLink(SERVERS_LINKS, BLOCKED_BACKWARD),
    "relay cut from peer": BrokenLink(PEER_LINK, CUT),
    "relay one way from peer": BrokenLink(PEER_LINK, BLOCKED_FORWARD),
    "relay cut off": BrokenLink(ALL_LINKS, CUT),
}
# Dealt once the cell has voted.
RELAY_AFTER_VOTE_FAULTS = ("relay killed later", "relay frozen later", "relay cut from store later")
RELAY_FAULTS = (
    "relay killed",
    "relay stopped",
    "relay frozen",
    "relay full",
    *RELAY_AFTER_VOTE_FAULTS,
    *RELAY_LINK_FAULTS,
)
LEADER_ONLY_FAULTS = ("relay full", *RELAY_AFTER_VOTE_FAULTS)
CELL_FAULTS = ("cell killed", "cell frozen", "cell cut from store", "servers restarted")

# The links of a server: its own by name, to all relays, or to its present relay.
RELAYS_LINKS = "relays"
PRESENT_RELAY_LINK = "present"
SERVER_LINK_FAULTS = {
    "server cut": BrokenLink(RELAYS_LINKS, CUT),
    "server one way there": BrokenLink(RELAYS_LINKS, BLOCKED_FORWARD),
    "server one way back": BrokenLink(RELAYS_LINKS, BLOCKED_BACKWARD),
    "server slow": BrokenLink(RELAYS_LINKS, LinkFault(delay_ms=120.0)),
    "server half a message": BrokenLink(RELAYS_LINKS, LinkFault(reset_after_bytes=700)),
    "server moves": BrokenLink(PRESENT_RELAY_LINK, CUT),
    "gateway cut": BrokenLink("gateway", CUT),
    "network gone": BrokenLink(NETWORK, CUT),
}
SERVER_FAULTS = (
    "server killed",
    "server drained",
    "server frozen",
    "server frozen later",
    *SERVER_LINK_FAULTS,
)
STORE_ONCE_OPEN_FAULTS = ("store killed once open", "store frozen once open")
CHANGE_FAULTS = ("two at once", "bad policy", "kind refuses")

# Of the relay that leads a cell: while it votes, coordinates, and informs its servers.
CELL_LEADER_POINTS = (
    "before vote",
    "after vote",
    "before commit",
    "after commit",
    *LEADER_POINTS,
    "before grant",
    "before in force",
)
# Of the one that stands by: the leader is killed, or the store frozen, so that it reaches them.
TAKEOVER_POINTS = ("before register", "after register")
ENDORSEMENT_POINTS = ("before consent", "after consent")
STANDBY_POINTS = (*TAKEOVER_POINTS, *ENDORSEMENT_POINTS)
POINTS = (*CELL_LEADER_POINTS, *STANDBY_POINTS)
ANY_RELAY_POINTS = (*LEADER_POINTS, *COMMIT_POINTS)  # who coordinates is not known before
POINT_FAULTS = ("relay killed at point", "relay halted at point")

DECK = (
    *(Card(kind, role) for kind in RELAY_FAULTS if kind not in LEADER_ONLY_FAULTS for role in ROLES),
    *(Card(kind, LEADER) for kind in LEADER_ONLY_FAULTS),
    *(
        Card(kind)
        for kind in (
            *CELL_FAULTS,
            *SERVER_FAULTS,
            *STORE_FAULTS,
            *STORE_ONCE_OPEN_FAULTS,
            *CHANGE_FAULTS,
        )
    ),
    *(Card(kind, point=point) for kind in POINT_FAULTS for point in POINTS),
    *(Card("proposer killed", point=point) for point in PROPOSER_POINTS),
)
# What no server's service depends on: one relay of a cell; the store, under `wait`.
QUIET_RELAY_CARDS = (
    Card("relay killed", LEADER),
    Card("relay frozen", LEADER),
    Card("relay stopped", LEADER),
    Card("relay cut from servers", LEADER),
    Card("relay one way to servers", LEADER),
    Card("relay cut off", LEADER),
    Card("relay killed", STANDBY),
    Card("relay frozen", STANDBY),
)
QUIET_STORE_CARDS = (Card("store killed"), Card("store frozen"), Card("store down"))
# A leader that is cut off from the store goes on for its lease. The other one takes over, a change is
# committed, and the bound ends: until then there are two leaders.
TWO_LEADERS_FAULTS = (
    "relay cut from store",
    "relay cut from store later",
    "relay one way to store",
    "relay one way from store",
    "relay cut off",
    "cell cut from store",
)
