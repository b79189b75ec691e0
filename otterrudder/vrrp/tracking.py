"""What lowers a group's priority: facts about this server, each with its weight, slow to count and slower to
forget.

A fact that flaps must not make mastership flap: it counts once it has been bad for `fall_ms` without a
break, and no longer once it has been good for `rise_ms` without a break; each time that it counts again
within `forget_ms` of going, `rise_ms` doubles, up to `RISE_MOST` times. Pure: facts and the time come in, a
priority goes out."""

from collections.abc import Iterable, Mapping

import msgspec

RISE_MOST = 16.0  # the largest factor on `rise_ms`
LEAST = 1  # the lowest priority that still takes part: 0 says that the master goes
OWNER = 255  # an owner's is not lowered (RFC 9568, section 5.2.4)
# The facts there are: what the server that asks may tell.
FACTS = frozenset({"runtime", "records", "late", "level", "unhealthy"})


class Weight(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """By how much a bad fact lowers the priority; read from the operators' file as it is."""

    fact: str
    lowers: int
    fall_ms: float = 500.0
    rise_ms: float = 3000.0
    forget_ms: float = 60_000.0


class _Fact:
    __slots__ = ("counts", "gone_at", "rise", "since", "weight")

    def __init__(self, weight: Weight) -> None:
        self.weight = weight
        self.counts = False
        self.since: float | None = None  # when it began to differ from what counts
        self.gone_at: float | None = None
        self.rise = 1.0  # factor on rise_ms

    def step(self, now: float, is_bad: bool | None) -> None:
        if is_bad is None or is_bad == self.counts:  # not known: what counts stays as it is
            self.since = None
            return
        if self.since is None:
            self.since = now
        weight = self.weight
        if now - self.since < (weight.fall_ms if is_bad else weight.rise_ms * self.rise):
            return
        self.counts, self.since = is_bad, None
        if not is_bad:
            self.gone_at = now
        elif self.gone_at is not None:
            soon = now - self.gone_at < weight.forget_ms
            self.rise = min(self.rise * 2, RISE_MOST) if soon else 1.0


class Track:
    def __init__(self, priority: int, weights: Iterable[Weight]) -> None:
        """`priority`: of the group with nothing wrong."""
        self.base = priority
        self._facts = {weight.fact: _Fact(weight) for weight in weights}

    def step(self, now: float, facts: Mapping[str, bool]) -> int:
        """The priority at `now` ms. `facts`: whether each is bad; one left out is not known."""
        for name, fact in self._facts.items():
            fact.step(now, facts.get(name))
        return self.priority

    @property
    def priority(self) -> int:
        if self.base == OWNER:
            return OWNER
        return max(self.base - sum(f.weight.lowers for f in self._facts.values() if f.counts), LEAST)

    @property
    def counting(self) -> list[str]:
        """The facts that lower it now."""
        return [name for name, fact in self._facts.items() if fact.counts]
