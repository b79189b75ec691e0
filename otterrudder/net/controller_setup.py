"""How a server on sockets creates its admission controller from the platform's settings."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from otterrudder.admission.controller import AdmissionController
from otterrudder.admission.factory import can_stop_requests, create_controller, parse_request_classes
from otterrudder.admission.interface import Idempotency, RequestClass
from otterrudder.configuration import Configuration

RESPONSES_MEMORY_SHARE = 0.4  # of this process's memory, for idempotency entries with their responses
ENTRY_BYTES = 5 * 1024  # of an idempotency entry: the longest response, its key and what both hang on


def unsupported_settings(settings: dict[str, Any]) -> list[str]:
    """What the settings allow and the runtime's protocol has no word for: a line that is no command ends the
    link, so the server keeps it off."""
    why = "the runtime's protocol has no word for it, so it is kept off"
    found = []
    if can_stop_requests(settings):
        found.append(f"familyInfo.stopMode: work can't be stopped here: {why}")
    if any(request_class.skip_weight_factor for request_class in parse_request_classes(settings)):
        found.append(f"familyInfo.classSkipWorth: no call is left out here: {why}")
    return found


def served_classes(settings: dict[str, Any]) -> list[RequestClass]:
    """The request classes as they can be served here, see `unsupported_settings`."""
    return [
        replace(request_class, skip_weight_factor=0.0) for request_class in parse_request_classes(settings)
    ]


def controller_factory(
    configuration: Configuration, request_classes: list[RequestClass]
) -> Callable[[float, bool, float], AdmissionController]:
    """A function that creates the controller once the runtime is up, from the time, whether the runtime is
    warm, and its uptime in ms."""
    max_entries = _max_idempotency_entries(configuration.limits.memory_mb, request_classes)

    def create(now: float, is_warm: bool, uptime_ms: float) -> AdmissionController:
        return create_controller(
            now,
            configuration.settings.get("me") or 0,
            configuration.seed,
            configuration.settings,
            is_cold_start=not is_warm,
            uptime_ms=uptime_ms,
            request_classes=request_classes,
            can_stop_requests=False,
            idempotency_entry_kb=0.0,  # responses lie here, not in the runtime's memory
            max_idempotency_entries=max_entries,
        )

    return create


def _max_idempotency_entries(memory_mb: float, request_classes: list[RequestClass]) -> float:
    """By the worst class: an entry outlives its retention by a deadline, see `IdempotencyTable.retain`."""
    worst = max(
        (
            1 + one.deadline_ms / (one.retention_ms or one.deadline_ms)
            for one in request_classes
            if one.idempotency is Idempotency.IDEMPOTENT
        ),
        default=1.0,
    )
    return memory_mb * 1e6 * RESPONSES_MEMORY_SHARE / ENTRY_BYTES / worst
