"""The state machine of one virtual router on one router (RFC 9568, section 6): events in, actions out. Pure.

Events: `start`, `shutdown`, `handle_advertisement` (one that passed every check), `handle_timer` (by its
number), `set_priority`. Actions, in order: `SendAdvertisement`, `Timer` (the only timer, set anew),
`StateChange`. Times are ms on the caller's clock.

Two additions to the RFC, both common among routers: a preempt delay (a router that could preempt obeys the
present master for that long), and a priority that tracked objects lower. A master whose priority falls stays
master, and keeps advertising, until a better router preempts it.

The RFC's Accept_Mode concerns packets to the virtual addresses; it is only kept as a fact here."""

import math
from dataclasses import dataclass
from enum import Enum

from otterrudder.vrrp.packet import OWNER_PRIORITY, STOP_PRIORITY, Address

MASTER_DOWN_INTERVALS = 3  # without an advertisement until the master counts as down (RFC, section 6.1)


class State(Enum):
    """The states of RFC 9568; MASTER is its Active."""

    INITIALIZE = "initialize"
    BACKUP = "backup"
    MASTER = "master"


@dataclass(frozen=True, slots=True)
class SendAdvertisement:
    """Advertise now, with this priority and the router's own interval."""

    priority: int


@dataclass(frozen=True, slots=True)
class Timer:
    """Call `handle_timer` with this number at `at`; replaces the earlier timer. inf: no timer."""

    at: float
    number: int


@dataclass(frozen=True, slots=True)
class StateChange:
    """The state machine has entered `state`."""

    state: State
    previous: State
    reason: str


Action = SendAdvertisement | Timer | StateChange


class StateMachine:
    """A virtual router's state, its timer, and the interval learned from the master."""

    __slots__ = (
        "accepts",
        "address",
        "interval",
        "own_interval",
        "preempt_delay",
        "preempt_delay_until",
        "preempts",
        "priority",
        "state",
        "timer_at",
        "timer_number",
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
        """`address`: the router's primary address, which breaks a tie; `priority`: 1 to 255."""
        self.address = address
        self.priority = priority
        self.own_interval = interval_ms  # as configured
        self.interval = interval_ms  # the master's, as learned
        self.preempts = preempts
        self.preempt_delay = preempt_delay_ms
        self.accepts = accepts
        self.state = State.INITIALIZE
        self.preempt_delay_until: float | None = None  # until when a better backup obeys the master
        self.timer_number = 0
        self.timer_at = math.inf

    @property
    def skew_time(self) -> float:
        """Skew_Time: the higher the priority, the sooner the router takes over."""
        return (256 - self.priority) * self.interval / 256

    @property
    def master_down_interval(self) -> float:
        """Active_Down_Interval."""
        return MASTER_DOWN_INTERVALS * self.interval + self.skew_time

    def start(self, now: float) -> list[Action]:
        """The Startup event."""
        if self.state is not State.INITIALIZE:
            return []
        if self.priority == OWNER_PRIORITY:
            return self._become_master(now, "owner")
        self.interval = self.own_interval
        self.preempt_delay_until = None
        return [self._enter(State.BACKUP, "start"), self._set_timer(now + self.master_down_interval)]

    def shutdown(self, now: float) -> list[Action]:
        """The Shutdown event; a master first sends priority 0, so that another takes over within a skew."""
        if self.state is State.INITIALIZE:
            return []
        actions: list[Action] = []
        if self.state is State.MASTER:
            actions.append(SendAdvertisement(STOP_PRIORITY))
        actions.append(self._set_timer(math.inf))
        actions.append(self._enter(State.INITIALIZE, "shutdown"))
        return actions

    def handle_timer(self, now: float, number: int) -> list[Action]:
        """The timer of that number is due; one that was replaced since is ignored."""
        if number != self.timer_number or now < self.timer_at or self.state is State.INITIALIZE:
            return []
        if self.state is State.MASTER:
            return self._advertise(now)
        return self._become_master(now, "the master is silent")

    def handle_advertisement(
        self, now: float, priority: int, interval_ms: float, sender: Address
    ) -> list[Action]:
        """A valid advertisement of another router."""
        if self.state is State.BACKUP:
            return self._handle_as_backup(now, priority, interval_ms)
        if self.state is State.MASTER:
            return self._handle_as_master(now, priority, interval_ms, sender)
        return []

    def set_priority(self, now: float, priority: int) -> list[Action]:
        """Tracked objects have changed the priority: a master advertises it, a worse backup waits longer."""
        if priority == self.priority:
            return []
        is_lower = priority < self.priority
        self.priority = priority
        if self.state is State.MASTER:
            return self._advertise(now)
        if self.state is State.BACKUP and is_lower:
            remaining = self.timer_at - now
            return [self._set_timer(now + max(remaining, self.skew_time))]
        return []

    def _handle_as_backup(self, now: float, priority: int, interval_ms: float) -> list[Action]:
        if priority == STOP_PRIORITY:
            return [self._set_timer(now + self.skew_time)]
        is_not_lower = priority >= self.priority
        if is_not_lower or not self.preempts or self._delays_preemption(now):
            if is_not_lower:
                self.preempt_delay_until = None
            self.interval = interval_ms
            return [self._set_timer(now + self.master_down_interval)]
        return []  # a worse master is ignored: the timer runs out

    def _delays_preemption(self, now: float) -> bool:
        """Whether the preempt delay still runs; the first call starts it."""
        if self.preempt_delay_until is None:
            self.preempt_delay_until = now + self.preempt_delay
        return now < self.preempt_delay_until

    def _handle_as_master(
        self, now: float, priority: int, interval_ms: float, sender: Address
    ) -> list[Action]:
        if priority != STOP_PRIORITY and (priority, int(sender)) > (self.priority, int(self.address)):
            self.interval = interval_ms
            self.preempt_delay_until = None
            change = self._enter(State.BACKUP, "a better master")
            return [change, self._set_timer(now + self.master_down_interval)]
        # A worse master steps down on hearing this router (RFC 9568, section 6.4.3).
        return self._advertise(now)

    def _become_master(self, now: float, reason: str) -> list[Action]:
        self.interval = self.own_interval
        self.preempt_delay_until = None
        return [self._enter(State.MASTER, reason), *self._advertise(now)]

    def _advertise(self, now: float) -> list[Action]:
        return [SendAdvertisement(self.priority), self._set_timer(now + self.interval)]

    def _enter(self, state: State, reason: str) -> StateChange:
        previous = self.state
        self.state = state
        return StateChange(state, previous, reason)

    def _set_timer(self, at: float) -> Timer:
        self.timer_number += 1
        self.timer_at = at
        return Timer(at, self.timer_number)
