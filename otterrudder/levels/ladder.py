"""Which level of reduced service is in force: a ladder climbed one rung at a time by facts handed in.

A server calls `step` once a tick with what it knows. Full service is rung 0. What is promised:

- One step a call at most, up or down; never a step within the least stay of the rung that is left, nor back
  up to the lowest rung within its own.
- In on a mean over the entry's window; out only when the exit's whole window was calm, a longer one.
- A rung entered again soon after it was left is damped: it stays and must be calm longer, up to a bound.
- A fact that is not known, or was not long enough, neither gets in nor out.
- Every rung has a way out. Where all is calm but what is asked for (which may be the same callers coming
  again unmarked), it is left on trial after a stated time, and the damping keeps trials rare.

Times are ms on the caller's clock. No I/O, clock or chance of its own: `spread` (0 to 1) is the instance's
own, so that a fleet does not leave in step."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from otterrudder.admission.interface import ServiceLevel
from otterrudder.levels.window import Window

# facts of what is asked for, not of how it goes: a trial passes over them
ASKED = frozenset({"demand", "retries"})
# share by which the latest of a fleet stays longer than the first: some ticks apart at least
SPREAD_MOST = 0.5
FULL = "full"  # the name of full service


class Reason(Enum):
    """What moved the ladder."""

    ENTRY = "entry"  # the next rung's conditions to enter
    EXIT = "exit"  # this rung's conditions to leave
    TRIAL = "trial"  # all is calm but what is asked for, for long enough to try
    TABLE = "table"  # another table


@dataclass(frozen=True, slots=True)
class Bound:
    """A fact and its threshold: met at or above to enter, at or below to leave."""

    fact: str
    value: float


@dataclass(frozen=True, slots=True)
class Damping:
    """How a rung holds longer each time that it is entered soon after it was left."""

    times: float = 2.0  # factor on stay and calm for each return
    most: float = 8.0  # the largest factor
    # a return later than this after leaving counts for nothing; each one forgets one
    forget_ms: float = 120_000.0


@dataclass(frozen=True, slots=True)
class Rung:
    """A level: when it is entered and left, and what the module is told while it is in force."""

    name: str
    entry: tuple[Bound, ...]
    entry_ms: float
    exit: tuple[Bound, ...]
    exit_ms: float
    stay_ms: float
    trial_ms: float
    relief: ServiceLevel
    needs_all: bool = False  # of its entry conditions; else any one is enough


@dataclass(frozen=True, slots=True)
class Reading:
    """A fact as it stood when it moved the ladder."""

    fact: str
    value: float
    bound: float


@dataclass(frozen=True, slots=True)
class Move:
    """One step, with what caused it."""

    at: float
    left: str
    entered: str
    reason: Reason
    readings: tuple[Reading, ...]
    stay_ms: float  # the least stay now, damping included
    damped: float  # the factor in it
    relief: ServiceLevel
    up: bool  # to less service


@dataclass(slots=True)
class _History:
    """What is remembered of a rung while it is not in force."""

    returns: int = 0  # entered again soon after it was left, so often of late
    left_at: float | None = None


@dataclass(slots=True)
class _Stay:
    """The present stay on a rung."""

    since: float | None = None  # None until the first step: a ladder is made before its clock is known
    calm_since: float | None = None
    trial_since: float | None = None
    factor: float = 1.0


@dataclass(slots=True)
class _Windows:
    """One window for each fact and span that any rung asks for."""

    by_span: dict[tuple[str, float], Window] = field(default_factory=dict)

    def of(self, fact: str, span_ms: float) -> Window:
        return self.by_span[fact, span_ms]

    def want(self, facts: Iterable[str], span_ms: float) -> None:
        for fact in facts:
            self.by_span.setdefault((fact, span_ms), Window(span_ms))

    def add(self, now: float, facts: Mapping[str, float]) -> None:
        for (fact, _), window in self.by_span.items():
            value = facts.get(fact)
            # unknown, or no number: what was known of it is too old to go by
            if value is None or value != value:
                window.clear()
            else:
                window.add(now, value)


class Ladder:
    def __init__(
        self, rungs: tuple[Rung, ...], damping: Damping, *, spread: float = 0.0, start: str = FULL
    ) -> None:
        """`rungs`: mildest first, at least one. `start`: the name of the rung that a fresh process begins
        on."""
        self.rungs, self.damping, self.spread = rungs, damping, spread
        self.position = [FULL, *(rung.name for rung in rungs)].index(start)
        self._stay = _Stay(factor=1.0 + SPREAD_MOST * spread)
        self._history = {rung.name: _History() for rung in rungs}
        self._windows = self._windows_of(rungs)

    @property
    def name(self) -> str:
        return self.rungs[self.position - 1].name if self.position else FULL

    @property
    def relief(self) -> ServiceLevel:
        """What the module is to be told now; full service trims nothing."""
        if not self.position:
            return ServiceLevel(FULL)
        rung = self.rungs[self.position - 1]
        return replace(rung.relief, min_duration_ms=rung.stay_ms * self._stay.factor)

    def stayed(self, now: float) -> float:
        """ms on the present rung."""
        return now - self._stay.since if self._stay.since is not None else 0.0

    def step(self, now: float, facts: Mapping[str, float]) -> Move | None:
        """The move that `facts` at `now` call for, if any. A fact left out is not known."""
        if self._stay.since is None:
            self._stay.since = now
        self._windows.add(now, facts)
        self._note_calm(now)
        if readings := self._wants_up(now):
            return self._go(now, self.position + 1, Reason.ENTRY, readings)
        if self.position:
            if readings := self._may_leave(now, self._stay.calm_since, self._rung.stay_ms, asked=True):
                return self._go(now, self.position - 1, Reason.EXIT, readings)
            if readings := self._may_leave(now, self._stay.trial_since, self._rung.trial_ms, asked=False):
                return self._go(now, self.position - 1, Reason.TRIAL, readings)
        return None

    def replace(self, rungs: tuple[Rung, ...], damping: Damping, now: float) -> Move | None:
        """Another table while a level may be in force: the rung of the same name stays, its stay goes on;
        where there is none, the one at its height (or the highest) takes its place. Windows start anew: what
        was seen was seen by other measures. The move is None if what is in force is the same to the
        letter."""
        left, before = self.name, self.relief
        names = [rung.name for rung in rungs]
        kept = left in names
        self.position = names.index(left) + 1 if kept else min(self.position, len(rungs))
        self._history = {name: self._history.get(name, _History()) for name in names}
        self._windows = self._windows_of(rungs)
        self.rungs, self.damping = rungs, damping
        self._stay.calm_since = self._stay.trial_since = None
        if not kept:
            self._stay.since, self._stay.factor = now, self._factor(self.name)
        if self.relief == before:
            return None
        return self._move(now, left, Reason.TABLE, (), up=False)

    @property
    def _rung(self) -> Rung:
        return self.rungs[self.position - 1]

    @staticmethod
    def _windows_of(rungs: tuple[Rung, ...]) -> _Windows:
        windows = _Windows()
        for rung in rungs:
            windows.want((bound.fact for bound in rung.entry), rung.entry_ms)
            windows.want((bound.fact for bound in rung.exit), rung.exit_ms)
        return windows

    def _wants_up(self, now: float) -> tuple[Reading, ...]:
        """The readings by which the next rung is to be entered; empty if it is not. What was seen before the
        last step is not held against the rung that answered it: the window must have passed since."""
        if self.position == len(self.rungs):
            return ()
        rung = self.rungs[self.position]
        stay = rung.stay_ms if self._history[rung.name].left_at is not None else 0.0
        stay = self._rung.stay_ms if self.position else stay  # undamped: damping is for the way out
        if self.stayed(now) < max(rung.entry_ms, stay):
            return ()
        met = []
        for bound in rung.entry:
            window = self._windows.of(bound.fact, rung.entry_ms)
            if window.full(now) and window.mean() >= bound.value:
                met.append(Reading(bound.fact, window.mean(), bound.value))
        enough = len(met) == len(rung.entry) if rung.needs_all else bool(met)
        return tuple(met) if enough else ()

    def _note_calm(self, now: float) -> None:
        """Since when the whole window of the exit has been calm, with and without what is asked for."""
        stay = self._stay
        if not self.position or self.stayed(now) < self._rung.exit_ms:
            stay.calm_since = stay.trial_since = None
            return
        loud = [bound for bound in self._rung.exit if not self._is_calm(bound, now)]
        if loud:
            stay.calm_since = None
        elif stay.calm_since is None:
            stay.calm_since = now
        if any(bound.fact not in ASKED for bound in loud):
            stay.trial_since = None
        elif stay.trial_since is None:
            stay.trial_since = now

    def _is_calm(self, bound: Bound, now: float) -> bool:
        """The mean of the window is under the exit, and no part of it reached back up to the entry."""
        window = self._windows.of(bound.fact, self._rung.exit_ms)
        if not window.full(now) or window.mean() > bound.value:
            return False
        entries = [entry.value for entry in self._rung.entry if entry.fact == bound.fact]
        return not entries or window.worst() < min(entries)

    def _may_leave(self, now: float, since: float | None, stay_ms: float, asked: bool) -> tuple[Reading, ...]:
        factor, rung = self._stay.factor, self._rung
        longer = (factor - 1.0) * rung.exit_ms  # the window itself has been calm at `since`
        if since is None or now - since < longer or self.stayed(now) < max(stay_ms, rung.stay_ms) * factor:
            return ()
        return tuple(
            Reading(bound.fact, self._windows.of(bound.fact, rung.exit_ms).mean(), bound.value)
            for bound in rung.exit
            if asked or bound.fact not in ASKED
        )

    def _go(self, now: float, position: int, reason: Reason, readings: tuple[Reading, ...]) -> Move:
        left, up = self.name, position > self.position
        if not up:
            self._history[left].left_at = now
        self.position = position
        if up:
            history = self._history[self.name]
            if history.left_at is not None:
                gone = int((now - history.left_at) / self.damping.forget_ms)
                history.returns = max(history.returns - gone, 0) if gone else history.returns + 1
        self._stay = _Stay(since=now, factor=self._factor(self.name))
        return self._move(now, left, reason, readings, up)

    def _factor(self, name: str) -> float:
        if name not in self._history:
            return 1.0
        spread = 1.0 + SPREAD_MOST * self.spread
        damped: float = min(self.damping.times ** min(self._history[name].returns, 64), self.damping.most)
        return damped * spread

    def _move(self, now: float, left: str, reason: Reason, readings: tuple[Reading, ...], up: bool) -> Move:
        relief = self.relief
        return Move(
            now, left, self.name, reason, readings, relief.min_duration_ms, self._stay.factor, relief, up
        )
