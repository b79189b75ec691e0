"""The model of a fleet's members searched: every order of events to a stated depth, and long orders drawn
from a seed."""

import math
import random
from collections.abc import Iterator
from dataclasses import replace

from otterrudder.fleet.member import Member
from otterrudder.lab.fleet import explore
from otterrudder.lab.fleet.explore import Found, Step
from otterrudder.lab.fleet.model import ModelState, Variant
from otterrudder.lab.fleet.model_events import following
from otterrudder.lab.fleet.model_stages import NotConvergedError, Stage, staged
from otterrudder.lab.fleet.seeded_faults import Hunt

# What events are told apart by, in the words of their labels; the first that fits counts.
KINDS = (
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


def search(
    variant: Variant,
    depth: int,
    max_faults: int,
    max_states: int = 1_000_000,
    stage: Stage = Stage.QUIESCENT,
    story: tuple[str, ...] = (),
) -> Found:
    """Breadth first from a change that has come so far, and from the end of a story, if one is told."""

    def then(state: ModelState) -> Iterator[ModelState]:
        return following(state, max_faults)

    return explore.breadth_first(replay(staged(variant, stage), story), then, depth, max_states)


def walk(variant: Variant, seed: int, walks: int, length: int, max_faults: int) -> Found:
    """Long orders, drawn: what lies deeper than any search by breadth gets. Each walk has its own leanings,
    for one that does a little of everything gets to nothing that is rare twice over."""
    count = 0
    for n in range(walks):
        chance = random.Random(f"{seed}/{n}")
        try:
            state = staged(variant, chance.choice(list(Stage)))
        except NotConvergedError as why:
            return Found(count, 0, str(why))
        found = _walk_from(state, chance, length, max_faults)
        count += found.states
        if found.violation:
            return Found(count, found.depth, found.violation, found.trail)
    return Found(count, length)


def _walk_from(state: ModelState, chance: random.Random, length: int, max_faults: int) -> Found:
    spend = chance.randint(1, max_faults)
    leanings = {kind: math.exp(chance.uniform(-2.5, 1.5)) for kind in KINDS}

    def weight(event: str) -> float:
        return next((leaning for kind, leaning in leanings.items() if kind in event), 1.0)

    return explore.random_walk(state, lambda state: _steps(state, spend), weight, chance, length)


def hunt(what: Hunt, walks: int = 600, member: type[Member] | None = None) -> Found:
    """Looks for a fault where it shows; with `member`, whether another one goes that way unharmed."""
    variant = replace(what.variant, member=member) if member else what.variant
    if what.depth:
        return search(variant, what.depth, what.faults, stage=what.stage, story=what.story)
    return walk(variant, 7, walks, 60, 6)


def replay(state: ModelState, story: tuple[str, ...]) -> ModelState:
    """The state that these events lead to."""
    return explore.replay(state, lambda state: _steps(state, len(story)), story)


def _steps(state: ModelState, max_faults: int) -> list[Step[ModelState]]:
    return [Step(then.trail[-1], then) for then in following(state, max_faults)]
