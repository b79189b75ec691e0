"""The lab's model of a site: reads and checks a site's TOML file and creates the admission controllers of
its servers."""

import math
from collections.abc import Callable
from typing import Annotated, Any, Literal

import msgspec

from otterrudder.admission.controller import AdmissionController
from otterrudder.admission.interface import (
    DownstreamKind,
    Idempotency,
    Limits,
    LoadSignal,
    RequestClass,
    Tenant,
)
from otterrudder.admission.settings import ControllerSettings

Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


class InvalidInputError(Exception):
    """A file of the lab is invalid. The message is one line that names the file and the key."""


class _Strict(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    pass


class ProductSection(_Strict, kw_only=True, frozen=True):
    """A product and the properties of its requests."""

    name: str
    share: Positive
    work_ms: Positive  # mean work of a request, in ms on a core of speed 1
    cv: Positive = 0.8  # coefficient of variation of the lognormal work
    sla_ms: Positive  # latency objective
    expiry_ms: Positive  # deadline
    value: Positive = 1.0  # priority weight
    late_value: Share = 0.0  # share of the value that a late request has
    effect: Literal["inquiry-like", "referenced", "once-only"] = "inquiry-like"
    window_ms: float = 0.0  # retention of idempotency keys
    calls: Annotated[int, msgspec.Meta(ge=0)] = 0  # number of downstream calls
    omit_value: Share = 0.0  # share of the value without the downstream call; 0: never skipped
    has_key: bool = True  # requests carry the key of their user


class TenantSection(_Strict, kw_only=True, frozen=True):
    """A tenant and its share of the load."""

    name: str
    share: Positive


class ServerSection(_Strict, kw_only=True, frozen=True):
    """The servers. All are alike except for their speed."""

    count: Count = 2
    cores: Count = 4
    speed: tuple[Positive, ...] = (1.0,)  # speeds of a core, assigned to the servers in rotation
    crowd_at: Positive = 1.3  # running requests per core above which contention slows the server
    crowd_loss: float = 0.7  # the speed is divided by 1 + crowd_loss * (running requests per core - crowd_at)
    # running requests per core (mean over 2 s) at which a server crashes; fewer while it is cold
    falls_at: Positive = 8.0
    read_share: Share = 0.25  # work of reading any request, rejected ones too, as a share of the mean work
    cold_from: Share = 0.3  # share of the full speed right after a cold start
    cold_s: float = 10.0  # time from a cold start to the full speed, in s
    memory_runs: Positive = 14.0  # running requests per core that fill the memory
    run_factor: Positive = 16.0  # memory of a running request as a multiple of a queued one's
    held_kb: Positive = 40.0  # memory of a queued request, in KB
    ref_kb: float = 20.0  # memory of an idempotency entry, in KB
    grace_ms: float = 2500.0  # requests that arrive later than this after the start of a drain are not run
    stop_ms: float = 5000.0  # time from the shutdown notice to the end of the process, in ms
    away_most_ms: float = 1000.0  # maximum Retry-After, in ms
    say: Literal["", "credit", "rank"] = "credit"  # load signal that servers send to gateways

    @property
    def memory_kb(self) -> float:
        """The memory limit of a server, in KB."""
        return self.held_kb * self.run_factor * self.memory_runs * self.cores


class DownstreamSection(_Strict, kw_only=True, frozen=True):
    """The records service, which runs a fixed number of calls at a time and has a bounded queue."""

    slots: Count = 12  # calls that run at a time
    call_ms: Positive = 40.0  # mean duration of a call
    cv: Positive = 0.6  # coefficient of variation of the lognormal duration
    line: Count = 40  # maximum number of queued calls


class GatewaysSection(_Strict, kw_only=True, frozen=True):
    """The gateways. A share such as `heeds_away` is the share of the gateways, counted from the first, that
    behave in this way."""

    count: Count = 4
    # how a gateway chooses a server: in rotation, by the user's key, or the one with the fewest open attempts
    choose: Literal["round", "subject", "least"] = "round"
    tries: Count = 2  # maximum number of attempts for a request
    # maximum time of one attempt, as a share of the request's expiry
    try_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 1.0
    heeds_away: Share = 0.5  # gateways that honour Retry-After
    heeds_stop: Share = 0.5  # gateways that do not retry after a final rejection
    heeds_load: Share = 0.0  # gateways that honour the load advertised by servers
    marks: bool = True  # retries are marked as such
    notice_ms: float = 1500.0  # mean delay until a gateway learns that a server was added or removed
    leaves: Share = 0.0  # share of the callers that disconnect before the expiry
    net_ms: float = 0.5  # one-way network latency


class Site(_Strict, kw_only=True, frozen=True):
    """A site's file: request classes, tenants, servers, gateways and the downstream service."""

    product: Annotated[list[ProductSection], msgspec.Meta(min_length=1)]
    tenant: list[TenantSection] = []
    server: ServerSection = ServerSection()
    below: DownstreamSection = DownstreamSection()
    gateways: GatewaysSection = GatewaysSection()
    keys: Count = 5000  # number of distinct users
    zipf: float = 0.8  # exponent of the Zipf distribution of requests over users
    # mean number of requests in a session, each sent when the one before has completed; None: no sessions
    session_mean: Annotated[float, msgspec.Meta(ge=1)] | None = None
    keys_known: bool = True  # requests carry the key of their user

    @property
    def products(self) -> list[RequestClass]:
        """The request classes."""
        return [
            RequestClass(
                p.name,
                Idempotency(p.effect),
                p.value,
                p.sla_ms,
                p.expiry_ms,
                p.window_ms,
                p.late_value,
                p.calls > 0,
                p.omit_value,
            )
            for p in self.product
        ]

    @property
    def tenants(self) -> list[Tenant]:
        """The tenants."""
        return [Tenant(t.name, t.share) for t in self.tenant]

    @property
    def mean_work_ms(self) -> float:
        """Mean work of a request, in ms on a core of speed 1."""
        total_share = sum(p.share for p in self.product)
        return sum(p.share / total_share * p.work_ms for p in self.product)

    @property
    def read_ms(self) -> float:
        """Work of reading a request, in ms on a core of speed 1."""
        return self.server.read_share * self.mean_work_ms

    @property
    def capacity(self) -> float:
        """Requests per ms that all cores together can read and run without contention."""
        speeds = [self.server.speed[n % len(self.server.speed)] for n in range(self.server.count)]
        return self.server.cores * sum(speeds) / (self.mean_work_ms + self.read_ms)

    def create_controller(
        self, instance: int, seed: int
    ) -> Callable[[float, bool, float], AdmissionController]:
        """Returns the function create(now, warm, up_ms) with which a request core creates its
        AdmissionController."""
        section = self.server

        def create(now: float, warm: bool, up_ms: float) -> AdmissionController:
            controller = AdmissionController(
                now,
                ControllerSettings(
                    request_classes=self.products,
                    tenants=self.tenants,
                    cores=section.cores,
                    callers=self.gateways.count,
                    memory_kb=section.memory_kb,
                    run_memory_factor=section.run_factor,
                    idempotency_entry_kb=section.ref_kb,
                    max_concurrency_per_core=section.falls_at,
                    is_cold_start=not warm,
                    slow_start_from=section.cold_from,
                    slow_start_ms=section.cold_s * 1000,
                    drain_grace_ms=section.grace_ms,
                    clock_tick_ms=4.0,
                    load_signal=LoadSignal(section.say),
                    limits=Limits(max_retry_after_ms=section.away_most_ms),
                    max_idle_timeout_ms=math.inf,
                    can_stop_requests=False,
                    downstream=DownstreamKind.TIER,
                    downstream_quota_window_ms=0.0,
                    downstream_linger_ms=0.0,
                    uptime_ms=up_ms,
                ),
                instance=instance,
                seed=seed,
            )
            controller.start()
            return controller

        return create


def convert(values: Any, kind: type[Any], source: str) -> Any:
    """Converts decoded TOML to `kind`. Raises InvalidInputError with the location that msgspec reports."""
    try:
        return msgspec.convert(values, kind)
    except msgspec.ValidationError as error:
        problem, _, location = str(error).partition(" - at `")
        key = location.rstrip("`").lstrip("$").lstrip(".")
        raise InvalidInputError(": ".join(filter(None, (source, key, problem)))) from None


def site_of(values: dict[str, Any], source: str) -> Site:
    """Converts a site's decoded TOML and checks it. Raises InvalidInputError; `source` names the file in its
    message."""
    site: Site = convert(values, Site, source)
    for n, product in enumerate(site.product, 1):
        if product.sla_ms > product.expiry_ms:
            raise InvalidInputError(f"{source}: product[{n}].sla_ms: {product.sla_ms:g} is above expiry_ms")
        if product.effect == "referenced" and product.window_ms <= 0:
            raise InvalidInputError(
                f"{source}: product[{n}].window_ms: must be above 0 for a referenced product"
            )
    names = [product.name for product in site.product]
    if len(set(names)) != len(names):
        raise InvalidInputError(f"{source}: product: two products have the same name")
    return site
