"""From the state of a group to service: what the module is told, and when. Pure.

    closed     a backup: its part is not admitted
    open       a master: it is
    held       a master that came back soon after it went: not yet admitted, it waits its hold-down out
    draining   was open and is a backup now: answers what it has read until the hand-over's end
    retired    the process itself leaves: nothing brings it back

The table of moves is below, and the docs' is made from it (`python -m otterrudder.vrrp.admission_gate`). A
hold-down grows each time that a group is master again within `forget_ms` of having been left, so a node
that flaps stays out rather than admits for a second; it is the module that answers, at once, what comes
meanwhile."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from otterrudder.admission.interface import RequestScope
from otterrudder.vrrp.state_machine import State


class Door(Enum):
    CLOSED = "closed"
    OPEN = "open"
    HELD = "held"
    DRAINING = "draining"
    RETIRED = "retired"


class Event(Enum):
    MASTER = "became master"
    BACKUP = "became backup"
    DUE = "its time is up"
    RETIRE = "SIGTERM"


@dataclass(frozen=True, slots=True)
class Order:
    """What the module is to be told: the part is served from now on, or left with so long to answer."""

    part: RequestScope
    is_up: bool
    left_ms: float = 0.0


class HoldDown(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How long one that flaps stays out; read from the operators' file as it is."""

    first_ms: float = 1000.0  # at the first return within forget_ms; doubled at each further one
    most_ms: float = 60_000.0
    forget_ms: float = 30_000.0  # a return later than this after leaving is none; each such time forgets one


# What an event does to a door: where it leads. MASTER leads to HELD instead while a hold-down runs.
MOVES: dict[tuple[Door, Event], Door] = {
    (Door.CLOSED, Event.MASTER): Door.OPEN,
    (Door.CLOSED, Event.BACKUP): Door.CLOSED,
    (Door.CLOSED, Event.DUE): Door.CLOSED,
    (Door.OPEN, Event.MASTER): Door.OPEN,
    (Door.OPEN, Event.BACKUP): Door.DRAINING,
    (Door.OPEN, Event.DUE): Door.OPEN,
    (Door.HELD, Event.MASTER): Door.HELD,
    (Door.HELD, Event.BACKUP): Door.CLOSED,
    (Door.HELD, Event.DUE): Door.OPEN,
    (Door.DRAINING, Event.MASTER): Door.OPEN,
    (Door.DRAINING, Event.BACKUP): Door.DRAINING,
    (Door.DRAINING, Event.DUE): Door.CLOSED,
}
MOVES |= {(door, Event.RETIRE): Door.RETIRED for door in Door}
MOVES |= {(Door.RETIRED, event): Door.RETIRED for event in Event}


class Gate:
    """One group's door. It starts closed, and says so itself with its first order (`begin`)."""

    def __init__(self, part: RequestScope, hand_over_ms: float, hold_down: HoldDown) -> None:
        self.part, self.hand_over, self.hold_down = part, hand_over_ms, hold_down
        self.door = Door.CLOSED
        self.due = float("inf")  # when its time is up, for a held or draining one
        self.returns = 0  # master again soon after leaving, so often of late
        self._left_at: float | None = None
        self._free_at = 0.0  # until when a hold-down runs

    def begin(self) -> list[Order]:
        """What a module that has just come up is told: an open door needs no word."""
        return [] if self.door is Door.OPEN else [Order(self.part, False)]

    def became(self, now: float, state: State) -> list[Order]:
        """The machine is in this state from now on."""
        return self._play(now, Event.MASTER if state is State.MASTER else Event.BACKUP)

    def play(self, now: float) -> list[Order]:
        """What is due by now."""
        return self._play(now, Event.DUE) if now >= self.due else []

    def retire(self, now: float) -> list[Order]:
        """The process leaves: the module's own drain answers, so nothing is ordered any more."""
        return self._play(now, Event.RETIRE)

    def _play(self, now: float, event: Event) -> list[Order]:
        before, door = self.door, MOVES[self.door, event]
        if event is Event.MASTER and door is Door.OPEN and before is not Door.OPEN:
            self._note_return(now)
            door = Door.HELD if now < self._free_at else door
        if door is before:
            return []
        if event is Event.BACKUP and before in (Door.OPEN, Door.HELD):
            self._left_at = now
        self.door = door
        self.due = {Door.HELD: self._free_at, Door.DRAINING: now + self.hand_over}.get(door, float("inf"))
        return self._orders(before, door)

    def _orders(self, before: Door, door: Door) -> list[Order]:
        if door is Door.OPEN:
            return [Order(self.part, True)]
        if before is Door.OPEN and door is Door.DRAINING:
            return [Order(self.part, False, self.hand_over)]
        # held, closed and draining are left already, and a retired one is the module's own drain's
        return []

    def _note_return(self, now: float) -> None:
        """Counts a return to mastership, and how long it is held for."""
        if self._left_at is None:
            return
        gone = now - self._left_at
        if gone < self.hold_down.forget_ms:
            self.returns += 1
            span = self.hold_down.first_ms * 2.0 ** min(self.returns - 1, 32)
            self._free_at = now + min(span, self.hold_down.most_ms)
        else:
            self.returns = max(self.returns - int(gone / self.hold_down.forget_ms), 0)


def table() -> str:
    """The moves as a Markdown table, for the docs."""
    lines = ["| door | " + " | ".join(event.value for event in Event) + " |"]
    lines.append("| --- |" + " --- |" * len(Event))
    for door in Door:
        moves = (MOVES[door, event].value for event in Event)
        lines.append(f"| {door.value} | " + " | ".join(moves) + " |")
    return "\n".join(lines)


if __name__ == "__main__":
    print(table())
