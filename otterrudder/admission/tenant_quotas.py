"""Tenant quotas: requests beyond their tenant's quota have a lower weight, so they are rejected first."""

from dataclasses import dataclass

from otterrudder.admission.context import AdmissionContext
from otterrudder.admission.interface import Tenant
from otterrudder.admission.requests import Request

QUOTA_TOLERANCE = 1.3  # factor on the server's even part of a quota, because callers spread unevenly
MIN_BURST = 3.0  # minimum capacity of a token bucket, in requests
BURST_MS = 5000.0  # time in which a token bucket fills at the tenant's quota


@dataclass(slots=True)
class TokenBucket:
    """A token bucket with one token per request that is left of the tenant's quota."""

    tokens: float
    updated_at: float

    def available(self, now: float, quota_per_ms: float) -> float:
        """Returns the tokens available at `now`."""
        per_ms = quota_per_ms * QUOTA_TOLERANCE
        max_tokens = max(per_ms * BURST_MS, MIN_BURST)
        return min(self.tokens + (now - self.updated_at) * per_ms, max_tokens)

    def take(self, now: float, quota_per_ms: float) -> None:
        """Takes a token for a request."""
        self.tokens = max(self.available(now, quota_per_ms) - 1, 0.0)
        self.updated_at = now


class TenantQuotas:
    """Token buckets, one per tenant, filled at this server's part of the tenant's quota."""

    def __init__(self, context: AdmissionContext) -> None:
        self._context = context
        self.tenants: list[Tenant] = context.settings.tenants
        self._buckets = [TokenBucket(MIN_BURST, context.now) for _ in self.tenants]

    def priority_weight(self, request: Request) -> float:
        """Returns the weight of the request's class, reduced if the tenant has used up its quota."""
        weight = request.request_class.priority_weight
        if self._is_over_quota(request.tenant):
            return weight * self._context.limits.over_quota_weight_factor
        return weight

    def on_started(self, request: Request) -> None:
        """Takes a token for a request that starts."""
        tenant = request.tenant
        if tenant < len(self.tenants):
            self._buckets[tenant].take(self._context.now, self.tenants[tenant].quota_per_ms)

    def _is_over_quota(self, tenant: int) -> bool:
        if tenant >= len(self.tenants) or not self.tenants[tenant].quota_per_ms:
            return False
        return self._buckets[tenant].available(self._context.now, self.tenants[tenant].quota_per_ms) < 1
