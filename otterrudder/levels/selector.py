"""Selects the level of reduced service that is in force, one step at a time, from facts about the server.

The level controller calls `step` once per tick. Position 0 is full service; the levels follow, mildest first.
Guarantees:

- Each call changes the level by at most one position, and never before the minimum stay of the present level
  has passed. Full service returns to the mildest level only after that level's minimum stay.
- A level is entered if the mean over its entry window reaches the entry thresholds. It is left only if its
  facts stayed low over the whole exit window, which is longer.
- A level that is entered again soon after it was left is damped: its minimum stay and the time that its facts
  must stay low grow, up to a maximum factor.
- A fact that is unknown, or that has not been known for a full window, never changes the level.
- Every level can be left. High demand may come only from the same callers, which retry without marking their
  retries. If all facts except the demand stay low for a configured time, the level is left on trial. Damping
  keeps trials rare.

Times are ms on the caller's clock. The module does no I/O, reads no clock and uses no randomness: `spread`
(0 to 1) differs between instances, so that the servers of a fleet do not leave a level at the same time."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from otterrudder.admission.interface import ServiceLevel
from otterrudder.levels.window import SlidingWindow

FULL_SERVICE = "full"  # the name of full service, in tables and log lines
# Facts that describe the callers' demand and not the state of the server. A trial ignores them.
DEMAND_FACTS = frozenset({"demand", "retries"})
MAX_SPREAD = 0.5  # relative difference between the longest and the shortest stay in a fleet
MAX_COUNTED_RETURNS = 64  # maximum exponent of the damping factor; keeps the power finite


class Reason(Enum):
    """The reason for a change of the level."""

    ENTRY = "entry"  # the entry conditions of the next level are met
    EXIT = "exit"  # the exit conditions of this level are met
    TRIAL = "trial"  # all facts except the demand have stayed low for long enough to try a milder level
    TABLE = "table"  # the table of levels was replaced


@dataclass(frozen=True, slots=True)
class Threshold:
    """The limit of a fact: the fact must be at or above it to enter a level, at or below it to leave one."""

    fact: str
    value: float


@dataclass(frozen=True, slots=True)
class Damping:
    """How much longer a level lasts each time it is entered again soon after it was left."""

    factor: float = 2.0  # multiplies the minimum stay and the exit window, once for each return
    max_factor: float = 8.0
    forget_ms: float = (
        120_000.0  # time after which a return does not count; each such period forgets one return
    )


@dataclass(frozen=True, slots=True)
class Level:
    """The entry and exit conditions of a level, and the service level that it sets while it is in force."""

    name: str
    entry: tuple[Threshold, ...]
    entry_ms: float
    exit: tuple[Threshold, ...]
    exit_ms: float
    min_stay_ms: float
    trial_ms: float
    service_level: ServiceLevel
    needs_all: bool = False  # whether all entry thresholds must be reached; otherwise one is enough


@dataclass(frozen=True, slots=True)
class Reading:
    """The mean of a fact, and its threshold, at the time of a transition."""

    fact: str
    value: float
    threshold: float


@dataclass(frozen=True, slots=True)
class Transition:
    """A change of the level in force, with its cause."""

    at: float  # time of the change, in ms
    previous: str
    entered: str
    reason: Reason
    readings: tuple[Reading, ...]
    min_stay_ms: float  # minimum stay on the entered level, with damping
    damping_factor: float
    service_level: ServiceLevel
    is_reduction: bool  # whether the new level restricts more than the previous one


@dataclass(slots=True)
class _History:
    """The past of a level, which determines its damping."""

    returns: int = 0  # number of recent entries soon after the level was left
    left_at: float | None = None  # ms; None if the level was never left


@dataclass(slots=True)
class _Stay:
    """The present stay on a level. Times are in ms."""

    since: float | None = None  # None until the first step, which provides the first time
    below_exit_since: float | None = None  # time since which all facts have met the exit condition
    trial_since: float | None = None  # time since which all but the demand facts have met it
    factor: float = 1.0  # multiplies the minimum stay and the exit window


@dataclass(slots=True)
class FactWindows:
    """The sliding windows of the facts that the levels name, one for each fact and length."""

    by_span: dict[tuple[str, float], SlidingWindow] = field(default_factory=dict)

    @classmethod
    def of_levels(cls, levels: Iterable[Level]) -> "FactWindows":
        """Creates empty windows for all entry and exit conditions of `levels`."""
        windows = cls()
        for level in levels:
            windows._require(level.entry, level.entry_ms)
            windows._require(level.exit, level.exit_ms)
        return windows

    def get(self, fact: str, span_ms: float) -> SlidingWindow:
        """Returns the window of a fact with a length of `span_ms`."""
        return self.by_span[fact, span_ms]

    def add(self, now: float, facts: Mapping[str, float]) -> None:
        """Adds the facts of one tick. Clears the windows of facts that are missing or NaN."""
        for (fact, _), window in self.by_span.items():
            value = facts.get(fact)
            if value is None or value != value:
                window.clear()
            else:
                window.add(now, value)

    def _require(self, thresholds: Iterable[Threshold], span_ms: float) -> None:
        for threshold in thresholds:
            self.by_span.setdefault((threshold.fact, span_ms), SlidingWindow(span_ms))


class LevelSelector:
    """The state machine over full service and the levels of one table."""

    def __init__(
        self, levels: tuple[Level, ...], damping: Damping, *, spread: float = 0.0, start: str = FULL_SERVICE
    ) -> None:
        """`levels` has at least one level, the mildest first. `start` names the level of a new process."""
        self.levels = levels
        self.damping = damping
        self.spread = spread
        self.position = [FULL_SERVICE, *(level.name for level in levels)].index(start)
        self._stay = _Stay(factor=1.0 + MAX_SPREAD * spread)
        self._history = {level.name: _History() for level in levels}
        self._windows = FactWindows.of_levels(levels)

    @property
    def name(self) -> str:
        """The name of the level in force."""
        return self._level.name if self.position else FULL_SERVICE

    @property
    def service_level(self) -> ServiceLevel:
        """The service level that the admission controller has to enforce; full service restricts nothing."""
        if not self.position:
            return ServiceLevel(FULL_SERVICE)
        return replace(self._level.service_level, min_duration_ms=self._level.min_stay_ms * self._stay.factor)

    def time_in_level(self, now: float) -> float:
        """Returns how long the level in force has lasted, in ms."""
        return now - self._stay.since if self._stay.since is not None else 0.0

    def step(self, now: float, facts: Mapping[str, float]) -> Transition | None:
        """Evaluates the facts at `now` and returns the transition, if any. A missing fact is unknown."""
        if self._stay.since is None:
            self._stay.since = now
        self._windows.add(now, facts)
        self._update_below_exit(now)
        if readings := self._entry_readings(now):
            return self._change_to(self.position + 1, now, Reason.ENTRY, readings)
        if not self.position:
            return None
        if readings := self._exit_readings(now):
            return self._change_to(self.position - 1, now, Reason.EXIT, readings)
        if readings := self._trial_readings(now):
            return self._change_to(self.position - 1, now, Reason.TRIAL, readings)
        return None

    def replace_levels(self, levels: tuple[Level, ...], damping: Damping, now: float) -> Transition | None:
        """Replaces the levels, also while one is in force.

        If the new levels include the name of the level in force, that level stays in force and its stay
        continues. Otherwise the level at the same position, or the last level, replaces it. All windows are
        cleared. Returns None if the service level in force does not change."""
        previous = self.name
        previous_service = self.service_level
        names = [level.name for level in levels]
        is_retained = previous in names
        self.position = names.index(previous) + 1 if is_retained else min(self.position, len(levels))
        self._history = {name: self._history.get(name, _History()) for name in names}
        self._windows = FactWindows.of_levels(levels)
        self.levels = levels
        self.damping = damping
        self._stay.below_exit_since = None
        self._stay.trial_since = None
        if not is_retained:
            self._stay.since = now
            self._stay.factor = self._stay_factor(self.name)
        if self.service_level == previous_service:
            return None
        return self._transition(now, previous, Reason.TABLE, (), is_reduction=False)

    @property
    def _level(self) -> Level:
        return self.levels[self.position - 1]

    def _entry_readings(self, now: float) -> tuple[Reading, ...]:
        """Returns the readings that meet the entry condition of the next level, or () if it is not met.

        A whole entry window must have passed since the last transition, because older samples caused it."""
        if self.position == len(self.levels):
            return ()
        level = self.levels[self.position]
        if self.time_in_level(now) < max(level.entry_ms, self._stay_before_entry(level)):
            return ()
        reached = []
        for threshold in level.entry:
            window = self._windows.get(threshold.fact, level.entry_ms)
            if window.is_full(now) and window.mean() >= threshold.value:
                reached.append(Reading(threshold.fact, window.mean(), threshold.value))
        is_enough = len(reached) == len(level.entry) if level.needs_all else bool(reached)
        return tuple(reached) if is_enough else ()

    def _stay_before_entry(self, level: Level) -> float:
        """Returns how long the present level must last before `level` is entered, in ms.

        Damping is not included, because it delays only exits."""
        if self.position:
            return self._level.min_stay_ms
        return level.min_stay_ms if self._history[level.name].left_at is not None else 0.0

    def _update_below_exit(self, now: float) -> None:
        """Updates since when all facts, and all but the demand facts, have met the exit condition."""
        stay = self._stay
        if not self.position or self.time_in_level(now) < self._level.exit_ms:
            stay.below_exit_since = None
            stay.trial_since = None
            return
        exceeded = [threshold for threshold in self._level.exit if not self._is_below_exit(threshold, now)]
        if exceeded:
            stay.below_exit_since = None
        elif stay.below_exit_since is None:
            stay.below_exit_since = now
        if any(threshold.fact not in DEMAND_FACTS for threshold in exceeded):
            stay.trial_since = None
        elif stay.trial_since is None:
            stay.trial_since = now

    def _is_below_exit(self, threshold: Threshold, now: float) -> bool:
        """Whether the window's mean meets the exit threshold and no bucket reaches the entry threshold."""
        window = self._windows.get(threshold.fact, self._level.exit_ms)
        if not window.is_full(now) or window.mean() > threshold.value:
            return False
        entries = [entry.value for entry in self._level.entry if entry.fact == threshold.fact]
        return not entries or window.max_bucket_mean() < min(entries)

    def _exit_readings(self, now: float) -> tuple[Reading, ...]:
        if not self._may_leave(now, self._stay.below_exit_since, self._level.min_stay_ms):
            return ()
        return self._readings(self._level.exit)

    def _trial_readings(self, now: float) -> tuple[Reading, ...]:
        if not self._may_leave(now, self._stay.trial_since, self._level.trial_ms):
            return ()
        return self._readings(
            threshold for threshold in self._level.exit if threshold.fact not in DEMAND_FACTS
        )

    def _may_leave(self, now: float, below_exit_since: float | None, stay_ms: float) -> bool:
        """Whether the exit window and the minimum stay, both with damping, have passed."""
        factor = self._stay.factor
        extra_window_ms = (factor - 1.0) * self._level.exit_ms  # one exit window has already passed
        if below_exit_since is None or now - below_exit_since < extra_window_ms:
            return False
        return self.time_in_level(now) >= max(stay_ms, self._level.min_stay_ms) * factor

    def _readings(self, thresholds: Iterable[Threshold]) -> tuple[Reading, ...]:
        """Returns the means over the exit window, with their thresholds."""
        span_ms = self._level.exit_ms
        return tuple(
            Reading(threshold.fact, self._windows.get(threshold.fact, span_ms).mean(), threshold.value)
            for threshold in thresholds
        )

    def _change_to(
        self, position: int, now: float, reason: Reason, readings: tuple[Reading, ...]
    ) -> Transition:
        previous = self.name
        is_reduction = position > self.position
        if not is_reduction:
            self._history[previous].left_at = now
        self.position = position
        if is_reduction:
            self._count_return(self._history[self.name], now)
        self._stay = _Stay(since=now, factor=self._stay_factor(self.name))
        return self._transition(now, previous, reason, readings, is_reduction)

    def _count_return(self, history: _History, now: float) -> None:
        """Counts an early return to a level. A late return subtracts one for each `forget_ms` since then."""
        if history.left_at is None:
            return
        periods = int((now - history.left_at) / self.damping.forget_ms)
        history.returns = max(history.returns - periods, 0) if periods else history.returns + 1

    def _stay_factor(self, name: str) -> float:
        """Returns the factor on the minimum stay and exit window of a level: its damping times the spread."""
        if name not in self._history:
            return 1.0
        returns = min(self._history[name].returns, MAX_COUNTED_RETURNS)
        damping: float = min(self.damping.factor**returns, self.damping.max_factor)
        return damping * (1.0 + MAX_SPREAD * self.spread)

    def _transition(
        self, now: float, previous: str, reason: Reason, readings: tuple[Reading, ...], is_reduction: bool
    ) -> Transition:
        service_level = self.service_level
        return Transition(
            now,
            previous,
            self.name,
            reason,
            readings,
            service_level.min_duration_ms,
            self._stay.factor,
            service_level,
            is_reduction,
        )
