"""The admission gate of a group: decides from the VRRP state whether its requests are admitted. Does no I/O.

    closed     backup: requests are not admitted
    open       master: requests are admitted
    held       master again soon after losing mastership: requests are not admitted until the hold-down ends
    draining   backup that was open: answers the requests it has read, until the hand-over time ends
    retired    the process is shutting down: the gate never opens again

`TRANSITIONS` is the complete table. `python -m otterrudder.vrrp.admission_gate` prints it for the docs. The
hold-down grows each time the group becomes master again within `forget_ms` of losing mastership, so that a
flapping node does not serve. While the gate is not open, the admission controller rejects new requests at
once."""

import math
from dataclasses import dataclass
from enum import Enum

import msgspec

from otterrudder.admission.interface import RequestScope
from otterrudder.vrrp.state_machine import State

MAX_DOUBLINGS = 32  # maximum number of doublings of the hold-down; keeps the power finite


class GateState(Enum):
    """The states of the gate. The module docstring describes them."""

    CLOSED = "closed"
    OPEN = "open"
    HELD = "held"
    DRAINING = "draining"
    RETIRED = "retired"


class GateEvent(Enum):
    """The events that change the state of the gate."""

    MASTER = "became master"
    BACKUP = "became backup"
    DEADLINE = "its time is up"
    SHUTDOWN = "SIGTERM"


@dataclass(frozen=True, slots=True)
class SetAdmission:
    """A command for the admission controller: admit the requests of `scope`, or stop and drain them."""

    scope: RequestScope
    is_admitted: bool
    drain_ms: float = 0.0  # time in which the requests that were read are answered


class HoldDown(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[hold_down]` of the configuration file: how long a flapping master does not admit requests."""

    first_ms: float = 1000.0  # hold-down of the first return within forget_ms; doubles with each return
    max_ms: float = msgspec.field(default=60_000.0, name="most_ms")
    forget_ms: float = (
        30_000.0  # time after which a return does not count; each such period forgets one return
    )


# While a hold-down is running, MASTER leads to HELD instead of OPEN.
TRANSITIONS: dict[tuple[GateState, GateEvent], GateState] = {
    (GateState.CLOSED, GateEvent.MASTER): GateState.OPEN,
    (GateState.CLOSED, GateEvent.BACKUP): GateState.CLOSED,
    (GateState.CLOSED, GateEvent.DEADLINE): GateState.CLOSED,
    (GateState.OPEN, GateEvent.MASTER): GateState.OPEN,
    (GateState.OPEN, GateEvent.BACKUP): GateState.DRAINING,
    (GateState.OPEN, GateEvent.DEADLINE): GateState.OPEN,
    (GateState.HELD, GateEvent.MASTER): GateState.HELD,
    (GateState.HELD, GateEvent.BACKUP): GateState.CLOSED,
    (GateState.HELD, GateEvent.DEADLINE): GateState.OPEN,
    (GateState.DRAINING, GateEvent.MASTER): GateState.OPEN,
    (GateState.DRAINING, GateEvent.BACKUP): GateState.DRAINING,
    (GateState.DRAINING, GateEvent.DEADLINE): GateState.CLOSED,
}
TRANSITIONS |= {(state, GateEvent.SHUTDOWN): GateState.RETIRED for state in GateState}
TRANSITIONS |= {(GateState.RETIRED, event): GateState.RETIRED for event in GateEvent}


class AdmissionGate:
    """The admission gate of one group. It is closed at the start."""

    def __init__(self, scope: RequestScope, hand_over_ms: float, hold_down: HoldDown) -> None:
        self.scope = scope
        self.hand_over_ms = hand_over_ms
        self.hold_down = hold_down
        self.state = GateState.CLOSED
        self.deadline = math.inf  # ms; when the hold-down or the hand-over ends, inf in other states
        self.returns = 0  # number of recent returns to mastership soon after losing it
        self._left_at: float | None = None
        self._held_until = 0.0

    def initial_commands(self) -> list[SetAdmission]:
        """Returns the commands for a new admission controller, which admits all requests by default."""
        return [] if self.state is GateState.OPEN else [SetAdmission(self.scope, False)]

    def handle_state(self, now: float, state: State) -> list[SetAdmission]:
        """Handles a new state of the VRRP state machine: master or not."""
        return self._handle(now, GateEvent.MASTER if state is State.MASTER else GateEvent.BACKUP)

    def handle_deadline(self, now: float) -> list[SetAdmission]:
        """Handles the end of the hold-down or hand-over if the deadline has passed."""
        return self._handle(now, GateEvent.DEADLINE) if now >= self.deadline else []

    def begin_shutdown(self, now: float) -> list[SetAdmission]:
        """Retires the gate. There are no more commands, because the process drains all requests itself."""
        return self._handle(now, GateEvent.SHUTDOWN)

    def _handle(self, now: float, event: GateEvent) -> list[SetAdmission]:
        previous = self.state
        state = TRANSITIONS[previous, event]
        if event is GateEvent.MASTER and state is GateState.OPEN and previous is not GateState.OPEN:
            self._count_return(now)
            state = GateState.HELD if now < self._held_until else state
        if state is previous:
            return []
        if event is GateEvent.BACKUP and previous in (GateState.OPEN, GateState.HELD):
            self._left_at = now
        self.state = state
        self.deadline = self._deadline_of(state, now)
        return self._commands(previous, state)

    def _deadline_of(self, state: GateState, now: float) -> float:
        if state is GateState.HELD:
            return self._held_until
        if state is GateState.DRAINING:
            return now + self.hand_over_ms
        return math.inf

    def _commands(self, previous: GateState, state: GateState) -> list[SetAdmission]:
        """Returns the commands for a transition.

        Held and closed gates are already drained, and a retired gate is drained with the process, so only
        opening and draining need a command."""
        if state is GateState.OPEN:
            return [SetAdmission(self.scope, True)]
        if previous is GateState.OPEN and state is GateState.DRAINING:
            return [SetAdmission(self.scope, False, self.hand_over_ms)]
        return []

    def _count_return(self, now: float) -> None:
        """Counts an early return to mastership and starts its hold-down. A late return reduces the count."""
        if self._left_at is None:
            return
        absence_ms = now - self._left_at
        if absence_ms >= self.hold_down.forget_ms:
            self.returns = max(self.returns - int(absence_ms / self.hold_down.forget_ms), 0)
            return
        self.returns += 1
        span_ms = self.hold_down.first_ms * 2.0 ** min(self.returns - 1, MAX_DOUBLINGS)
        self._held_until = now + min(span_ms, self.hold_down.max_ms)


def transition_table() -> str:
    """Returns the transitions as a Markdown table for the docs."""
    lines = ["| gate | " + " | ".join(event.value for event in GateEvent) + " |"]
    lines.append("| --- |" + " --- |" * len(GateEvent))
    for state in GateState:
        targets = (TRANSITIONS[state, event].value for event in GateEvent)
        lines.append(f"| {state.value} | " + " | ".join(targets) + " |")
    return "\n".join(lines)


if __name__ == "__main__":
    print(transition_table())
