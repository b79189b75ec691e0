"""What the fleet's pure parts want done: requests to the store and the disk, and a table that applies none of
them itself. Whoever carries one out hands its outcome back, or None: no answer came.

Each belongs to a lane, and a lane has one of them under way at a time, so that a renewal never waits behind
a slow read."""

from dataclasses import dataclass
from enum import Enum

from otterrudder.fleet.store import Compare, Done, Leased, Snapshot, Write


class Lane(Enum):
    STORE = "store"  # reads and commits, one after another
    LEASE = "lease"
    DISK = "disk"
    SETTLE = "settle"


@dataclass(frozen=True, slots=True)
class Read:
    names: tuple[str, ...]
    lane: Lane = Lane.STORE


@dataclass(frozen=True, slots=True)
class Commit:
    what: str  # "register", "vote", "tell", "duty", "propose", "commit", "abort", "gone": for logs and lab
    compares: tuple[Compare, ...]
    writes: tuple[Write, ...]
    lane: Lane = Lane.STORE


@dataclass(frozen=True, slots=True)
class Lease:
    span_ms: float
    lane: Lane = Lane.LEASE


@dataclass(frozen=True, slots=True)
class Renew:
    lease: int
    lane: Lane = Lane.LEASE


@dataclass(frozen=True, slots=True)
class Save:
    """Write the record to the own folder; done once it would outlive a loss of power."""

    record: object
    lane: Lane = Lane.DISK


Want = Read | Commit | Lease | Renew | Save
Outcome = Snapshot | Done | Leased | bool | None  # of a read; a commit; a lease or renewal; a save; no answer
