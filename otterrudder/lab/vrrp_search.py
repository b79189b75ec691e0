"""A model search of VRRP: every order of events to a stated depth, over `state_machine.py` and
`admission_gate.py` as they are.

A model state is a few routers of one group, the messages in flight between them, and the time. From each
state that was reached every event is tried: a message delivered (in any order), lost or duplicated, the next
timer, a crash, a restart. States that differ only by a shift of time have one fingerprint. Checked in each:

- *admits only as master*: behind an open gate there is a master;
- *progress*: whoever takes part has a timer;
- *convergence*: once quiescent, with every message delivered and no further fault, within a bounded time one
  router is master, it is the one that should be, and no other gate is open.

The search stops at the first violation and has the trace of events that led to it."""

import math
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from ipaddress import IPv4Address

from otterrudder.admission.interface import RequestScope
from otterrudder.vrrp.admission_gate import AdmissionGate, GateState, HoldDown
from otterrudder.vrrp.state_machine import Action, SendAdvertisement, State, StateChange, StateMachine, Timer

INTERVAL_MS = 1000.0  # of the advertisements
MAX_IN_FLIGHT = 3  # messages
CONVERGENCE_INTERVALS = 12.0  # two failovers and a hold-down
HOLD_DOWN = HoldDown(first_ms=500.0, max_ms=2000.0, forget_ms=4000.0)
MAX_STEPS = 2000  # of a quiescent model
NETWORK_MS = 1.0  # of a message, once quiescent
DRAIN_MS = 1500.0

Maker = Callable[[int, int], StateMachine]  # from a router's number and priority


@dataclass(frozen=True, slots=True)
class Message:
    """An advertisement in flight."""

    to: int
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
        """Equal for routers that differ only by a shift of time."""
        if not self.is_up:
            return ()
        m, g = self.machine, self.gate
        free = max(_shift(g._held_until, now) or 0.0, 0.0)
        return (
            m.state,
            m.priority,
            m.interval,
            _shift(self.timer.at, now),
            _shift(m.preempt_delay_until, now),
            g.state,
            _shift(g.deadline, now),
            g.returns,
            _shift(g._left_at, now),
            free,
        )


def _shift(at: float | None, now: float) -> float | None:
    return None if at is None or at == math.inf else round(at - now, 3)


@dataclass(slots=True)
class ModelState:
    """All routers, what is in flight, and how it came about."""

    routers: list[Router]
    flight: tuple[Message, ...] = ()
    now: float = 0.0
    trace: tuple[str, ...] = ()

    def fingerprint(self) -> tuple[object, ...]:
        """Equal for states that differ only by a shift of time."""
        return (
            *(router.fingerprint(self.now) for router in self.routers),
            tuple(sorted(map(repr, self.flight))),
        )


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule, and the events that led to it."""

    description: str
    trace: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SearchResult:
    """How many states a search visited, to which depth, and the violation that ended it."""

    states: int
    depth: int
    violation: Violation | None


def create_machine(number: int, priority: int, preempts: bool = True) -> StateMachine:
    """The state machine of a router."""
    return StateMachine(IPv4Address(f"192.0.2.{number + 1}"), priority, INTERVAL_MS, preempts=preempts)


def search(
    priorities: tuple[int, ...],
    depth: int,
    make: Maker = create_machine,
    max_states: int = 2_000_000,
    gate: type[AdmissionGate] = AdmissionGate,
) -> SearchResult:
    """Every order of events to `depth`, breadth first, or to the first violation."""
    first = ModelState([_fresh(n, priority, make, gate) for n, priority in enumerate(priorities)])
    for n in range(len(priorities)):
        _carry_out(first, n, first.routers[n].machine.start(0.0))
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
        for following in _following(state, priorities, make, gate):
            fingerprint = following.fingerprint()
            if fingerprint not in visited:
                visited.add(fingerprint)
                queue.append(following)
    return SearchResult(len(visited), depth, None)


def _fresh(n: int, priority: int, make: Maker, gate: type[AdmissionGate]) -> Router:
    return Router(make(n, priority), gate(RequestScope(), DRAIN_MS, HOLD_DOWN))


def _following(
    state: ModelState, priorities: tuple[int, ...], make: Maker, gate: type[AdmissionGate]
) -> Iterator[ModelState]:
    for at, message in enumerate(state.flight):
        rest = state.flight[:at] + state.flight[at + 1 :]
        if message in state.flight[:at]:
            continue  # its copy was tried
        yield _delivered(_copy(state, f"deliver {message}", rest), message)
        yield _copy(state, f"lose {message}", rest)
        if len(state.flight) < MAX_IN_FLIGHT:
            yield _copy(state, f"double {message}", (*state.flight, message))
    if (at_n := _next(state))[0] < math.inf:
        yield _timed(_copy(state, f"time of {at_n[1]}", state.flight), *at_n)
    for n, router in enumerate(state.routers):
        changed = _copy(state, f"{'crash' if router.is_up else 'restart'} {n}", state.flight)
        if router.is_up:
            changed.routers[n].is_up = False
        else:
            changed.routers[n] = _fresh(n, priorities[n], make, gate)
            _carry_out(changed, n, changed.routers[n].machine.start(changed.now))
        yield changed


def _copy(state: ModelState, event: str, flight: tuple[Message, ...]) -> ModelState:
    routers = [Router(_clone(r.machine), _clone_gate(r.gate), r.timer, r.is_up) for r in state.routers]
    return ModelState(routers, flight, state.now, (*state.trace, event))


def _clone(machine: StateMachine) -> StateMachine:
    copy = object.__new__(type(machine))
    for name in StateMachine.__slots__:
        setattr(copy, name, getattr(machine, name))
    return copy


def _clone_gate(gate: AdmissionGate) -> AdmissionGate:
    copy = object.__new__(type(gate))
    copy.__dict__.update(gate.__dict__)
    return copy


def _next(state: ModelState) -> tuple[float, int]:
    """The next time that anything is due, and whose."""
    times = [(min(r.timer.at, r.gate.deadline), n) for n, r in enumerate(state.routers) if r.is_up]
    return min(times, default=(math.inf, 0))


def _timed(state: ModelState, at: float, n: int) -> ModelState:
    state.now = max(state.now, at)
    router = state.routers[n]
    router.gate.handle_deadline(state.now)
    if router.timer.at <= state.now:
        _carry_out(state, n, router.machine.handle_timer(state.now, router.timer.number))
    return state


def _delivered(state: ModelState, message: Message) -> ModelState:
    router = state.routers[message.to]
    if router.is_up:
        sender = state.routers[message.sender].machine.address
        actions = router.machine.handle_advertisement(state.now, message.priority, INTERVAL_MS, sender)
        _carry_out(state, message.to, actions)
    return state


def _carry_out(state: ModelState, n: int, actions: list[Action]) -> None:
    router = state.routers[n]
    for action in actions:
        if isinstance(action, SendAdvertisement):
            others = (Message(to, action.priority, n) for to in range(len(state.routers)) if to != n)
            state.flight = (*state.flight, *others)[-MAX_IN_FLIGHT:]  # the oldest are lost: that is allowed
        elif isinstance(action, Timer):
            router.timer = action
        elif isinstance(action, StateChange) and action.state is not State.INITIALIZE:
            router.gate.handle_state(state.now, action.state)


def _check(state: ModelState, priorities: tuple[int, ...]) -> str:
    for n, router in enumerate(state.routers):
        if not router.is_up:
            continue
        if router.gate.state is GateState.OPEN and router.machine.state is not State.MASTER:
            return f"{n} admits and is no master"
        if router.machine.state is not State.INITIALIZE and router.timer.at == math.inf:
            return f"{n} waits for nothing"
    return _check_convergence(state, priorities)


def _check_convergence(state: ModelState, priorities: tuple[int, ...]) -> str:
    """Once quiescent: what is in flight arrives at once, what is sent arrives after NETWORK_MS."""
    state = _copy(state, "", state.flight)
    deadline = state.now + CONVERGENCE_INTERVALS * INTERVAL_MS
    for _ in range(MAX_STEPS):
        flight, state.flight = state.flight, ()
        for message in flight:
            _delivered(state, message)
        if state.flight:
            state.now += NETWORK_MS
            continue
        at, n = _next(state)
        if at > deadline:
            break
        _timed(state, at, n)
    else:
        return "once quiescent it never rests"
    up = [n for n, router in enumerate(state.routers) if router.is_up]
    masters = [n for n in up if state.routers[n].machine.state is State.MASTER]
    if not up:
        return ""
    highest = max(priorities[n] for n in up)
    preempts = all(state.routers[n].machine.preempts for n in up)
    if len(masters) != 1 or preempts and priorities[masters[0]] != highest:
        return f"once quiescent the masters are {masters}, and one of priority {highest} should be"
    open_gates = [n for n in up if state.routers[n].gate.state is GateState.OPEN]
    return (
        ""
        if open_gates == masters
        else f"once quiescent the open gates are {open_gates}, the masters are {masters}"
    )
