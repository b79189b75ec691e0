"""The checker finds a seeded fault for each of the four rules, and the unmodified server violates no rule in
simulations with every kind of fault."""

from dataclasses import replace

import msgspec
import pytest

from otterrudder.admission import commands, memory_budget
from otterrudder.admission.admission_queues import AdmissionQueues
from otterrudder.admission.concurrency_limiter import ConcurrencyLimiter
from otterrudder.admission.deduplication import Deduplication
from otterrudder.admission.draining import Draining
from otterrudder.admission.interface import Outcome
from otterrudder.files import load_toml
from otterrudder.lab.faults import Fault
from otterrudder.lab.plan import read_experiment
from otterrudder.lab.runner import run_experiment, simulate
from otterrudder.lab.shapes import LoadPart
from otterrudder.lab.site import InvalidInputError, site_of
from otterrudder.lab.site_simulation import BareThresholdSelector, SiteSimulation
from otterrudder.levels import read_table
from otterrudder.net import core
from otterrudder.net.core import RequestCore
from otterrudder.net.request_table import RequestTable
from otterrudder.net.requests import PendingRequest

from helpers import ROOT  # isort: skip

SITE = site_of(load_toml(ROOT / "experiments/sites/intake.toml", InvalidInputError), "intake.toml")
TABLE = read_table(ROOT / "deploy/levels.toml", SITE.products, SITE.tenants)
OVERLOAD = [LoadPart(shape="constant", at=1.0), LoadPart(shape="step", at=0.5, from_s=10, to_s=30)]
RELEASE = [Fault(kind="release", at_s=8, for_s=1, gap_s=9)]
ALL_FAULTS = [
    *RELEASE,
    Fault(kind="dead", at_s=25, for_s=4, servers=[1]),
    Fault(kind="freeze", at_s=30, for_s=0.8, servers=[0]),
    Fault(kind="below", at_s=5, for_s=20, size=0.1),
    Fault(kind="slow", at_s=33, for_s=10, servers=[0]),
]


def simulated(faults: list[Fault], levels: object = TABLE, seed: int = 3, load=OVERLOAD, site=SITE):
    return SiteSimulation(site, load, faults, levels, seed, 45.0).run()


@pytest.mark.parametrize("levels", [None, TABLE], ids=["none", "levels"])
def test_no_rule_is_violated_and_equal_seeds_give_equal_results(levels: object) -> None:
    result, second_result = simulated(ALL_FAULTS, levels), simulated(ALL_FAULTS, levels)
    assert result.violations == [] and result.figures["broken"] == 0 and result.figures["failed_steps"] == 0
    assert result.figures == second_result.figures and result.transitions == second_result.transitions
    assert result.figures["txns"] > 1000 and 0.1 < result.figures["value"] < 0.9
    assert simulated(ALL_FAULTS, levels, seed=4).figures != result.figures


def test_a_lost_answer_violates_rule_1(monkeypatch: pytest.MonkeyPatch) -> None:
    close, lost = RequestTable.close, []

    def close_and_lose_answer(self: RequestTable, request: PendingRequest) -> None:
        messages = self._outbox
        if request.number % 40 == 0 and messages and messages[-1][0] is request.connection:
            lost.append(messages.pop())
        close(self, request)

    monkeypatch.setattr(RequestTable, "close", close_and_lose_answer)
    violations = simulated([]).violations
    assert lost and any(
        violation.startswith("rule 1") and "no answer" in violation for violation in violations
    )


def test_a_repeated_effect_violates_rule_2(monkeypatch: pytest.MonkeyPatch) -> None:
    finish_run = RequestTable.finish_run

    def finish_run_after_second_start(
        self: RequestTable, request: PendingRequest, outcome: Outcome, body: bytes = b""
    ) -> None:
        if request.idempotency_key and not request.is_answered and not hasattr(self, "is_restarted"):
            self.is_restarted = True
            self._delivery._send_start(request)
            return
        finish_run(self, request, outcome, body)

    monkeypatch.setattr(RequestTable, "finish_run", finish_run_after_second_start)
    assert any("rule 2" in violation and "twice" in violation for violation in simulated([]).violations)


def test_a_rejection_after_a_run_violates_rule_2(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Deduplication, "on_started", lambda *_: None)

    def reject_failed_request(self: RequestCore, request: PendingRequest, _: commands.FailRequest) -> None:
        self.requests.reject(request, False, 0.0)

    monkeypatch.setitem(core._REQUEST_COMMANDS, commands.FailRequest, reject_failed_request)
    slow = [Fault(kind="slow", at_s=2, for_s=40, times=40.0)]
    assert any("rule 2" in violation and "declined" in violation for violation in simulated(slow).violations)


def test_a_run_after_the_drain_grace_time_violates_rule_3(monkeypatch: pytest.MonkeyPatch) -> None:
    begin = Draining._begin

    def begin_without_grace_limit(self: Draining, key, scope, time_left_ms: float) -> None:
        begin(self, key, scope, time_left_ms)
        self.drains[key] = replace(self.drains[key], admits_until=float("inf"))

    monkeypatch.setattr(Draining, "_begin", begin_without_grace_limit)
    late = msgspec.structs.replace(SITE.gateways, notice_ms=9000.0)
    site = msgspec.structs.replace(SITE, gateways=late)
    violations = simulated([Fault(kind="release", at_s=8, for_s=1)], site=site).violations
    assert any("rule 3" in violation for violation in violations)


def test_a_server_that_admits_every_request_crashes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ConcurrencyLimiter, "may_start", lambda *_: True)
    monkeypatch.setattr(AdmissionQueues, "_cannot_be_on_time", lambda *_: False)
    monkeypatch.setattr(memory_budget, "MAX_QUEUED_MEMORY_SHARE", 9.0)
    assert any(
        "rule 4" in violation
        for violation in simulated([], None, load=[LoadPart(shape="constant", at=2.5)]).violations
    )


def test_bare_thresholds_change_level_more_than_twice_as_often() -> None:
    load = [LoadPart(shape="constant", at=1.1), LoadPart(shape="walk", amplitude=0.1, period_s=10)]
    bare = (
        SiteSimulation(SITE, load, [], TABLE, 1, 240.0, BareThresholdSelector).run().figures["moves_per_min"]
    )
    stabilized = SiteSimulation(SITE, load, [], TABLE, 1, 240.0).run().figures["moves_per_min"]
    assert bare > 2 * stabilized


def test_the_number_of_worker_processes_does_not_change_the_results() -> None:
    experiment = read_experiment(ROOT / "experiments/demo.toml", [1, 2], quick=True)
    for run in experiment.runs:
        object.__setattr__(run, "length_s", 20.0)
    sequential, parallel = (run_experiment(experiment, workers) for workers in (1, 2))
    assert [r.figures for _, r in sequential.results] == [r.figures for _, r in parallel.results]
    assert simulate(experiment.runs[0]).figures == sequential.results[0][1].figures
