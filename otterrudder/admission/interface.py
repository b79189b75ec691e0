"""Plain types shared by the admission controller and its callers.

All times are milliseconds with fractions on the caller's clock. Ids are handed back exactly as given.
What the controller wants done after an event is a list of commands: `commands`.
"""

import math
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class Idempotency(Enum):
    """Whether a request may run again. The values are words of the lab's and the scenarios' files."""

    SAFE = "inquiry-like"  # may run again
    IDEMPOTENT = "referenced"  # has an idempotency key, so that a repeat is known; runs once
    NON_IDEMPOTENT = "once-only"  # must never run twice


class LoadSignal(Enum):
    """What is advertised to callers. The values are words of the lab's and the scenarios' files."""

    NONE = ""
    CRITICALITY = "rank"  # hold back requests of a lower criticality
    CREDIT = "credit"  # have no more requests outstanding than this


class DownstreamKind(Enum):
    """What lies behind a server. The values are words of the scenarios' files."""

    NONE = ""
    TIER = "tier"  # the next tier, with an admission control of its own
    SHARED = "shared"  # one service for all servers, each with its part of it


class Outcome(Enum):
    """How a run or a call ended. The values are words of the runtime's protocol."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreached"
    RESET = "reset"
    CANCELLED = "stopped"
    NEVER_STARTED = "moot"

    @property
    def has_ended_downstream(self) -> bool:
        """Nothing of it can still be going on downstream."""
        return self.never_ran or self in (Outcome.OK, Outcome.ERROR)

    @property
    def never_ran(self) -> bool:
        """It is known not to have run."""
        return self in (Outcome.FULL, Outcome.UNREACHABLE, Outcome.NEVER_STARTED)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A kind of request, as the operator states it."""

    name: str
    idempotency: Idempotency
    priority_weight: float
    latency_objective_ms: float
    deadline_ms: float
    retention_ms: float = 0.0  # for how long an idempotency key may come again
    late_weight_factor: float = 0.0  # on the weight, for an answer that misses the latency objective
    may_call: bool = False  # may call the downstream
    skip_weight_factor: float = 0.0  # on the weight, without the downstream call; 0: never skipped


@dataclass(frozen=True, slots=True)
class Tenant:
    """A group of callers with a quota."""

    name: str
    quota: float  # share of the fleet's requests
    quota_per_ms: float = 0.0  # requests that are this server's part of the quota; 0: unknown


@dataclass(frozen=True, slots=True)
class Limits:
    """What an operator may change while a server runs."""

    max_retry_after_ms: float = 0.0  # that callers heed; 0: they don't know of it
    downstream_call_quota: float = 0.0  # mean calls outstanding at a shared downstream
    over_quota_weight_factor: float = 0.0  # on the weight of a request beyond its tenant's quota


class Arrival(NamedTuple):
    """A request that was read. Zeros stand for what its caller does not state."""

    request_id: int
    class_index: int
    tenant: int = 0
    session_key: int = 0
    size_kb: float = 0.0  # memory while queued
    age_ms: float = 0.0  # from its arrival to its reading
    time_left_ms: float = 0.0  # until its deadline
    earlier_attempt_id: int = 0  # the attempt that came with the same idempotency key
    is_retry: bool = False
    criticality: float = 1.0  # 0 to 1


class RestrictionKind(Enum):
    """What a level of reduced service does with the requests that it restricts, the mildest first.

    The values are words of the level tables."""

    OMIT = "omit"  # they run without their downstream call
    SPARE = "spare"  # they run where there is room, and are never queued
    SHARE = "share"  # a share of them is admitted
    ESTABLISHED = "established"  # newcomers are rejected
    REJECT = "decline"  # all are rejected


@dataclass(frozen=True, slots=True)
class Restriction:
    """A restriction of one request class."""

    kind: RestrictionKind
    admitted_share: float = 0.0  # for `RestrictionKind.SHARE`
    criticality_below: float = math.inf  # only requests below this
    tenants: frozenset[int] | None = None  # only requests of these; None: of all

    def applies_to(self, criticality: float, tenant: int) -> bool:
        """Whether it restricts such a request of its class."""
        return criticality < self.criticality_below and (self.tenants is None or tenant in self.tenants)


@dataclass(frozen=True, slots=True)
class ServiceLevel:
    """A level of reduced service; one without restrictions is full service."""

    name: str
    restrictions: tuple[
        tuple[Restriction, ...], ...
    ] = ()  # by class, the strongest first; empty: none at all
    rejects_queued: bool = False  # queued requests that it restricts are rejected when it starts
    sends_retry_after: bool = False  # callers are asked to stay away until it may end
    min_duration_ms: float = 0.0
    served_elsewhere: bool = False  # other servers serve what is restricted here, so no rejection is final


@dataclass(frozen=True, slots=True)
class RequestScope:
    """Requests that are drained or restricted together: of these classes and tenants; None: of all."""

    request_classes: frozenset[int] | None = None
    tenants: frozenset[int] | None = None

    def includes(self, class_index: int, tenant: int) -> bool:
        """Whether a request of this class and tenant belongs to it."""
        return (self.request_classes is None or class_index in self.request_classes) and (
            self.tenants is None or tenant in self.tenants
        )

    @property
    def is_all(self) -> bool:
        """Whether every request belongs to it."""
        return self.request_classes is None and self.tenants is None
