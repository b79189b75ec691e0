"""The search of cells finds no order of events that breaks a promise, and finds each fault that is put in."""

from itertools import pairwise

import pytest

from otterrudder.fleet.cell.participant import Participant
from otterrudder.fleet.cell.relay import Relay
from otterrudder.lab.fleet.cell_model import CellStage, CellVariant, all_variants, settled, staged
from otterrudder.lab.fleet.cell_search import LENGTH, hunt, search, walk
from otterrudder.lab.fleet.cell_seeded_faults import FAULTS
from otterrudder.lab.fleet.cloning import clone, freeze

VARIANTS = dict(all_variants())
WALKS = 12


@pytest.mark.parametrize("name", VARIANTS)
def test_no_drawn_order_of_events_breaks_a_promise(name: str) -> None:
    found = walk(VARIANTS[name], 11, WALKS)
    assert not found.violation, (found.violation, found.trail)
    assert found.states == WALKS * LENGTH


@pytest.mark.parametrize(
    ("name", "stage"),
    [
        ("wait", CellStage.VOTED),
        ("wait", CellStage.CONSENTED),
        ("wait, one relay", CellStage.COMMITTED),
    ],
)
def test_no_order_of_events_to_a_depth_breaks_one(name: str, stage: CellStage) -> None:
    found = search(VARIANTS[name], 2, 2, stage)
    assert not found.violation and found.depth == 2 and found.states > 300


@pytest.mark.parametrize("stage", CellStage)
def test_each_stage_agrees_in_peace(stage: CellStage) -> None:
    world = staged(settled(CellVariant(cells=2, servers=3)), stage)
    assert world.violation() == "" and world.recovery_violation() == ""


@pytest.mark.parametrize("name", FAULTS)
def test_each_fault_is_found(name: str) -> None:
    found = hunt(FAULTS[name])
    assert found.violation, f"{found.states} worlds, and none broken"


@pytest.mark.parametrize("name", [name for name, what in FAULTS.items() if what.story])
def test_the_parts_as_they_are_go_through_the_same_story_unharmed(name: str) -> None:
    found = hunt(FAULTS[name], relay=Relay, participant=Participant)
    assert not found.violation, (found.violation, found.trail)


def test_a_copied_world_goes_its_own_way() -> None:
    worlds = [staged(settled(CellVariant()), CellStage.VOTED)]
    key = worlds[0].fingerprint()
    for _ in range(3):
        worlds.append(worlds[-1].copy())
        worlds[-1].pass_time()
        worlds[-1].deliver_all()
    assert worlds[0].fingerprint() == key
    assert all(one.fingerprint() != other.fingerprint() for one, other in pairwise(worlds))
    relay = worlds[0].relays[0].relay
    assert freeze(clone(relay)) == freeze(relay)
