"""Defines the faults of a cluster of cells: their names, the faulty links, and the failpoints.

The names appear in results. The order of the tuples determines which faults a seed draws."""

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
    """A fault and its target: a relay, a cell, a server, the store or the change."""

    kind: str
    cell: str = ""  # cell of the relays that the fault affects; "": the fault affects no cell
    role: str = ""  # role of the relay at the time when the target is chosen
    server: int = NO_SERVER
    point: str = ""  # name of the failpoint

    @property
    def is_of_server(self) -> bool:
        """Whether the target of the fault is a server."""
        return self.server >= 0

    def __str__(self) -> str:
        server = f"n{self.server}" if self.is_of_server else ""
        return " ".join(filter(None, (self.kind, self.point, self.role, self.cell, server)))


@dataclass(frozen=True, slots=True)
class CellRound:
    """One change of policy with concurrent faults, or a quiet round.

    A quiet round has no change, and one fault that must not interrupt the service of any server."""

    number: int
    rejected_product: str  # product that the proposed policy rejects; "": quiet round
    faults: tuple[CellFault, ...]
    fault_duration_s: float

    @property
    def is_quiet(self) -> bool:
        """Whether the round has no change of policy."""
        return not self.rejected_product

    @property
    def kinds(self) -> set[str]:
        """The kinds of the faults of this round."""
        return {fault.kind for fault in self.faults}


class Card(NamedTuple):
    """A fault of the deck, which has no target yet."""

    kind: str
    role: str = ""
    point: str = ""


# Names of the links of a relay, and the faults on them.
STORE_LINK = "store"
PEER_LINK = "peer"  # link from the other relay of its cell
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
# Faults that are injected once the cell has voted.
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

# Names of the links of a server: all links to relays, the link to its present relay, or a single link.
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

# Failpoints that the leader of a cell passes while it votes, coordinates a change and informs its servers.
CELL_LEADER_POINTS = (
    "before vote",
    "after vote",
    "before commit",
    "after commit",
    *LEADER_POINTS,
    "before grant",
    "before in force",
)
# Failpoints of the standby relay of a cell. It reaches the first two after the leader is killed, and the
# other two after the store is frozen.
TAKEOVER_POINTS = ("before register", "after register")
ENDORSEMENT_POINTS = ("before consent", "after consent")
STANDBY_POINTS = (*TAKEOVER_POINTS, *ENDORSEMENT_POINTS)
POINTS = (*CELL_LEADER_POINTS, *STANDBY_POINTS)
ANY_RELAY_POINTS = (*LEADER_POINTS, *COMMIT_POINTS)  # the coordinator is not known in advance
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
# Faults that must not interrupt the service of any server: the failure of one relay of a cell, and, where
# `absent` is "wait", the failure of the store.
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
# Faults that can leave a cell with two leaders for a time. A leader that is cut off from the store goes on
# until its lease expires, while the other relay takes over. They overlap until a change is committed and its
# bound has passed.
TWO_LEADERS_FAULTS = (
    "relay cut from store",
    "relay cut from store later",
    "relay one way to store",
    "relay one way from store",
    "relay cut off",
    "cell cut from store",
)
