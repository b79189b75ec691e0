"""Generates settings and configuration texts of any size in the form that operators write."""

import json
from typing import Any

from otterrudder.admission.controller import AdmissionController
from otterrudder.admission.factory import create_controller
from otterrudder.lab.processes.fake_settings import SETTINGS

TENANT_PER_S = 5.0  # requests per second that each tenant is entitled to in the whole fleet


def settings_of(class_count: int, tenant_count: int) -> dict[str, Any]:
    """Returns the platform's settings with the given numbers of request classes and tenants."""
    classes = [
        {"name": f"route-{n}", "effect": "safe", "worth": 1, "promiseUs": 2e6, "hardLimitUs": 4e6}
        for n in range(class_count)
    ]
    realms = [
        {"name": f"tenant-{n}", "share": 1.0 / tenant_count, "allowancePerS": TENANT_PER_S}
        for n in range(tenant_count)
    ]
    return dict(SETTINGS) | {"classes": classes, "realms": realms}


def configuration_text(class_count: int, tenant_count: int) -> str:
    """Returns a server configuration file with the settings of `settings_of`."""
    fields = {
        "name": "n1",
        "listen": "127.0.0.1:1",
        "runtime": "127.0.0.1:2",
        "registry": "127.0.0.1:3",
        "seed": "1",
        "stop_ms": 2000,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "settings": settings_of(class_count, tenant_count),
    }
    return json.dumps(fields)


def controller_of(settings: dict[str, Any]) -> AdmissionController:
    """Returns a started controller."""
    return create_controller(0.0, 1, 7, settings)


def policy_text(tenant_count: int) -> str:
    """Returns a policy that sets the entitlement of each tenant."""
    lines = ["version = 1"]
    for n in range(tenant_count):
        lines += [f"[tenants.tenant-{n}]", f"per_s = {TENANT_PER_S}"]
    return "\n".join(lines) + "\n"


def levels_text(class_count: int) -> str:
    """Returns a service-level table with two levels, each of which names every request class."""
    names = json.dumps([f"route-{n}" for n in range(class_count)])
    lines = ["version = 1"]
    for name, cut, entry_busy, exit_busy in (("one", "spare", 0.9, 0.5), ("two", "decline", 0.95, 0.6)):
        lines += [
            "[[level]]",
            f'name = "{name}"',
            "least_stay_s = 5.0",
            f"entry = {{ for_s = 5.0, busy = {entry_busy} }}",
            f"exit = {{ for_s = 10.0, busy = {exit_busy} }}",
            f'cut = [{{ do = "{cut}", products = {names} }}]',
        ]
    return "\n".join(lines) + "\n"
