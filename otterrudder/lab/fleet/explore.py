"""Orders of events, whatever the model: breadth first to a depth, drawn from a seed, or told.

A search stops at the first state in which a promise does not hold, and tells the events that led to it. Each
state that is reached is checked; some are left in peace as well, to see that they come to agree."""

import random
from collections import deque
from collections.abc import Callable, Hashable, Iterable, Sequence
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

PEACE_EVERY = 64  # worlds from one that is left in peace to the next: that costs as much as a hundred others


class Explorable(Protocol):
    """A state of a model: the events that led to it, and what it promises."""

    trail: tuple[str, ...]

    def violation(self) -> str: ...

    def recovery_violation(self) -> str: ...

    def fingerprint(self) -> Hashable: ...


W = TypeVar("W", bound=Explorable)


@dataclass(frozen=True, slots=True)
class Step(Generic[W]):
    """An event that may follow, by name, and the state that it leads to, or how to get there."""

    name: str
    then: W | Callable[[], W]

    def take(self) -> W:
        return self.then() if callable(self.then) else self.then


@dataclass(frozen=True, slots=True)
class Found:
    states: int
    depth: int
    violation: str = ""
    trail: tuple[str, ...] = ()


def breadth_first(
    first: W, following: Callable[[W], Iterable[W]], depth: int, max_states: int = 1_000_000
) -> Found:
    """Every order of events to the depth, so that what is found is as short as it can be."""
    if trouble := first.violation():
        return Found(1, 0, trouble, first.trail)
    depth += len(first.trail)
    seen, todo = {hash(first.fingerprint())}, deque([first])
    deepest = len(first.trail)
    while todo and depth > len(first.trail) and len(seen) < max_states:
        state = todo.popleft()
        for then in following(state):
            key = hash(then.fingerprint())
            if key in seen:
                continue
            seen.add(key)
            deepest = len(then.trail)
            if trouble := then.violation() or (
                then.recovery_violation() if len(seen) % PEACE_EVERY == 0 else ""
            ):
                return Found(len(seen), deepest, trouble, then.trail)
            if deepest < depth:  # those at the depth itself are looked at, and need not be kept
                todo.append(then)
    return Found(len(seen), deepest)


def random_walk(
    state: W,
    steps: Callable[[W], Sequence[Step[W]]],
    weight: Callable[[str], float],
    chance: random.Random,
    length: int,
) -> Found:
    """One long order, drawn; its end is left in peace."""
    for count in range(1, length + 1):
        choices = steps(state)
        weights = [weight(step.name) for step in choices]
        state = chance.choices(choices, weights)[0].take()
        if trouble := state.violation():
            return Found(count, len(state.trail), trouble, state.trail)
    return Found(length, len(state.trail), state.recovery_violation(), state.trail)


def replay(state: W, steps: Callable[[W], Sequence[Step[W]]], story: tuple[str, ...]) -> W:
    """The state that these events lead to, each named by how its name starts; with ~, passed over where it
    can't follow."""
    for event in story:
        name = event.removeprefix("~")
        step = next((step for step in steps(state) if step.name.startswith(name)), None)
        if step is None and name != event:
            continue
        if step is None:
            can = sorted(step.name for step in steps(state))
            raise ValueError(f"{event!r} can't follow {state.trail}: {can}")
        state = step.take()
    return state
