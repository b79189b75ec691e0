"""The search finds no order of events that breaks a promise of the fleet, and finds each fault that is put
in."""

from dataclasses import replace

import pytest

from otterrudder.fleet.member import Member
from otterrudder.lab.fleet.model_stages import Stage
from otterrudder.lab.fleet.search import hunt, search, walk
from otterrudder.lab.fleet.seeded_faults import FAULTS, SOUND


@pytest.mark.parametrize("name", SOUND)
def test_no_drawn_order_of_events_breaks_a_promise(name: str) -> None:
    found = walk(SOUND[name], 11, 60, 60, 6)
    assert not found.violation, (found.violation, found.trail)
    assert found.states == 60 * 60


@pytest.mark.parametrize(
    ("name", "stage"),
    [
        ("wait", Stage.VOTED),
        ("wait, from its state directory", Stage.COMMITTED),
        ("leave-out, no state directory", Stage.VOTED),
    ],
)
def test_no_order_of_events_to_a_depth_breaks_one(name: str, stage: Stage) -> None:
    found = search(SOUND[name], 4, 2, stage=stage)
    assert not found.violation and found.depth == 4 and found.states > 500


@pytest.mark.parametrize("name", FAULTS)
def test_each_fault_is_found(name: str) -> None:
    found = hunt(FAULTS[name])
    assert found.violation, f"{found.states} worlds, and none broken"


@pytest.mark.parametrize("name", [name for name, what in FAULTS.items() if what.story])
def test_the_member_itself_goes_through_the_same_story_unharmed(name: str) -> None:
    found = hunt(FAULTS[name], member=Member)
    assert not found.violation, (found.violation, found.trail)


def test_members_of_three_with_one_that_is_gone_for_good() -> None:
    variant = replace(SOUND["wait"], members=3, proposers=1)
    found = walk(variant, 3, 25, 60, 5)
    assert not found.violation, (found.violation, found.trail)
