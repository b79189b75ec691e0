"""A server's core under a fleet: who stands aside declines what comes, not for good, and answers the rest."""

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


class Played:
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

        self.core, self.now, self.rpc = RequestCore(make, PRODUCTS, gauge_names(SETTINGS)), 0.0, 0

    def up(self) -> None:
        self.core.advance_to(1e12, self.now)
        self.core.handle_runtime_ready(True, 60_000.0)
        self.core.handle_link_established()
        self.core.take_messages()

    def policy(self, text: str) -> None:
        told = parse(text, LocalConfiguration(PRODUCTS, TENANTS))
        self.core.update_policy(
            told.levels, lambda table: LevelController(table, 0.0), told.products, told.tenants, told.limits
        )

    def ask(self, product: int, mark: str = "", retry: bool = False) -> list[Outgoing]:
        self.now += 5.0
        self.rpc += 1
        self.core.advance_to(1e12 + self.now, self.now)
        fields = RequestFields(
            request_id=f"{self.rpc:016x}",
            received_at=1e12 + self.now,
            ttl_ms=9000.0,
            size_kb=20.0,
            tenant_index=0,
            session_key=0,
            is_retry=retry,
            idempotency_key=mark,
            body=b"ask",
        )
        self.core.handle_arrival("connection", self.rpc, product, fields)
        return self.core.take_messages()


def sent(out: list[Outgoing]) -> list:
    """What its caller or the runtime is told."""
    return [message for destination, message in out if destination is not Destination.DISPATCHER]


def kinds(out: list[Outgoing]) -> list[type]:
    return [type(message) for message in sent(out)]


def test_aside_all_is_declined_and_nothing_for_good_and_a_repeat_is_answered() -> None:
    played = Played()
    played.up()
    assert StartRun in kinds(played.ask(1, "m" * 32))
    played.core.handle_run_ended(f"{1:016x}", Outcome.OK, b"done")
    assert RequestCompleted in kinds(played.core.take_messages())
    played.core.set_suspended(True)
    for product, mark, retry in ((0, "", False), (0, "", True), (1, "n" * 32, False)):
        (answer,) = sent(played.ask(product, mark, retry))
        assert isinstance(answer, RequestRejected)
        assert answer.is_final is False and answer.retry_after_ms > 0.0
    assert RequestCompleted in kinds(played.ask(1, "m" * 32, True))
    played.core.set_suspended(False)
    assert StartRun in kinds(played.ask(0))


def test_what_holds_before_the_runtime_is_up_holds_after() -> None:
    played = Played()
    played.policy(CUTS_LOOK)
    played.core.set_suspended(True)
    played.up()
    assert kinds(played.ask(1, "m" * 32))[0] is RequestRejected
    played.core.set_suspended(False)
    assert kinds(played.ask(0))[0] is RequestRejected
    assert StartRun in kinds(played.ask(1, "n" * 32))
    assert played.core.controller.request_classes[1].priority_weight == 50.0


def test_a_level_that_moves_while_aside_opens_nothing() -> None:
    played = Played()
    played.up()
    played.policy(CUTS_LOOK)
    played.core.set_suspended(True)
    played.policy(CUTS_LOOK.replace('"look"]', '"pay"]'))
    assert kinds(played.ask(0))[0] is RequestRejected
    played.core.set_suspended(False)
    assert StartRun in kinds(played.ask(0))
    assert kinds(played.ask(1, "m" * 32))[0] is RequestRejected
    played.policy("version = 1")
    assert StartRun in kinds(played.ask(1, "m" * 32))


def test_what_was_admitted_keeps_the_worth_it_came_with() -> None:
    played = Played()
    played.up()
    played.ask(1, "m" * 32)
    before = next(iter(played.core.controller.requests.values()))
    played.policy(CUTS_LOOK)
    played.ask(1, "n" * 32)
    assert before.request_class == PRODUCTS[1]
    assert [request.request_class for request in played.core.controller.requests.values()][-1] == replace(
        PRODUCTS[1], priority_weight=50.0
    )


def test_limits_and_budgets_are_in_force_at_once_and_go_with_the_policy() -> None:
    played = Played()
    played.up()
    controller = played.core.controller
    before = controller.limits
    played.policy("version = 1\n[limits]\nstay_away_ms = 120\nover_share_value = 0.5\n[budgets]\ncalls = 2")
    assert controller.limits == Limits(120.0, 2.0, 0.5) != before
    played.core.set_suspended(True)
    (rejected,) = sent(played.ask(0))
    assert isinstance(rejected, RequestRejected)
    assert rejected.retry_after_ms <= 120.0  # as long as callers are asked to keep away
    played.policy("version = 1")
    assert controller.limits.over_quota_weight_factor == before.over_quota_weight_factor


def test_a_server_without_a_fleet_imports_nothing_of_it() -> None:
    code = (
        "import sys, otterrudder.cli.serve, otterrudder.net.serve; "
        "print([m for m in sys.modules if 'fleet' in m or 'grpc' in m or 'durable' in m])"
    )
    told = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert told.stdout.strip() == "[]"


def test_a_policy_is_checked_against_all_of_a_configuration(tmp_path: Path) -> None:
    """Only products and tenants were: what every server refuses was called good."""
    with ServerProcess(tmp_path) as server:
        path = str(server.configuration)
    policy = tmp_path / "policy.toml"
    policy.write_text("version = 1\n[limits]\nstay_away_ms = 5000\n")
    words = [sys.executable, "-m", "otterrudder", "fleet", "policy", "check", str(policy)]
    told = subprocess.run(words, env={"NODE_CONFIG": path, "PATH": ""}, capture_output=True, text=True)
    assert told.returncode == 2
    assert "limits.stay_away_ms: 5000 is above 1000, the longest delay that callers honour" in told.stderr


def test_a_fleet_and_a_table_of_its_own_are_refused(tmp_path: Path) -> None:
    with ServerProcess(tmp_path) as server:
        path = str(server.configuration)
    words = [sys.executable, "-m", "otterrudder", "check", "--levels", "x.toml", "--fleet", "y.toml"]
    told = subprocess.run(words, env={"NODE_CONFIG": path, "PATH": ""}, capture_output=True, text=True)
    assert told.returncode == 2 and told.stdout == ""
