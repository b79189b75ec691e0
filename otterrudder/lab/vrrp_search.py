"""A model search of VRRP: explores every order of events up to a given depth, with the unmodified
`state_machine.py` and `admission_gate.py`.

A model state consists of a few routers of one group, the messages in flight between them, and the time. From
each state that is reached, the search tries every event: a message delivered (in any order), lost or
duplicated, the next timer, a crash and a restart of a router. States that differ only by a shift of time have
the same fingerprint. These invariants are checked in each state:

- *admits only as master*: a router whose gate is open is master;
- *progress*: each participating router has a timer;
- *convergence*: when quiescent, with every message delivered and no further fault, within a bounded time one
  router is master, it has the priority that the protocol demands, and no other gate is open.

The search stops at the first violation and returns the events that led to it."""

import math
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from ipaddress import IPv4Address

from otterrudder.admission.interface import RequestScope
from otterrudder.vrrp.admission_gate import AdmissionGate, GateState, HoldDown
from otterrudder.vrrp.state_machine import Action, SendAdvertisement, State, StateChange, StateMachine, Timer

INTERVAL_MS = 1000.0  # interval between advertisements
MAX_IN_FLIGHT = 3  # maximum number of messages in flight
CONVERGENCE_INTERVALS = 12.0  # time limit in advertisement intervals: two failovers and a hold-down
HOLD_DOWN = HoldDown(first_ms=500.0, max_ms=2000.0, forget_ms=4000.0)
MAX_STEPS = 2000  # maximum number of steps of a quiescent model
NETWORK_MS = 1.0  # latency of a message when quiescent
DRAIN_MS = 1500.0  # time for which a gate drains

MachineFactory = Callable[[int, int], StateMachine]  # called with a router's number and priority


@dataclass(frozen=True, slots=True)
class Message:
    """An advertisement in flight."""

    receiver: int
    priority: int
    sender: int


@dataclass(slots=True)
class Router:
    """One router: its state machine, its gate and its timer."""

    machine: StateMachine
    gate: AdmissionGate
    timer: Timer = field(default_factory=lambda: Timer(math.inf, 0))
    is_up: bool = True

    def fingerprint(self, now: float) -> tuple[object, ...]:
        """A value that is equal for routers that differ only by a shift of time."""
        if not self.is_up:
            return ()
        machine, gate = self.machine, self.gate
        hold_ms = max(_shift(gate._held_until, now) or 0.0, 0.0)
        return (
            machine.state,
            machine.priority,
            machine.interval,
            _shift(self.timer.at, now),
            _shift(machine.preempt_delay_until, now),
            gate.state,
            _shift(gate.deadline, now),
            gate.returns,
            _shift(gate._left_at, now),
            hold_ms,
        )


def _shift(at: float | None, now: float) -> float | None:
    return None if at is None or at == math.inf else round(at - now, 3)


@dataclass(slots=True)
class ModelState:
    """All routers, the messages in flight, and the events that led to this state."""

    routers: list[Router]
    in_flight: tuple[Message, ...] = ()
    now: float = 0.0
    trace: tuple[str, ...] = ()

    def fingerprint(self) -> tuple[object, ...]:
        """A value that is equal for states that differ only by a shift of time."""
        return (
            *(router.fingerprint(self.now) for router in self.routers),
            tuple(sorted(map(repr, self.in_flight))),
        )


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated invariant, and the events that led to it."""

    description: str
    trace: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SearchResult:
    """The number of states that a search visited, its depth, and the violation that ended it."""

    states: int
    depth: int
    violation: Violation | None


def create_machine(number: int, priority: int, preempts: bool = True) -> StateMachine:
    """Creates the state machine of a router."""
    return StateMachine(IPv4Address(f"192.0.2.{number + 1}"), priority, INTERVAL_MS, preempts=preempts)


def search(
    priorities: tuple[int, ...],
    depth: int,
    create: MachineFactory = create_machine,
    max_states: int = 2_000_000,
    gate: type[AdmissionGate] = AdmissionGate,
) -> SearchResult:
    """Explores every order of events up to `depth`, breadth first, until the first violation."""
    first = ModelState([_new_router(n, priority, create, gate) for n, priority in enumerate(priorities)])
    for n in range(len(priorities)):
        _execute(first, n, first.routers[n].machine.start(0.0))
    visited, queue = {first.fingerprint()}, deque([first])
    while queue:
        state = queue.popleft()
        violation = _check(state, priorities)
        if violation or len(visited) >= max_states:
            return SearchResult(
                len(visited), len(state.trace), Violation(violation, state.trace) if violation else None
            )
        if len(state.trace) == depth:
            continue
        for successor in _successors(state, priorities, create, gate):
            fingerprint = successor.fingerprint()
            if fingerprint not in visited:
                visited.add(fingerprint)
                queue.append(successor)
    return SearchResult(len(visited), depth, None)


def _new_router(n: int, priority: int, create: MachineFactory, gate: type[AdmissionGate]) -> Router:
    return Router(create(n, priority), gate(RequestScope(), DRAIN_MS, HOLD_DOWN))


def _successors(
    state: ModelState, priorities: tuple[int, ...], create: MachineFactory, gate: type[AdmissionGate]
) -> Iterator[ModelState]:
    for at, message in enumerate(state.in_flight):
        remaining = state.in_flight[:at] + state.in_flight[at + 1 :]
        if message in state.in_flight[:at]:
            continue  # an equal message was tried already
        yield _with_delivery(_copy(state, f"deliver {message}", remaining), message)
        yield _copy(state, f"lose {message}", remaining)
        if len(state.in_flight) < MAX_IN_FLIGHT:
            yield _copy(state, f"duplicate {message}", (*state.in_flight, message))
    if (deadline := _next_deadline(state))[0] < math.inf:
        yield _with_timer_fired(_copy(state, f"timer of router {deadline[1]}", state.in_flight), *deadline)
    for n, router in enumerate(state.routers):
        changed = _copy(state, f"{'crash' if router.is_up else 'restart'} router {n}", state.in_flight)
        if router.is_up:
            changed.routers[n].is_up = False
        else:
            changed.routers[n] = _new_router(n, priorities[n], create, gate)
            _execute(changed, n, changed.routers[n].machine.start(changed.now))
        yield changed


def _copy(state: ModelState, event: str, in_flight: tuple[Message, ...]) -> ModelState:
    routers = [Router(_clone(r.machine), _clone_gate(r.gate), r.timer, r.is_up) for r in state.routers]
    return ModelState(routers, in_flight, state.now, (*state.trace, event))


def _clone(machine: StateMachine) -> StateMachine:
    copy = object.__new__(type(machine))
    for name in StateMachine.__slots__:
        setattr(copy, name, getattr(machine, name))
    return copy


def _clone_gate(gate: AdmissionGate) -> AdmissionGate:
    copy = object.__new__(type(gate))
    copy.__dict__.update(gate.__dict__)
    return copy


def _next_deadline(state: ModelState) -> tuple[float, int]:
    """The next time at which a timer or gate deadline is due, and the number of its router."""
    times = [(min(r.timer.at, r.gate.deadline), n) for n, r in enumerate(state.routers) if r.is_up]
    return min(times, default=(math.inf, 0))


def _with_timer_fired(state: ModelState, at: float, n: int) -> ModelState:
    state.now = max(state.now, at)
    router = state.routers[n]
    router.gate.handle_deadline(state.now)
    if router.timer.at <= state.now:
        _execute(state, n, router.machine.handle_timer(state.now, router.timer.number))
    return state


def _with_delivery(state: ModelState, message: Message) -> ModelState:
    router = state.routers[message.receiver]
    if router.is_up:
        sender = state.routers[message.sender].machine.address
        actions = router.machine.handle_advertisement(state.now, message.priority, INTERVAL_MS, sender)
        _execute(state, message.receiver, actions)
    return state


def _execute(state: ModelState, n: int, actions: list[Action]) -> None:
    router = state.routers[n]
    for action in actions:
        if isinstance(action, SendAdvertisement):
            others = (
                Message(receiver, action.priority, n)
                for receiver in range(len(state.routers))
                if receiver != n
            )
            # Above the maximum, the oldest messages are lost, which VRRP tolerates.
            state.in_flight = (*state.in_flight, *others)[-MAX_IN_FLIGHT:]
        elif isinstance(action, Timer):
            router.timer = action
        elif isinstance(action, StateChange) and action.state is not State.INITIALIZE:
            router.gate.handle_state(state.now, action.state)


def _check(state: ModelState, priorities: tuple[int, ...]) -> str:
    for n, router in enumerate(state.routers):
        if not router.is_up:
            continue
        if router.gate.state is GateState.OPEN and router.machine.state is not State.MASTER:
            return f"router {n} admits requests but is not master"
        if router.machine.state is not State.INITIALIZE and router.timer.at == math.inf:
            return f"router {n} takes part but has no timer"
    return _check_convergence(state, priorities)


def _check_convergence(state: ModelState, priorities: tuple[int, ...]) -> str:
    """Checks convergence from this state without further faults. Messages in flight arrive at once, and new
    messages after NETWORK_MS."""
    state = _copy(state, "", state.in_flight)
    deadline = state.now + CONVERGENCE_INTERVALS * INTERVAL_MS
    for _ in range(MAX_STEPS):
        in_flight, state.in_flight = state.in_flight, ()
        for message in in_flight:
            _with_delivery(state, message)
        if state.in_flight:
            state.now += NETWORK_MS
            continue
        at, n = _next_deadline(state)
        if at > deadline:
            break
        _with_timer_fired(state, at, n)
    else:
        return f"quiescent: no rest within {MAX_STEPS} steps"
    up = [n for n, router in enumerate(state.routers) if router.is_up]
    masters = [n for n in up if state.routers[n].machine.state is State.MASTER]
    if not up:
        return ""
    highest = max(priorities[n] for n in up)
    preempts = all(state.routers[n].machine.preempts for n in up)
    if len(masters) != 1 or preempts and priorities[masters[0]] != highest:
        return f"quiescent: the masters are {masters}, expected one of priority {highest}"
    open_gates = [n for n in up if state.routers[n].gate.state is GateState.OPEN]
    return (
        ""
        if open_gates == masters
        else f"quiescent: the open gates are {open_gates}, the masters are {masters}"
    )
