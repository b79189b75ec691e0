"""The recorded history of a cluster run: requests and runs as seen on the wire, policy versions, and faults.

The fake gateways and runtimes and the cluster write the history, and the history checker reads it. All times
are ms of the monotonic clock in the cluster's process."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

FLEET_WIDE = -1  # server number of an event that concerns the store or the whole fleet


class RequestOutcome(Enum):
    """The outcome of a request as its gateway saw it."""

    OPEN = ""
    COMPLETED = "completed"
    REJECTED = "rejected"
    FAILED = "failed"
    LOST = "lost"  # the connection ended before an answer arrived
    NOT_SENT = "not sent"  # no server was listening


class TimeSpan(NamedTuple):
    """A span of time; both ends belong to it."""

    start: float
    end: float

    def overlaps(self, start: float, end: float) -> bool:
        """Whether this span shares any time with the span from `start` to `end`."""
        return self.start <= end and self.end >= start


@dataclass(slots=True)
class RequestRecord:
    """One request as its gateway saw it."""

    server: int
    incarnation: int  # incremented each time the server's process starts
    product: str
    call: str
    idempotency_key: str
    original_call: str  # the call that a repeat repeats; otherwise equal to `call`
    sent_at: float
    answered_at: float = 0.0
    outcome: RequestOutcome = RequestOutcome.OPEN
    body: bytes = b""
    responses: int = 0

    @property
    def is_repeat(self) -> bool:
        """Whether the request repeats an earlier call."""
        return self.call != self.original_call


@dataclass(frozen=True, slots=True)
class RunRecord:
    """A run that a server started at its runtime."""

    server: int
    call: str
    idempotency_key: str
    at: float


@dataclass(frozen=True, slots=True)
class VersionInForce:
    """A policy version, which came into force between the times `after` and `by`."""

    version: int
    rejected_product: str  # "" if the policy rejects none
    after: float
    by: float


@dataclass(frozen=True, slots=True)
class VoteRecord:
    """A vote, with the time of the first poll of the store that returned it."""

    at: float
    change: str
    voter: str


@dataclass(frozen=True, slots=True)
class DrainRecord:
    """The drain of a server; `exit_code` is None if the process did not end in time and was killed."""

    server: int
    started_at: float
    ended_at: float
    exit_code: int | None


@dataclass(frozen=True, slots=True)
class ListingRecord:
    """When service discovery received reports of a server, and the spans in which none is required."""

    received_at: list[float]
    excused: list[TimeSpan]


@dataclass(frozen=True, slots=True)
class ClusterEvent:
    """A fault, recovery or operator action on a server or on the whole fleet."""

    at: float
    server: int
    text: str


@dataclass(slots=True)
class WireHistory:
    """The requests and runs recorded by the fake gateways and runtimes."""

    requests: list[RequestRecord] = field(default_factory=list)
    runs: list[RunRecord] = field(default_factory=list)
    # Spans in which the cluster's own process was stalled, so that it sent and read late.
    stalls: list[TimeSpan] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ClusterHistory:
    """The input of the history checker."""

    wire: WireHistory
    versions: Sequence[VersionInForce]
    bound_ms: float
    disturbed: dict[int, list[TimeSpan]] = field(default_factory=dict)  # by server number
    listings: dict[str, ListingRecord] = field(default_factory=dict)  # by server name
    drains: Sequence[DrainRecord] = ()
    stop_ms: float = 0.0  # the maximum duration of a drain


def initial_version() -> VersionInForce:
    """Returns version 0, which is in force from the start and rejects no product."""
    return VersionInForce(0, "", float("-inf"), float("-inf"))
