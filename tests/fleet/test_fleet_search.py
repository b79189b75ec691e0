"""Tests that the model search finds no order of events that breaks a guarantee of the fleet, and that it
finds each seeded fault."""

from dataclasses import replace

import pytest

from otterrudder.fleet.member import Member
from otterrudder.lab.fleet.model_stages import Stage
from otterrudder.lab.fleet.search import find_fault, search, walk
from otterrudder.lab.fleet.seeded_faults import SEEDED_FAULTS, VARIANTS


@pytest.mark.parametrize("name", VARIANTS)
def test_random_walks_find_no_violation(name: str) -> None:
    result = walk(VARIANTS[name], 11, 60, 60, 6)
    assert not result.violation, (result.violation, result.trail)
    assert result.states == 60 * 60


@pytest.mark.parametrize(
    ("name", "stage"),
    [
        ("wait", Stage.VOTED),
        ("wait, from its state directory", Stage.COMMITTED),
        ("leave-out, no state directory", Stage.VOTED),
    ],
)
def test_a_search_of_all_event_orders_finds_no_violation(name: str, stage: Stage) -> None:
    result = search(VARIANTS[name], 4, 2, stage=stage)
    assert not result.violation and result.depth == 4 and result.states > 500


@pytest.mark.parametrize("name", SEEDED_FAULTS)
def test_each_seeded_fault_is_found(name: str) -> None:
    result = find_fault(SEEDED_FAULTS[name])
    assert result.violation, f"{result.states} states searched without a violation"


@pytest.mark.parametrize("name", [name for name, fault in SEEDED_FAULTS.items() if fault.scenario])
def test_the_correct_member_survives_the_scenario_of_each_fault(name: str) -> None:
    result = find_fault(SEEDED_FAULTS[name], member=Member)
    assert not result.violation, (result.violation, result.trail)


def test_random_walks_with_three_members_find_no_violation() -> None:
    variant = replace(VARIANTS["wait"], members=3, proposers=1)
    result = walk(variant, 3, 25, 60, 5)
    assert not result.violation, (result.violation, result.trail)
