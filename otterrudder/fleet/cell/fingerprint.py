"""The fingerprint of a server: a digest of all that its validation of a policy depends on.

Servers with equal fingerprints come to the same result, so a relay asks one of them for all."""

from hashlib import blake2b
from typing import Any

import msgspec

from otterrudder import __version__
from otterrudder.admission.interface import Limits, RequestClass, Tenant
from otterrudder.fleet.policy import Own

FINGERPRINT_BYTES = 16


def server_fingerprint(own: Own, program: str = __version__) -> str:
    """Of a server's own configuration and its program's version."""
    canonical = msgspec.msgpack.encode((program, _configuration_fields(own)))
    return blake2b(canonical, digest_size=FINGERPRINT_BYTES).hexdigest()


# The keys and their order are part of the digest, so they stay as they are when attributes are renamed: a
# release that writes others would have each of its servers asked anew.


def _configuration_fields(own: Own) -> dict[str, Any]:
    return {
        "products": [_request_class_fields(request_class) for request_class in own.products],
        "tenants": [_tenant_fields(tenant) for tenant in own.tenants],
        "servers": own.servers,
        "limits": None if own.limits is None else _limits_fields(own.limits),
        "shares_below": own.shares_below,
    }


def _request_class_fields(request_class: RequestClass) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "effect": request_class.effect,
        "value": request_class.value,
        "sla_ms": request_class.sla_ms,
        "expiry_ms": request_class.expiry_ms,
        "window_ms": request_class.window_ms,
        "late_value": request_class.late_value,
        "calls": request_class.calls,
        "omit_value": request_class.omit_value,
    }


def _tenant_fields(tenant: Tenant) -> dict[str, Any]:
    return {"name": tenant.name, "share": tenant.share, "per_ms": tenant.per_ms}


def _limits_fields(limits: Limits) -> dict[str, Any]:
    return {
        "stay_away_ms": limits.stay_away_ms,
        "calls": limits.calls,
        "over_value": limits.over_value,
    }
