"""The model of cells searched: long orders of events drawn from a seed, every order to a small depth, and the
hunt for faults that were put in."""

import math
import random
import re
from collections.abc import Iterator
from dataclasses import replace
from functools import cache, partial

from otterrudder.fleet.cell.participant import Participant
from otterrudder.fleet.cell.relay import Relay
from otterrudder.lab.fleet import explore
from otterrudder.lab.fleet.cell_events import after, events, happen
from otterrudder.lab.fleet.cell_model import (
    CellStage,
    CellVariant,
    CellWorld,
    NotConvergedError,
    settled,
    staged,
)
from otterrudder.lab.fleet.cell_seeded_faults import CellHunt
from otterrudder.lab.fleet.explore import Found, Step

LENGTH = 100  # events of a drawn walk
MAX_FAULTS = 8  # of them that harm
HUNT_WALKS = 400
HUNT_SEED = 7
HARM_SHARE = 0.3  # of the weight of other events
PEACEFUL = ("all is delivered", "time goes on")  # without which nothing gets anywhere
PEACEFUL_WEIGHT = 3.0
_PARTS = re.compile(r"\b[rs]\d+(\.-?\d+)?")  # of an event's name: who it happens to


@cache
def _calm(variant: CellVariant) -> CellWorld:
    return settled(variant)


def search(
    variant: CellVariant, depth: int, harm_most: int, stage: CellStage, max_states: int = 1_000_000
) -> Found:
    """Breadth first from a stage."""

    def following(world: CellWorld) -> Iterator[CellWorld]:
        return (after(world, event) for event in events(world, harm_most))

    return explore.breadth_first(staged(_calm(variant), stage), following, depth, max_states)


def walk(variant: CellVariant, seed: int | str, walks: int) -> Found:
    """Long orders, drawn, each with leanings of its own and from a stage of its own."""
    count = 0
    for n in range(walks):
        chance = random.Random(f"{seed}/{n}")
        try:
            world = staged(_calm(variant), chance.choice(list(CellStage)))
        except NotConvergedError as why:
            return Found(count, 0, str(why))
        found = _walk_from(world, chance)
        count += found.states
        if found.violation:
            return Found(count, found.depth, found.violation, found.trail)
    return Found(count, LENGTH)


def _walk_from(world: CellWorld, chance: random.Random) -> Found:
    harm_most = chance.randint(1, MAX_FAULTS)
    leanings: dict[str, float] = {}

    def weight(name: str) -> float:
        kind = _PARTS.sub("", name)
        if kind not in leanings:
            leanings[kind] = math.exp(chance.uniform(-2.5, 1.5))
            leanings[kind] *= PEACEFUL_WEIGHT if name in PEACEFUL else 1.0
        return leanings[kind]

    def steps(world: CellWorld) -> list[Step[CellWorld]]:
        return [Step(event.name, partial(_take, world, event)) for event in events(world, harm_most)]

    return explore.random_walk(world, steps, weight, chance, LENGTH)


def _take(world: CellWorld, event: object) -> CellWorld:
    happen(world, event)  # type: ignore[arg-type]
    return world


def hunt(
    what: CellHunt,
    walks: int = HUNT_WALKS,
    relay: type[Relay] | None = None,
    participant: type[Participant] | None = None,
) -> Found:
    """Looks for a fault where it shows; with parts, whether others go that way unharmed."""
    variant = replace(
        what.variant,
        relay=relay or what.variant.relay,
        participant=participant or what.variant.participant,
    )
    if not what.story:
        return walk(variant, HUNT_SEED, walks)
    try:
        return tell(variant, what.stage, what.story)
    except NotConvergedError as why:
        return Found(0, 0, str(why))


def tell(variant: CellVariant, stage: CellStage, story: tuple[str, ...]) -> Found:
    """One order of events, looked at after each, and left in peace at its end."""
    world, count = staged(_calm(variant), stage), 0

    def steps(world: CellWorld) -> list[Step[CellWorld]]:
        return [Step(event.name, partial(after, world, event)) for event in events(world, len(story))]

    for event in story:
        world, count = explore.replay(world, steps, (event,)), count + 1
        if trouble := world.violation():
            return Found(count, len(world.trail), trouble, world.trail)
    return Found(count, len(world.trail), world.recovery_violation(), world.trail)
