"""What may happen next in a world of cells: each event by its name, and what it does."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from functools import partial

from otterrudder.fleet.cell.messages import LeaseGrant, PolicyUpdate
from otterrudder.fleet.change import ChangeRejectedError, propose
from otterrudder.fleet.effects import Commit, Effect, Lane
from otterrudder.fleet.queue import QueueRejectedError, enqueue
from otterrudder.fleet.records import QueuedChange
from otterrudder.lab.fleet.cell_model import (
    DEADLINE_MS,
    LONG_STEP_MS,
    SHORT_STEP_MS,
    CellWorld,
    Control,
    PeerFlight,
    RelayHost,
    Stream,
    text_of,
)

COPY_ID = 0xC0  # of an engine that was restored: the engine's own tool gives it a new one
COPY_LEASES = 1000  # from which such an engine numbers its leases

Act = Callable[[CellWorld], object]


@dataclass(frozen=True, slots=True)
class Event:
    """`act` is done to the world, or to a copy of it; whatever it needs it finds there by place."""

    name: str
    act: Act
    harm: int = 0  # that it counts as


def events(world: CellWorld, harm_most: int) -> list[Event]:
    may_harm = world.spent < harm_most
    found = [
        Event("time goes on", _pass_time),
        Event("long time goes on", _pass_long_time),
        Event("little time goes on", _pass_little_time),
        Event("all is delivered", _deliver_all),
    ]
    found += _of_store_flights(world, may_harm)
    found += _of_peers(world, may_harm)
    found += _of_streams(world, may_harm)
    found += _of_changes(world)
    found += _of_relays(world, may_harm)
    found += _of_servers(world, may_harm)
    found += _of_cuts(world, may_harm)
    found += _of_store(world, may_harm)
    return found


def happen(world: CellWorld, event: Event) -> None:
    """To the world itself."""
    event.act(world)
    world.spent += event.harm
    world.trail = (*world.trail, event.name)
    world.settle_down()


def after(world: CellWorld, event: Event) -> CellWorld:
    """A twin to which it has happened."""
    then = world.copy()
    happen(then, event)
    return then


def _pass_time(world: CellWorld) -> None:
    world.pass_time()


def _pass_little_time(world: CellWorld) -> None:
    world.pass_time(SHORT_STEP_MS)


def _pass_long_time(world: CellWorld) -> None:
    world.pass_time(LONG_STEP_MS)


def _deliver_all(world: CellWorld) -> None:
    world.lose_unserved()
    world.deliver_all()


# The store's requests and answers.


def _of_store_flights(world: CellWorld, may_harm: bool) -> Iterator[Event]:
    for at, flight in enumerate(world.flights):
        host = world.relays[flight.host]
        name = f"{host.address}.{flight.life} {_named(flight.effect)}"
        is_waited_for = host.relay is not None and host.life == flight.life
        if host.is_frozen and flight.is_answer and is_waited_for:
            continue  # nobody takes it now
        if not world.can_serve(flight):
            if not host.is_frozen:
                yield Event(f"{name}: no way there", partial(_lose, at))
            continue
        suffix = ": answer" if flight.is_answer else ""
        yield Event(f"{name}{suffix}", partial(_take, at))
        if not may_harm or flight.is_answer or not is_waited_for or host.is_frozen:
            continue
        if isinstance(flight.effect, Commit):
            yield Event(f"{name}: took effect, answer lost", partial(_lose_answer, at), 1)
            yield Event(f"{name}: given up, still on its way", partial(_give_up, at), 1)
        else:
            yield Event(f"{name}: slow answer", partial(_answer_slowly, at), 1)


def _take(at: int, world: CellWorld) -> None:
    world.take_store_flight(world.flights[at])


def _lose(at: int, world: CellWorld) -> None:
    world.answer(world.flights.pop(at))


def _lose_answer(at: int, world: CellWorld) -> None:
    flight = world.flights.pop(at)
    world.arrive(flight.effect)
    world.answer(flight)


def _give_up(at: int, world: CellWorld) -> None:
    """It may arrive yet, and nobody waits for it."""
    flight = world.flights[at]
    world.flights[at] = replace(flight, life=-flight.life)
    world.answer(flight)


def _answer_slowly(at: int, world: CellWorld) -> None:
    flight = world.flights[at]
    flight.outcome, flight.is_answer = world.arrive(flight.effect), True


def _named(effect: Effect) -> str:
    if isinstance(effect, Commit):
        return effect.purpose
    return "count" if effect.lane is Lane.COORDINATE else type(effect).__name__.lower()


# Relays among themselves.


def _of_peers(world: CellWorld, may_harm: bool) -> Iterator[Event]:
    for at, flight in enumerate(world.peer_flights):
        name = _peer_name(world, flight)
        if world.can_take_peer(flight):
            yield Event(name, partial(_take_peer, at))
        if may_harm:
            yield Event(f"{name}: lost", partial(_lose_peer, at), 1)


def _take_peer(at: int, world: CellWorld) -> None:
    world.take_peer_flight(world.peer_flights[at])


def _lose_peer(at: int, world: CellWorld) -> None:
    del world.peer_flights[at]


def _peer_name(world: CellWorld, flight: PeerFlight) -> str:
    sender, peer = world.relays[flight.sender].address, world.relays[flight.peer].address
    return f"{peer} answers {sender}" if flight.answer else f"{sender} asks {peer}"


# Servers and relays.


def _of_streams(world: CellWorld, may_harm: bool) -> Iterator[Event]:
    for at, stream in enumerate(world.streams):
        server, relay = world.servers[stream.server].name, world.relays[stream.relay].address
        if world.can_reach_relay(stream):
            name = f"{server} to {relay}: {_message_name(stream.to_relay[0])}"
            yield Event(name, partial(_reach_relay, at))
        if world.can_reach_server(stream):
            name = f"{relay} to {server}: {_message_name(stream.to_server[0])}"
            yield Event(name, partial(_reach_server, at))
        if may_harm and not _is_over(stream):
            yield Event(f"{server} to {relay}: breaks", partial(_break_stream, at), 1)
        if may_harm and stream.to_server and isinstance(stream.to_server[0], PolicyUpdate):
            yield Event(f"{relay} to {server}: damaged text", partial(_damage, at), 1)
        if may_harm and stream.to_server and _tells_version(stream.to_server[0]):
            yield Event(f"{relay} to {server}: older version", partial(_set_back, at), 1)
    for n, host in enumerate(world.servers):
        if host.runs and host.checks:
            yield Event(f"{host.name} has checked", partial(_check, n))


def _reach_relay(at: int, world: CellWorld) -> None:
    world.reach_relay(world.streams[at])


def _reach_server(at: int, world: CellWorld) -> None:
    world.reach_server(world.streams[at])


def _break_stream(at: int, world: CellWorld) -> None:
    world.break_stream(world.streams[at])


def _check(n: int, world: CellWorld) -> None:
    world.check(world.servers[n])


def _is_over(stream: Stream) -> bool:
    return stream.is_ended or Control.ENDED in stream.to_relay or Control.ENDED in stream.to_server


def _message_name(message: object) -> str:
    return message.value if isinstance(message, Control) else type(message).__name__


def _tells_version(message: object) -> bool:
    return isinstance(message, LeaseGrant) and message.version > 0


def _set_back(at: int, world: CellWorld) -> None:
    """A relay that is wrong in a way that ours never is."""
    stream = world.streams[at]
    grant = stream.to_server[0]
    assert isinstance(grant, LeaseGrant)
    version = grant.version - 1
    older = world.checker.committed.get(version)
    stream.to_server[0] = LeaseGrant(grant.sequence, version, older.change if older else "", grant.span_ms)


def _damage(at: int, world: CellWorld) -> None:
    stream = world.streams[at]
    message = stream.to_server[0]
    assert isinstance(message, PolicyUpdate)
    stream.to_server[0] = PolicyUpdate(
        message.version, message.change, message.digest, f"{message.text} damaged"
    )


# Changes.


def _of_changes(world: CellWorld) -> Iterator[Event]:
    """A waits in the queue, B is proposed directly; what was computed is sent, now or much later."""
    if world.is_store_away:
        return
    for ident, compute in (("A", _queue_up), ("B", _propose), ("C", _queue_up)):
        if ident not in world.proposed and compute(world, ident):
            yield Event(f"{ident} reads, to propose", partial(_compute, ident, compute))
    for who, commit in world.pending.items():
        yield Event(f"{who}: {commit.purpose}", partial(_send, who))


def _send(who: str, world: CellWorld) -> None:
    world.write(world.pending.pop(who))


def _compute(ident: str, compute: Callable[[CellWorld, str], Commit | None], world: CellWorld) -> None:
    world.proposed.add(ident)
    if commit := compute(world, ident):
        world.pending[ident] = commit


def _queue_up(world: CellWorld, ident: str) -> Commit | None:
    view = world.view()
    base = view.policy.digest if world.variant.has_based_changes and view.policy else ""
    entry = QueuedChange(ident, author=ident, deadline_ms=DEADLINE_MS, base=base)
    try:
        return enqueue(view, entry, text_of(ident))
    except QueueRejectedError:
        return None


def _propose(world: CellWorld, ident: str) -> Commit | None:
    try:
        return propose(world.view(), ident, text_of(ident), ident, "", 0.0, DEADLINE_MS)
    except ChangeRejectedError:
        return None


# Processes.


def _of_relays(world: CellWorld, may_harm: bool) -> Iterator[Event]:
    for n, host in enumerate(world.relays):
        if not host.relay:
            yield Event(f"{host.address} starts", partial(_start_relay, n))
            continue
        if may_harm:
            yield Event(f"{host.address} dies", partial(_stop_relay, n), 1)
            if not host.is_frozen:
                yield Event(f"{host.address} leaves", partial(_leave, n), 1)
        if host.is_frozen:
            yield Event(f"{host.address} wakes", partial(_thaw_relay, n))
            yield Event(f"{host.address} wakes and hears first", partial(_thaw_hearing, n))
        elif may_harm:
            yield Event(f"{host.address} freezes", partial(_freeze_relay, n), 1)
        yield from _of_store_ways(n, host, may_harm)


def _of_store_ways(n: int, host: RelayHost, may_harm: bool) -> Iterator[Event]:
    for field, harm, mend in (
        ("is_mute", "is not heard by the store", "is heard by the store again"),
        ("is_deaf", "does not hear the store", "hears the store again"),
    ):
        is_so = getattr(host, field)
        if is_so:
            yield Event(f"{host.address} {mend}", partial(_set_way, n, field, False))
        elif may_harm:
            name = f"{host.address} {harm}"
            yield Event(name, partial(_set_way, n, field, True), 1)


def _set_way(n: int, field: str, is_cut: bool, world: CellWorld) -> None:
    setattr(world.relays[n], field, is_cut)
    if not is_cut:
        world.hint_all(world.relays[n])


def _start_relay(n: int, world: CellWorld) -> None:
    world.start_relay(n)


def _stop_relay(n: int, world: CellWorld) -> None:
    world.stop_relay(n)


def _leave(n: int, world: CellWorld) -> None:
    """It sends its servers away, gives its lease back and ends."""
    host = world.relays[n]
    assert host.relay
    host.relay.begin_shutdown()
    world.settle_down()
    lease = host.relay.member.lease
    if lease and not (world.is_store_away or host.is_mute):
        world.store.revoke(lease)
    world.stop_relay(n)


def _freeze_relay(n: int, world: CellWorld) -> None:
    world.relays[n].is_frozen = True


def _thaw_relay(n: int, world: CellWorld) -> None:
    world.relays[n].is_frozen = False
    world.hint_all(world.relays[n])


def _thaw_hearing(n: int, world: CellWorld) -> None:
    """What has waited for it is taken before its own clock is looked at."""
    host = world.relays[n]
    host.is_frozen = False
    for flight in [flight for flight in world.flights if flight.host == n and flight.is_answer]:
        world.take_store_flight(flight)
    for stream in [stream for stream in world.streams if stream.relay == n]:
        while stream in world.streams and world.can_reach_relay(stream):
            world.reach_relay(stream)
    for peer_flight in list(world.peer_flights):
        concerned = peer_flight.peer if peer_flight.answer is None else peer_flight.sender
        if concerned == n and world.can_take_peer(peer_flight):
            world.take_peer_flight(peer_flight)


def _of_servers(world: CellWorld, may_harm: bool) -> Iterator[Event]:
    for n, host in enumerate(world.servers):
        if not host.server:
            yield Event(f"{host.name} starts", partial(_start_server, n))
            continue
        if may_harm:
            yield Event(f"{host.name} dies", partial(_stop_server, n), 1)
        if host.is_frozen:
            yield Event(f"{host.name} wakes", partial(_set_frozen, n, False))
            yield Event(f"{host.name} wakes and hears first", partial(_hear, n))
        elif may_harm:
            yield Event(f"{host.name} freezes", partial(_set_frozen, n, True), 1)


def _start_server(n: int, world: CellWorld) -> None:
    world.start_server(n)


def _stop_server(n: int, world: CellWorld) -> None:
    world.stop_server(n)


def _set_frozen(n: int, is_frozen: bool, world: CellWorld) -> None:
    world.servers[n].is_frozen = is_frozen


def _hear(n: int, world: CellWorld) -> None:
    """What has waited for it is taken before its own clock is looked at."""
    world.servers[n].is_frozen = False
    for stream in [stream for stream in world.streams if stream.server == n]:
        while stream in world.streams and world.can_reach_server(stream):
            world.reach_server(stream)


# Ways and the store.


def _of_cuts(world: CellWorld, may_harm: bool) -> Iterator[Event]:
    for way in sorted(world.cuts):
        yield Event(f"{way[0]} to {way[1]}: healed", partial(_set_cut, way, False))
    if may_harm:
        for way in _ways(world):
            if way not in world.cuts:
                yield Event(f"{way[0]} to {way[1]}: cut", partial(_set_cut, way, True), 1)


def _set_cut(way: tuple[str, str], is_cut: bool, world: CellWorld) -> None:
    if is_cut:
        world.cuts.add(way)
    else:
        world.cuts.discard(way)


def _ways(world: CellWorld) -> Iterator[tuple[str, str]]:
    for host in world.relays:
        yield from ((host.address, other) for other in host.candidates if other != host.address)
    for server in world.servers:
        for address in server.relays:
            yield server.name, address
            yield address, server.name


def _of_store(world: CellWorld, may_harm: bool) -> Iterator[Event]:
    if world.is_store_away:
        yield Event("the store is back", partial(_set_away, False))
    elif may_harm:
        yield Event("the store is away", partial(_set_away, True), 1)
    if not world.variant.has_copies:
        return
    if world.right:
        yield Event("the store itself answers", _swap_back)
        return
    if not world.kept:
        yield Event("the store is copied", _keep_copy)
    elif may_harm:
        yield Event("an older copy answers", _swap_for_copy, 1)


def _set_away(is_away: bool, world: CellWorld) -> None:
    world.is_store_away = is_away
    if not is_away:
        for host in world.relays:
            world.hint_all(host)


def _swap_back(world: CellWorld) -> None:
    world.swap(None)


def _keep_copy(world: CellWorld) -> None:
    world.kept = world.store.copy()


def _swap_for_copy(world: CellWorld) -> None:
    assert world.kept
    engine = world.kept.copy()
    engine.has_history = False
    engine.cluster, engine.granted = COPY_ID, engine.granted + COPY_LEASES * (world.spent + 1)
    engine.lapse(world.now)
    world.swap(engine)
