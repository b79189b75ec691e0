"""What the fleet's pure parts want done: requests to the store and the disk, and a table that applies none of
them itself. Whoever carries one out hands its outcome back, or None: no answer came.

Each belongs to a lane, and a lane has one of them under way at a time, so that a renewal never waits behind
a slow read."""

from dataclasses import dataclass
from enum import Enum

from otterrudder.fleet.store import CommitResult, Compare, LeaseResult, Snapshot, Write


class Lane(Enum):
    STORE = "store"  # reads and commits, one after another
    LEASE = "lease"
    DISK = "disk"
    COORDINATE = "settle"
    VALIDATE = "judge"
    REPORT_STATUS = "tell"  # what it tells for operators: nothing waits for it


@dataclass(frozen=True, slots=True)
class Read:
    names: tuple[str, ...]
    lane: Lane = Lane.STORE


@dataclass(frozen=True, slots=True)
class Commit:
    purpose: str  # "register", "vote", "tell", "lead", "propose", "commit", "abort", "gone": for logs and lab
    compares: tuple[Compare, ...]
    writes: tuple[Write, ...]
    lane: Lane = Lane.STORE


@dataclass(frozen=True, slots=True)
class GrantLease:
    span_ms: float
    lane: Lane = Lane.LEASE


@dataclass(frozen=True, slots=True)
class RenewLease:
    lease: int
    lane: Lane = Lane.LEASE


@dataclass(frozen=True, slots=True)
class SaveState:
    """Write the record to the own folder; done once it would outlive a loss of power."""

    record: object
    lane: Lane = Lane.DISK


@dataclass(frozen=True, slots=True)
class ValidatePolicy:
    """Check a policy's text against the server's own configuration: what is wrong with it, "" if nothing. Off
    the loop: a long one takes as long as many requests."""

    digest: str
    text: str
    lane: Lane = Lane.VALIDATE


StoreRequest = Read | Commit | GrantLease | RenewLease  # to the store
Effect = StoreRequest | SaveState | ValidatePolicy
# Of a read; a commit; a lease or renewal; a save; a judgement; no answer.
Outcome = Snapshot | CommitResult | LeaseResult | bool | str | None


_NAMES: dict[type[Effect], str] = {
    Read: "read",
    GrantLease: "lease",
    RenewLease: "renew",
    SaveState: "save",
    ValidatePolicy: "judge",
}


def effect_name(effect: Effect) -> str:
    """The name of an effect in failpoints, log lines and the labels of a model search."""
    return effect.purpose if isinstance(effect, Commit) else _NAMES[type(effect)]
