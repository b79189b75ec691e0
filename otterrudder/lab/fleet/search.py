"""Searches of the model of a fleet's members: every order of events to a stated depth, and long random walks
from a seed."""

import math
import random
from collections.abc import Iterator
from dataclasses import replace

from otterrudder.fleet.member import Member
from otterrudder.lab.fleet import explore
from otterrudder.lab.fleet.explore import SearchResult, Step
from otterrudder.lab.fleet.model import ModelState, Variant
from otterrudder.lab.fleet.model_events import successors
from otterrudder.lab.fleet.model_stages import NotConvergedError, Stage, state_at_stage
from otterrudder.lab.fleet.seeded_faults import SeededFault

# The kinds of events, by words of their labels; the first that matches counts.
EVENT_KINDS = (
    "time goes on",
    "copied",
    "copy answers",
    "empty store",
    "itself answers",
    "dies",
    "starts",
    "freezes",
    "wakes",
    "is cut off",
    "healed",
    "no room",
    "has room",
    "gone",
    "answer lost",
    "given up",
    "slow answer",
    "late count",
    "count: commit",
    "propose",
    "count",
    "vote",
    "register",
    "read",
)
LOG_WEIGHTS = (-2.5, 1.5)  # between which the logarithm of a kind's weight in a walk is drawn
FAULT_SEED = 7
FAULT_WALKS = 600
FAULT_WALK_LENGTH = 60  # events of a walk
FAULT_WALK_MAX_FAULTS = 6  # at most in a walk


def search(
    variant: Variant,
    depth: int,
    max_faults: int,
    max_states: int = 1_000_000,
    stage: Stage = Stage.QUIESCENT,
    scenario: tuple[str, ...] = (),
) -> SearchResult:
    """Breadth first from a stage, and from the end of a story, if one is given."""

    def next_states(state: ModelState) -> Iterator[ModelState]:
        return successors(state, max_faults)

    return explore.breadth_first(
        replay(state_at_stage(variant, stage), scenario), next_states, depth, max_states
    )


def walk(variant: Variant, seed: int, walks: int, length: int, max_faults: int) -> SearchResult:
    """Random walks: they get deeper than any search by breadth. Each has its own weights, for one that does a
    little of everything gets to nothing that is rare twice over."""
    count = 0
    for number in range(walks):
        rng = random.Random(f"{seed}/{number}")
        try:
            state = state_at_stage(variant, rng.choice(list(Stage)))
        except NotConvergedError as error:
            return SearchResult(count, 0, str(error))
        found = _walk_from(state, rng, length, max_faults)
        count += found.states
        if found.violation:
            return SearchResult(count, found.depth, found.violation, found.trail)
    return SearchResult(count, length)


def _walk_from(state: ModelState, rng: random.Random, length: int, max_faults: int) -> SearchResult:
    walk_faults = rng.randint(1, max_faults)
    weights = {kind: math.exp(rng.uniform(*LOG_WEIGHTS)) for kind in EVENT_KINDS}

    def weight(event: str) -> float:
        return next((weight for kind, weight in weights.items() if kind in event), 1.0)

    return explore.random_walk(state, lambda state: _steps(state, walk_faults), weight, rng, length)


def find_fault(
    fault: SeededFault, walks: int = FAULT_WALKS, member: type[Member] | None = None
) -> SearchResult:
    """Looks for a seeded fault where it shows; with `member`, whether that member keeps its promises
    there."""
    variant = replace(fault.variant, member=member) if member else fault.variant
    if fault.depth:
        return search(variant, fault.depth, fault.max_faults, stage=fault.stage, scenario=fault.scenario)
    return walk(variant, FAULT_SEED, walks, FAULT_WALK_LENGTH, FAULT_WALK_MAX_FAULTS)


def replay(state: ModelState, scenario: tuple[str, ...]) -> ModelState:
    """The state that these events lead to."""
    return explore.replay(state, lambda state: _steps(state, len(scenario)), scenario)


def _steps(state: ModelState, max_faults: int) -> list[Step[ModelState]]:
    return [Step(after.trail[-1], after) for after in successors(state, max_faults)]
