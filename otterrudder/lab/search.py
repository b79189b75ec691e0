"""A search of VRRP's states: every order of events to a stated depth, over `state_machine.py` and
`admission_gate.py` as they are.

A world is a few routers of one group, what is in flight between them, and the time. From each world that was
reached every event is tried: a message delivered (in any order), lost or sent twice, the next timer, a
crash, a restart. Two worlds that differ only by a shift of time are one. Checked in each:

- *admits only as master*: an open door has a master behind it;
- *a way out*: whoever takes part has a timer;
- *settles*: from here on, with every message delivered and no more trouble, within a bounded time one router
  is master, it is the one that should be, and no other door is open.

The search stops at the first broken one and tells the events that led to it."""

import math
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from ipaddress import IPv4Address

from otterrudder.admission.interface import RequestScope
from otterrudder.vrrp.admission_gate import AdmissionGate, GateState, HoldDown
from otterrudder.vrrp.state_machine import Action, SendAdvertisement, State, StateChange, StateMachine, Timer

INTERVAL_MS = 1000.0  # of the adverts, in all worlds
IN_FLIGHT_MOST = 3  # messages: more of the same say nothing new
# intervals within which a world left in peace must have settled: two take-overs and a hold-down
SETTLE_TIMES = 12.0
HELD = HoldDown(first_ms=500.0, max_ms=2000.0, forget_ms=4000.0)
STEPS_MOST = 2000  # of a world left in peace: adverts of some routers for the time above are some tens
NET_MS = 1.0  # of a message, once the world is left in peace

Maker = Callable[[int, int], StateMachine]  # from a router's number and priority


@dataclass(frozen=True, slots=True)
class Message:
    to: int
    priority: int
    sender: int


@dataclass(slots=True)
class Router:
    machine: StateMachine
    gate: AdmissionGate
    timer: Timer = field(default_factory=lambda: Timer(math.inf, 0))
    is_up: bool = True

    def key(self, now: float) -> tuple[object, ...]:
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
class World:
    routers: list[Router]
    flight: tuple[Message, ...] = ()
    now: float = 0.0
    trail: tuple[str, ...] = ()

    def key(self) -> tuple[object, ...]:
        return (*(router.key(self.now) for router in self.routers), tuple(sorted(map(repr, self.flight))))


@dataclass(frozen=True, slots=True)
class Broken:
    what: str
    trail: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Found:
    """What a search has seen."""

    worlds: int
    depth: int
    broken: Broken | None


def machine_of(number: int, priority: int, preempts: bool = True) -> StateMachine:
    return StateMachine(IPv4Address(f"192.0.2.{number + 1}"), priority, INTERVAL_MS, preempts=preempts)


def search(
    priorities: tuple[int, ...],
    depth: int,
    make: Maker = machine_of,
    worlds_most: int = 2_000_000,
    gate: type[AdmissionGate] = AdmissionGate,
) -> Found:
    """Every order of events to `depth`, breadth first, or the first world that breaks a rule."""
    first = World([_fresh(n, priority, make, gate) for n, priority in enumerate(priorities)])
    for n in range(len(priorities)):
        _carry_out(first, n, first.routers[n].machine.start(0.0))
    seen, todo = {first.key()}, deque([first])
    while todo:
        world = todo.popleft()
        broken = _check(world, priorities)
        if broken or len(seen) >= worlds_most:
            return Found(len(seen), len(world.trail), Broken(broken, world.trail) if broken else None)
        if len(world.trail) == depth:
            continue
        for following in _following(world, priorities, make, gate):
            key = following.key()
            if key not in seen:
                seen.add(key)
                todo.append(following)
    return Found(len(seen), depth, None)


def _fresh(n: int, priority: int, make: Maker, gate: type[AdmissionGate]) -> Router:
    return Router(make(n, priority), gate(RequestScope(), 1500.0, HELD))


def _following(
    world: World, priorities: tuple[int, ...], make: Maker, gate: type[AdmissionGate]
) -> Iterator[World]:
    for at, message in enumerate(world.flight):
        rest = world.flight[:at] + world.flight[at + 1 :]
        if message in world.flight[:at]:
            continue  # its twin was tried
        yield _delivered(_copy(world, f"deliver {message}", rest), message)
        yield _copy(world, f"lose {message}", rest)
        if len(world.flight) < IN_FLIGHT_MOST:
            yield _copy(world, f"double {message}", (*world.flight, message))
    if (at_n := _next(world))[0] < math.inf:
        yield _timed(_copy(world, f"time of {at_n[1]}", world.flight), *at_n)
    for n, router in enumerate(world.routers):
        changed = _copy(world, f"{'crash' if router.is_up else 'restart'} {n}", world.flight)
        if router.is_up:
            changed.routers[n].is_up = False
        else:
            changed.routers[n] = _fresh(n, priorities[n], make, gate)
            _carry_out(changed, n, changed.routers[n].machine.start(changed.now))
        yield changed


def _copy(world: World, event: str, flight: tuple[Message, ...]) -> World:
    routers = [Router(_clone(r.machine), _clone_gate(r.gate), r.timer, r.is_up) for r in world.routers]
    return World(routers, flight, world.now, (*world.trail, event))


def _clone(machine: StateMachine) -> StateMachine:
    twin = object.__new__(type(machine))
    for name in StateMachine.__slots__:
        setattr(twin, name, getattr(machine, name))
    return twin


def _clone_gate(gate: AdmissionGate) -> AdmissionGate:
    twin = object.__new__(type(gate))
    twin.__dict__.update(gate.__dict__)
    return twin


def _next(world: World) -> tuple[float, int]:
    """The next time that anything is due, and whose."""
    times = [(min(r.timer.at, r.gate.deadline), n) for n, r in enumerate(world.routers) if r.is_up]
    return min(times, default=(math.inf, 0))


def _timed(world: World, at: float, n: int) -> World:
    world.now = max(world.now, at)
    router = world.routers[n]
    router.gate.handle_time(world.now)
    if router.timer.at <= world.now:
        _carry_out(world, n, router.machine.handle_timer(world.now, router.timer.number))
    return world


def _delivered(world: World, message: Message) -> World:
    router = world.routers[message.to]
    if router.is_up:
        sender = world.routers[message.sender].machine.address
        heard = router.machine.handle_advertisement(world.now, message.priority, INTERVAL_MS, sender)
        _carry_out(world, message.to, heard)
    return world


def _carry_out(world: World, n: int, actions: list[Action]) -> None:
    router = world.routers[n]
    for action in actions:
        if isinstance(action, SendAdvertisement):
            others = (Message(to, action.priority, n) for to in range(len(world.routers)) if to != n)
            world.flight = (*world.flight, *others)[-IN_FLIGHT_MOST:]  # the oldest are lost: that is allowed
        elif isinstance(action, Timer):
            router.timer = action
        elif isinstance(action, StateChange) and action.state is not State.INITIALIZE:
            router.gate.handle_state(world.now, action.state)


def _check(world: World, priorities: tuple[int, ...]) -> str:
    for n, router in enumerate(world.routers):
        if not router.is_up:
            continue
        if router.gate.state is GateState.OPEN and router.machine.state is not State.MASTER:
            return f"{n} admits and is no master"
        if router.machine.state is not State.INITIALIZE and router.timer.at == math.inf:
            return f"{n} waits for nothing"
    return _settles(world, priorities)


def _settles(world: World, priorities: tuple[int, ...]) -> str:
    """Left in peace: what is in flight arrives at once, what is sent arrives after NET_MS."""
    world = _copy(world, "", world.flight)
    ends = world.now + SETTLE_TIMES * INTERVAL_MS
    for _ in range(STEPS_MOST):
        flight, world.flight = world.flight, ()
        for message in flight:
            _delivered(world, message)
        if world.flight:
            world.now += NET_MS
            continue
        at, n = _next(world)
        if at > ends:
            break
        _timed(world, at, n)
    else:
        return "in peace it never rests"
    up = [n for n, router in enumerate(world.routers) if router.is_up]
    masters = [n for n in up if world.routers[n].machine.state is State.MASTER]
    if not up:
        return ""
    most = max(priorities[n] for n in up)
    preempts = all(world.routers[n].machine.preempts for n in up)
    if len(masters) != 1 or preempts and priorities[masters[0]] != most:
        return f"in peace the masters are {masters}, and one of priority {most} should be"
    doors = [n for n in up if world.routers[n].gate.state is GateState.OPEN]
    return "" if doors == masters else f"in peace the open doors are {doors}, the master {masters}"
