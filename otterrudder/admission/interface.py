"""Plain types shared by the admission controller and its callers.

All times are fractional milliseconds on the caller's clock. The controller returns request ids exactly as it
received them. It answers an event with a list of commands, see `commands`.
"""

import math
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class Idempotency(Enum):
    """Whether a request may run more than once. The values are written in the files of the lab."""

    SAFE = "inquiry-like"  # may run any number of times
    IDEMPOTENT = "referenced"  # runs once; a repeat is recognized by its idempotency key
    NON_IDEMPOTENT = "once-only"  # must never run twice


class LoadSignal(Enum):
    """The load value that is advertised to callers. The values are written in the files of the lab."""

    NONE = ""
    CRITICALITY = "rank"  # callers hold back requests of a lower criticality
    CREDIT = "credit"  # maximum number of outstanding requests of a caller


class DownstreamKind(Enum):
    """The kind of service that a server calls."""

    NONE = ""
    TIER = "tier"  # the next tier, which has its own admission control
    SHARED = "shared"  # one service for all servers; each server has a part of its quota


class Outcome(Enum):
    """How a run or a downstream call ended. The values are part of the runtime's protocol."""

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
        """Whether the downstream is known not to be working on the call any more."""
        return self.never_ran or self in (Outcome.OK, Outcome.ERROR)

    @property
    def never_ran(self) -> bool:
        """Whether the run or call is known never to have started."""
        return self in (Outcome.FULL, Outcome.UNREACHABLE, Outcome.NEVER_STARTED)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class, as the operator configures it."""

    name: str
    idempotency: Idempotency
    priority_weight: float
    latency_objective_ms: float
    deadline_ms: float
    retention_ms: float = 0.0  # how long a retry with the same idempotency key may arrive
    late_weight_factor: float = 0.0  # factor on the weight of an answer after the latency objective
    may_call: bool = False  # its requests may make downstream calls
    skip_weight_factor: float = 0.0  # factor on the weight without its call; 0: calls are not skipped


@dataclass(frozen=True, slots=True)
class Tenant:
    """A group of callers with a quota."""

    name: str
    quota: float  # share of the fleet's requests
    quota_per_ms: float = 0.0  # this server's part of the quota, in requests; 0: unknown


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits that an operator may change while a server runs."""

    max_retry_after_ms: float = 0.0  # longest delay that callers honor; 0: they honor none
    downstream_call_quota: float = 0.0  # mean number of calls outstanding at a shared downstream
    over_quota_weight_factor: float = 0.0  # factor on the weight of a request beyond its tenant's quota


class Arrival(NamedTuple):
    """A request that was read. A field is 0 if the caller does not state it."""

    request_id: int
    class_index: int
    tenant: int = 0
    session_key: int = 0
    size_kb: float = 0.0  # memory that it takes while queued
    age_ms: float = 0.0  # time from its arrival until it was read
    time_left_ms: float = 0.0  # time until its deadline
    earlier_attempt_id: int = 0  # id of the earlier attempt with the same idempotency key
    is_retry: bool = False
    criticality: float = 1.0  # from 0 to 1
    can_retain_key: bool = True  # the adapter has room for the idempotency key and the response


class RestrictionKind(Enum):
    """How a service level treats the requests that it restricts, from the mildest to the strongest kind.

    The values are written in the level tables."""

    OMIT = "omit"  # requests run without their downstream call
    SPARE = "spare"  # requests run if there is room and are never queued
    SHARE = "share"  # a share of the requests is admitted
    ESTABLISHED = "established"  # requests of newcomers are rejected
    REJECT = "decline"  # all requests are rejected


@dataclass(frozen=True, slots=True)
class Restriction:
    """A restriction of one request class."""

    kind: RestrictionKind
    admitted_share: float = 0.0  # for `RestrictionKind.SHARE`
    criticality_below: float = math.inf  # only requests of a lower criticality are restricted
    tenants: frozenset[int] | None = None  # only requests of these tenants are restricted; None: of all

    def applies_to(self, criticality: float, tenant: int) -> bool:
        """Returns whether this restriction applies to a request of its class."""
        return criticality < self.criticality_below and (self.tenants is None or tenant in self.tenants)


@dataclass(frozen=True, slots=True)
class ServiceLevel:
    """A level of reduced service. A level without restrictions is full service."""

    name: str
    # For each request class its restrictions, the strongest first; empty: no class is restricted.
    restrictions: tuple[tuple[Restriction, ...], ...] = ()
    rejects_queued: bool = False  # restricted requests that are queued when the level starts are rejected
    sends_retry_after: bool = False  # rejected callers are asked to wait until the level may end
    min_duration_ms: float = 0.0
    served_elsewhere: bool = False  # other servers accept the restricted requests, so no rejection is final


@dataclass(frozen=True, slots=True)
class RequestScope:
    """A set of request classes and tenants that are drained or restricted together. None means all."""

    request_classes: frozenset[int] | None = None
    tenants: frozenset[int] | None = None

    def includes(self, class_index: int, tenant: int) -> bool:
        """Returns whether a request of this class and tenant is in the scope."""
        return (self.request_classes is None or class_index in self.request_classes) and (
            self.tenants is None or tenant in self.tenants
        )

    @property
    def is_all(self) -> bool:
        """Whether every request is in the scope."""
        return self.request_classes is None and self.tenants is None
