"""Searches of the model of cells: random walks from a seed, all orders of events to a small depth, and the
search for seeded faults."""

import math
import random
import re
from collections.abc import Iterator
from dataclasses import replace
from functools import cache, partial

from otterrudder.fleet.cell.participant import Participant
from otterrudder.fleet.cell.relay import Relay
from otterrudder.lab.fleet import explore
from otterrudder.lab.fleet.cell_event import Event
from otterrudder.lab.fleet.cell_events import apply_event, events, successor
from otterrudder.lab.fleet.cell_model import CellModel
from otterrudder.lab.fleet.cell_seeded_faults import SeededFault
from otterrudder.lab.fleet.cell_stages import CellStage, NotConvergedError, converged_model, model_at_stage
from otterrudder.lab.fleet.cell_variants import CellVariant
from otterrudder.lab.fleet.explore import SearchResult, Step

WALK_LENGTH = 100  # events of a random walk
MAX_FAULTS = 8  # maximum number of faults of a random walk
FAULT_WALKS = 400  # random walks in the search for a seeded fault
FAULT_SEED = 7
PROGRESS = ("all is delivered", "time passes")  # events without which the fleet makes no progress
PROGRESS_WEIGHT = 3.0
LOG_WEIGHTS = (-2.5, 1.5)  # range of the logarithm of an event's weight
_PROCESS_NAMES = re.compile(r"\b[rs]\d+(\.-?\d+)?")  # the relays and servers in an event's name


@cache
def _converged_model(variant: CellVariant) -> CellModel:
    return converged_model(variant)


def search(
    variant: CellVariant, depth: int, max_faults: int, stage: CellStage, max_states: int = 1_000_000
) -> SearchResult:
    """Searches all orders of events to a depth, breadth first from a stage."""

    def successors(model: CellModel) -> Iterator[CellModel]:
        return (successor(model, event) for event in events(model, max_faults))

    return explore.breadth_first(
        model_at_stage(_converged_model(variant), stage), successors, depth, max_states
    )


def walk(variant: CellVariant, seed: int | str, walks: int) -> SearchResult:
    """Searches by random walks. Each walk draws its own stage and its own weights of events."""
    count = 0
    for number in range(walks):
        rng = random.Random(f"{seed}/{number}")
        try:
            model = model_at_stage(_converged_model(variant), rng.choice(list(CellStage)))
        except NotConvergedError as error:
            return SearchResult(count, 0, str(error))
        result = _walk_from(model, rng)
        count += result.states
        if result.violation:
            return SearchResult(count, result.depth, result.violation, result.trail)
    return SearchResult(count, WALK_LENGTH)


class _EventWeights:
    """Weights of the kinds of events; each is drawn when it is first needed."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._weights: dict[str, float] = {}

    def of(self, name: str) -> float:
        """Returns the weight of the event with this name."""
        kind = _PROCESS_NAMES.sub("", name)
        if kind not in self._weights:
            factor = PROGRESS_WEIGHT if name in PROGRESS else 1.0
            self._weights[kind] = math.exp(self._rng.uniform(*LOG_WEIGHTS)) * factor
        return self._weights[kind]


def _walk_from(model: CellModel, rng: random.Random) -> SearchResult:
    max_faults = rng.randint(1, MAX_FAULTS)
    weights = _EventWeights(rng)

    def steps(model: CellModel) -> list[Step[CellModel]]:
        return [Step(event.name, partial(_apply, model, event)) for event in events(model, max_faults)]

    return explore.random_walk(model, steps, weights.of, rng, WALK_LENGTH)


def _apply(model: CellModel, event: Event) -> CellModel:
    apply_event(model, event)
    return model


def find_fault(
    fault: SeededFault,
    walks: int = FAULT_WALKS,
    relay: type[Relay] | None = None,
    participant: type[Participant] | None = None,
) -> SearchResult:
    """Searches for a seeded fault where it shows.

    With `relay` or `participant`, the same search checks that this part violates no guarantee."""
    variant = replace(
        fault.variant,
        relay=relay or fault.variant.relay,
        participant=participant or fault.variant.participant,
    )
    if not fault.scenario:
        return walk(variant, FAULT_SEED, walks)
    try:
        return replay(variant, fault.stage, fault.scenario)
    except NotConvergedError as error:
        return SearchResult(0, 0, str(error))


def replay(variant: CellVariant, stage: CellStage, scenario: tuple[str, ...]) -> SearchResult:
    """Applies a scenario, checks the guarantees after each event, and checks the recovery at the end."""
    model = model_at_stage(_converged_model(variant), stage)

    def steps(model: CellModel) -> list[Step[CellModel]]:
        return [Step(event.name, partial(successor, model, event)) for event in events(model, len(scenario))]

    for count, event in enumerate(scenario, 1):
        model = explore.replay(model, steps, (event,))
        if violation := model.violation():
            return SearchResult(count, len(model.trail), violation, model.trail)
    return SearchResult(len(scenario), len(model.trail), model.recovery_violation(), model.trail)
