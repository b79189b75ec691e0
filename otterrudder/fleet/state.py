"""The typed state of a member: its standing, its rules, and what it remembers and has last seen.

Used by `member.py`, which decides, and by whoever shows or stores these values. Plain data, no behaviour."""

from dataclasses import dataclass
from enum import Enum

from otterrudder.fleet.records import Absent, Live, Roster, Trial


class Standing(Enum):
    """Whether a member admits, and if not, why. Only the first two admit."""

    SERVING = "serving"
    PLEDGED = "serving, and has voted for the open change"
    STARTING = "has not read the store in this life"
    TAKEN = "the name is another process's"
    FOREIGN = "the name is registered to another folder"
    JOINING = "is not registered yet, or has not read since"
    BEHIND = "a newer policy is in force and not here yet"
    UNFIT = "the policy in force can't be taken here"
    UNHEARD = "has voted, and has not heard for so long whether it was committed"
    LAPSED = "its lease has lapsed, so a change may have gone on without it"

    @property
    def admits(self) -> bool:
        return self in (Standing.SERVING, Standing.PLEDGED)


@dataclass(frozen=True, slots=True)
class Rules:
    """What the fleet's file says, in ms."""

    absent: Absent = "wait"
    bound_ms: float = 2000.0
    lease_ms: float = 6000.0
    starts_from_folder: bool = False  # only under `wait`
    # Several processes take the name in turn (the relays of a cell): each one's authority ends with its
    # lease, whatever `absent` says.
    is_shared: bool = False

    @property
    def hangs_on_lease(self) -> bool:
        """Whether somebody may act in this member's place, or without it, once its lease has lapsed."""
        return self.is_shared or self.absent == "leave-out"


@dataclass(frozen=True, slots=True)
class Policy:
    """One that is or was in force. Version 0: none was ever committed, and each server goes by its own
    files."""

    version: int = 0
    change: str = ""
    digest: str = ""
    text: str = ""


@dataclass(frozen=True, slots=True)
class Pledge:
    """A yes that may have reached the store."""

    change: str
    created: int  # the revision that made the change


@dataclass(frozen=True, slots=True)
class Record:
    """What the folder keeps. `joined`: the store has had this folder's name on the roster; `waited`: changes
    wait for it there, as far as any process of this folder can have asked for."""

    name: str
    folder: str
    known: Policy = Policy()
    pledge: Pledge | None = None
    joined: bool = False
    cluster: int = 0
    revision: int = 0
    waited: bool = False


@dataclass(frozen=True, slots=True)
class Open:
    """The open change, as last seen."""

    id: str
    version: int
    digest: str
    created: int


@dataclass(frozen=True, slots=True)
class Seen:
    """What the last believed read showed of what concerns this member."""

    revision: int
    open: Open | None
    voted: bool | None  # its own vote; None: none is there
    roster: Roster | None
    roster_modified: int
    live: Live | None
    live_created: int
    has_leader: bool  # somebody has it
    trial: Trial | None  # of the policy in force
