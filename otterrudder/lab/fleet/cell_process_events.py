"""The events of processes, network links and the store that may happen next in a model of cells."""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial

from otterrudder.lab.fleet import cell_delivery, cell_processes, cell_store
from otterrudder.lab.fleet.cell_event import Event
from otterrudder.lab.fleet.cell_state import CellState, RelayHost, Stream

# Relays.


@dataclass(frozen=True, slots=True)
class StoreCut:
    """A direction between a relay and the store that may be cut: the host's attribute and the event names."""

    attribute: str
    cut: str
    restored: str


STORE_CUTS = (
    StoreCut("is_send_cut", "cannot send to the store", "can send to the store again"),
    StoreCut("is_receive_cut", "cannot receive from the store", "can receive from the store again"),
)


def relay_events(state: CellState, may_inject: bool) -> Iterator[Event]:
    """Yields the events of the relays' processes and of their links to the store."""
    for index, host in enumerate(state.relays):
        if not host.relay:
            yield Event(f"{host.address} starts", partial(_start_relay, index))
            continue
        if may_inject:
            yield Event(f"{host.address} dies", partial(_stop_relay, index), 1)
            if not host.is_frozen:
                yield Event(f"{host.address} shuts down", partial(_shut_down_relay, index), 1)
        if host.is_frozen:
            yield Event(f"{host.address} thaws", partial(_thaw_relay, index))
            yield Event(f"{host.address} thaws and receives first", partial(_thaw_relay_with_messages, index))
        elif may_inject:
            yield Event(f"{host.address} freezes", partial(_freeze_relay, index), 1)
        yield from _store_cut_events(index, host, may_inject)


def _store_cut_events(index: int, host: RelayHost, may_inject: bool) -> Iterator[Event]:
    for link in STORE_CUTS:
        if getattr(host, link.attribute):
            name = f"{host.address} {link.restored}"
            yield Event(name, partial(_set_store_cut, index, link.attribute, False))
        elif may_inject:
            yield Event(f"{host.address} {link.cut}", partial(_set_store_cut, index, link.attribute, True), 1)


def _set_store_cut(index: int, attribute: str, is_cut: bool, state: CellState) -> None:
    setattr(state.relays[index], attribute, is_cut)
    if not is_cut:
        cell_store.restart_watches(state, state.relays[index])


def _start_relay(index: int, state: CellState) -> None:
    cell_processes.start_relay(state, index)


def _stop_relay(index: int, state: CellState) -> None:
    cell_processes.stop_relay(state, index)


def _shut_down_relay(index: int, state: CellState) -> None:
    cell_processes.shut_down_relay(state, index)


def _freeze_relay(index: int, state: CellState) -> None:
    state.relays[index].is_frozen = True


def _thaw_relay(index: int, state: CellState) -> None:
    state.relays[index].is_frozen = False
    cell_store.restart_watches(state, state.relays[index])


def _thaw_relay_with_messages(index: int, state: CellState) -> None:
    """The relay receives all messages that have waited for it before it reads its clock."""
    state.relays[index].is_frozen = False
    answers = [
        exchange for exchange in state.store_exchanges if exchange.host == index and exchange.is_answer
    ]
    for exchange in answers:
        cell_delivery.deliver_store_exchange(state, exchange)
    for stream in [stream for stream in state.streams if stream.relay == index]:
        while _can_still_reach_relay(state, stream):
            cell_delivery.deliver_to_relay(state, stream)
    for peer_exchange in list(state.peer_exchanges):
        is_request = peer_exchange.answer is None
        receiver = peer_exchange.peer if is_request else peer_exchange.sender
        if receiver == index and cell_delivery.can_deliver_peer_exchange(state, peer_exchange):
            cell_delivery.deliver_peer_exchange(state, peer_exchange)


def _can_still_reach_relay(state: CellState, stream: Stream) -> bool:
    return stream in state.streams and cell_delivery.can_reach_relay(state, stream)


# Servers.


def server_events(state: CellState, may_inject: bool) -> Iterator[Event]:
    """Yields the events of the servers' processes."""
    for index, host in enumerate(state.servers):
        if not host.server:
            yield Event(f"{host.name} starts", partial(_start_server, index))
            continue
        if may_inject:
            yield Event(f"{host.name} dies", partial(_stop_server, index), 1)
        if host.is_frozen:
            yield Event(f"{host.name} thaws", partial(_set_server_frozen, index, False))
            yield Event(f"{host.name} thaws and receives first", partial(_thaw_server_with_messages, index))
        elif may_inject:
            yield Event(f"{host.name} freezes", partial(_set_server_frozen, index, True), 1)


def _start_server(index: int, state: CellState) -> None:
    cell_processes.start_server(state, index)


def _stop_server(index: int, state: CellState) -> None:
    cell_processes.stop_server(state, index)


def _set_server_frozen(index: int, is_frozen: bool, state: CellState) -> None:
    state.servers[index].is_frozen = is_frozen


def _thaw_server_with_messages(index: int, state: CellState) -> None:
    """The server receives all messages that have waited for it before it reads its clock."""
    state.servers[index].is_frozen = False
    for stream in [stream for stream in state.streams if stream.server == index]:
        while stream in state.streams and cell_delivery.can_reach_server(state, stream):
            cell_delivery.deliver_to_server(state, stream)


# Links and the store.

Link = tuple[str, str]  # sender and receiver


def cut_events(state: CellState, may_inject: bool) -> Iterator[Event]:
    """Yields the events of the links between relays, and between relays and servers."""
    for link in sorted(state.cuts):
        yield Event(f"{link[0]} to {link[1]}: healed", partial(_set_cut, link, False))
    if may_inject:
        for link in _links(state):
            if link not in state.cuts:
                yield Event(f"{link[0]} to {link[1]}: cut", partial(_set_cut, link, True), 1)


def _set_cut(link: Link, is_cut: bool, state: CellState) -> None:
    if is_cut:
        state.cuts.add(link)
    else:
        state.cuts.discard(link)


def _links(state: CellState) -> Iterator[Link]:
    for host in state.relays:
        yield from ((host.address, other) for other in host.candidates if other != host.address)
    for server in state.servers:
        for address in server.relays:
            yield server.name, address
            yield address, server.name


def engine_events(state: CellState, may_inject: bool) -> Iterator[Event]:
    """Yields the events of the store: it becomes unreachable or reachable, or another engine answers."""
    if state.is_store_unreachable:
        yield Event("the store is reachable", partial(_set_store_unreachable, False))
    elif may_inject:
        yield Event("the store is unreachable", partial(_set_store_unreachable, True), 1)
    if not state.variant.has_backups:
        return
    if state.store.primary:
        yield Event("the store itself answers", cell_store.return_to_primary)
    elif not state.store.backup:
        yield Event("a backup is taken", _take_backup)
    elif may_inject:
        yield Event("the backup answers", cell_store.restore_backup, 1)


def _set_store_unreachable(is_unreachable: bool, state: CellState) -> None:
    state.is_store_unreachable = is_unreachable
    if not is_unreachable:
        for host in state.relays:
            cell_store.restart_watches(state, host)


def _take_backup(state: CellState) -> None:
    state.store.take_backup()
