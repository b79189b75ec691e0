"""Parses policies. A policy is one TOML text for all servers; each server checks the whole text against its
own configuration. deploy/policy.toml describes the format.

An unknown key is an error that names the key, so a server with an older program rejects a change instead of
ignoring settings that it can't enforce."""

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

VERSION = 1  # version of the file format


class InvalidPolicyError(Exception):
    """A policy is invalid; the message is one line that names the key."""


EMPTY_POLICY = f"version = {VERSION}"  # sets nothing, so each server uses its own configuration
MAX_VALUE = 1e9  # maximum value of a product; a larger one is assumed to be a mistake
MAX_RETRY_AFTER_MS = 3_600_000.0
MAX_CALLS = 1e6  # maximum mean number of concurrent downstream calls of the whole fleet
MAX_PER_S = 1e7  # maximum rate of a tenant over the whole fleet, in requests/s


@dataclass(frozen=True, slots=True)
class PolicyContent:
    """A parsed policy, merged with a server's configuration, which supplies all values that the policy does
    not set."""

    levels: LevelTable | None
    products: list[RequestClass]
    tenants: list[Tenant]
    limits: Limits


@dataclass(frozen=True, slots=True)
class LocalConfiguration:
    """The parts of a server's own configuration that a policy is checked against.

    `servers` is the number of servers in the fleet, `limits` is None where the limits are not known, and
    `has_shared_downstream` is true if all servers share one downstream service."""

    products: Sequence[RequestClass]
    tenants: Sequence[Tenant]
    servers: int = 1
    limits: Limits | None = None
    has_shared_downstream: bool = True


def local_configuration_of(settings: dict[str, Any]) -> LocalConfiguration:
    """Returns the local configuration that a policy is checked against, from a server's settings."""
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


def parse(text: str, local: LocalConfiguration) -> PolicyContent:
    """Parses a policy and merges it with the server's configuration. Raises InvalidPolicyError, which names
    the key, if the policy is invalid for this server."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidPolicyError(f"not TOML: {error}") from None
    table: _PolicyTable = convert(document, _PolicyTable, "policy", InvalidPolicyError)
    if table.version != VERSION:
        raise InvalidPolicyError(f"version: this program reads {VERSION}, not {table.version}")
    request_classes = [
        _request_class(product, table.products.get(product.name)) for product in local.products
    ]
    _check_names("products", table.products, [product.name for product in local.products])
    tenants = [_tenant(tenant, table.tenants.get(tenant.name), local.servers) for tenant in local.tenants]
    _check_names("tenants", table.tenants, [tenant.name for tenant in local.tenants])
    try:
        levels = None if table.levels is None else build_table(table.levels, local.products, local.tenants)
    except LevelTableError as error:
        raise InvalidPolicyError(f"levels.{error}") from None
    return PolicyContent(levels, request_classes, tenants, _limits(table, local))


def _check_names(key: str, table: Mapping[str, object], configured_names: Sequence[str]) -> None:
    for name in table.keys() - set(configured_names):
        raise InvalidPolicyError(f"{key}.{name}: no {key.removesuffix('s')} has this name")


def _request_class(request_class: RequestClass, table: _RequestClassTable | None) -> RequestClass:
    """Returns the request class with the values that the policy sets."""
    key = f"products.{request_class.name}"
    if table and table.value is not None:
        weight = _within(table.value, MAX_VALUE, f"{key}.value")
        request_class = replace(request_class, priority_weight=weight)
    if table and table.late_value is not None:
        late_value = _within(table.late_value, 1.0, f"{key}.late_value")
        request_class = replace(request_class, late_weight_factor=late_value)
    return request_class


def _tenant(tenant: Tenant, table: _TenantTable | None, servers: int) -> Tenant:
    """Returns the tenant with its share of the policy's quota: the quota is for the whole fleet, and each
    server enforces an equal part of it."""
    if table is None:
        return tenant
    per_s = _within(table.per_s, MAX_PER_S, f"tenants.{tenant.name}.per_s")
    return replace(tenant, quota_per_ms=per_s / 1000 / servers)


def _limits(table: _PolicyTable, local: LocalConfiguration) -> Limits:
    """Returns the server's limits. The policy's `limits` apply to each server, its `budgets` to the whole
    fleet: each server gets an equal part of a budget."""
    limits = local.limits or Limits(max_retry_after_ms=MAX_RETRY_AFTER_MS)
    if (retry_after_ms := table.limits.max_retry_after_ms) is not None:
        limits = _with_retry_after(limits, retry_after_ms)
    if (factor := table.limits.over_share_value) is not None:
        factor = _within(factor, 1.0, "limits.over_share_value")
        limits = replace(limits, over_quota_weight_factor=factor)
    if (calls := table.budgets.calls) is not None:
        if not local.has_shared_downstream:
            raise InvalidPolicyError("budgets.calls: the servers do not share one downstream service")
        calls = _within(calls, MAX_CALLS, "budgets.calls")
        limits = replace(limits, downstream_call_quota=calls / local.servers)
    return limits


def _with_retry_after(limits: Limits, retry_after_ms: float) -> Limits:
    key, honoured_ms = "limits.stay_away_ms", limits.max_retry_after_ms
    if _within(retry_after_ms, MAX_RETRY_AFTER_MS, key) > honoured_ms:
        raise InvalidPolicyError(
            f"{key}: {retry_after_ms:g} is above {honoured_ms:g}, the longest delay that callers honour"
        )
    return replace(limits, max_retry_after_ms=retry_after_ms)


def _within(value: float, maximum: float, key: str) -> float:
    if not 0.0 <= value <= maximum:  # rejects NaN as well
        raise InvalidPolicyError(f"{key}: {value:g} is not between 0 and {maximum:g}")
    return value
