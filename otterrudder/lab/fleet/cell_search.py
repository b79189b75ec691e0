"""Searches of the model of cells: long orders of events drawn from a seed, every order to a small depth, and
the search for seeded faults."""

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
from otterrudder.lab.fleet.cell_stages import CellStage, NotConvergedError, converged, staged
from otterrudder.lab.fleet.cell_variants import CellVariant
from otterrudder.lab.fleet.explore import Found, Step

WALK_LENGTH = 100  # events
MAX_FAULTS = 8  # of them that are faults
FAULT_WALKS = 400
FAULT_SEED = 7
PROGRESS = ("all is delivered", "time passes")  # events without which nothing gets anywhere
PROGRESS_WEIGHT = 3.0
LOG_WEIGHTS = (-2.5, 1.5)  # from which the weight of an event is drawn
_PLACES = re.compile(r"\b[rs]\d+(\.-?\d+)?")  # in an event's name: what it happens to


@cache
def _converged(variant: CellVariant) -> CellModel:
    return converged(variant)


def search(
    variant: CellVariant, depth: int, max_faults: int, stage: CellStage, max_states: int = 1_000_000
) -> Found:
    """Every order of events to a depth, breadth first from a stage."""

    def following(model: CellModel) -> Iterator[CellModel]:
        return (successor(model, event) for event in events(model, max_faults))

    return explore.breadth_first(staged(_converged(variant), stage), following, depth, max_states)


def walk(variant: CellVariant, seed: int | str, walks: int) -> Found:
    """Long random orders, each with its own weights of events and from a stage of its own."""
    count = 0
    for number in range(walks):
        chance = random.Random(f"{seed}/{number}")
        try:
            model = staged(_converged(variant), chance.choice(list(CellStage)))
        except NotConvergedError as error:
            return Found(count, 0, str(error))
        found = _walk_from(model, chance)
        count += found.states
        if found.violation:
            return Found(count, found.depth, found.violation, found.trail)
    return Found(count, WALK_LENGTH)


class _EventWeights:
    """A weight for each kind of event, drawn when it is first asked for."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._weights: dict[str, float] = {}

    def of(self, name: str) -> float:
        """The weight of the event with this name."""
        kind = _PLACES.sub("", name)
        if kind not in self._weights:
            factor = PROGRESS_WEIGHT if name in PROGRESS else 1.0
            self._weights[kind] = math.exp(self._chance.uniform(*LOG_WEIGHTS)) * factor
        return self._weights[kind]


def _walk_from(model: CellModel, chance: random.Random) -> Found:
    max_faults = chance.randint(1, MAX_FAULTS)
    weights = _EventWeights(chance)

    def steps(model: CellModel) -> list[Step[CellModel]]:
        return [Step(event.name, partial(_apply, model, event)) for event in events(model, max_faults)]

    return explore.random_walk(model, steps, weights.of, chance, WALK_LENGTH)


def _apply(model: CellModel, event: Event) -> CellModel:
    apply_event(model, event)
    return model


def find_fault(
    fault: SeededFault,
    walks: int = FAULT_WALKS,
    relay: type[Relay] | None = None,
    participant: type[Participant] | None = None,
) -> Found:
    """Looks for a seeded fault where it shows; with other parts, whether they pass there without it."""
    variant = replace(
        fault.variant,
        relay=relay or fault.variant.relay,
        participant=participant or fault.variant.participant,
    )
    if not fault.story:
        return walk(variant, FAULT_SEED, walks)
    try:
        return replay(variant, fault.stage, fault.story)
    except NotConvergedError as error:
        return Found(0, 0, str(error))


def replay(variant: CellVariant, stage: CellStage, story: tuple[str, ...]) -> Found:
    """One order of events, with the promises checked after each, and the recovery at its end."""
    model = staged(_converged(variant), stage)

    def steps(model: CellModel) -> list[Step[CellModel]]:
        return [Step(event.name, partial(successor, model, event)) for event in events(model, len(story))]

    for count, event in enumerate(story, 1):
        model = explore.replay(model, steps, (event,))
        if violation := model.violation():
            return Found(count, len(model.trail), violation, model.trail)
    return Found(len(story), len(model.trail), model.recovery_violation(), model.trail)
