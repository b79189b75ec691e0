"""From the settings object, as a server is told it at its start, to an AdmissionController: for drill and
server alike."""

from collections.abc import Mapping
from typing import Any

from otterrudder.admission.controller import AdmissionController
from otterrudder.admission.interface import Idempotency, Limits, RequestClass, Tenant

_EFFECTS = {"safe": Idempotency.SAFE, "keyed": Idempotency.IDEMPOTENT, "unsafe": Idempotency.NON_IDEMPOTENT}
_SAY = {"min_rank": "rank", "tokens": "credit"}  # a bias is left unsaid: no deployment has it
_GAUGES = {"core_use": "busy", "on_cores": "on_cores"}
_BELOW = {"common": "shared", "next_hop": "tier"}


def _ms(table: Mapping[str, Any], name: str, default_us: float = 0) -> float:
    value = table.get(name)
    return (default_us if value is None else value) / 1000


def request_classes_of(settings: Mapping[str, Any]) -> list[RequestClass]:
    info = settings.get("familyInfo") or {}
    calls, omits = info.get("classCalls") or [], info.get("classSkipWorth") or []
    return [
        RequestClass(
            name=c.get("name") or str(n),
            idempotency=_EFFECTS.get(c.get("effect", ""), Idempotency.NON_IDEMPOTENT),
            priority_weight=c.get("worth") or 0.0,
            latency_objective_ms=_ms(c, "promiseUs", c.get("hardLimitUs") or 1e6),
            deadline_ms=_ms(c, "hardLimitUs", 1e6),
            retention_ms=_ms(c, "windowUs"),
            late_weight_factor=c.get("lateWorth") or 0.0,
            may_call=bool(calls[n]) if n < len(calls) else False,
            skip_weight_factor=(omits[n] or 0.0) if n < len(omits) else 0.0,
        )
        for n, c in enumerate(settings.get("classes") or [])
    ]


def tenants_of(settings: Mapping[str, Any]) -> list[Tenant]:
    servers = max(settings.get("servers") or 1, 1)
    return [
        Tenant(r.get("name") or "", r.get("share") or 0.0, (r.get("allowancePerS") or 0.0) / 1000 / servers)
        for r in settings.get("realms") or []
    ]


def limits_of(settings: Mapping[str, Any]) -> Limits:
    told = settings.get("limits") or {}
    return Limits(
        _ms(told, "maxRetryAfterUs") if told.get("retryAfter") else 0.0,
        (settings.get("familyInfo") or {}).get("callsOut") or 0.0,
        settings.get("overShareWorth") or 0.0,
    )


def downstream_kind_of(settings: Mapping[str, Any]) -> str:
    """What lies below: "shared", one service for all servers; "tier"; "": nothing."""
    return _BELOW.get((settings.get("familyInfo") or {}).get("below", ""), "")


def can_stop_requests(settings: Mapping[str, Any]) -> bool:
    """Whether running work can be stopped: a stop of an answered request ends it where work is paused as
    well."""
    return (settings.get("familyInfo") or {}).get("stopMode") in ("drop", "pause")


def gauge_names(settings: Mapping[str, Any]) -> list[str]:
    """In the order in which a ring brings them; empty where the module has no use for one."""
    return [_GAUGES.get(name, "") for name in (settings.get("familyInfo") or {}).get("gauges") or []]


def create_controller(
    now: float, instance: int, seed: int, settings: Mapping[str, Any], **told: object
) -> AdmissionController:
    """`told`: what this start knows better than the settings, by the AdmissionController's own names."""
    info, rules = settings.get("familyInfo") or {}, settings.get("rules") or {}
    facts: dict[str, Any] = dict(
        request_classes=request_classes_of(settings),
        tenants=tenants_of(settings),
        cores=info.get("cores") or 1,
        callers=info.get("callers") or 1,
        memory_kb=info.get("memoryKb") or 0.0,
        run_factor=info.get("runFactor") or 1.0,
        idempotency_entry_kb=info.get("keyKb") or 0.0,
        crowd_per_core=rules.get("fallMultiple") or 1.0,
        is_cold_start=bool(info.get("freshStart")),
        cold_from=rules.get("coldFrom") or 0.0,
        cold_ms=_ms(rules, "coldUs"),
        drain_grace_ms=_ms(rules, "drainGraceUs"),
        tick_ms=_ms(settings, "tickUs", 1000),
        say=_SAY.get(info.get("say", ""), ""),
        limits=limits_of(settings),
        idle_max_ms=_ms(info, "callerIdleUs"),
        can_stop_requests=can_stop_requests(settings),
        below=downstream_kind_of(settings),
        calls_span_ms=_ms(info, "depWindowUs"),
        linger_ms=_ms(info, "lingerUs"),
        marks_retry=(settings.get("clients") or {}).get("marksRetry") is not False,
    )
    controller = AdmissionController(now, instance=instance, seed=seed, **(facts | told))
    controller.start()
    return controller
