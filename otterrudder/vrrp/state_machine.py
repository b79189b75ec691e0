"""The state machine of one group on one router, RFC 9568 section 6: events in, actions out, nothing else.

Events: `start`, `shutdown`, `hear` (an advert that passed every check), `due` (a timer, by its number),
`reprioritise`. Actions, in order: `Send`, `Timer` (the one timer there is, armed anew), `Became`. Times are
ms on the caller's clock.

Beyond the RFC, both as operators know them: a preempt delay (a router that could preempt waits that long,
and obeys the present master meanwhile) and a priority that facts lower. A master whose priority falls stays
master until a better one preempts it: it goes on advertising, with what it has.

The Accept_Mode of the RFC is about packets to the addresses; here it is handed on as a fact only."""

from dataclasses import dataclass
from enum import Enum

from otterrudder.vrrp.packet import LEAVING, OWNER, Address

DOWN_TIMES = 3  # advert intervals without one until the master is taken to be down (RFC, section 6.1)


class State(Enum):
    INITIALIZE = "initialize"
    BACKUP = "backup"
    MASTER = "master"


@dataclass(frozen=True, slots=True)
class Send:
    """Advertise now, with this priority and one's own interval."""

    priority: int


@dataclass(frozen=True, slots=True)
class Timer:
    """The one timer is due at `at`; an earlier one is void. inf: none."""

    at: float
    number: int


@dataclass(frozen=True, slots=True)
class Became:
    state: State
    before: State
    why: str


Action = Send | Timer | Became


class Machine:
    __slots__ = (
        "accepts",
        "address",
        "base_interval",
        "delay_until",
        "interval",
        "number",
        "preempt_delay",
        "preempts",
        "priority",
        "state",
        "timer_at",
    )

    def __init__(
        self,
        address: Address,
        priority: int,
        interval_ms: float,
        *,
        preempts: bool = True,
        preempt_delay_ms: float = 0.0,
        accepts: bool = False,
    ) -> None:
        """`address`: one's primary address, which breaks a tie; `priority`: 1 to 255."""
        self.address, self.priority = address, priority
        self.base_interval = interval_ms  # one's own, as configured
        self.interval = interval_ms  # the master's, as learned
        self.preempts, self.preempt_delay, self.accepts = preempts, preempt_delay_ms, accepts
        self.state = State.INITIALIZE
        self.delay_until: float | None = None  # until when one that could preempt obeys
        self.number = 0
        self.timer_at = float("inf")

    @property
    def skew(self) -> float:
        """Skew_Time: the better the priority, the sooner it takes over."""
        return (256 - self.priority) * self.interval / 256

    @property
    def down_interval(self) -> float:
        """Active_Down_Interval."""
        return DOWN_TIMES * self.interval + self.skew

    def start(self, now: float) -> list[Action]:
        if self.state is not State.INITIALIZE:
            return []
        if self.priority == OWNER:
            return self._take_over(now, "owner")
        self.interval = self.base_interval
        self.delay_until = None
        return [self._became(State.BACKUP, "start"), self._arm(now + self.down_interval)]

    def shutdown(self, now: float) -> list[Action]:
        """Priority 0 first where one is master, so that another takes over within a skew."""
        if self.state is State.INITIALIZE:
            return []
        sends: list[Action] = [Send(LEAVING)] if self.state is State.MASTER else []
        return [*sends, self._arm(float("inf")), self._became(State.INITIALIZE, "shutdown")]

    def due(self, now: float, number: int) -> list[Action]:
        """The timer of that number is due; one that was armed anew since says nothing."""
        if number != self.number or now < self.timer_at or self.state is State.INITIALIZE:
            return []
        if self.state is State.MASTER:
            return [Send(self.priority), self._arm(now + self.interval)]
        return self._take_over(now, "the master is silent")

    def hear(self, now: float, priority: int, interval_ms: float, sender: Address) -> list[Action]:
        """A valid advert of another router."""
        if self.state is State.BACKUP:
            return self._hear_as_backup(now, priority, interval_ms)
        if self.state is State.MASTER:
            return self._hear_as_master(now, priority, interval_ms, sender)
        return []

    def reprioritise(self, now: float, priority: int) -> list[Action]:
        """Facts have changed the priority. A backup's timer follows its skew; a master says so at once."""
        if priority == self.priority:
            return []
        worse = priority < self.priority
        self.priority = priority
        if self.state is State.MASTER:
            return [Send(priority), self._arm(now + self.interval)]
        if self.state is State.BACKUP:
            left = self.timer_at - now
            # What is left of the wait grows or shrinks by the change of skew, and is never cut below the
            # skew.
            return [self._arm(now + max(left, self.skew))] if worse else []
        return []

    def _hear_as_backup(self, now: float, priority: int, interval_ms: float) -> list[Action]:
        if priority == LEAVING:
            return [self._arm(now + self.skew)]
        if priority >= self.priority or not self.preempts or self._obeys_for_now(now):
            if priority >= self.priority:
                self.delay_until = None
            self.interval = interval_ms
            return [self._arm(now + self.down_interval)]
        return []  # a worse master is not heard: the timer runs out

    def _obeys_for_now(self, now: float) -> bool:
        """Whether one that could preempt still holds back."""
        if self.delay_until is None:
            self.delay_until = now + self.preempt_delay
        return now < self.delay_until

    def _hear_as_master(self, now: float, priority: int, interval_ms: float, sender: Address) -> list[Action]:
        if priority == LEAVING:
            return [Send(self.priority), self._arm(now + self.interval)]
        if (priority, int(sender)) > (self.priority, int(self.address)):
            self.interval = interval_ms
            self.delay_until = None
            return [self._became(State.BACKUP, "a better master"), self._arm(now + self.down_interval)]
        # A worse one thinks itself master: it is told at once (RFC 9568, section 6.4.3).
        return [Send(self.priority), self._arm(now + self.interval)]

    def _take_over(self, now: float, why: str) -> list[Action]:
        self.interval = self.base_interval
        self.delay_until = None
        return [self._became(State.MASTER, why), Send(self.priority), self._arm(now + self.interval)]

    def _became(self, state: State, why: str) -> Became:
        before, self.state = self.state, state
        return Became(state, before, why)

    def _arm(self, at: float) -> Timer:
        self.number += 1
        self.timer_at = at
        return Timer(at, self.number)
