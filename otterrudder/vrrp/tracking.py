"""Tracked objects: facts about this server that lower a group's priority while they are bad. Does no I/O.

A flapping fact must not make mastership flap. A fact lowers the priority once it has been bad for `fall_ms`
without interruption, and stops lowering it once it has been good for `rise_ms` without interruption. Each
time that it lowers the priority again within `forget_ms`, `rise_ms` doubles, up to a maximum factor."""

from collections.abc import Iterable, Mapping

import msgspec

from otterrudder.vrrp.packet import OWNER_PRIORITY

MAX_RISE_FACTOR = 16.0  # maximum factor on `rise_ms`
MIN_PRIORITY = 1  # lowest priority that still takes part in the election
FACTS = frozenset({"runtime", "records", "late", "level", "unhealthy"})  # the facts that a server reports


class TrackedObject(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fact that lowers the priority: `[[group.track]]` of the configuration file."""

    fact: str
    lowers: int  # the amount by which the fact lowers the priority
    fall_ms: float = 500.0
    rise_ms: float = 3000.0
    forget_ms: float = 60_000.0


class _FactState:
    """Whether a tracked object lowers the priority, with its delays."""

    __slots__ = ("differs_since", "is_lowering", "rise_factor", "stopped_at", "tracked")

    def __init__(self, tracked: TrackedObject) -> None:
        self.tracked = tracked
        self.is_lowering = False
        self.differs_since: float | None = None  # start in ms of the difference from `is_lowering`
        self.stopped_at: float | None = None  # when the fact last stopped lowering, in ms
        self.rise_factor = 1.0

    def step(self, now: float, is_bad: bool | None) -> None:
        """Handles a reading of the fact. An unknown fact (None) changes nothing."""
        if is_bad is None or is_bad == self.is_lowering:
            self.differs_since = None
            return
        if self.differs_since is None:
            self.differs_since = now
        delay = self.tracked.fall_ms if is_bad else self.tracked.rise_ms * self.rise_factor
        if now - self.differs_since < delay:
            return
        self.is_lowering = is_bad
        self.differs_since = None
        if not is_bad:
            self.stopped_at = now
        elif self.stopped_at is not None:
            is_early = now - self.stopped_at < self.tracked.forget_ms
            self.rise_factor = min(self.rise_factor * 2, MAX_RISE_FACTOR) if is_early else 1.0


class PriorityTracker:
    """The priority of a group: its base priority, lowered by tracked objects."""

    def __init__(self, base_priority: int, tracked: Iterable[TrackedObject]) -> None:
        self.base_priority = base_priority
        self._states = {item.fact: _FactState(item) for item in tracked}

    def step(self, now: float, facts: Mapping[str, bool]) -> int:
        """Returns the priority at `now` ms. `facts` says whether a fact is bad; a missing fact is unknown."""
        for fact, state in self._states.items():
            state.step(now, facts.get(fact))
        return self.priority

    @property
    def priority(self) -> int:
        """The present priority. The priority of an owner is never lowered (RFC 9568, section 5.2.4)."""
        if self.base_priority == OWNER_PRIORITY:
            return OWNER_PRIORITY
        lowered_by = sum(state.tracked.lowers for state in self._states.values() if state.is_lowering)
        return max(self.base_priority - lowered_by, MIN_PRIORITY)

    @property
    def lowering_facts(self) -> list[str]:
        """The facts that lower the priority at present."""
        return [fact for fact, state in self._states.items() if state.is_lowering]
