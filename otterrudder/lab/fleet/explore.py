"""Explores orders of events of any model: breadth first to a depth, by random walks, or along a scenario.

A search stops at the first state that violates a guarantee, and reports the events that led to it. Each
state that is reached is checked. For some states the search also ends all faults and checks that the fleet
recovers."""

import random
from collections import deque
from collections.abc import Callable, Hashable, Iterable, Sequence
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

RECOVERY_INTERVAL = 64  # the recovery of one state in 64 is checked; it costs as much as 100 other states
OPTIONAL = "~"  # prefix of a scenario's event that is skipped if it is not possible


class Explorable(Protocol):
    """A state of a model, with the events that led to it and the checks of its guarantees."""

    trail: tuple[str, ...]

    def violation(self) -> str:
        """Returns the guarantee that is violated now, or "" if all hold."""

    def recovery_violation(self) -> str:
        """Returns the guarantee that is violated after all faults end, or "" if all hold."""

    def fingerprint(self) -> Hashable:
        """Returns a value that is equal for two states that behave the same from here on."""


S = TypeVar("S", bound=Explorable)


@dataclass(frozen=True, slots=True)
class Step(Generic[S]):
    """An event that may follow, and the state that it leads to or a function that returns that state."""

    name: str
    target: S | Callable[[], S]

    def next_state(self) -> S:
        """Returns the state after the event."""
        return self.target() if callable(self.target) else self.target


@dataclass(frozen=True, slots=True)
class SearchResult:
    """The result of a search. `violation` is the violated guarantee, or "" for none; `trail` holds the events
    that led to it."""

    states: int
    depth: int
    violation: str = ""
    trail: tuple[str, ...] = ()


def breadth_first(
    first: S, successors: Callable[[S], Iterable[S]], depth: int, max_states: int = 1_000_000
) -> SearchResult:
    """Searches all orders of events up to the depth, so that a violation is found with as few events as
    possible."""
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
            if deepest < max_depth:  # states at the maximum depth are checked, but not expanded
                queue.append(state)
    return SearchResult(len(seen), deepest)


def random_walk(
    state: S,
    steps: Callable[[S], Sequence[Step[S]]],
    weight: Callable[[str], float],
    rng: random.Random,
    length: int,
) -> SearchResult:
    """Applies random events in sequence, and checks that the last state recovers."""
    for count in range(1, length + 1):
        choices = steps(state)
        weights = [weight(step.name) for step in choices]
        state = rng.choices(choices, weights)[0].next_state()
        if violation := state.violation():
            return SearchResult(count, len(state.trail), violation, state.trail)
    return SearchResult(length, len(state.trail), state.recovery_violation(), state.trail)


def replay(state: S, steps: Callable[[S], Sequence[Step[S]]], scenario: tuple[str, ...]) -> S:
    """Returns the state that the events of a scenario lead to.

    Each event is given by the start of its name. An event with the prefix OPTIONAL is skipped if it is not
    possible; otherwise ValueError is raised."""
    for event in scenario:
        name = event.removeprefix(OPTIONAL)
        step = next((step for step in steps(state) if step.name.startswith(name)), None)
        if step:
            state = step.next_state()
        elif name == event:
            possible = sorted(step.name for step in steps(state))
            raise ValueError(
                f"event {event!r} is not possible after {state.trail}; possible events: {possible}"
            )
    return state
