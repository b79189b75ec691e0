"""Every order of events of a small fleet to a stated depth, and long orders drawn from a seed.

The search stops at the first world in which a promise does not hold and tells the events that led to it.
Each world that is reached is checked; every
`PEACE_EVERY`th is left in peace as well, to see that it comes to agree."""

import math
import random
from collections import deque
from dataclasses import dataclass, replace

from otterrudder.fleet.member import Member
from otterrudder.lab.fleet.faults import Hunt
from otterrudder.lab.fleet.model import Apart, Stage, Variant, World, following, staged

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
PEACE_EVERY = 64  # worlds from one that is left in peace to the next: that costs as much as a hundred others


@dataclass(frozen=True, slots=True)
class Found:
    worlds: int
    depth: int
    broken: str = ""
    trail: tuple[str, ...] = ()


def search(
    variant: Variant,
    depth: int,
    faults_most: int,
    worlds_most: int = 1_000_000,
    stage: Stage = Stage.CALM,
    story: tuple[str, ...] = (),
) -> Found:
    """Breadth first from a change that has come so far, and from the end of a story, if one is told; so that
    what is found is as short as it can be."""
    first = told(staged(variant, stage), story)
    if trouble := first.broken():
        return Found(1, 0, trouble, first.trail)
    depth += len(first.trail)
    seen, todo = {hash(first.key())}, deque([first])
    deepest = len(first.trail)
    while todo and depth > len(first.trail) and len(seen) < worlds_most:
        world = todo.popleft()
        for then in following(world, faults_most):
            key = hash(then.key())
            if key in seen:
                continue
            seen.add(key)
            deepest = len(then.trail)
            if trouble := then.broken() or (then.in_peace() if len(seen) % PEACE_EVERY == 0 else ""):
                return Found(len(seen), deepest, trouble, then.trail)
            if deepest < depth:  # those at the depth itself are looked at, and need not be kept
                todo.append(then)
    return Found(len(seen), deepest)


def walk(variant: Variant, seed: int, walks: int, length: int, faults_most: int) -> Found:
    """Long orders, drawn: what lies deeper than any search by breadth gets. Each walk has its own leanings,
    for one that does a little of everything gets to nothing that is rare twice over."""
    count = 0
    for n in range(walks):
        chance = random.Random(f"{seed}/{n}")
        try:
            world = staged(variant, chance.choice(list(Stage)))
        except Apart as why:
            return Found(count, 0, str(why))
        spend = chance.randint(1, faults_most)
        leanings = {kind: math.exp(chance.uniform(-2.5, 1.5)) for kind in KINDS}
        for _ in range(length):
            choices = list(following(world, spend))
            weights = [_weight(then.trail[-1], leanings) for then in choices]
            world = chance.choices(choices, weights)[0]
            count += 1
            if trouble := world.broken():
                return Found(count, len(world.trail), trouble, world.trail)
        if trouble := world.in_peace():
            return Found(count, len(world.trail), trouble, world.trail)
    return Found(count, length)


def hunt(what: Hunt, walks: int = 600, member: type[Member] | None = None) -> Found:
    """Looks for a fault where it shows; with `member`, whether another one goes that way unharmed."""
    variant = replace(what.variant, member=member) if member else what.variant
    if what.depth:
        return search(variant, what.depth, what.faults, stage=what.stage, story=what.story)
    return walk(variant, 7, walks, 60, 6)


def told(world: World, story: tuple[str, ...]) -> World:
    """The world that these events lead to, each named by how its label starts; with ~, passed over where it
    can't follow."""
    for event in story:
        name = event.removeprefix("~")
        then = next((w for w in following(world, len(story)) if w.trail[-1].startswith(name)), None)
        if then is None and name != event:
            continue
        if then is None:
            can = sorted(w.trail[-1] for w in following(world, len(story)))
            raise ValueError(f"{event!r} can't follow {world.trail}: {can}")
        world = then
    return world


def _weight(event: str, leanings: dict[str, float]) -> float:
    return next((leaning for kind, leaning in leanings.items() if kind in event), 1.0)
