"""Delivers requests, answers and messages in a model of cells, one at a time or all."""

from collections.abc import Callable

from otterrudder.fleet.cell.messages import ValidationResult
from otterrudder.lab.fleet import cell_store
from otterrudder.lab.fleet.cell_processes import run_effects
from otterrudder.lab.fleet.cell_state import (
    CellState,
    PeerExchange,
    RelayHost,
    ServerHost,
    StoreExchange,
    Stream,
    StreamSignal,
)

MAX_DELIVERIES = 2000  # maximum deliveries at one simulated time; more indicate an endless exchange
NEVER_IDLE = "exchanges do not end"

StoreFilter = Callable[[StoreExchange], bool]

# The store.


def can_serve(state: CellState, exchange: StoreExchange) -> bool:
    """Whether a request arrives at the store, or an answer at its relay."""
    if exchange.is_answer:
        return True
    host = state.relays[exchange.host]
    is_cut = host.is_send_cut and host.incarnation == exchange.incarnation
    return not state.is_store_unreachable and not is_cut


def deliver_store_exchange(state: CellState, exchange: StoreExchange) -> None:
    """Serves a request and delivers its answer, or delivers an answer."""
    host = state.relays[exchange.host]
    if not exchange.is_answer:
        exchange.outcome = cell_store.serve(state, exchange.effect)
    if host.is_frozen and host.relay and host.incarnation == exchange.incarnation:  # the answer waits
        exchange.is_answer = True
        return
    state.store_exchanges.remove(exchange)
    receive_answer(state, exchange)


def receive_answer(state: CellState, exchange: StoreExchange) -> None:
    """Delivers an answer to the process that sent the request, if it still runs."""
    host = state.relays[exchange.host]
    if host.relay and host.incarnation == exchange.incarnation:
        outcome = None if host.is_receive_cut else exchange.outcome
        host.relay.handle_result(state.clock(host), exchange.effect, exchange.sent, outcome)


def drop_unserved(state: CellState) -> None:
    """Fails the requests that cannot arrive, unless their relay is frozen."""
    for exchange in [exchange for exchange in state.store_exchanges if not can_serve(state, exchange)]:
        if not state.relays[exchange.host].is_frozen:
            state.store_exchanges.remove(exchange)
            exchange.outcome = None
            receive_answer(state, exchange)


# Requests between relays.


def can_deliver_peer_exchange(state: CellState, exchange: PeerExchange) -> bool:
    """Whether a request or its answer can arrive."""
    sender = state.relays[exchange.sender]
    peer = state.relays[exchange.peer]
    if exchange.answer is not None:
        return not sender.is_frozen and (peer.address, sender.address) not in state.cuts
    return not peer.is_frozen and (sender.address, peer.address) not in state.cuts


def deliver_peer_exchange(state: CellState, exchange: PeerExchange) -> None:
    """Has a request answered, with the answer then in flight, or delivers an answer."""
    sender = state.relays[exchange.sender]
    peer = state.relays[exchange.peer]
    if exchange.answer is not None:
        state.peer_exchanges.remove(exchange)
        if sender.relay and sender.incarnation == exchange.incarnation:
            sender.relay.handle_endorsement(exchange.answer)
        return
    if not peer.relay:
        state.peer_exchanges.remove(exchange)
        return
    exchange.answer = peer.relay.handle_endorsement_request(state.clock(peer), exchange.request)
    if exchange.answer.span_ms > 0:
        state.checker.record_endorsement(state.now, (exchange.peer, peer.incarnation))


# Messages between servers and relays.


def can_reach_relay(state: CellState, stream: Stream) -> bool:
    """Whether there is a next message to the relay that can arrive."""
    host = state.relays[stream.relay]
    server = state.servers[stream.server]
    return bool(stream.to_relay) and not host.is_frozen and (server.name, host.address) not in state.cuts


def can_reach_server(state: CellState, stream: Stream) -> bool:
    """Whether there is a next message to the server that can arrive."""
    host = state.relays[stream.relay]
    server = state.servers[stream.server]
    is_cut = (host.address, server.name) in state.cuts
    return bool(stream.to_server) and not server.is_frozen and not is_cut


def deliver_to_relay(state: CellState, stream: Stream) -> None:
    """Delivers the next message to the relay."""
    message = stream.to_relay.pop(0)
    host = state.relays[stream.relay]
    if message is StreamSignal.ENDED:
        state.streams.remove(stream)
    if stream.is_ended or not host.relay or host.incarnation != stream.relay_incarnation:
        return
    if isinstance(message, StreamSignal):
        host.relay.handle_stream_closed(stream.number)
        return
    if isinstance(message, ValidationResult) and stream.number in host.relay.sessions:
        _record_result(state, host, stream, message)
    host.relay.handle_message(state.clock(host), stream.number, message)


def _record_result(state: CellState, host: RelayHost, stream: Stream, result: ValidationResult) -> None:
    process = (stream.relay, host.incarnation)
    revision = state.change_revision()
    state.checker.record_result(process, stream.fingerprint, result.digest, result.rejection, revision)


def deliver_to_server(state: CellState, stream: Stream) -> None:
    """Delivers the next message to the server."""
    message = stream.to_server.pop(0)
    host = state.servers[stream.server]
    if message is StreamSignal.ENDED and stream in state.streams:
        state.streams.remove(stream)
    if not host.server or host.incarnation != stream.server_incarnation:
        return
    now = state.clock(host)
    if message is StreamSignal.OPENED:
        host.server.handle_connected(now, stream.connection)
    elif message is StreamSignal.ENDED:
        host.server.handle_disconnected(now, stream.connection)
    elif not isinstance(message, StreamSignal):
        host.server.handle_message(now, stream.connection, message)


def break_stream(stream: Stream) -> None:
    """Breaks a stream: messages in flight are lost, and each end is told as soon as it can receive."""
    stream.to_relay[:] = [StreamSignal.ENDED]
    stream.to_server[:] = [StreamSignal.ENDED]


def finish_validation(state: CellState, host: ServerHost) -> None:
    """Completes the oldest validation of a server."""
    task = host.validations.pop(0)
    if host.server:
        host.server.handle_validated(state.clock(host), task.digest, host.rejection_of(task.text))


# All deliveries.


def _any_exchange(_: StoreExchange) -> bool:
    return True


def deliver_all(state: CellState, accepts: StoreFilter = _any_exchange) -> str:
    """Delivers everything that can arrive now, and everything that follows from it.

    `accepts` selects exchanges with the store. Returns "", or a violation if the deliveries do not end."""
    for _ in range(MAX_DELIVERIES):
        run_effects(state)
        if not _deliver_one(state, accepts):
            return ""
    return NEVER_IDLE


def _deliver_one(state: CellState, accepts: StoreFilter) -> bool:
    """Makes the first possible delivery; returns whether there was one."""
    return (
        _deliver_one_store_exchange(state, accepts)
        or _deliver_one_peer_exchange(state)
        or _deliver_one_message(state)
        or _finish_one_validation(state)
    )


def _deliver_one_store_exchange(state: CellState, accepts: StoreFilter) -> bool:
    for exchange in state.store_exchanges:
        host = state.relays[exchange.host]
        waits = host.is_frozen and exchange.is_answer
        if can_serve(state, exchange) and accepts(exchange) and not waits:
            deliver_store_exchange(state, exchange)
            return True
    return False


def _deliver_one_peer_exchange(state: CellState) -> bool:
    for exchange in state.peer_exchanges:
        if can_deliver_peer_exchange(state, exchange):
            deliver_peer_exchange(state, exchange)
            return True
    return False


def _deliver_one_message(state: CellState) -> bool:
    for stream in state.streams:
        if can_reach_relay(state, stream):
            deliver_to_relay(state, stream)
            return True
        if can_reach_server(state, stream):
            deliver_to_server(state, stream)
            return True
    return False


def _finish_one_validation(state: CellState) -> bool:
    for host in state.servers:
        if host.runs and host.validations:
            finish_validation(state, host)
            return True
    return False
