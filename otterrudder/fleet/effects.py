"""The effects that the fleet's pure parts return: requests to the store and the disk, carried out by others.

Whoever carries one out hands its outcome back, or None: no answer came. Each belongs to a lane, and a lane
has one effect under way at a time, so that a renewal never waits behind a slow read."""

from dataclasses import dataclass
from enum import Enum

from otterrudder.fleet.state import MemberState
from otterrudder.fleet.store import CommitResult, Compare, LeaseResult, Snapshot, Write


class Lane(Enum):
    """What one effect at a time is under way for."""

    STORE = "store"  # reads and commits, one after another
    LEASE = "lease"
    DISK = "disk"
    COORDINATE = "coordinate"
    VALIDATE = "validate"
    REPORT_STATUS = "report status"  # for operators: nothing waits for it


@dataclass(frozen=True, slots=True)
class Read:
    """Read these keys of the store, and all under those names that end in a slash."""

    names: tuple[str, ...]
    lane: Lane = Lane.STORE


@dataclass(frozen=True, slots=True)
class Commit:
    """Write to the store, if all compares hold. `purpose`: for failpoints, logs and the lab ("register",
    "vote", "tell", "lead", "propose", "open", "commit", "abort", "gone", ...)."""

    purpose: str
    compares: tuple[Compare, ...]
    writes: tuple[Write, ...]
    lane: Lane = Lane.STORE


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Get a new lease from the store."""

    span_ms: float
    lane: Lane = Lane.LEASE


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renew a lease for its whole span."""

    lease: int
    lane: Lane = Lane.LEASE


@dataclass(frozen=True, slots=True)
class SaveState:
    """Write the state to the state directory; done once it would outlive a loss of power."""

    record: MemberState
    lane: Lane = Lane.DISK


@dataclass(frozen=True, slots=True)
class ValidatePolicy:
    """Validate a policy's text against the server's own configuration: what is wrong with it, "" if nothing.
    Off the loop: a long one takes as long as many requests."""

    digest: str
    text: str
    lane: Lane = Lane.VALIDATE


StoreRequest = Read | Commit | GrantLease | RenewLease
Effect = StoreRequest | SaveState | ValidatePolicy
# Of a read; a commit; a lease or renewal; a save; a validation; no answer.
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
