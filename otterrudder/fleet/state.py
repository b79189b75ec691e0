"""The typed state of a member: its admission status, its rules, what it keeps on disk and what it last
observed.

Used by `member/`, which decides, and by whoever shows or stores these values. Plain data, no behaviour."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from otterrudder.fleet.records import Absent, Keys, MemberStatus, RosterEntry, Trial


class AdmissionStatus(Enum):
    """Whether a member admits requests, and if not, why. Only the first two admit."""

    SERVING = ("serving", "serving")
    PREPARED = ("pledged", "serving, and has voted for the open change")
    STARTING = ("starting", "has not read the store since it started")
    NAME_TAKEN = ("taken", "the name is another process's")
    FOREIGN_DIRECTORY = ("foreign", "the name is registered to another state directory")
    REGISTERING = ("joining", "is not registered yet, or has not read since")
    OUTDATED = ("behind", "a newer policy is in force and not here yet")
    POLICY_REJECTED = ("unfit", "the policy in force can't be applied here")
    OUTCOME_UNKNOWN = ("unheard", "has voted, and has not heard for so long whether it was committed")
    LEASE_EXPIRED = ("lapsed", "its lease has lapsed, so a change may have gone on without it")

    def __init__(self, label: str, description: str) -> None:
        self.label = label  # in the store, on the control socket and in messages of cells
        self.description = description  # for people

    @property
    def admits(self) -> bool:
        """Whether new requests are admitted in this status."""
        return self in (AdmissionStatus.SERVING, AdmissionStatus.PREPARED)


@dataclass(frozen=True, slots=True)
class MemberIdentity:
    """Who a member is."""

    keys: Keys  # of its fleet
    name: str
    incarnation: str  # of this process: new with each start
    directory_id: str  # of the state directory, whose disk remembers what was voted


@dataclass(frozen=True, slots=True)
class Rules:
    """What the fleet's file says of members."""

    absent: Absent = "wait"
    bound_ms: float = 2000.0  # for which an old policy may be applied after a commit
    lease_ms: float = 6000.0  # of the store
    starts_from_directory: bool = False  # only under `wait`
    # Several processes take the name in turn (the relays of a cell): each one's authority ends with its
    # lease, whatever `absent` says.
    is_shared: bool = False

    @property
    def depends_on_lease(self) -> bool:
        """Whether somebody may act in this member's place, or without it, once its lease has lapsed."""
        return self.is_shared or self.absent == "leave-out"


@dataclass(frozen=True, slots=True)
class Policy:
    """One that is or was in force. Version 0: none was ever committed, and each server applies its own
    files."""

    version: int = 0
    change: str = ""
    digest: str = ""
    text: str = ""


@dataclass(frozen=True, slots=True)
class PreparedVote:
    """An acceptance that is on disk and may have reached the store, as in two-phase commit."""

    change: str
    created: int  # the revision that made the change


class MemberState(msgspec.Struct, frozen=True):
    """What the state directory keeps of a member. The names in the file are those of its first release."""

    name: str
    directory_id: str = msgspec.field(name="folder")
    applied_policy: Policy = msgspec.field(default=Policy(), name="known")
    prepared_vote: PreparedVote | None = msgspec.field(default=None, name="pledge")
    joined: bool = False  # the store has had this directory's id on the roster
    cluster: int = 0
    revision: int = 0
    # Changes wait for it there, as far as any process of this directory can have asked for.
    waits_for_member: bool = msgspec.field(default=False, name="waited")


@dataclass(frozen=True, slots=True)
class OpenChange:
    """The open change, as last seen."""

    id: str
    version: int
    digest: str
    created: int


@dataclass(frozen=True, slots=True)
class ObservedState:
    """What the last read that is trusted showed of what concerns this member."""

    revision: int
    open: OpenChange | None
    voted: bool | None  # its own vote; None: none is there
    roster: RosterEntry | None
    roster_modified: int
    status: MemberStatus | None
    status_created: int
    has_leader: bool  # some member leads
    trial: Trial | None  # of the policy in force
