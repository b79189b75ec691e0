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
    JUDGE = "judge"
    TELL = "tell"  # what it tells for operators: nothing waits for it


@dataclass(frozen=True, slots=True)
class Read:
    names: tuple[str, ...]
    lane: Lane = Lane.STORE


@dataclass(frozen=True, slots=True)
class Commit:
    what: str  # "register", "vote", "tell", "lead", "propose", "commit", "abort", "gone": for logs and lab
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


@dataclass(frozen=True, slots=True)
class Judge:
    """Check a policy's text against the server's own configuration: what is wrong with it, "" if nothing. Off
    the loop: a long one takes as long as many requests."""

    digest: str
    text: str
    lane: Lane = Lane.JUDGE


Request = Read | Commit | Lease | Renew  # to the store
Effect = Request | Save | Judge
# Of a read; a commit; a lease or renewal; a save; a judgement; no answer.
Outcome = Snapshot | Done | Leased | bool | str | None


def name_of(effect: Effect) -> str:
    """What an effect is called at the points where a rig may halt a process (`points.py`)."""
    return effect.what if isinstance(effect, Commit) else type(effect).__name__.lower()
