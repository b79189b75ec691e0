"""The faults of a fleet of plain members: their names, the link faults, and the failpoints.

The names are written to results and schedules. The order of the tuples determines what a seed draws."""

from dataclasses import dataclass
from typing import NamedTuple

from otterrudder.lab.processes.link import LinkFault
from otterrudder.lab.processes.server_process import DISCOVERY, NETWORK

NO_SERVER = -1


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault, with the server or failpoint at which it is injected."""

    kind: str
    server: int = NO_SERVER  # NO_SERVER for a fault of the store or of the change
    point: str = ""  # name of the failpoint, if any

    @property
    def is_of_server(self) -> bool:
        """Whether the fault is injected into a server."""
        return self.server >= 0

    def __str__(self) -> str:
        server = f"n{self.server}" if self.is_of_server else ""
        return " ".join(filter(None, (self.kind, self.point, server)))


@dataclass(frozen=True, slots=True)
class Round:
    """A policy change, with the faults that are injected during it."""

    number: int
    rejected_product: str  # the product that the proposed policy rejects
    faults: tuple[Fault, ...]
    fault_duration_s: float

    @property
    def kinds(self) -> set[str]:
        """The kinds of the round's faults."""
        return {fault.kind for fault in self.faults}


class BrokenLink(NamedTuple):
    """The name of a server's link, and the fault of that link."""

    link: str
    fault: LinkFault


CUT = LinkFault(is_cut=True)
BLOCKED_FORWARD = LinkFault(blocks_forward=True)
BLOCKED_BACKWARD = LinkFault(blocks_backward=True)

LINK_FAULTS = {
    "cut": BrokenLink("store", CUT),
    "one way there": BrokenLink("store", BLOCKED_FORWARD),
    "one way back": BrokenLink("store", BLOCKED_BACKWARD),
    "slow link": BrokenLink("store", LinkFault(delay_ms=150.0)),
    "slow reader": BrokenLink("store", LinkFault(read_bytes_per_s=4000.0)),
    "half a message": BrokenLink("store", LinkFault(reset_after_bytes=700)),
    "gateway cut": BrokenLink("gateway", CUT),
    "gateway one way there": BrokenLink("gateway", BLOCKED_FORWARD),
    "gateway one way back": BrokenLink("gateway", BLOCKED_BACKWARD),
    "gateway slow": BrokenLink("gateway", LinkFault(delay_ms=150.0)),
    "gateway half a message": BrokenLink("gateway", LinkFault(reset_after_bytes=3000)),
    "runtime cut": BrokenLink("runtime", CUT),
    "runtime one way there": BrokenLink("runtime", BLOCKED_FORWARD),
    "runtime one way back": BrokenLink("runtime", BLOCKED_BACKWARD),
    "runtime slow": BrokenLink("runtime", LinkFault(delay_ms=60.0)),
    "runtime half a message": BrokenLink("runtime", LinkFault(reset_after_bytes=700)),
    "list cut": BrokenLink(DISCOVERY, CUT),
    "list loses": BrokenLink(DISCOVERY, LinkFault(loss=0.5, delay_ms=100.0)),
    "network gone": BrokenLink(NETWORK, CUT),
}
CUT_AFTER_VOTE = BrokenLink("store", BLOCKED_BACKWARD)

# Failpoints in servers.
LEADER_POINTS = ("before lead", "after lead")  # which server campaigns is not known in advance
SERVER_POINTS = ("before save", "after save", "before vote", "after vote", *LEADER_POINTS)
# Failpoints in proposers.
COMMIT_POINTS = ("before commit", "after commit")
BEFORE_PROPOSE = "before propose"
PROPOSER_POINTS = (BEFORE_PROPOSE, "after propose", *COMMIT_POINTS)

# Injected after the vote of the fault's server, or after any vote for a fault of the store.
AFTER_VOTE_FAULTS = ("freeze later", "cut later", "drain later", "older copy later")
DRAIN_FAULTS = ("drain", "drain later")
SERVER_FAULTS = (
    "kill",
    "drain",
    "drain later",
    "freeze",
    "freeze later",
    "cut later",
    "disk full",
    "disk hangs",
    "name taken",
    "folder lost",
    *LINK_FAULTS,
)
POINT_FAULTS = ("kill at point", "halt at point", "store killed at point")  # at each failpoint of a server
STORE_FAULTS = (
    "store slow",
    "store loses answers",
    "store frozen",
    "watches cancelled",
    "watches deaf",
    "watches flooded",
    "store killed",
    "older copy answers",
    "older copy later",
    "empty store answers",
)
PROPOSER_FAULTS = ("proposer killed", "store killed at proposal")  # at each failpoint of a proposer
CHANGE_FAULTS = ("two at once", "bad policy")
# A schedule draws each (kind, failpoint) once before it draws any of them again.
DECK = (
    *((kind, "") for kind in SERVER_FAULTS + STORE_FAULTS + CHANGE_FAULTS),
    *((kind, point) for kind in POINT_FAULTS for point in SERVER_POINTS),
    *((kind, point) for kind in PROPOSER_FAULTS for point in PROPOSER_POINTS),
)
REPLACED_STORE_FAULTS = ("older copy answers", "older copy later", "empty store answers")
# During these faults no vote can be observed, or the store cannot be made to delay the end of a change.
NO_VOTES_FAULTS = ("store frozen", "store killed", "older copy answers", "empty store answers")
STORE_DOWN_FAULTS = (
    "store killed",
    "store killed at point",
    "store killed at proposal",
    *REPLACED_STORE_FAULTS,
)
# The messages that inject faults into fake_etcd.
STORE_MESSAGES: dict[str, dict[str, object]] = {
    "store slow": {"slow_ms": 150},
    "store loses answers": {"lose_answers": 3},
    "watches cancelled": {"cancel_watches": 1},
    "watches deaf": {"deaf_watches": True},
    "watches flooded": {"flood": 2000},
}
STORE_RECOVERY_MESSAGE: dict[str, object] = {"slow_ms": 0, "lose_answers": 0, "deaf_watches": False}
LASTING_STORE_FAULTS = ("store slow", "store loses answers", "watches deaf")
# The equivalent faults of servers without a fleet: down, frozen, or unreachable for the operator.
BASELINE_FAULTS = {
    "kill": "kill",
    "folder lost": "kill",
    "drain": "drain",
    "drain later": "drain",
    "kill at point": "kill",
    "halt at point": "freeze",
    "freeze": "freeze",
    "freeze later": "freeze",
    "cut": "cut",
    "one way there": "cut",
    "one way back": "cut",
    "network gone": "network gone",
}
