"""A site of the lab's own: what its TOML file says, checked whole, and what the module is told of it."""

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
    """What is wrong with a file of the lab, in one line that names the file and the key."""


class _Strict(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    pass


class ProductSection(_Strict, kw_only=True, frozen=True):
    """A product and what its requests are like."""

    name: str
    share: Positive
    work_ms: Positive  # mean on a core of speed 1
    cv: Positive = 0.8  # of the lognormal work
    sla_ms: Positive
    expiry_ms: Positive
    value: Positive = 1.0
    late_value: Share = 0.0
    effect: Literal["inquiry-like", "referenced", "once-only"] = "inquiry-like"
    window_ms: float = 0.0
    calls: Annotated[int, msgspec.Meta(ge=0)] = 0
    omit_value: Share = 0.0
    has_key: bool = True  # names its user


class TenantSection(_Strict, kw_only=True, frozen=True):
    """A tenant and its share of the load."""

    name: str
    share: Positive


class ServerSection(_Strict, kw_only=True, frozen=True):
    """One kind for all, but for speed."""

    count: Count = 2
    cores: Count = 4
    speed: tuple[Positive, ...] = (1.0,)  # of a core, given to the servers in turn
    crowd_at: Positive = 1.3  # runs a core from which on a crowd costs
    crowd_loss: float = 0.7  # share of the whole lost for each run a core beyond
    falls_at: Positive = 8.0  # runs a core in the mean of 2 s at which one dies; less while cold
    read_share: Share = 0.25  # of the mean work: the cost of a read, whatever is then decided
    cold_from: Share = 0.3  # of its speed a fresh server has
    cold_s: float = 10.0
    memory_runs: Positive = 14.0  # running requests a core that fill the memory
    run_factor: Positive = 16.0
    held_kb: Positive = 40.0
    ref_kb: float = 20.0
    grace_ms: float = 2500.0  # of a drain: what arrives later is not run
    stop_ms: float = 5000.0  # from the notice to leave to the stop
    away_most_ms: float = 1000.0
    say: Literal["", "credit", "rank"] = "credit"

    @property
    def memory_kb(self) -> float:
        """The limit of a server's memory."""
        return self.held_kb * self.run_factor * self.memory_runs * self.cores


class DownstreamSection(_Strict, kw_only=True, frozen=True):
    """The records tier: so many calls at a time, the rest wait in a bounded line."""

    slots: Count = 12
    call_ms: Positive = 40.0
    cv: Positive = 0.6
    line: Count = 40


class GatewaysSection(_Strict, kw_only=True, frozen=True):
    """What stands in front. Shares are of the gateways: the first so many have the habit."""

    count: Count = 4
    choose: Literal["round", "subject", "least"] = "round"
    tries: Count = 2
    # of the expiry: the longest that a try may take
    try_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 1.0
    heeds_away: Share = 0.5
    heeds_stop: Share = 0.5
    heeds_load: Share = 0.0
    marks: bool = True  # further tries are marked
    notice_ms: float = 1500.0  # until they hear that a server comes or goes
    leaves: Share = 0.0  # of the callers that go away half-way
    net_ms: float = 0.5  # one way


class Site(_Strict, kw_only=True, frozen=True):
    """A site's file: request classes, tenants, servers, gateways and the downstream service."""

    product: Annotated[list[ProductSection], msgspec.Meta(min_length=1)]
    tenant: list[TenantSection] = []
    server: ServerSection = ServerSection()
    below: DownstreamSection = DownstreamSection()
    gateways: GatewaysSection = GatewaysSection()
    keys: Count = 5000  # distinct users
    zipf: float = 0.8  # how much more some come than others
    # requests of a session that goes on as each settles
    session_mean: Annotated[float, msgspec.Meta(ge=1)] | None = None
    keys_known: bool = True  # whether servers are told them

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
        """Mean work of a request, on a core of speed 1."""
        whole = sum(p.share for p in self.product)
        return sum(p.share / whole * p.work_ms for p in self.product)

    @property
    def read_ms(self) -> float:
        """Work of reading a request."""
        return self.server.read_share * self.mean_work_ms

    @property
    def capacity(self) -> float:
        """Txns a ms that all cores can read and run, with no crowd."""
        speeds = [self.server.speed[n % len(self.server.speed)] for n in range(self.server.count)]
        return self.server.cores * sum(speeds) / (self.mean_work_ms + self.read_ms)

    def create_controller(
        self, instance: int, seed: int
    ) -> Callable[[float, bool, float], AdmissionController]:
        """What a core makes its AdmissionController with: create_controller(now, warm, up_ms)."""
        s = self.server

        def make(now: float, warm: bool, up_ms: float) -> AdmissionController:
            controller = AdmissionController(
                now,
                ControllerSettings(
                    request_classes=self.products,
                    tenants=self.tenants,
                    cores=s.cores,
                    callers=self.gateways.count,
                    memory_kb=s.memory_kb,
                    run_memory_factor=s.run_factor,
                    idempotency_entry_kb=s.ref_kb,
                    max_concurrency_per_core=s.falls_at,
                    is_cold_start=not warm,
                    slow_start_from=s.cold_from,
                    slow_start_ms=s.cold_s * 1000,
                    drain_grace_ms=s.grace_ms,
                    clock_tick_ms=4.0,
                    load_signal=LoadSignal(s.say),
                    limits=Limits(max_retry_after_ms=s.away_most_ms),
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

        return make


def convert(told: Any, kind: type[Any], where: str) -> Any:
    """`told` as `kind`; InvalidInputError names the place as msgspec knows it."""
    try:
        return msgspec.convert(told, kind)
    except msgspec.ValidationError as error:
        what, _, at = str(error).partition(" - at `")
        key = at.rstrip("`").lstrip("$").lstrip(".")
        raise InvalidInputError(": ".join(filter(None, (where, key, what)))) from None


def site_of(told: dict[str, Any], where: str) -> Site:
    """A site from its decoded TOML."""
    site: Site = convert(told, Site, where)
    for n, product in enumerate(site.product, 1):
        if product.sla_ms > product.expiry_ms:
            raise InvalidInputError(f"{where}: product[{n}].sla_ms: {product.sla_ms:g} is above expiry_ms")
        if product.effect == "referenced" and product.window_ms <= 0:
            raise InvalidInputError(f"{where}: product[{n}].window_ms: a referenced product needs one")
    names = [product.name for product in site.product]
    if len(set(names)) != len(names):
        raise InvalidInputError(f"{where}: product: a name stands twice")
    return site
