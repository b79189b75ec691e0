"""A policy: one TOML text, the same for all servers, parsed whole and checked by each against its own
configuration. Form: the commented deploy/policy.toml.

A key that this program does not know is an error that names it: a server with an older program says no to a
change, it does not pass over what it can't enforce."""

import tomllib
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from otterrudder.admission.factory import downstream_kind_of, limits_of, request_classes_of, tenants_of
from otterrudder.admission.interface import DownstreamKind, Limits, RequestClass, Tenant
from otterrudder.files import convert
from otterrudder.levels import LevelTable, LevelTableError, build_table

VERSION = 1  # of the form


class InvalidPolicyError(Exception):
    """What is wrong with a policy, in one line that names the key."""


EMPTY_POLICY = f"version = {VERSION}"  # says nothing: all is as each server's configuration has it
VALUE_MOST = 1e9  # of a product; a larger one is a slip
STAY_AWAY_MOST_MS = 3_600_000.0
CALLS_MOST = 1e6  # calls in hand at a service below, in the mean, of the whole fleet
PER_S_MOST = 1e7  # requests a second of a tenant, in the whole fleet


@dataclass(frozen=True, slots=True)
class Content:
    """What a policy says, ready for a server; what it does not name is as in the server's configuration."""

    levels: LevelTable | None
    products: list[RequestClass]
    tenants: list[Tenant]
    limits: Limits


@dataclass(frozen=True, slots=True)
class LocalConfiguration:
    """What a server's own configuration says, against which a policy is checked. `limits`: None where it is
    not known; `servers`: of the fleet; `shares_below`: what lies below is one service for all servers."""

    products: Sequence[RequestClass]
    tenants: Sequence[Tenant]
    servers: int = 1
    limits: Limits | None = None
    shares_below: bool = True


def local_configuration_of(settings: dict[str, Any]) -> LocalConfiguration:
    """Of the settings in a server's configuration."""
    return LocalConfiguration(
        request_classes_of(settings),
        tenants_of(settings),
        max(settings.get("servers") or 1, 1),
        limits_of(settings),
        downstream_kind_of(settings) is DownstreamKind.SHARED,
    )


class _Product(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    value: float | None = None
    late_value: float | None = None


class _Tenant(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    per_s: float


class _Limits(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    stay_away_ms: float | None = None
    over_share_value: float | None = None


class _Budgets(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    calls: float | None = None


class _Policy(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    version: int
    levels: dict[str, Any] | None = None
    products: dict[str, _Product] = {}
    tenants: dict[str, _Tenant] = {}
    limits: _Limits = _Limits()
    budgets: _Budgets = _Budgets()


def parse(text: str, own: LocalConfiguration) -> Content:
    """InvalidPolicyError says what is wrong, by the key."""
    products, tenants = own.products, own.tenants
    try:
        whole = tomllib.loads(text)
    except tomllib.TOMLDecodeError as why:
        raise InvalidPolicyError(f"not TOML: {why}") from None
    told: _Policy = convert(whole, _Policy, "policy", InvalidPolicyError)
    if told.version != VERSION:
        raise InvalidPolicyError(f"version: this program reads {VERSION}, not {told.version}")
    valued = [_valued(product, told.products.get(product.name)) for product in products]
    for name in told.products.keys() - {product.name for product in products}:
        raise InvalidPolicyError(f"products.{name}: no product is named so")
    shared = [_shared(tenant, told.tenants.get(tenant.name), own.servers) for tenant in tenants]
    for name in told.tenants.keys() - {tenant.name for tenant in tenants}:
        raise InvalidPolicyError(f"tenants.{name}: no tenant is named so")
    try:
        levels = None if told.levels is None else build_table(told.levels, products, tenants)
    except LevelTableError as trouble:
        raise InvalidPolicyError(f"levels.{trouble}") from None
    return Content(levels, valued, shared, _limited(told, own))


def _valued(product: RequestClass, told: _Product | None) -> RequestClass:
    if told and told.value is not None:
        product = replace(
            product, priority_weight=_within(told.value, VALUE_MOST, f"products.{product.name}.value")
        )
    if told and told.late_value is not None:
        late_value = _within(told.late_value, 1.0, f"products.{product.name}.late_value")
        product = replace(product, late_weight_factor=late_value)
    return product


def _shared(tenant: Tenant, told: _Tenant | None, servers: int) -> Tenant:
    """A tenant's requests a second are the fleet's; each server holds it to an even part."""
    if told is None:
        return tenant
    per_s = _within(told.per_s, PER_S_MOST, f"tenants.{tenant.name}.per_s")
    return replace(tenant, quota_per_ms=per_s / 1000 / servers)


def _limited(told: _Policy, own: LocalConfiguration) -> Limits:
    """Limits are one server's, budgets the fleet's: each server has an even part."""
    limits = own.limits or Limits(max_retry_after_ms=STAY_AWAY_MOST_MS)
    found = limits
    if (away := told.limits.stay_away_ms) is not None:
        if _within(away, STAY_AWAY_MOST_MS, "limits.stay_away_ms") > limits.max_retry_after_ms:
            raise InvalidPolicyError(
                f"limits.stay_away_ms: {away:g} is more than callers honour here, "
                f"{limits.max_retry_after_ms:g}"
            )
        found = replace(found, max_retry_after_ms=away)
    if (share := told.limits.over_share_value) is not None:
        found = replace(found, over_quota_weight_factor=_within(share, 1.0, "limits.over_share_value"))
    if (calls := told.budgets.calls) is not None:
        if not own.shares_below:
            raise InvalidPolicyError("budgets.calls: here no service lies below that all servers share")
        found = replace(
            found, downstream_call_quota=_within(calls, CALLS_MOST, "budgets.calls") / own.servers
        )
    return found


def _within(value: float, most: float, key: str) -> float:
    if not 0.0 <= value <= most:  # NaN is neither
        raise InvalidPolicyError(f"{key}: {value:g} is not from 0 to {most:g}")
    return value
