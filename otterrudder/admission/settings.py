"""The settings with which an admission controller is created."""

from dataclasses import dataclass

from otterrudder.admission.interface import DownstreamKind, Limits, LoadSignal, RequestClass, Tenant

MAX_SESSIONS = 50_000  # about 130 bytes each, so 6.5 MB


@dataclass(frozen=True, slots=True, kw_only=True)
class ControllerSettings:
    """Settings of one server, its callers and its downstream. Durations are milliseconds."""

    request_classes: list[RequestClass]
    tenants: list[Tenant]
    limits: Limits

    # Server.
    cores: int
    memory_kb: float
    run_memory_factor: float  # memory of a running request relative to a queued one
    idempotency_entry_kb: float  # memory of a retained idempotency key
    max_sessions: float = MAX_SESSIONS  # established sessions
    can_stop_requests: bool  # running requests can be stopped
    max_concurrency_per_core: float  # running requests per core beyond which the server fails
    is_cold_start: bool
    slow_start_from: float  # share of the capacity that a cold server starts with
    slow_start_ms: float  # time until a cold server is warm
    uptime_ms: float = 0.0  # time since the server itself started
    clock_tick_ms: float  # resolution of the adapter's clock
    drain_grace_ms: float  # time after the start of a drain in which new requests are still served

    # Callers.
    callers: int
    load_signal: LoadSignal
    max_idle_timeout_ms: float  # maximum idle timeout of callers' connections
    are_retries_marked: bool = True

    # Downstream.
    downstream: DownstreamKind
    downstream_quota_window_ms: float
    downstream_linger_ms: float  # time for which a downstream may work on an abandoned call
