"""One virtual router instance: a group's state machine, admission gate, tracker, timer and counters."""

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
    """One group as this router takes part in it."""

    group: Group
    state_machine: StateMachine
    gate: AdmissionGate
    tracker: PriorityTracker
    timer: Timer = field(default_factory=_no_timer)
    counts: Counter[str] = field(default_factory=Counter)
    has_deferred_takeover: bool = False  # after a stall: it has waited for one more advertisement

    @property
    def deadline(self) -> float:
        """When the timer or the gate is due next, in ms."""
        return min(self.timer.at, self.gate.deadline)

    def status(self, now: float) -> dict[str, object]:
        """The instance's state under the keys of the control socket."""
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
    """The instance of one group, not started yet."""
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
