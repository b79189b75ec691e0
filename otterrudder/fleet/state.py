"""Data types for the state of a member: its admission status, its rules, the state that it saves to disk, and
its last observation of the store.

`member/` makes its decisions on these values; other modules display or store them. The types have no
behaviour."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from otterrudder.fleet.records import Absent, Keys, MemberStatus, RosterEntry, Trial


class AdmissionStatus(Enum):
    """Whether a member admits requests, and if not, why. Requests are admitted only while SERVING or
    PREPARED."""

    SERVING = ("serving", "serving")
    PREPARED = ("pledged", "serving, and has voted for the open change")
    STARTING = ("starting", "has not read the store since it started")
    NAME_TAKEN = ("taken", "another process holds the name")
    FOREIGN_DIRECTORY = ("foreign", "the name is registered to another state directory")
    REGISTERING = ("joining", "has not registered, or has not read the store since it registered")
    OUTDATED = ("behind", "a newer policy is in force, and this member has not applied it yet")
    POLICY_REJECTED = ("unfit", "the policy in force can't be applied to this server")
    OUTCOME_UNKNOWN = ("unheard", "has voted, and has not learned the outcome of the change within bound_ms")
    LEASE_EXPIRED = ("lapsed", "its lease has expired, so a change may have been committed without it")

    def __init__(self, label: str, description: str) -> None:
        self.label = label  # used in the store, on the control socket and in messages of cells
        self.description = description  # shown to operators

    @property
    def admits(self) -> bool:
        """Whether new requests are admitted in this status."""
        return self in (AdmissionStatus.SERVING, AdmissionStatus.PREPARED)


@dataclass(frozen=True, slots=True)
class MemberIdentity:
    """The identity of a member."""

    keys: Keys  # the keys of its fleet
    name: str
    incarnation: str  # identifies this process; differs for each start
    directory_id: str  # identifies the state directory, which records how the member voted


@dataclass(frozen=True, slots=True)
class Rules:
    """The settings of the fleet file that govern members."""

    absent: Absent = "wait"
    bound_ms: float = 2000.0  # maximum time that a member may apply the old policy after a commit, in ms
    lease_ms: float = 6000.0  # duration of a lease in the store, in ms
    # Whether a member may admit after a start without reading the store first; only with absent = "wait".
    starts_from_directory: bool = False
    # Whether several processes hold the name in turn, as the relays of a cell do. Each one's authority then
    # ends with its lease, whatever `absent` says.
    is_shared: bool = False

    @property
    def depends_on_lease(self) -> bool:
        """Whether the fleet may act in this member's place, or without it, once its lease has expired."""
        return self.is_shared or self.absent == "leave-out"


@dataclass(frozen=True, slots=True)
class Policy:
    """A policy that is or was in force. Version 0 means that no policy was ever committed; each server then
    applies its own configuration files."""

    version: int = 0
    change: str = ""
    digest: str = ""
    text: str = ""


@dataclass(frozen=True, slots=True)
class PreparedVote:
    """A vote to accept a change, saved to disk before it is sent to the store, like the prepared state of
    two-phase commit."""

    change: str
    created: int  # revision that created the change's key


class MemberState(msgspec.Struct, frozen=True):
    """The state of a member that is saved in its state directory. The names in the file are those of the
    first release."""

    name: str
    directory_id: str = msgspec.field(name="folder")
    applied_policy: Policy = msgspec.field(default=Policy(), name="known")
    prepared_vote: PreparedVote | None = msgspec.field(default=None, name="pledge")
    joined: bool = False  # whether the roster has ever listed this directory's ID
    cluster: int = 0
    revision: int = 0
    # Whether the roster entry says that changes wait for this member, as last written by a process of this
    # directory.
    waits_for_member: bool = msgspec.field(default=False, name="waited")


@dataclass(frozen=True, slots=True)
class OpenChange:
    """The open change, as last read."""

    id: str
    version: int
    digest: str
    created: int


@dataclass(frozen=True, slots=True)
class ObservedState:
    """The part of the last trusted read that concerns this member."""

    revision: int
    open: OpenChange | None
    voted: bool | None  # whether its own vote accepts the open change; None if it has not voted
    roster: RosterEntry | None
    roster_modified: int
    status: MemberStatus | None
    status_created: int
    has_leader: bool  # whether any member is the leader
    trial: Trial | None  # trial of the policy in force
