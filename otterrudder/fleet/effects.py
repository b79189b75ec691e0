"""The effects that the pure parts of the fleet return, for example requests to the store or writes to the
disk.

The executor carries out an effect and passes back its outcome, or None if no answer arrived. Each effect
belongs to a lane, and each lane has at most one effect in flight, so that a lease renewal never waits behind
a slow read."""

from dataclasses import dataclass
from enum import Enum

from otterrudder.fleet.state import MemberState
from otterrudder.fleet.store import CommitResult, Compare, LeaseResult, Snapshot, Write


class Lane(Enum):
    """A group of effects of which at most one is in flight at a time."""

    STORE = "store"  # reads and commits of the member
    LEASE = "lease"
    DISK = "disk"
    COORDINATE = "coordinate"
    VALIDATE = "validate"
    REPORT_STATUS = "report status"  # status reports for operators; no other effect waits for them


@dataclass(frozen=True, slots=True)
class Read:
    """Reads keys of the store, and all keys under the names that end in a slash."""

    names: tuple[str, ...]
    lane: Lane = Lane.STORE


@dataclass(frozen=True, slots=True)
class Commit:
    """Writes to the store if all compares hold. `purpose` names the commit in failpoints, log lines and the
    lab ("register", "vote", "tell", "lead", "propose", "open", "commit", "abort", "gone", ...)."""

    purpose: str
    compares: tuple[Compare, ...]
    writes: tuple[Write, ...]
    lane: Lane = Lane.STORE


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Requests a new lease from the store, with a duration of `span_ms`."""

    span_ms: float
    lane: Lane = Lane.LEASE


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renews a lease for its whole duration."""

    lease: int
    lane: Lane = Lane.LEASE


@dataclass(frozen=True, slots=True)
class SaveState:
    """Writes the state to the state directory. It is complete when the state would survive a power
    failure."""

    record: MemberState
    lane: Lane = Lane.DISK


@dataclass(frozen=True, slots=True)
class ValidatePolicy:
    """Validates a policy's text against the server's own configuration. The outcome is the reason for a
    rejection, or "" if the server accepts the text. It runs in a thread, because a long policy would block
    the event loop for the time of many requests."""

    digest: str
    text: str
    lane: Lane = Lane.VALIDATE


StoreRequest = Read | Commit | GrantLease | RenewLease
Effect = StoreRequest | SaveState | ValidatePolicy
# The outcomes of, in this order: a read, a commit, a lease request, a save, a validation, and a request
# without answer.
Outcome = Snapshot | CommitResult | LeaseResult | bool | str | None

_NAMES: dict[type[Effect], str] = {
    Read: "read",
    GrantLease: "lease",
    RenewLease: "renew",
    SaveState: "save",
    ValidatePolicy: "judge",
}


def effect_name(effect: Effect) -> str:
    """Returns the name of an effect in failpoints, log lines and the labels of the model search."""
    return effect.purpose if isinstance(effect, Commit) else _NAMES[type(effect)]
