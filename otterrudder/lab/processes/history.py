"""What was recorded of a run: requests and runs as they crossed the wire, versions in force, and faults.

The fake servers and the cluster write it, the history checker reads it. All times are monotonic ms of the
cluster's process."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

FLEET_WIDE = -1  # in place of a server's number: an event of the store, or of the fleet


class RequestOutcome(Enum):
    """How a request ended for its gateway."""

    OPEN = ""
    COMPLETED = "completed"
    REJECTED = "rejected"
    FAILED = "failed"
    LOST = "lost"  # the connection ended first
    NOT_SENT = "not sent"  # no server listened


class TimeSpan(NamedTuple):
    """From when to when something was so."""

    start: float
    end: float

    def overlaps(self, start: float, end: float) -> bool:
        """Whether it has a moment in common with another span."""
        return self.start <= end and self.end >= start


@dataclass(slots=True)
class RequestRecord:
    """One request as its gateway saw it."""

    server: int
    incarnation: int  # of the server's process
    product: str
    call: str
    idempotency_key: str
    original_call: str  # the call whose result a repeat is owed; its own otherwise
    sent_at: float
    answered_at: float = 0.0
    outcome: RequestOutcome = RequestOutcome.OPEN
    body: bytes = b""
    responses: int = 0

    @property
    def is_repeat(self) -> bool:
        """Whether it asks again for an earlier call."""
        return self.call != self.original_call


@dataclass(frozen=True, slots=True)
class RunRecord:
    """One run that a server has started at its runtime."""

    server: int
    call: str
    idempotency_key: str
    at: float


@dataclass(frozen=True, slots=True)
class VersionInForce:
    """A version of the policy, and between which times it came into force."""

    version: int
    rejected_product: str  # "": none
    after: float
    by: float


@dataclass(frozen=True, slots=True)
class VoteRecord:
    """The first look at the store that showed a vote."""

    at: float
    change: str
    voter: str


@dataclass(frozen=True, slots=True)
class DrainRecord:
    """A server that was told to drain, and how its process ended; `exit_code` None: it had to be killed."""

    server: int
    started_at: float
    ended_at: float
    exit_code: int | None


@dataclass(frozen=True, slots=True)
class ListingRecord:
    """When service discovery received reports of a server, and when none was owed."""

    received_at: list[float]
    excused: list[TimeSpan]


@dataclass(frozen=True, slots=True)
class ClusterEvent:
    """Something that was done to a server, or to the fleet."""

    at: float
    server: int
    text: str


@dataclass(slots=True)
class WireHistory:
    """All that the fake gateways and runtimes have seen."""

    requests: list[RequestRecord] = field(default_factory=list)
    runs: list[RunRecord] = field(default_factory=list)
    # When this process itself stood still: what it should have sent or read then is nobody's fault.
    stalls: list[TimeSpan] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ClusterHistory:
    """Everything that the history checker goes by."""

    wire: WireHistory
    versions: Sequence[VersionInForce]
    bound_ms: float
    disturbed: dict[int, list[TimeSpan]] = field(default_factory=dict)  # by server
    listings: dict[str, ListingRecord] = field(default_factory=dict)  # by server's name
    drains: Sequence[DrainRecord] = ()
    stop_ms: float = 0.0  # that a drain may take


def no_version_yet() -> VersionInForce:
    """What is in force at the start."""
    return VersionInForce(0, "", float("-inf"), float("-inf"))
