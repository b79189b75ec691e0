"""Tests the request core of a server in a fleet: while admission is suspended, it rejects new requests with a
retry delay, and answers repeats of requests that it has completed."""

import subprocess
import sys
from dataclasses import replace
from pathlib import Path

from helpers import SETTINGS
from server_process import ServerProcess

from otterrudder.admission.factory import create_controller, gauge_names, parse_request_classes, parse_tenants
from otterrudder.admission.interface import Limits, Outcome
from otterrudder.fleet.policy import LocalConfiguration, parse
from otterrudder.levels import LevelController
from otterrudder.net.core import RequestCore
from otterrudder.net.messages import (
    Destination,
    Outgoing,
    RequestCompleted,
    RequestRejected,
    StartRun,
)
from otterrudder.net.requests import RequestFields

PRODUCTS, TENANTS = parse_request_classes(SETTINGS), parse_tenants(SETTINGS)
CUTS_LOOK = """version = 1
[levels]
version = 1
start = "cut"
[[levels.level]]
name = "cut"
least_stay_s = 1.0
trial_s = 600.0
entry = { for_s = 1.0, busy = 0.9 }
exit = { for_s = 2.0, busy = 0.01 }
cut = [{ do = "decline", products = ["look"] }]
[products.pay]
value = 50.0
"""


class CoreDriver:
    """A request core, with the clock and the request numbers that a test needs."""

    def __init__(self) -> None:
        def make(now: float, warm: bool, up_ms: float):
            return create_controller(
                now,
                1,
                7,
                SETTINGS,
                is_cold_start=not warm,
                uptime_ms=up_ms,
                request_classes=PRODUCTS,
                idempotency_entry_kb=0.0,
            )

        self.core, self.now, self.rpc_id = RequestCore(make, PRODUCTS, gauge_names(SETTINGS)), 0.0, 0

    def start_runtime(self) -> None:
        self.core.advance_to(1e12, self.now)
        self.core.handle_runtime_ready(True, 60_000.0)
        self.core.handle_link_established()
        self.core.take_messages()

    def apply_policy(self, text: str) -> None:
        content = parse(text, LocalConfiguration(PRODUCTS, TENANTS))
        self.core.update_policy(
            content.levels,
            lambda table: LevelController(table, 0.0),
            content.products,
            content.tenants,
            content.limits,
        )

    def request(self, product: int, idempotency_key: str = "", retry: bool = False) -> list[Outgoing]:
        self.now += 5.0
        self.rpc_id += 1
        self.core.advance_to(1e12 + self.now, self.now)
        fields = RequestFields(
            request_id=f"{self.rpc_id:016x}",
            received_at=1e12 + self.now,
            ttl_ms=9000.0,
            size_kb=20.0,
            tenant_index=0,
            session_key=0,
            is_retry=retry,
            idempotency_key=idempotency_key,
            body=b"ask",
        )
        self.core.handle_arrival("connection", self.rpc_id, product, fields)
        return self.core.take_messages()


def sent(outgoing: list[Outgoing]) -> list:
    """Returns the messages to the caller or the runtime."""
    return [message for destination, message in outgoing if destination is not Destination.DISPATCHER]


def kinds(outgoing: list[Outgoing]) -> list[type]:
    return [type(message) for message in sent(outgoing)]


def test_suspended_admission_rejects_with_a_retry_delay_and_answers_repeats() -> None:
    driver = CoreDriver()
    driver.start_runtime()
    assert StartRun in kinds(driver.request(1, "m" * 32))
    driver.core.handle_run_ended(f"{1:016x}", Outcome.OK, b"done")
    assert RequestCompleted in kinds(driver.core.take_messages())
    driver.core.set_suspended(True)
    for product, mark, retry in ((0, "", False), (0, "", True), (1, "n" * 32, False)):
        (answer,) = sent(driver.request(product, mark, retry))
        assert isinstance(answer, RequestRejected)
        assert answer.is_final is False and answer.retry_after_ms > 0.0
    assert RequestCompleted in kinds(driver.request(1, "m" * 32, True))
    driver.core.set_suspended(False)
    assert StartRun in kinds(driver.request(0))


def test_policy_and_suspension_set_before_the_runtime_starts_stay_in_force() -> None:
    driver = CoreDriver()
    driver.apply_policy(CUTS_LOOK)
    driver.core.set_suspended(True)
    driver.start_runtime()
    assert kinds(driver.request(1, "m" * 32))[0] is RequestRejected
    driver.core.set_suspended(False)
    assert kinds(driver.request(0))[0] is RequestRejected
    assert StartRun in kinds(driver.request(1, "n" * 32))
    assert driver.core.controller.request_classes[1].priority_weight == 50.0


def test_a_level_change_does_not_end_a_suspension() -> None:
    driver = CoreDriver()
    driver.start_runtime()
    driver.apply_policy(CUTS_LOOK)
    driver.core.set_suspended(True)
    driver.apply_policy(CUTS_LOOK.replace('"look"]', '"pay"]'))
    assert kinds(driver.request(0))[0] is RequestRejected
    driver.core.set_suspended(False)
    assert StartRun in kinds(driver.request(0))
    assert kinds(driver.request(1, "m" * 32))[0] is RequestRejected
    driver.apply_policy("version = 1")
    assert StartRun in kinds(driver.request(1, "m" * 32))


def test_an_admitted_request_keeps_its_priority_weight_when_the_policy_changes() -> None:
    driver = CoreDriver()
    driver.start_runtime()
    driver.request(1, "m" * 32)
    before = next(iter(driver.core.controller.requests.values()))
    driver.apply_policy(CUTS_LOOK)
    driver.request(1, "n" * 32)
    assert before.request_class == PRODUCTS[1]
    assert [request.request_class for request in driver.core.controller.requests.values()][-1] == replace(
        PRODUCTS[1], priority_weight=50.0
    )


def test_limits_and_budgets_apply_at_once_and_end_with_the_policy() -> None:
    driver = CoreDriver()
    driver.start_runtime()
    controller = driver.core.controller
    before = controller.limits
    driver.apply_policy(
        "version = 1\n[limits]\nstay_away_ms = 120\nover_share_value = 0.5\n[budgets]\ncalls = 2"
    )
    assert controller.limits == Limits(120.0, 2.0, 0.5) != before
    driver.core.set_suspended(True)
    (rejected,) = sent(driver.request(0))
    assert isinstance(rejected, RequestRejected)
    assert rejected.retry_after_ms <= 120.0  # the policy's stay_away_ms
    driver.apply_policy("version = 1")
    assert controller.limits.over_quota_weight_factor == before.over_quota_weight_factor


def test_a_server_without_a_fleet_imports_no_fleet_modules() -> None:
    code = (
        "import sys, otterrudder.cli.serve, otterrudder.net.serve; "
        "print([m for m in sys.modules if 'fleet' in m or 'grpc' in m or 'durable' in m])"
    )
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert result.stdout.strip() == "[]"


def test_a_policy_is_checked_against_the_whole_configuration(tmp_path: Path) -> None:
    """The command once checked only products and tenants, and accepted policies that every server rejects."""
    with ServerProcess(tmp_path) as server:
        path = str(server.configuration)
    policy = tmp_path / "policy.toml"
    policy.write_text("version = 1\n[limits]\nstay_away_ms = 5000\n")
    command = [sys.executable, "-m", "otterrudder", "fleet", "policy", "check", str(policy)]
    result = subprocess.run(command, env={"NODE_CONFIG": path, "PATH": ""}, capture_output=True, text=True)
    assert result.returncode == 2
    assert "limits.stay_away_ms: 5000 is above 1000, the longest delay that callers honour" in result.stderr


def test_levels_and_fleet_options_together_are_rejected(tmp_path: Path) -> None:
    with ServerProcess(tmp_path) as server:
        path = str(server.configuration)
    command = [sys.executable, "-m", "otterrudder", "check", "--levels", "x.toml", "--fleet", "y.toml"]
    result = subprocess.run(command, env={"NODE_CONFIG": path, "PATH": ""}, capture_output=True, text=True)
    assert result.returncode == 2 and result.stdout == ""
