"""The events of requests, answers, messages and changes that may happen next in a model of cells."""

from collections.abc import Callable, Iterator
from dataclasses import replace
from functools import partial

from otterrudder.fleet.cell.messages import LeaseGrant, PolicyUpdate
from otterrudder.fleet.change import ChangeRejectedError, propose
from otterrudder.fleet.effects import Commit, Effect, Lane, effect_name
from otterrudder.fleet.queue import QueueRejectedError, enqueue
from otterrudder.fleet.records import QueuedChange
from otterrudder.lab.fleet import cell_delivery, cell_store
from otterrudder.lab.fleet.cell_event import Event
from otterrudder.lab.fleet.cell_stages import text_of
from otterrudder.lab.fleet.cell_state import DEADLINE_MS, CellState, PeerExchange, Stream, StreamSignal

# Requests to the store and their answers.


def store_events(state: CellState, may_inject: bool) -> Iterator[Event]:
    """Yields the events of requests to the store and of their answers."""
    for index, exchange in enumerate(state.store_exchanges):
        host = state.relays[exchange.host]
        name = f"{host.address}.{exchange.incarnation} {_effect_label(exchange.effect)}"
        has_sender = host.relay is not None and host.incarnation == exchange.incarnation
        if host.is_frozen and exchange.is_answer and has_sender:
            continue  # a frozen process receives no answer
        if not cell_delivery.can_serve(state, exchange):
            if not host.is_frozen:
                yield Event(f"{name}: not delivered", partial(_drop, index))
            continue
        suffix = ": answer" if exchange.is_answer else ""
        yield Event(f"{name}{suffix}", partial(_deliver_store_exchange, index))
        if may_inject and has_sender and not exchange.is_answer and not host.is_frozen:
            yield from _store_faults(index, name, exchange.effect)


def _store_faults(index: int, name: str, effect: Effect) -> Iterator[Event]:
    if isinstance(effect, Commit):
        yield Event(f"{name}: took effect, answer lost", partial(_lose_answer, index), 1)
        yield Event(f"{name}: given up, still in flight", partial(_give_up, index), 1)
    else:
        yield Event(f"{name}: slow answer", partial(_answer_slowly, index), 1)


def _deliver_store_exchange(index: int, state: CellState) -> None:
    cell_delivery.deliver_store_exchange(state, state.store_exchanges[index])


def _drop(index: int, state: CellState) -> None:
    cell_delivery.receive_answer(state, state.store_exchanges.pop(index))


def _lose_answer(index: int, state: CellState) -> None:
    exchange = state.store_exchanges.pop(index)
    cell_store.serve(state, exchange.effect)
    cell_delivery.receive_answer(state, exchange)


def _give_up(index: int, state: CellState) -> None:
    """The sender stops waiting for a request that may still arrive."""
    exchange = state.store_exchanges[index]
    state.store_exchanges[index] = replace(exchange, incarnation=-exchange.incarnation)
    cell_delivery.receive_answer(state, exchange)


def _answer_slowly(index: int, state: CellState) -> None:
    exchange = state.store_exchanges[index]
    exchange.outcome = cell_store.serve(state, exchange.effect)
    exchange.is_answer = True


def _effect_label(effect: Effect) -> str:
    if isinstance(effect, Commit):
        return effect.purpose
    return "count" if effect.lane is Lane.COORDINATE else effect_name(effect)


# Requests between relays.


def peer_events(state: CellState, may_inject: bool) -> Iterator[Event]:
    """Yields the events of requests between relays and of their answers."""
    for index, exchange in enumerate(state.peer_exchanges):
        name = _peer_label(state, exchange)
        if cell_delivery.can_deliver_peer_exchange(state, exchange):
            yield Event(name, partial(_deliver_peer_exchange, index))
        if may_inject:
            yield Event(f"{name}: lost", partial(_lose_peer_exchange, index), 1)


def _deliver_peer_exchange(index: int, state: CellState) -> None:
    cell_delivery.deliver_peer_exchange(state, state.peer_exchanges[index])


def _lose_peer_exchange(index: int, state: CellState) -> None:
    del state.peer_exchanges[index]


def _peer_label(state: CellState, exchange: PeerExchange) -> str:
    sender = state.relays[exchange.sender].address
    peer = state.relays[exchange.peer].address
    return f"{peer} answers {sender}" if exchange.answer else f"{sender} asks {peer}"


# Messages between servers and relays.


def stream_events(state: CellState, may_inject: bool) -> Iterator[Event]:
    """Yields the events of messages between servers and relays, and of validations by servers."""
    for index, stream in enumerate(state.streams):
        yield from _message_events(state, index, stream)
        if may_inject:
            yield from _stream_faults(state, index, stream)
    for index, host in enumerate(state.servers):
        if host.runs and host.validations:
            yield Event(f"{host.name} has validated", partial(_finish_validation, index))


def _message_events(state: CellState, index: int, stream: Stream) -> Iterator[Event]:
    server = state.servers[stream.server].name
    relay = state.relays[stream.relay].address
    if cell_delivery.can_reach_relay(state, stream):
        name = f"{server} to {relay}: {_message_label(stream.to_relay[0])}"
        yield Event(name, partial(_deliver_to_relay, index))
    if cell_delivery.can_reach_server(state, stream):
        name = f"{relay} to {server}: {_message_label(stream.to_server[0])}"
        yield Event(name, partial(_deliver_to_server, index))


def _stream_faults(state: CellState, index: int, stream: Stream) -> Iterator[Event]:
    server = state.servers[stream.server].name
    relay = state.relays[stream.relay].address
    if not _has_ended(stream):
        yield Event(f"{server} to {relay}: breaks", partial(_break_stream, index), 1)
    if stream.to_server and isinstance(stream.to_server[0], PolicyUpdate):
        yield Event(f"{relay} to {server}: damaged text", partial(_damage_text, index), 1)
    if stream.to_server and _grants_version(stream.to_server[0]):
        yield Event(f"{relay} to {server}: older version", partial(_grant_older_version, index), 1)


def _deliver_to_relay(index: int, state: CellState) -> None:
    cell_delivery.deliver_to_relay(state, state.streams[index])


def _deliver_to_server(index: int, state: CellState) -> None:
    cell_delivery.deliver_to_server(state, state.streams[index])


def _break_stream(index: int, state: CellState) -> None:
    cell_delivery.break_stream(state.streams[index])


def _finish_validation(index: int, state: CellState) -> None:
    cell_delivery.finish_validation(state, state.servers[index])


def _has_ended(stream: Stream) -> bool:
    ended = StreamSignal.ENDED
    return stream.is_ended or ended in stream.to_relay or ended in stream.to_server


def _message_label(message: object) -> str:
    return message.value if isinstance(message, StreamSignal) else type(message).__name__


def _grants_version(message: object) -> bool:
    return isinstance(message, LeaseGrant) and message.version > 0


def _grant_older_version(index: int, state: CellState) -> None:
    """Changes a grant to one for an older version, as only a faulty relay would send it."""
    stream = state.streams[index]
    grant = stream.to_server[0]
    assert isinstance(grant, LeaseGrant)
    version = grant.version - 1
    older = state.checker.committed.get(version)
    change = older.change if older else ""
    stream.to_server[0] = LeaseGrant(grant.sequence, version, change, grant.span_ms)


def _damage_text(index: int, state: CellState) -> None:
    stream = state.streams[index]
    update = stream.to_server[0]
    assert isinstance(update, PolicyUpdate)
    text = f"{update.text} damaged"
    stream.to_server[0] = PolicyUpdate(update.version, update.change, update.digest, text)


# Changes.

Proposal = Callable[[CellState, str], Commit | None]


def change_events(state: CellState) -> Iterator[Event]:
    """Yields the events of changes.

    A and C are queued, B is proposed directly. A commit that was computed is sent, possibly much later."""
    if state.is_store_unreachable:
        return
    proposals: tuple[tuple[str, Proposal], ...] = (("A", _enqueue), ("B", _propose), ("C", _enqueue))
    for ident, compute in proposals:
        if ident not in state.proposed and compute(state, ident):
            yield Event(f"{ident} reads, to propose", partial(_compute, ident, compute))
    for proposer, commit in state.pending.items():
        yield Event(f"{proposer}: {commit.purpose}", partial(_send_commit, proposer))


def _send_commit(proposer: str, state: CellState) -> None:
    cell_store.write(state, state.pending.pop(proposer))


def _compute(ident: str, compute: Proposal, state: CellState) -> None:
    state.proposed.add(ident)
    if commit := compute(state, ident):
        state.pending[ident] = commit


def _enqueue(state: CellState, ident: str) -> Commit | None:
    snapshot = state.snapshot()
    has_base = state.variant.has_based_changes and snapshot.policy
    base = snapshot.policy.digest if has_base and snapshot.policy else ""
    entry = QueuedChange(ident, author=ident, deadline_ms=DEADLINE_MS, base=base)
    try:
        return enqueue(snapshot, entry, text_of(ident))
    except QueueRejectedError:
        return None


def _propose(state: CellState, ident: str) -> Commit | None:
    try:
        return propose(state.snapshot(), ident, text_of(ident), ident, "", 0.0, DEADLINE_MS)
    except ChangeRejectedError:
        return None
