"""Searches of the model of a fleet's members: all orders of events to a depth, and random walks from a
seed."""

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

# The kinds of events. An event is of the first kind whose text its label contains.
EVENT_KINDS = (
    "time passes",
    "backup is taken",
    "backup answers",
    "empty store",
    "itself answers",
    "dies",
    "starts",
    "freezes",
    "thaws",
    "is cut off",
    "healed",
    "full disk",
    "free disk space",
    "is removed",
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
LOG_WEIGHTS = (-2.5, 1.5)  # range of the logarithm of a kind's weight in a walk
FAULT_SEED = 7
FAULT_WALKS = 600  # random walks in the search for a seeded fault
FAULT_WALK_LENGTH = 60  # events of a walk
FAULT_WALK_MAX_FAULTS = 6  # maximum number of faults of a walk


def search(
    variant: Variant,
    depth: int,
    max_faults: int,
    max_states: int = 1_000_000,
    stage: Stage = Stage.QUIESCENT,
    scenario: tuple[str, ...] = (),
) -> SearchResult:
    """Searches all orders of events to a depth, breadth first from a stage or from the end of a scenario."""

    def next_states(state: ModelState) -> Iterator[ModelState]:
        return successors(state, max_faults)

    return explore.breadth_first(
        replay(state_at_stage(variant, stage), scenario), next_states, depth, max_states
    )


def walk(variant: Variant, seed: int, walks: int, length: int, max_faults: int) -> SearchResult:
    """Searches by random walks, which reach a greater depth than a breadth-first search.

    Each walk draws its own weights of events, because walks with equal weights hardly ever reach states that
    need two rare events."""
    count = 0
    for number in range(walks):
        rng = random.Random(f"{seed}/{number}")
        try:
            state = state_at_stage(variant, rng.choice(list(Stage)))
        except NotConvergedError as error:
            return SearchResult(count, 0, str(error))
        result = _walk_from(state, rng, length, max_faults)
        count += result.states
        if result.violation:
            return SearchResult(count, result.depth, result.violation, result.trail)
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
    """Searches for a seeded fault where it shows.

    With `member`, the same search checks that this member violates no guarantee."""
    variant = replace(fault.variant, member=member) if member else fault.variant
    if fault.depth:
        return search(variant, fault.depth, fault.max_faults, stage=fault.stage, scenario=fault.scenario)
    return walk(variant, FAULT_SEED, walks, FAULT_WALK_LENGTH, FAULT_WALK_MAX_FAULTS)


def replay(state: ModelState, scenario: tuple[str, ...]) -> ModelState:
    """Returns the state that the events of a scenario lead to."""
    return explore.replay(state, lambda state: _steps(state, len(scenario)), scenario)


def _steps(state: ModelState, max_faults: int) -> list[Step[ModelState]]:
    return [Step(after.trail[-1], after) for after in successors(state, max_faults)]
