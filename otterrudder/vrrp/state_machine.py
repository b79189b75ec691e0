"""The state machine of one virtual router (RFC 9568, section 6). It does no I/O: events return actions.

The events are `start`, `shutdown`, `handle_advertisement` (for advertisements that passed all checks),
`handle_timer` (with the timer's number) and `set_priority`. Each returns its actions in order:
`SendAdvertisement`, `Timer` (which replaces the only timer) and `StateChange`. Times are ms on the caller's
clock.

There are two additions to the RFC, both common among routers: a preempt delay (a router that could preempt
the present master waits that long), and a priority that tracked objects lower. A master whose priority
decreases stays master, and keeps advertising, until a router with a higher priority preempts it.

Accept_Mode of the RFC concerns packets to the virtual addresses. It is stored here but has no effect."""

import math
from dataclasses import dataclass
from enum import Enum

from otterrudder.vrrp.packet import OWNER_PRIORITY, STOP_PRIORITY, Address

MASTER_DOWN_INTERVALS = 3  # missed intervals after which the master is considered down (RFC, section 6.1)


class State(Enum):
    """The states of RFC 9568, which calls MASTER Active."""

    INITIALIZE = "initialize"
    BACKUP = "backup"
    MASTER = "master"


@dataclass(frozen=True, slots=True)
class SendAdvertisement:
    """Send an advertisement now, with this priority and the router's own interval."""

    priority: int


@dataclass(frozen=True, slots=True)
class Timer:
    """Call `handle_timer` with `number` at the time `at`. Replaces the previous timer."""

    at: float  # ms; inf for no timer
    number: int


@dataclass(frozen=True, slots=True)
class StateChange:
    """The state machine has entered `state`."""

    state: State
    previous: State
    reason: str


Action = SendAdvertisement | Timer | StateChange


class StateMachine:
    """The state of a virtual router, its timer, and the interval learned from the master."""

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
        """`address` is the router's primary address, which breaks ties. `priority` is from 1 to 255."""
        self.address = address
        self.priority = priority
        self.own_interval = interval_ms  # the configured interval
        self.interval = interval_ms  # the interval in use: this router's own as master, else the master's
        self.preempts = preempts
        self.preempt_delay = preempt_delay_ms
        self.accepts = accepts
        self.state = State.INITIALIZE
        self.preempt_delay_until: float | None = None  # time until which this router does not preempt
        self.timer_number = 0
        self.timer_at = math.inf

    @property
    def skew_time(self) -> float:
        """Skew_Time in ms: the higher the priority, the sooner the router takes over."""
        return (256 - self.priority) * self.interval / 256

    @property
    def master_down_interval(self) -> float:
        """Active_Down_Interval in ms."""
        return MASTER_DOWN_INTERVALS * self.interval + self.skew_time

    def start(self, now: float) -> list[Action]:
        """The Startup event."""
        if self.state is not State.INITIALIZE:
            return []
        if self.priority == OWNER_PRIORITY:
            return self._become_master(now, "this router owns the address")
        self.interval = self.own_interval
        self.preempt_delay_until = None
        return [self._enter(State.BACKUP, "start"), self._set_timer(now + self.master_down_interval)]

    def shutdown(self, now: float) -> list[Action]:
        """The Shutdown event. A master sends priority 0, so that a backup takes over after its skew time."""
        if self.state is State.INITIALIZE:
            return []
        actions: list[Action] = []
        if self.state is State.MASTER:
            actions.append(SendAdvertisement(STOP_PRIORITY))
        actions.append(self._set_timer(math.inf))
        actions.append(self._enter(State.INITIALIZE, "shutdown"))
        return actions

    def handle_timer(self, now: float, number: int) -> list[Action]:
        """Handles the timer with this number. A timer that has been replaced is ignored."""
        if number != self.timer_number or now < self.timer_at or self.state is State.INITIALIZE:
            return []
        if self.state is State.MASTER:
            return self._advertise(now)
        return self._become_master(now, "no advertisement from the master")

    def handle_advertisement(
        self, now: float, priority: int, interval_ms: float, sender: Address
    ) -> list[Action]:
        """Handles a valid advertisement of another router."""
        if self.state is State.BACKUP:
            return self._handle_as_backup(now, priority, interval_ms)
        if self.state is State.MASTER:
            return self._handle_as_master(now, priority, interval_ms, sender)
        return []

    def set_priority(self, now: float, priority: int) -> list[Action]:
        """Sets the priority after tracked objects changed it.

        A master advertises the new priority. A backup whose priority was lowered waits at least its new
        skew time before it takes over."""
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
        return []  # ignores a lower-priority master, so the timer expires and this router takes over

    def _delays_preemption(self, now: float) -> bool:
        """Whether the preempt delay is still running. The first call starts it."""
        if self.preempt_delay_until is None:
            self.preempt_delay_until = now + self.preempt_delay
        return now < self.preempt_delay_until

    def _handle_as_master(
        self, now: float, priority: int, interval_ms: float, sender: Address
    ) -> list[Action]:
        if priority != STOP_PRIORITY and (priority, int(sender)) > (self.priority, int(self.address)):
            self.interval = interval_ms
            self.preempt_delay_until = None
            change = self._enter(State.BACKUP, "another master takes precedence")
            return [change, self._set_timer(now + self.master_down_interval)]
        # The other master steps down when it receives this advertisement (RFC 9568, section 6.4.3).
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
