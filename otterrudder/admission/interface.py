"""Plain types shared by the decision module and whatever calls it (the drill, the server).

All times are milliseconds with fractions on the caller's clock. Ids are handed back exactly as given.
What the module wants done after a call is a list of commands: `commands`.
"""

import math
from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    SAFE = "inquiry-like"  # may run again
    IDEMPOTENT = "referenced"  # a repeat is known by its mark; runs once
    NON_IDEMPOTENT = "once-only"  # must never run twice


class Outcome(Enum):
    """How a run or a call ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreached"
    RESET = "reset"
    CANCELLED = "stopped"
    NEVER_STARTED = "moot"

    @property
    def is_over(self) -> bool:
        """Nothing of it can still be going on below."""
        return self.never_ran or self in (Outcome.OK, Outcome.ERROR)

    @property
    def never_ran(self) -> bool:
        return self in (Outcome.FULL, Outcome.UNREACHABLE, Outcome.NEVER_STARTED)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A kind of request, as the operator states it."""

    name: str
    idempotency: Idempotency
    priority_weight: float
    latency_objective_ms: float
    deadline_ms: float
    retention_ms: float = 0.0  # how long a referenced request may come again
    late_weight_factor: float = 0.0  # the share of the value left after the SLA time
    may_call: bool = False  # may call what lies below
    skip_weight_factor: float = 0.0  # the share of the value left when the call is omitted


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    quota: float
    quota_per_ms: float = 0.0  # requests of its share that are one server's part; 0: nobody says


@dataclass(frozen=True, slots=True)
class Limits:
    """What an operator may set anew while a server runs."""

    max_retry_after_ms: float = 0.0  # for how long callers may be asked to keep away; 0: they do not hear it
    downstream_call_quota: float = (
        0.0  # mean calls in hand at a shared service below that are this server's part
    )
    over_quota_weight_factor: float = (
        0.0  # share of its value that a request beyond its tenant's share is worth
    )


class RestrictionKind(Enum):
    """What a level of reduced service does with what it restricts, the mildest first."""

    OMIT = "omit"  # it runs without its call
    SPARE = "spare"  # it runs where a slot is free, and is never held
    SHARE = "share"  # a share of it is admitted
    ESTABLISHED = "established"  # newcomers are declined
    DECLINE = "decline"  # all of it is declined


@dataclass(frozen=True, slots=True)
class Restriction:
    kind: RestrictionKind
    admitted_share: float = 0.0  # of those that come, admitted
    criticality_below: float = math.inf  # only what ranks below this
    tenants: frozenset[int] | None = None  # only what these send

    def includes(self, request: "Request") -> bool:
        return request.criticality < self.criticality_below and (
            self.tenants is None or request.tenant in self.tenants
        )


@dataclass(frozen=True, slots=True)
class ServiceLevel:
    """A level of reduced service as the module is told it; full service is one that restricts nothing."""

    name: str
    restrictions: tuple[
        tuple[Restriction, ...], ...
    ] = ()  # by class, the strongest first; empty: nothing is trimmed
    rejects_queued: bool = False  # what is held and would be declined is answered when the level starts
    sends_retry_after: bool = False  # callers are asked to stay away until the level may end
    min_duration_ms: float = 0.0  # how long it lasts at the least, from when it is told
    served_elsewhere: bool = (
        False  # others serve what is cut here: no refusal is final, and all keep away at length
    )


@dataclass(frozen=True, slots=True)
class RequestScope:
    """The requests that are served or not together: of these classes, or of these tenants; None: of all."""

    request_classes: frozenset[int] | None = None
    tenants: frozenset[int] | None = None

    def includes(self, request: "Request") -> bool:
        mine = self.request_classes is None or request.class_index in self.request_classes
        return mine and (self.tenants is None or request.tenant in self.tenants)

    @property
    def is_all(self) -> bool:
        return self.request_classes is None and self.tenants is None


class RequestState(Enum):
    QUEUED = "held"
    FOLLOWING = "follows"  # held behind an earlier attempt that is held itself
    RUNNING = "runs"
    CALLING = "calls"  # off the cores, at or before a call
    REPLAYING = "waits"  # to be answered from an earlier attempt
    FINISHED = "over"


class Request:
    """One request with what this server knows of it."""

    def __init__(
        self, request_id: int, class_index: int, request_class: RequestClass, now: float, age: float
    ) -> None:
        self.request_id, self.class_index, self.request_class = request_id, class_index, request_class
        self.arrived = now - age
        self.due = self.in_time = 0.0  # when its answer is owed; until when it earns its full value
        self.tenant = self.key = self.earlier_attempt_id = 0
        self.criticality = 1.0  # 0 to 1: how dear it is to its caller
        self.size_kb = 1.0  # memory while held
        self.cost = 0.0  # expected ms on the cores, fixed when held
        self.is_retry = self.old = self.queued = self.ran = self.answered = self.settled = self.calling = (
            False
        )
        self.place = RequestState.QUEUED
        self.started = self.off_cores = self.away = 0.0  # when it began, last left the cores; ms off them
        self.tries = 0  # calls made at the present stop
        self.followers: list[Request] = []

    @property
    def referenced(self) -> bool:
        return self.request_class.idempotency is Idempotency.IDEMPOTENT

    @property
    def effectful(self) -> bool:
        return self.request_class.idempotency is not Idempotency.SAFE
