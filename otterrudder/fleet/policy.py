"""A policy: one TOML text, the same for all servers, parsed whole and checked by each against its own
configuration. Form: the commented deploy/policy.toml.

A key that this program does not know is an error that names it: a server with an older program rejects a
change, it does not ignore what it can't enforce."""

import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from otterrudder.admission.factory import (
    parse_downstream_kind,
    parse_limits,
    parse_request_classes,
    parse_tenants,
)
from otterrudder.admission.interface import DownstreamKind, Limits, RequestClass, Tenant
from otterrudder.files import convert
from otterrudder.levels import LevelTable, LevelTableError, build_table

VERSION = 1  # of the form


class InvalidPolicyError(Exception):
    """What is wrong with a policy, in one line that names the key."""


EMPTY_POLICY = f"version = {VERSION}"  # sets nothing: all is as each server's configuration has it
MAX_VALUE = 1e9  # of a product; a larger one is a mistake
MAX_RETRY_AFTER_MS = 3_600_000.0
MAX_CALLS = 1e6  # calls under way at the downstream service, in the mean, of the whole fleet
MAX_PER_S = 1e7  # requests a second of a tenant, in the whole fleet


@dataclass(frozen=True, slots=True)
class Content:
    """A parsed policy, ready for a server; what it does not name is as in the server's configuration."""

    levels: LevelTable | None
    products: list[RequestClass]
    tenants: list[Tenant]
    limits: Limits


@dataclass(frozen=True, slots=True)
class LocalConfiguration:
    """What a server's own configuration says, against which a policy is checked. `limits`: None where it is
    not known; `servers`: of the fleet; `shares_below`: the downstream service is one for all servers."""

    products: Sequence[RequestClass]
    tenants: Sequence[Tenant]
    servers: int = 1
    limits: Limits | None = None
    shares_below: bool = True


def local_configuration_of(settings: dict[str, Any]) -> LocalConfiguration:
    """Of the settings in a server's configuration."""
    return LocalConfiguration(
        parse_request_classes(settings),
        parse_tenants(settings),
        max(settings.get("servers") or 1, 1),
        parse_limits(settings),
        parse_downstream_kind(settings) is DownstreamKind.SHARED,
    )


class _RequestClassTable(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    value: float | None = None
    late_value: float | None = None


class _TenantTable(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    per_s: float


class _LimitsTable(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    max_retry_after_ms: float | None = msgspec.field(default=None, name="stay_away_ms")
    over_share_value: float | None = None


class _BudgetsTable(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    calls: float | None = None


class _PolicyTable(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    version: int
    levels: dict[str, Any] | None = None
    products: dict[str, _RequestClassTable] = {}
    tenants: dict[str, _TenantTable] = {}
    limits: _LimitsTable = _LimitsTable()
    budgets: _BudgetsTable = _BudgetsTable()


def parse(text: str, own: LocalConfiguration) -> Content:
    """InvalidPolicyError says what is wrong, by the key."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidPolicyError(f"not TOML: {error}") from None
    table: _PolicyTable = convert(document, _PolicyTable, "policy", InvalidPolicyError)
    if table.version != VERSION:
        raise InvalidPolicyError(f"version: this program reads {VERSION}, not {table.version}")
    request_classes = [_request_class(one, table.products.get(one.name)) for one in own.products]
    _check_names("products", table.products, [one.name for one in own.products])
    tenants = [_tenant(one, table.tenants.get(one.name), own.servers) for one in own.tenants]
    _check_names("tenants", table.tenants, [one.name for one in own.tenants])
    try:
        levels = None if table.levels is None else build_table(table.levels, own.products, own.tenants)
    except LevelTableError as error:
        raise InvalidPolicyError(f"levels.{error}") from None
    return Content(levels, request_classes, tenants, _limits(table, own))


def _check_names(key: str, table: Mapping[str, object], known: Sequence[str]) -> None:
    for name in table.keys() - set(known):
        raise InvalidPolicyError(f"{key}.{name}: no {key.removesuffix('s')} is named so")


def _request_class(request_class: RequestClass, table: _RequestClassTable | None) -> RequestClass:
    """With the values that the policy sets."""
    key = f"products.{request_class.name}"
    if table and table.value is not None:
        weight = _within(table.value, MAX_VALUE, f"{key}.value")
        request_class = replace(request_class, priority_weight=weight)
    if table and table.late_value is not None:
        late_value = _within(table.late_value, 1.0, f"{key}.late_value")
        request_class = replace(request_class, late_weight_factor=late_value)
    return request_class


def _tenant(tenant: Tenant, table: _TenantTable | None, servers: int) -> Tenant:
    """A tenant's requests a second are the fleet's; each server holds it to an even part."""
    if table is None:
        return tenant
    per_s = _within(table.per_s, MAX_PER_S, f"tenants.{tenant.name}.per_s")
    return replace(tenant, quota_per_ms=per_s / 1000 / servers)


def _limits(table: _PolicyTable, own: LocalConfiguration) -> Limits:
    """Limits are one server's, budgets the fleet's: each server has an even part."""
    limits = own.limits or Limits(max_retry_after_ms=MAX_RETRY_AFTER_MS)
    if (retry_after_ms := table.limits.max_retry_after_ms) is not None:
        limits = _with_retry_after(limits, retry_after_ms)
    if (factor := table.limits.over_share_value) is not None:
        factor = _within(factor, 1.0, "limits.over_share_value")
        limits = replace(limits, over_quota_weight_factor=factor)
    if (calls := table.budgets.calls) is not None:
        if not own.shares_below:
            raise InvalidPolicyError("budgets.calls: here no service lies below that all servers share")
        calls = _within(calls, MAX_CALLS, "budgets.calls")
        limits = replace(limits, downstream_call_quota=calls / own.servers)
    return limits


def _with_retry_after(limits: Limits, retry_after_ms: float) -> Limits:
    key, honoured_ms = "limits.stay_away_ms", limits.max_retry_after_ms
    if _within(retry_after_ms, MAX_RETRY_AFTER_MS, key) > honoured_ms:
        raise InvalidPolicyError(
            f"{key}: {retry_after_ms:g} is more than callers honour here, {honoured_ms:g}"
        )
    return replace(limits, max_retry_after_ms=retry_after_ms)


def _within(value: float, maximum: float, key: str) -> float:
    if not 0.0 <= value <= maximum:  # NaN is neither
        raise InvalidPolicyError(f"{key}: {value:g} is not from 0 to {maximum:g}")
    return value
