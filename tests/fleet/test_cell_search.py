"""Tests the model search of cells: no event order breaks a guarantee, and each seeded fault is found."""

from itertools import pairwise

import pytest

from otterrudder.fleet.cell.participant import Participant
from otterrudder.fleet.cell.relay import Relay
from otterrudder.lab.fleet.cell_delivery import deliver_all
from otterrudder.lab.fleet.cell_recovery import STEP_MS
from otterrudder.lab.fleet.cell_search import WALK_LENGTH, find_fault, search, walk
from otterrudder.lab.fleet.cell_seeded_faults import SEEDED_FAULTS
from otterrudder.lab.fleet.cell_stages import CellStage, converged_model, model_at_stage
from otterrudder.lab.fleet.cell_variants import CellVariant, all_variants
from otterrudder.lab.fleet.cloning import clone, freeze

VARIANTS = dict(all_variants())
WALKS = 12


@pytest.mark.parametrize("name", VARIANTS)
def test_random_event_orders_break_no_guarantee(name: str) -> None:
    found = walk(VARIANTS[name], 11, WALKS)
    assert not found.violation, (found.violation, found.trail)
    assert found.states == WALKS * WALK_LENGTH


@pytest.mark.parametrize(
    ("name", "stage"),
    [
        ("wait", CellStage.VOTED),
        ("wait", CellStage.ENDORSED),
        ("wait, one relay", CellStage.COMMITTED),
    ],
)
def test_no_event_order_up_to_a_depth_breaks_a_guarantee(name: str, stage: CellStage) -> None:
    found = search(VARIANTS[name], 2, 2, stage)
    assert not found.violation and found.depth == 2 and found.states > 300


@pytest.mark.parametrize("stage", CellStage)
def test_cells_recover_from_each_stage(stage: CellStage) -> None:
    model = model_at_stage(converged_model(CellVariant(cells=2, servers=3)), stage)
    assert model.violation() == "" and model.recovery_violation() == ""


@pytest.mark.parametrize("name", SEEDED_FAULTS)
def test_each_seeded_fault_is_found(name: str) -> None:
    found = find_fault(SEEDED_FAULTS[name])
    assert found.violation, f"no violation in {found.states} states"


@pytest.mark.parametrize("name", [name for name, fault in SEEDED_FAULTS.items() if fault.scenario])
def test_correct_code_passes_the_scenario_of_each_seeded_fault(name: str) -> None:
    found = find_fault(SEEDED_FAULTS[name], relay=Relay, participant=Participant)
    assert not found.violation, (found.violation, found.trail)


def test_copied_model_is_independent_of_the_original() -> None:
    models = [model_at_stage(converged_model(CellVariant()), CellStage.VOTED)]
    key = models[0].fingerprint()
    for _ in range(3):
        models.append(models[-1].copy())
        models[-1].pass_time(STEP_MS)
        deliver_all(models[-1])
    assert models[0].fingerprint() == key
    assert all(one.fingerprint() != other.fingerprint() for one, other in pairwise(models))
    relay = models[0].relays[0].relay
    assert freeze(clone(relay)) == freeze(relay)
