"""Creates an admission controller from the settings object that a server is given at its start.

Durations in the settings are microseconds. A key that is absent or null has its default."""

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

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

Settings = Mapping[str, Any]

DEFAULT_DEADLINE_US = 1e6
DEFAULT_CLOCK_TICK_US = 1000

_IDEMPOTENCY = {
    "safe": Idempotency.SAFE,
    "keyed": Idempotency.IDEMPOTENT,
    "unsafe": Idempotency.NON_IDEMPOTENT,
}
_LOAD_SIGNALS = {"min_rank": LoadSignal.CRITICALITY, "tokens": LoadSignal.CREDIT}
_DOWNSTREAM_KINDS = {"common": DownstreamKind.SHARED, "next_hop": DownstreamKind.TIER}
_GAUGES = {
    "core_use": "busy",
    "on_cores": "on_cores",
}  # gauge name to parameter of `AdmissionController.tick`
_STOP_MODES = ("drop", "pause")  # modes in which a running request can be stopped


def create_controller(
    now: float, instance: int, seed: int, settings: Settings, **overrides: Any
) -> AdmissionController:
    """Creates and starts a controller. `overrides` replaces fields of its `ControllerSettings`."""
    controller_settings = replace(parse_controller_settings(settings), **overrides)
    controller = AdmissionController(now, controller_settings, instance=instance, seed=seed)
    controller.start()
    return controller


def parse_controller_settings(settings: Settings) -> ControllerSettings:
    """Returns the controller's settings from the settings object."""
    family = _section(settings, "familyInfo")
    rules = _section(settings, "rules")
    return ControllerSettings(
        request_classes=parse_request_classes(settings),
        tenants=parse_tenants(settings),
        limits=parse_limits(settings),
        cores=family.get("cores") or 1,
        memory_kb=family.get("memoryKb") or 0.0,
        run_memory_factor=family.get("runFactor") or 1.0,
        idempotency_entry_kb=family.get("keyKb") or 0.0,
        can_stop_requests=can_stop_requests(settings),
        max_concurrency_per_core=rules.get("fallMultiple") or 1.0,
        is_cold_start=bool(family.get("freshStart")),
        slow_start_from=rules.get("coldFrom") or 0.0,
        slow_start_ms=_duration_ms(rules, "coldUs"),
        clock_tick_ms=_duration_ms(settings, "tickUs", DEFAULT_CLOCK_TICK_US),
        drain_grace_ms=_duration_ms(rules, "drainGraceUs"),
        callers=family.get("callers") or 1,
        load_signal=_LOAD_SIGNALS.get(family.get("say", ""), LoadSignal.NONE),
        max_idle_timeout_ms=_duration_ms(family, "callerIdleUs"),
        are_retries_marked=_section(settings, "clients").get("marksRetry") is not False,
        downstream=parse_downstream_kind(settings),
        downstream_quota_window_ms=_duration_ms(family, "depWindowUs"),
        downstream_linger_ms=_duration_ms(family, "lingerUs"),
    )


def parse_request_classes(settings: Settings) -> list[RequestClass]:
    """Returns the request classes. A request refers to its class by the index in this list."""
    family = _section(settings, "familyInfo")
    may_call = family.get("classCalls") or []
    skip_weight_factors = family.get("classSkipWorth") or []
    return [
        RequestClass(
            name=fields.get("name") or str(index),
            idempotency=_IDEMPOTENCY.get(fields.get("effect", ""), Idempotency.NON_IDEMPOTENT),
            priority_weight=fields.get("worth") or 0.0,
            latency_objective_ms=_duration_ms(
                fields, "promiseUs", fields.get("hardLimitUs") or DEFAULT_DEADLINE_US
            ),
            deadline_ms=_duration_ms(fields, "hardLimitUs", DEFAULT_DEADLINE_US),
            retention_ms=_duration_ms(fields, "windowUs"),
            late_weight_factor=fields.get("lateWorth") or 0.0,
            may_call=bool(may_call[index]) if index < len(may_call) else False,
            skip_weight_factor=(
                skip_weight_factors[index] or 0.0 if index < len(skip_weight_factors) else 0.0
            ),
        )
        for index, fields in enumerate(settings.get("classes") or [])
    ]


def parse_tenants(settings: Settings) -> list[Tenant]:
    """Returns the tenants. A request refers to its tenant by the index in this list.

    Each quota is divided evenly among the servers."""
    servers = max(settings.get("servers") or 1, 1)
    return [
        Tenant(
            name=fields.get("name") or "",
            quota=fields.get("share") or 0.0,
            quota_per_ms=(fields.get("allowancePerS") or 0.0) / 1000 / servers,
        )
        for fields in settings.get("realms") or []
    ]


def parse_limits(settings: Settings) -> Limits:
    """Returns the limits that a server starts with."""
    limits = _section(settings, "limits")
    return Limits(
        max_retry_after_ms=_duration_ms(limits, "maxRetryAfterUs") if limits.get("retryAfter") else 0.0,
        downstream_call_quota=_section(settings, "familyInfo").get("callsOut") or 0.0,
        over_quota_weight_factor=settings.get("overShareWorth") or 0.0,
    )


def parse_downstream_kind(settings: Settings) -> DownstreamKind:
    """Returns the kind of downstream of the server."""
    return _DOWNSTREAM_KINDS.get(_section(settings, "familyInfo").get("below", ""), DownstreamKind.NONE)


def can_stop_requests(settings: Settings) -> bool:
    """Returns whether a running request can be stopped."""
    return _section(settings, "familyInfo").get("stopMode") in _STOP_MODES


def gauge_names(settings: Settings) -> list[str]:
    """Returns the parameter of `tick` for each gauge, in order. The name of an unused gauge is empty."""
    return [_GAUGES.get(name, "") for name in _section(settings, "familyInfo").get("gauges") or []]


def _section(settings: Settings, name: str) -> Settings:
    return settings.get(name) or {}


def _duration_ms(table: Settings, name: str, default_us: float = 0) -> float:
    value_us = table.get(name)
    return (default_us if value_us is None else value_us) / 1000
