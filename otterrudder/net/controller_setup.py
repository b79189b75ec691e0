"""Creation of the admission controller of a server on sockets from the platform's settings."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from otterrudder.admission.controller import AdmissionController
from otterrudder.admission.factory import can_stop_requests, create_controller, parse_request_classes
from otterrudder.admission.interface import RequestClass
from otterrudder.admission.settings import MAX_SESSIONS
from otterrudder.configuration import Configuration
from otterrudder.net.memory import UNLIMITED, MemoryLimits


def unsupported_settings(settings: dict[str, Any]) -> list[str]:
    """Returns a message for each feature that the settings enable but the runtime's protocol does not
    support. The server disables these features, because the runtime ends the link at an unknown command."""
    reason = "disabled, because the runtime's protocol does not support it"
    messages = []
    if can_stop_requests(settings):
        messages.append(f"familyInfo.stopMode: stopping requests is {reason}")
    if any(request_class.skip_weight_factor for request_class in parse_request_classes(settings)):
        messages.append(f"familyInfo.classSkipWorth: skipping downstream calls is {reason}")
    return messages


def served_classes(settings: dict[str, Any]) -> list[RequestClass]:
    """Returns the request classes without the features that `unsupported_settings` reports."""
    return [
        replace(request_class, skip_weight_factor=0.0) for request_class in parse_request_classes(settings)
    ]


def controller_factory(
    configuration: Configuration, request_classes: list[RequestClass], memory: MemoryLimits = UNLIMITED
) -> Callable[[float, bool, float], AdmissionController]:
    """Returns a function that creates the controller once the runtime is up. Its arguments are the time,
    whether the runtime is warm, and the runtime's uptime in ms."""

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
            max_sessions=min(memory.sessions, MAX_SESSIONS),
            idempotency_entry_kb=0.0,  # responses are kept in this process, not in the runtime's memory
        )

    return create
