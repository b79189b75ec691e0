"""Explores orders of events, whatever the model: breadth first to a depth, by random walks, or along a story.

A search stops at the first state that violates a promise, and reports the events that led to it. Each state
that is reached is checked; some also recover with all faults over, to see that they come to agree."""

import random
from collections import deque
from collections.abc import Callable, Hashable, Iterable, Sequence
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

RECOVERY_INTERVAL = 64  # states from one that recovers to the next: that costs as much as a hundred others
OPTIONAL = "~"  # before an event of a story that may not be possible


class Explorable(Protocol):
    """A state of a model: the events that led to it, and what it promises."""

    trail: tuple[str, ...]

    def violation(self) -> str:
        """Which promise does not hold now; "": all do."""

    def recovery_violation(self) -> str:
        """Which promise does not hold once all faults are over and it is quiescent; "": all do."""

    def fingerprint(self) -> Hashable:
        """Equal for two states from which the same follows."""


S = TypeVar("S", bound=Explorable)


@dataclass(frozen=True, slots=True)
class Step(Generic[S]):
    """An event that may follow, by name, and the state that it leads to, or how to get there."""

    name: str
    target: S | Callable[[], S]

    def next_state(self) -> S:
        """The state after it."""
        return self.target() if callable(self.target) else self.target


@dataclass(frozen=True, slots=True)
class SearchResult:
    """What a search found: how many states, how deep, and the violation where it stopped ("": none)."""

    states: int
    depth: int
    violation: str = ""
    trail: tuple[str, ...] = ()


def breadth_first(
    first: S, successors: Callable[[S], Iterable[S]], depth: int, max_states: int = 1_000_000
) -> SearchResult:
    """Every order of events to the depth, so that what is found is as short as it can be."""
    if violation := first.violation():
        return SearchResult(1, 0, violation, first.trail)
    max_depth = depth + len(first.trail)
    seen, queue = {hash(first.fingerprint())}, deque([first])
    deepest = len(first.trail)
    while queue and depth > 0 and len(seen) < max_states:
        for state in successors(queue.popleft()):
            fingerprint = hash(state.fingerprint())
            if fingerprint in seen:
                continue
            seen.add(fingerprint)
            deepest = len(state.trail)
            violation = state.violation()
            if not violation and len(seen) % RECOVERY_INTERVAL == 0:
                violation = state.recovery_violation()
            if violation:
                return SearchResult(len(seen), deepest, violation, state.trail)
            if deepest < max_depth:  # those at the depth itself are checked, and need not be kept
                queue.append(state)
    return SearchResult(len(seen), deepest)


def random_walk(
    state: S,
    steps: Callable[[S], Sequence[Step[S]]],
    weight: Callable[[str], float],
    rng: random.Random,
    length: int,
) -> SearchResult:
    """One long order of events; its end recovers."""
    for count in range(1, length + 1):
        choices = steps(state)
        weights = [weight(step.name) for step in choices]
        state = rng.choices(choices, weights)[0].next_state()
        if violation := state.violation():
            return SearchResult(count, len(state.trail), violation, state.trail)
    return SearchResult(length, len(state.trail), state.recovery_violation(), state.trail)


def replay(state: S, steps: Callable[[S], Sequence[Step[S]]], scenario: tuple[str, ...]) -> S:
    """The state that these events lead to, each named by how its name starts; an OPTIONAL one is passed over
    where it can't follow."""
    for event in scenario:
        name = event.removeprefix(OPTIONAL)
        step = next((step for step in steps(state) if step.name.startswith(name)), None)
        if step:
            state = step.next_state()
        elif name == event:
            possible = sorted(step.name for step in steps(state))
            raise ValueError(f"{event!r} can't follow {state.trail}: {possible}")
    return state
