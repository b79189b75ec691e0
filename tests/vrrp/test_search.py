"""The search finds no order of events that breaks VRRP's promises, and finds each fault that is put in."""

import math

import pytest

from otterrudder.lab.vrrp_search import machine_of, search
from otterrudder.vrrp import admission_gate
from otterrudder.vrrp.admission_gate import AdmissionGate, GateEvent, GateState
from otterrudder.vrrp.state_machine import Action, StateMachine, Timer


@pytest.mark.parametrize(("priorities", "depth"), [((200, 100), 12), ((100, 100), 11), ((200, 150, 100), 6)])
def test_no_order_of_events_breaks_a_promise(priorities: tuple[int, ...], depth: int) -> None:
    found = search(priorities, depth)
    assert found.violation is None and found.depth == depth
    assert found.states > 1000


def test_without_preemption_one_master_stays() -> None:
    assert search((200, 100), 7, lambda n, p: machine_of(n, p, preempts=False)).violation is None


class Deaf(StateMachine):
    """Does not step down for a better master."""

    def _handle_as_master(self, now, priority, interval_ms, sender) -> list[Action]:
        return []


class Tied(StateMachine):
    """Breaks no tie."""

    def _handle_as_master(self, now, priority, interval_ms, sender) -> list[Action]:
        tied = priority == self.priority
        return [] if tied else super()._handle_as_master(now, priority, interval_ms, sender)


class Patient(StateMachine):
    """Waits for ever once a master has left."""

    def _handle_as_backup(self, now, priority, interval_ms) -> list[Action]:
        return (
            [self._set_timer(math.inf)]
            if priority == 0
            else super()._handle_as_backup(now, priority, interval_ms)
        )


class Shy(StateMachine):
    """As a backup obeys any master."""

    def _handle_as_backup(self, now, priority, interval_ms) -> list[Action]:
        self.interval = interval_ms
        return [self._set_timer(now + self.master_down_interval)]


@pytest.mark.parametrize(
    ("fault", "priorities", "says"),
    [
        (Deaf, (200, 100), "once quiescent the masters are [0, 1]"),
        (Tied, (100, 100), "once quiescent the masters are [0, 1]"),
        (Shy, (200, 100), "and one of priority 200 should be"),
    ],
)
def test_a_fault_in_the_machine_is_found(
    fault: type[StateMachine], priorities: tuple[int, ...], says: str
) -> None:
    def make(n: int, priority: int) -> StateMachine:
        copy = machine_of(n, priority)
        return fault(copy.address, copy.priority, copy.own_interval)

    found = search(priorities, 8, make)
    assert found.violation and says in found.violation.description and found.violation.trace


def test_a_master_that_leaves_and_is_waited_for_is_found() -> None:
    machine = Patient(machine_of(0, 100).address, 100, 1000.0)
    machine.start(0.0)
    actions = machine.handle_advertisement(10.0, 0, 1000.0, machine_of(1, 200).address)
    assert actions == [Timer(math.inf, machine.timer_number)]  # what the search calls waiting for nothing


@pytest.mark.parametrize(
    ("move", "leads", "says"),
    [
        ((GateState.OPEN, GateEvent.BACKUP), GateState.OPEN, "the open gates are"),
        ((GateState.HELD, GateEvent.DEADLINE), GateState.HELD, "once quiescent"),
        ((GateState.DRAINING, GateEvent.DEADLINE), GateState.OPEN, "the open gates are"),
    ],
)
def test_a_fault_in_the_gate_is_found(monkeypatch, move, leads, says) -> None:
    monkeypatch.setitem(admission_gate.TRANSITIONS, move, leads)
    found = search((200, 100), 9, max_states=60_000)
    assert found.violation and says in found.violation.description


def test_each_gate_state_has_a_transition_for_each_event_and_the_docs_show_them() -> None:
    assert set(admission_gate.TRANSITIONS) == {(state, event) for state in GateState for event in GateEvent}
    assert all(
        admission_gate.TRANSITIONS[GateState.RETIRED, event] is GateState.RETIRED for event in GateEvent
    )
    assert admission_gate.transition_table().count("\n") == 6 and isinstance(AdmissionGate, type)
