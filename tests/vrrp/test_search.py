"""The search finds no order of events that violates VRRP's invariants, and finds each seeded fault."""

import math

import pytest

from otterrudder.lab.vrrp_search import create_machine, search
from otterrudder.vrrp import admission_gate
from otterrudder.vrrp.admission_gate import AdmissionGate, GateEvent, GateState
from otterrudder.vrrp.state_machine import Action, StateMachine, Timer


@pytest.mark.parametrize(("priorities", "depth"), [((200, 100), 12), ((100, 100), 11), ((200, 150, 100), 6)])
def test_no_order_of_events_violates_an_invariant(priorities: tuple[int, ...], depth: int) -> None:
    result = search(priorities, depth)
    assert result.violation is None and result.depth == depth
    assert result.states > 1000


def test_without_preemption_there_is_one_master() -> None:
    assert search((200, 100), 7, lambda n, p: create_machine(n, p, preempts=False)).violation is None


class NeverStepsDown(StateMachine):
    """Does not step down for a master with a higher priority."""

    def _handle_as_master(self, now, priority, interval_ms, sender) -> list[Action]:
        return []


class IgnoresTies(StateMachine):
    """Does not step down for a master with the same priority and a higher address."""

    def _handle_as_master(self, now, priority, interval_ms, sender) -> list[Action]:
        is_tie = priority == self.priority
        return [] if is_tie else super()._handle_as_master(now, priority, interval_ms, sender)


class WaitsForever(StateMachine):
    """Never takes over from a master that stopped with priority 0."""

    def _handle_as_backup(self, now, priority, interval_ms) -> list[Action]:
        return (
            [self._set_timer(math.inf)]
            if priority == 0
            else super()._handle_as_backup(now, priority, interval_ms)
        )


class NeverPreempts(StateMachine):
    """Accepts a master of any priority while it is backup."""

    def _handle_as_backup(self, now, priority, interval_ms) -> list[Action]:
        self.interval = interval_ms
        return [self._set_timer(now + self.master_down_interval)]


@pytest.mark.parametrize(
    ("machine_type", "priorities", "message"),
    [
        (NeverStepsDown, (200, 100), "quiescent: the masters are [0, 1]"),
        (IgnoresTies, (100, 100), "quiescent: the masters are [0, 1]"),
        (NeverPreempts, (200, 100), "expected one of priority 200"),
    ],
)
def test_fault_in_the_state_machine_is_found(
    machine_type: type[StateMachine], priorities: tuple[int, ...], message: str
) -> None:
    def create(n: int, priority: int) -> StateMachine:
        copy = create_machine(n, priority)
        return machine_type(copy.address, copy.priority, copy.own_interval)

    result = search(priorities, 8, create)
    assert result.violation and message in result.violation.description and result.violation.trace


def test_backup_that_never_takes_over_has_no_timer() -> None:
    machine = WaitsForever(create_machine(0, 100).address, 100, 1000.0)
    machine.start(0.0)
    actions = machine.handle_advertisement(10.0, 0, 1000.0, create_machine(1, 200).address)
    assert actions == [Timer(math.inf, machine.timer_number)]  # the search reports a router without a timer


@pytest.mark.parametrize(
    ("transition", "target", "message"),
    [
        ((GateState.OPEN, GateEvent.BACKUP), GateState.OPEN, "the open gates are"),
        ((GateState.HELD, GateEvent.DEADLINE), GateState.HELD, "quiescent:"),
        ((GateState.DRAINING, GateEvent.DEADLINE), GateState.OPEN, "the open gates are"),
    ],
)
def test_fault_in_the_gate_is_found(monkeypatch, transition, target, message) -> None:
    monkeypatch.setitem(admission_gate.TRANSITIONS, transition, target)
    result = search((200, 100), 9, max_states=60_000)
    assert result.violation and message in result.violation.description


def test_each_gate_state_has_a_transition_for_each_event_in_the_printed_table() -> None:
    assert set(admission_gate.TRANSITIONS) == {(state, event) for state in GateState for event in GateEvent}
    assert all(
        admission_gate.TRANSITIONS[GateState.RETIRED, event] is GateState.RETIRED for event in GateEvent
    )
    assert admission_gate.transition_table().count("\n") == 6 and isinstance(AdmissionGate, type)
