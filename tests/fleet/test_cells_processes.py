"""Tests cells as processes with network and process faults: the guarantees hold, and the history checker
finds a relay or a server in which one rule is disabled."""

from pathlib import Path

import pytest

from otterrudder.lab.processes.cell_experiment import CellRun, perform_one, read
from otterrudder.lab.processes.cell_fault_schedule import draw
from otterrudder.lab.processes.cell_faults import DECK, CellFault, CellRound
from otterrudder.lab.processes.linked_cells import CellMutants

pytestmark = pytest.mark.exclusive

EXPERIMENT = read(Path(__file__).parents[2] / "experiments/cells.toml")
CELLS = tuple(EXPERIMENT.cells)
SERVERS = 6
CALM = CellRound(1, "look", (), 0.2)
CUT_OFF = [CALM, CellRound(2, "pay", (CellFault("server cut", server=0),), 4.5)]
REFUSED = [CALM, CellRound(2, "pay", (CellFault("kind refuses"),), 0.5)]


def failure_details(run: CellRun) -> tuple[object, ...]:
    return run.broken, run.check.violations, run.suspensions, run.result.rounds


def test_cells_keep_their_guarantees_under_wait() -> None:
    rounds = [
        CellRound(1, "look", (CellFault("relay halted at point", "a", point="after vote"),), 3.0),
        CellRound(2, "pay", (CellFault("kind refuses"),), 0.5),
        CellRound(3, "", (CellFault("relay killed", "b", "leader"),), 4.0),
        CellRound(4, "pay", (CellFault("relay killed at point", "c", point="before in force"),), 1.0),
    ]
    run = perform_one(EXPERIMENT, "wait", 1, rounds, SERVERS)
    assert not run.broken, failure_details(run)
    assert not run.result.missed, failure_details(run)
    assert [cell_round.in_force for cell_round in run.result.rounds] == [1, 0, 0, 1], failure_details(run)
    assert run.quiet_rounds == 1 and run.check.figures["settled"] > 300


def test_cells_keep_their_guarantees_under_leave_out() -> None:
    rounds = [
        CALM,
        CellRound(2, "pay", (CellFault("cell cut from store", "a"),), 4.5),
    ]
    run = perform_one(EXPERIMENT, "leave-out", 1, rounds, SERVERS)
    assert not run.broken, failure_details(run)
    assert [cell_round.in_force for cell_round in run.result.rounds] == [1, 1], failure_details(run)


@pytest.mark.parametrize(
    ("mutants", "rounds", "violation"),
    [
        (CellMutants(server="ignores its lease's end"), CUT_OFF, "wrong version"),
        (
            CellMutants(relay="votes without asking"),
            REFUSED,
            "1 policies came into force that a kind refuses",
        ),
    ],
)
def test_history_checker_finds_a_missing_rule(
    mutants: CellMutants, rounds: list[CellRound], violation: str
) -> None:
    run = perform_one(EXPERIMENT, "wait", 1, rounds, SERVERS, mutants=mutants)
    assert not run.result.missed, failure_details(run)
    assert any(line.startswith(violation) for line in run.broken), failure_details(run)


def test_plan_is_determined_by_its_seed_and_contains_all_faults() -> None:
    plan = draw(3, CELLS, 12, 30, "wait")
    assert plan == draw(3, CELLS, 12, 30, "wait") != draw(4, CELLS, 12, 30, "wait")
    drawn = {
        (f.kind, f.role, f.point) for cell_round in draw(3, CELLS, 12, 150, "wait") for f in cell_round.faults
    }
    assert set(DECK) <= drawn
    left_out = draw(3, CELLS, 12, 150, "leave-out")
    assert not any("consent" in fault.point for cell_round in left_out for fault in cell_round.faults)
    assert all(len(cell_round.faults) == 1 for cell_round in plan if cell_round.is_quiet)
