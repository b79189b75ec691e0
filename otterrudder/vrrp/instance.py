"""A virtual router instance: the state machine, admission gate, tracker, timer and counters of a group."""

import math
from collections import Counter
from dataclasses import dataclass, field

from otterrudder.vrrp.admission_gate import AdmissionGate
from otterrudder.vrrp.configuration import Group, VrrpConfiguration
from otterrudder.vrrp.state_machine import StateMachine, Timer
from otterrudder.vrrp.tracking import PriorityTracker


def _no_timer() -> Timer:
    return Timer(math.inf, 0)


@dataclass(slots=True)
class VirtualRouterInstance:
    """The state of this router in one group."""

    group: Group
    state_machine: StateMachine
    gate: AdmissionGate
    tracker: PriorityTracker
    timer: Timer = field(default_factory=_no_timer)
    counts: Counter[str] = field(default_factory=Counter)
    has_deferred_takeover: bool = False  # whether it waits for one more advertisement after a stall

    @property
    def deadline(self) -> float:
        """The time in ms at which the timer or the gate is due next."""
        return min(self.timer.at, self.gate.deadline)

    def status(self, now: float) -> dict[str, object]:
        """Returns the state of the instance, with the keys that the control socket reports."""
        return dict(
            group=self.group.name,
            vrid=self.group.vrid,
            state=self.state_machine.state.value,
            door=self.gate.state.value,
            priority=self.state_machine.priority,
            base=self.group.priority,
            lowered_by=self.tracker.lowering_facts,
            interval_ms=self.state_machine.interval,
            timer_ms=round(self.timer.at - now, 1) if self.timer.at < math.inf else None,
            returns=self.gate.returns,
            counts=dict(self.counts),
        )


def create_instance(group: Group, configuration: VrrpConfiguration) -> VirtualRouterInstance:
    """Creates the instance of a group. The caller starts its state machine."""
    state_machine = StateMachine(
        group.address,
        group.priority,
        group.interval_ms,
        preempts=group.preempts,
        preempt_delay_ms=group.preempt_delay_ms,
        accepts=group.accepts,
    )
    gate = AdmissionGate(group.scope, configuration.hand_over_ms, configuration.hold_down)
    return VirtualRouterInstance(
        group, state_machine, gate, PriorityTracker(group.priority, group.tracked_objects)
    )
