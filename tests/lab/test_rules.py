"""The checker of the four rules sees what it is for: a seeded fault in the server for each rule is found, and
the server as it is breaks none on days with every kind of trouble."""

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
from otterrudder.lab.day import Bare, Day
from otterrudder.lab.faults import Fault
from otterrudder.lab.plan import read_experiment
from otterrudder.lab.runner import play, run_experiment
from otterrudder.lab.shapes import Part
from otterrudder.lab.site import InvalidInputError, site_of
from otterrudder.levels import read_table
from otterrudder.net import core
from otterrudder.net.core import RequestCore
from otterrudder.net.request_table import RequestTable
from otterrudder.net.requests import PendingRequest

from helpers import ROOT  # isort: skip

SITE = site_of(load_toml(ROOT / "experiments/sites/intake.toml", InvalidInputError), "intake.toml")
TABLE = read_table(ROOT / "deploy/levels.toml", SITE.products, SITE.tenants)
HARD = [Part(shape="constant", at=1.0), Part(shape="step", at=0.5, from_s=10, to_s=30)]
RELEASE = [Fault(kind="release", at_s=8, for_s=1, gap_s=9)]
ALL = [
    *RELEASE,
    Fault(kind="dead", at_s=25, for_s=4, servers=[1]),
    Fault(kind="freeze", at_s=30, for_s=0.8, servers=[0]),
    Fault(kind="below", at_s=5, for_s=20, size=0.1),
    Fault(kind="slow", at_s=33, for_s=10, servers=[0]),
]


def day(faults: list[Fault], levels: object = TABLE, seed: int = 3, load=HARD, site=SITE):
    return Day(site, load, faults, levels, seed, 45.0).play()


@pytest.mark.parametrize("levels", [None, TABLE], ids=["none", "levels"])
def test_no_rule_is_broken_and_the_same_seed_gives_the_same_day(levels: object) -> None:
    first, again = day(ALL, levels), day(ALL, levels)
    assert first.broken == [] and first.figures["broken"] == 0 and first.figures["failed_steps"] == 0
    assert first.figures == again.figures and first.moves == again.moves
    assert first.figures["txns"] > 1000 and 0.1 < first.figures["value"] < 0.9
    assert day(ALL, levels, seed=4).figures != first.figures


def test_an_answer_that_is_lost_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    close, lost = RequestTable.close, []

    def forgets(at: RequestTable, request: PendingRequest) -> None:
        messages = at._outbox
        if request.number % 40 == 0 and messages and messages[-1][0] is request.connection:
            lost.append(messages.pop())
        close(at, request)

    monkeypatch.setattr(RequestTable, "close", forgets)
    found = day([]).broken
    assert lost and any(what.startswith("rule 1") and "no answer" in what for what in found)


def test_an_effect_that_happens_twice_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    finish_run = RequestTable.finish_run

    def twice(at: RequestTable, request: PendingRequest, outcome: Outcome, body: bytes = b"") -> None:
        if request.idempotency_key and not request.is_answered and not hasattr(at, "again"):
            at.again = True
            at._delivery._send_start(request)
            return
        finish_run(at, request, outcome, body)

    monkeypatch.setattr(RequestTable, "finish_run", twice)
    assert any("rule 2" in what and "twice" in what for what in day([]).broken)


def test_a_decline_of_what_has_run_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Deduplication, "on_started", lambda *_: None)

    def declines(at: RequestCore, request: PendingRequest, _: commands.FailRequest) -> None:
        at.requests.reject(request, False, 0.0)

    monkeypatch.setitem(core._REQUEST_COMMANDS, commands.FailRequest, declines)
    slow = [Fault(kind="slow", at_s=2, for_s=40, times=40.0)]
    assert any("rule 2" in what and "declined" in what for what in day(slow).broken)


def test_a_run_past_the_grace_of_a_drain_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    begin = Draining._begin

    def never_stops_taking(self: Draining, key, scope, time_left_ms: float) -> None:
        begin(self, key, scope, time_left_ms)
        self.drains[key] = replace(self.drains[key], admits_until=float("inf"))

    monkeypatch.setattr(Draining, "_begin", never_stops_taking)
    late = msgspec.structs.replace(SITE.gateways, notice_ms=9000.0)
    site = msgspec.structs.replace(SITE, gateways=late)
    found = day([Fault(kind="release", at_s=8, for_s=1)], site=site).broken
    assert any("rule 3" in what for what in found)


def test_a_server_that_takes_everything_falls_over(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ConcurrencyLimiter, "may_start", lambda *_: True)
    monkeypatch.setattr(AdmissionQueues, "_cannot_be_on_time", lambda *_: False)
    monkeypatch.setattr(memory_budget, "MAX_QUEUED_MEMORY_SHARE", 9.0)
    assert any("rule 4" in what for what in day([], None, load=[Part(shape="constant", at=2.5)]).broken)


def test_bare_thresholds_flip_where_the_ladder_holds() -> None:
    load = [Part(shape="constant", at=1.1), Part(shape="walk", amplitude=0.1, period_s=10)]
    bare = Day(SITE, load, [], TABLE, 1, 240.0, Bare).play().figures["moves_per_min"]
    held = Day(SITE, load, [], TABLE, 1, 240.0).play().figures["moves_per_min"]
    assert bare > 2 * held


def test_an_experiment_on_several_processes_gives_what_one_gives() -> None:
    experiment = read_experiment(ROOT / "experiments/demo.toml", [1, 2], quick=True)
    for run in experiment.runs:
        object.__setattr__(run, "length_s", 20.0)
    alone, beside = (run_experiment(experiment, workers) for workers in (1, 2))
    assert [r.figures for _, r in alone.results] == [r.figures for _, r in beside.results]
    assert play(experiment.runs[0]).figures == alone.results[0][1].figures
