"""What an admission controller is told when it is made."""

import math
from dataclasses import dataclass

from otterrudder.admission.interface import DownstreamKind, Limits, LoadSignal, RequestClass, Tenant


@dataclass(frozen=True, slots=True, kw_only=True)
class ControllerSettings:
    """One server and its surroundings; all durations are milliseconds."""

    request_classes: list[RequestClass]
    tenants: list[Tenant]
    limits: Limits

    # The server.
    cores: int
    memory_kb: float
    run_memory_factor: float  # memory of a running request by that of a queued one
    idempotency_entry_kb: float  # memory of a retained idempotency key
    max_idempotency_entries: float = math.inf
    can_stop_requests: bool  # running requests can be stopped
    max_concurrency_per_core: float  # running requests that a core survives
    is_cold_start: bool
    slow_start_from: float  # share of its capacity that a cold server starts with
    slow_start_ms: float  # until a cold server is warm
    uptime_ms: float = 0.0  # since the server itself started
    clock_tick_ms: float  # resolution of the adapter's clock
    drain_grace_ms: float  # requests that arrive so long after the start of a drain are still served

    # Its callers.
    callers: int
    load_signal: LoadSignal
    max_idle_timeout_ms: float  # callers' connections are kept for so long at most
    are_retries_marked: bool = True

    # What lies behind it.
    downstream: DownstreamKind
    downstream_quota_window_ms: float
    downstream_linger_ms: float  # a downstream may work on for so long after a call was given up
