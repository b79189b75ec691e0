"""Tracked objects: facts about this server that lower a group's priority while they are bad. Pure.

A fact that flaps must not make mastership flap. It counts once it has been bad for `fall_ms` without a break,
and stops counting once it has been good for `rise_ms` without a break. Each time that it counts again within
`forget_ms` of stopping, `rise_ms` doubles, up to a maximum factor."""

from collections.abc import Iterable, Mapping

import msgspec

from otterrudder.vrrp.packet import OWNER_PRIORITY

MAX_RISE_FACTOR = 16.0
MIN_PRIORITY = 1  # that still takes part in the election
FACTS = frozenset({"runtime", "records", "late", "level", "unhealthy"})  # that a server can report


class TrackedObject(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fact and by how much it lowers the priority: `[[group.track]]` of the configuration file."""

    fact: str
    lowers: int
    fall_ms: float = 500.0
    rise_ms: float = 3000.0
    forget_ms: float = 60_000.0


class _FactState:
    """Whether a tracked object counts, with its delays."""

    __slots__ = ("counts", "differs_since", "rise_factor", "stopped_at", "tracked")

    def __init__(self, tracked: TrackedObject) -> None:
        self.tracked = tracked
        self.counts = False
        self.differs_since: float | None = None  # since when the fact differs from `counts`
        self.stopped_at: float | None = None
        self.rise_factor = 1.0

    def step(self, now: float, is_bad: bool | None) -> None:
        """Plays one reading; None: unknown, nothing changes."""
        if is_bad is None or is_bad == self.counts:
            self.differs_since = None
            return
        if self.differs_since is None:
            self.differs_since = now
        delay = self.tracked.fall_ms if is_bad else self.tracked.rise_ms * self.rise_factor
        if now - self.differs_since < delay:
            return
        self.counts = is_bad
        self.differs_since = None
        if not is_bad:
            self.stopped_at = now
        elif self.stopped_at is not None:
            is_early = now - self.stopped_at < self.tracked.forget_ms
            self.rise_factor = min(self.rise_factor * 2, MAX_RISE_FACTOR) if is_early else 1.0


class PriorityTracker:
    """The priority of a group: its base, lowered by the tracked objects that count."""

    def __init__(self, base_priority: int, tracked: Iterable[TrackedObject]) -> None:
        self.base_priority = base_priority
        self._states = {item.fact: _FactState(item) for item in tracked}

    def step(self, now: float, facts: Mapping[str, bool]) -> int:
        """The priority at `now` ms. `facts`: whether each is bad; one that is left out is unknown."""
        for fact, state in self._states.items():
            state.step(now, facts.get(fact))
        return self.priority

    @property
    def priority(self) -> int:
        """The priority now; an owner's is never lowered (RFC 9568, section 5.2.4)."""
        if self.base_priority == OWNER_PRIORITY:
            return OWNER_PRIORITY
        lowered_by = sum(state.tracked.lowers for state in self._states.values() if state.counts)
        return max(self.base_priority - lowered_by, MIN_PRIORITY)

    @property
    def lowering_facts(self) -> list[str]:
        """The facts that lower the priority now."""
        return [fact for fact, state in self._states.items() if state.counts]
