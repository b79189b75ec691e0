"""Starts and stops the processes of a model of cells, and performs their effects."""

from dataclasses import replace

from otterrudder.fleet.cell.effects import (
    Connect,
    Disconnect,
    EndSession,
    ParticipantEffect,
    PeerRequest,
    RelayEffect,
    SendToRelay,
    SendToServer,
    ValidateText,
)
from otterrudder.fleet.cell.identity import CellIdentity, ServerIdentity
from otterrudder.fleet.cell.messages import LeaseGrant
from otterrudder.fleet.cell.relay_start import RelayStart
from otterrudder.fleet.effects import Commit, Effect, Lane, Outcome, SaveState
from otterrudder.fleet.state import MemberState
from otterrudder.lab.fleet import cell_store
from otterrudder.lab.fleet.cell_history_checker import RelayHistory
from otterrudder.lab.fleet.cell_state import (
    FLEET,
    CellState,
    PeerExchange,
    RelayHost,
    ServerHost,
    StoreExchange,
    Stream,
    StreamSignal,
)
from otterrudder.lab.fleet.model_store import STORE_ID

MAX_PEER_REQUESTS = 2  # maximum requests in flight from one relay to another; older requests are lost

# Starts and stops.


def start_relay(state: CellState, index: int) -> None:
    """Starts a relay's process with the state saved on its disk."""
    host = state.relays[index]
    variant = state.variant
    host.incarnation += 1
    host.is_frozen = False
    incarnation = f"{host.address}.{host.incarnation}"
    is_shared = variant.relays > 1
    host.relay = variant.relay(
        state.clock(host),
        CellIdentity(FLEET, host.cell, host.address, host.candidates),
        RelayStart(incarnation, state=host.disk, has_disk=not is_shared, cluster=STORE_ID),
        replace(variant.rules, is_shared=is_shared),
        variant.limits,
    )
    history = RelayHistory(host.address, incarnation, host.rate)
    state.checker.relays[index, host.incarnation] = history


def start_server(state: CellState, index: int) -> None:
    """Starts a server's process, which has no saved state."""
    host = state.servers[index]
    host.incarnation += 1
    host.started = state.now
    host.newest = 0
    host.is_frozen = False
    host.validations.clear()
    incarnation = f"{host.name}.{host.incarnation}"
    identity = ServerIdentity(FLEET, host.name, incarnation, host.fingerprint)
    span_ms = state.variant.limits.span_ms
    host.server = state.variant.participant(state.clock(host), identity, host.relays, span_ms)


def stop_relay(state: CellState, index: int) -> None:
    """Stops a relay's process abruptly; its streams end."""
    host = state.relays[index]
    host.relay = None
    for stream in state.streams:
        if (stream.relay, stream.relay_incarnation) == (index, host.incarnation) and not stream.is_ended:
            stream.is_ended = True
            stream.to_server.append(StreamSignal.ENDED)


def stop_server(state: CellState, index: int) -> None:
    """Stops a server's process abruptly; its streams end."""
    host = state.servers[index]
    host.server = None
    for stream in state.streams:
        if (stream.server, stream.server_incarnation) == (index, host.incarnation):
            stream.to_relay.append(StreamSignal.ENDED)
            stream.to_server.clear()


def shut_down_relay(state: CellState, index: int) -> None:
    """Shuts a relay down: it dismisses its servers, revokes its lease and stops."""
    host = state.relays[index]
    assert host.relay
    host.relay.begin_shutdown()
    run_effects(state)
    lease = host.relay.member.lease
    if lease and not (state.is_store_unreachable or host.is_send_cut):
        state.store.engine.revoke(lease)
    stop_relay(state, index)


# Effects.


def run_effects(state: CellState) -> None:
    """Performs the effects of all relays and servers until there are none."""
    is_busy = True
    while is_busy:
        is_busy = False
        for index, host in enumerate(state.relays):
            is_busy = _run_relay(state, index, host) or is_busy
        for index, server_host in enumerate(state.servers):
            is_busy = _run_server(state, index, server_host) or is_busy


def _run_relay(state: CellState, index: int, host: RelayHost) -> bool:
    """Performs the effects of a relay; returns whether there were any."""
    is_busy = False
    while host.runs and host.relay and (effects := host.relay.effects(state.clock(host))):
        is_busy = True
        for effect in effects:
            _perform_relay_effect(state, index, host, effect)
    return is_busy


def _run_server(state: CellState, index: int, host: ServerHost) -> bool:
    """Performs the effects of a server; returns whether there were any."""
    is_busy = False
    while host.runs and host.server and (effects := host.server.effects(state.clock(host))):
        is_busy = True
        for effect in effects:
            _perform_server_effect(state, index, host, effect)
    if host.server:
        host.newest = max(host.newest, host.server.applied_policy.version)
    return is_busy


def _perform_relay_effect(state: CellState, index: int, host: RelayHost, effect: RelayEffect) -> None:
    match effect:
        case SendToServer():
            _send_to_server(state, index, host, effect)
        case EndSession():
            if stream := state.relay_stream(index, host.incarnation, effect.connection):
                stream.is_ended = True
                stream.to_server.append(StreamSignal.ENDED)
        case PeerRequest():
            _send_to_peer(state, index, host, effect)
        case _:
            _perform_member_effect(state, index, host, effect)


def _perform_member_effect(state: CellState, index: int, host: RelayHost, effect: Effect) -> None:
    assert host.relay
    now = state.clock(host)
    if isinstance(effect, SaveState):
        assert isinstance(effect.record, MemberState)
        host.disk = effect.record
        host.relay.handle_result(now, effect, now, True)
    elif effect.lane is Lane.LEASE or isinstance(effect, Commit) and effect.purpose == "tell":
        host.relay.handle_result(now, effect, now, _perform_immediate_effect(state, host, effect))
    else:
        if isinstance(effect, Commit) and effect.purpose == "vote":
            state.checker.record_vote(state.now, (index, host.incarnation), effect)
        state.store_exchanges.append(StoreExchange(index, host.incarnation, effect, now))


def _perform_immediate_effect(state: CellState, host: RelayHost, effect: Effect) -> Outcome:
    """Completes a lease request or a status report for operators at once, and returns its outcome.

    No order of other events depends on when these are completed."""
    if state.is_store_unreachable or host.is_send_cut:
        return None
    outcome = cell_store.serve(state, effect)
    return None if host.is_receive_cut else outcome


def _send_to_server(state: CellState, index: int, host: RelayHost, effect: SendToServer) -> None:
    stream = state.relay_stream(index, host.incarnation, effect.connection)
    if not stream or stream.is_ended:
        return
    stream.to_server.append(effect.message)
    if isinstance(effect.message, LeaseGrant):
        process = (index, host.incarnation)
        state.checker.record_grant(state.now, process, stream.fingerprint, effect.message)


def _send_to_peer(state: CellState, index: int, host: RelayHost, effect: PeerRequest) -> None:
    peer = next(relay_index for relay_index, other in enumerate(state.relays) if other.address == effect.peer)
    same = [earlier for earlier in state.peer_exchanges if (earlier.sender, earlier.peer) == (index, peer)]
    if len(same) >= MAX_PEER_REQUESTS:
        state.peer_exchanges = [earlier for earlier in state.peer_exchanges if earlier is not same[0]]
    state.peer_exchanges.append(PeerExchange(index, host.incarnation, peer, effect.message))


def _perform_server_effect(state: CellState, index: int, host: ServerHost, effect: ParticipantEffect) -> None:
    match effect:
        case Connect():
            _connect(state, index, host, effect)
        case ValidateText():
            host.validations.append(effect)
        case SendToRelay():
            if stream := state.server_stream(index, host.incarnation, effect.connection):
                stream.to_relay.append(effect.message)
        case Disconnect():
            if stream := state.server_stream(index, host.incarnation, effect.connection):
                stream.to_relay.append(StreamSignal.ENDED)
                stream.to_server.clear()


def _connect(state: CellState, index: int, host: ServerHost, effect: Connect) -> None:
    assert host.server
    relay_index = next(
        relay_index for relay_index, relay in enumerate(state.relays) if relay.address == effect.relay
    )
    if (host.name, effect.relay) in state.cuts:
        return  # the connection attempt gets no answer
    if not state.relays[relay_index].relay:
        host.server.handle_disconnected(state.clock(host), effect.connection)
        return
    state.stream_count += 1
    stream = Stream(
        state.stream_count,
        index,
        host.incarnation,
        effect.connection,
        relay_index,
        state.relays[relay_index].incarnation,
        host.fingerprint,
    )
    stream.to_server.append(StreamSignal.OPENED)
    state.streams.append(stream)
