"""Deliveries in a model of cells: requests, answers and messages that arrive, one at a time or all."""

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

MAX_DELIVERIES = 2000  # at one moment; more: the model never comes to rest
NEVER_IDLE = "it never rests"

StoreFilter = Callable[[StoreExchange], bool]

# The store.


def can_serve(state: CellState, exchange: StoreExchange) -> bool:
    """Whether a request arrives at the store, or an answer at whoever asked."""
    if exchange.is_answer:
        return True
    host = state.relays[exchange.host]
    is_cut = host.is_send_cut and host.incarnation == exchange.incarnation
    return not state.is_store_unreachable and not is_cut


def deliver_store_exchange(state: CellState, exchange: StoreExchange) -> None:
    """A request is served and its answer received, or an answer received."""
    host = state.relays[exchange.host]
    if not exchange.is_answer:
        exchange.outcome = cell_store.serve(state, exchange.effect)
    if host.is_frozen and host.relay and host.incarnation == exchange.incarnation:  # it waits for the thaw
        exchange.is_answer = True
        return
    state.store_exchanges.remove(exchange)
    receive_answer(state, exchange)


def receive_answer(state: CellState, exchange: StoreExchange) -> None:
    """The answer reaches the process that asked, if it still runs."""
    host = state.relays[exchange.host]
    if host.relay and host.incarnation == exchange.incarnation:
        outcome = None if host.is_receive_cut else exchange.outcome
        host.relay.handle_result(state.clock(host), exchange.effect, exchange.sent, outcome)


def drop_unserved(state: CellState) -> None:
    """Requests that can't arrive are given up by whoever sent them."""
    for exchange in [exchange for exchange in state.store_exchanges if not can_serve(state, exchange)]:
        if not state.relays[exchange.host].is_frozen:
            state.store_exchanges.remove(exchange)
            exchange.outcome = None
            receive_answer(state, exchange)


# Relays among themselves.


def can_deliver_peer_exchange(state: CellState, exchange: PeerExchange) -> bool:
    """Whether the request or the answer arrives."""
    sender = state.relays[exchange.sender]
    peer = state.relays[exchange.peer]
    if exchange.answer is not None:
        return not sender.is_frozen and (peer.address, sender.address) not in state.cuts
    return not peer.is_frozen and (sender.address, peer.address) not in state.cuts


def deliver_peer_exchange(state: CellState, exchange: PeerExchange) -> None:
    """A request is answered, and the answer waits; or an answer arrives."""
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


# Servers and relays.


def can_reach_relay(state: CellState, stream: Stream) -> bool:
    """Whether the next message that way arrives."""
    host = state.relays[stream.relay]
    server = state.servers[stream.server]
    return bool(stream.to_relay) and not host.is_frozen and (server.name, host.address) not in state.cuts


def can_reach_server(state: CellState, stream: Stream) -> bool:
    """Whether the next message that way arrives."""
    host = state.relays[stream.relay]
    server = state.servers[stream.server]
    is_cut = (host.address, server.name) in state.cuts
    return bool(stream.to_server) and not server.is_frozen and not is_cut


def deliver_to_relay(state: CellState, stream: Stream) -> None:
    """The next message that way arrives."""
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
    """The next message that way arrives."""
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
    """What is on its way is lost, and both ends learn that it has ended, each when it can receive that."""
    stream.to_relay[:] = [StreamSignal.ENDED]
    stream.to_server[:] = [StreamSignal.ENDED]


def finish_validation(state: CellState, host: ServerHost) -> None:
    """The text that has waited for longest is validated."""
    task = host.validations.pop(0)
    if host.server:
        host.server.handle_validated(state.clock(host), task.digest, host.rejection_of(task.text))


# All.


def _any_exchange(_: StoreExchange) -> bool:
    return True


def deliver_all(state: CellState, accepts: StoreFilter = _any_exchange) -> str:
    """All that can arrive now does, and what follows from it. `accepts`: of the store's requests. "", or why
    it does not end."""
    for _ in range(MAX_DELIVERIES):
        run_effects(state)
        if not _deliver_one(state, accepts):
            return ""
    return NEVER_IDLE


def _deliver_one(state: CellState, accepts: StoreFilter) -> bool:
    """Whether anything could arrive."""
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
