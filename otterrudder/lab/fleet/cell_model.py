"""The model of cells that a search explores: its states, with their guarantees and fingerprints."""

from dataclasses import dataclass

from otterrudder.fleet.cell.messages import PolicyUpdate, Registration
from otterrudder.lab.fleet.cell_promises import current_violation
from otterrudder.lab.fleet.cell_recovery import recovery_violation_of
from otterrudder.lab.fleet.cell_state import CellState, Stream
from otterrudder.lab.fleet.cloning import freeze


@dataclass(slots=True)
class CellModel(CellState):
    """A state of the model with the methods that `explore` needs."""

    def violation(self) -> str:
        """Returns the guarantee that is violated now, or "" if all hold."""
        return current_violation(self)

    def recovery_violation(self) -> str:
        """Returns the guarantee that is violated after all faults end, or "" if all hold."""
        return recovery_violation_of(self)

    def fingerprint(self) -> int:
        """Returns a value that is equal for two states at the same time that behave the same from here on."""
        relays = tuple(
            (
                host.incarnation,
                host.disk,
                host.is_frozen,
                host.is_send_cut,
                host.is_receive_cut,
                freeze(host.relay),
            )
            for host in self.relays
        )
        servers = tuple(
            (host.incarnation, host.is_frozen, freeze(host.validations), freeze(host.server))
            for host in self.servers
        )
        exchanges = tuple(
            tuple(sorted(map(repr, kind))) for kind in (self.store_exchanges, self.peer_exchanges)
        )
        environment = (
            tuple(sorted(self.cuts)),
            tuple(sorted(map(repr, self.pending.items()))),
            tuple(sorted(self.proposed)),
            self.now,
            self.is_store_unreachable,
            self.injected_faults,
        )
        streams = tuple(map(_stream_fingerprint, self.streams))
        return hash((relays, servers, streams, exchanges, self.store.fingerprint(), environment))


def _stream_fingerprint(stream: Stream) -> tuple[object, ...]:
    messages = (*stream.to_relay, *stream.to_server)
    return (stream.number, stream.is_ended, tuple(map(_message_fingerprint, messages)))


def _message_fingerprint(message: object) -> object:
    return repr(message) if isinstance(message, PolicyUpdate | Registration) else message
