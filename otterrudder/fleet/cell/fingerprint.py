"""The fingerprint of a server: a digest of everything that its validation of a policy depends on.

Servers with equal fingerprints have the same validation results, so a relay asks only one of them."""

from hashlib import blake2b
from typing import Any

import msgspec

from otterrudder import __version__
from otterrudder.admission.interface import Limits, RequestClass, Tenant
from otterrudder.fleet.policy import LocalConfiguration

FINGERPRINT_BYTES = 16


def server_fingerprint(own: LocalConfiguration, program: str = __version__) -> str:
    """Returns the fingerprint of a server with this configuration and program version."""
    canonical = msgspec.msgpack.encode((program, _configuration_fields(own)))
    return blake2b(canonical, digest_size=FINGERPRINT_BYTES).hexdigest()


# The keys and their order are part of the digest, so they must not change when attributes are renamed: a
# release that changed them would change every fingerprint, and relays would have to ask its servers again.


def _configuration_fields(own: LocalConfiguration) -> dict[str, Any]:
    return {
        "products": [_request_class_fields(request_class) for request_class in own.products],
        "tenants": [_tenant_fields(tenant) for tenant in own.tenants],
        "servers": own.servers,
        "limits": None if own.limits is None else _limits_fields(own.limits),
        "shares_below": own.has_shared_downstream,
    }


def _request_class_fields(request_class: RequestClass) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "effect": request_class.idempotency,
        "value": request_class.priority_weight,
        "sla_ms": request_class.latency_objective_ms,
        "expiry_ms": request_class.deadline_ms,
        "window_ms": request_class.retention_ms,
        "late_value": request_class.late_weight_factor,
        "calls": request_class.may_call,
        "omit_value": request_class.skip_weight_factor,
    }


def _tenant_fields(tenant: Tenant) -> dict[str, Any]:
    return {"name": tenant.name, "share": tenant.quota, "per_ms": tenant.quota_per_ms}


def _limits_fields(limits: Limits) -> dict[str, Any]:
    return {
        "stay_away_ms": limits.max_retry_after_ms,
        "calls": limits.downstream_call_quota,
        "over_value": limits.over_quota_weight_factor,
    }
