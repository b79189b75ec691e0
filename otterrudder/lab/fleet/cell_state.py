"""The state of a model of cells: a few relays and servers, the store, and what is on its way between them.

All decisions are the fleet's own code. The state holds which processes run, are frozen or gone, and which
ways are cut; its history checker records what was written and sent. `cell_events` lists what may happen
next."""

from dataclasses import dataclass, field, replace
from enum import Enum
from typing import TypeVar

from otterrudder.fleet.cell.effects import ValidateText
from otterrudder.fleet.cell.messages import Endorsement, EndorsementRequest, RelayMessage, ServerMessage
from otterrudder.fleet.cell.participant import Participant
from otterrudder.fleet.cell.relay import Relay
from otterrudder.fleet.change import coordination_keys
from otterrudder.fleet.effects import Commit, Effect, Outcome
from otterrudder.fleet.records import FleetSnapshot, Keys
from otterrudder.fleet.state import MemberState
from otterrudder.lab.fleet.cell_history_checker import CellHistoryChecker
from otterrudder.lab.fleet.cell_variants import RULES, CellVariant
from otterrudder.lab.fleet.cloning import clone
from otterrudder.lab.fleet.model_store import ModelStore

FLEET = "f"
KEYS = Keys(FLEET)
DEADLINE_MS = 8000.0  # of the changes
REJECTING = "rejecting"  # the fingerprint of servers that reject a text with the bad ending
PLAIN = "plain"  # that of the others
BAD_ENDING = "!"

_S = TypeVar("_S", bound="CellState")


class StreamSignal(Enum):
    """What a stream carries beside messages."""

    OPENED = "opened"
    ENDED = "ended"


@dataclass(slots=True)
class RelayHost:
    """A place where a relay's process runs. `incarnation` counts its processes."""

    address: str
    cell: str
    candidates: tuple[str, ...]
    relay: Relay | None = None
    incarnation: int = 0
    disk: MemberState | None = None  # of a cell of one relay
    is_frozen: bool = False
    is_send_cut: bool = False  # its requests do not reach the store
    is_receive_cut: bool = False  # the store's answers and watch events do not reach it
    rate: float = 1.0  # of its clock: ms of its own in a ms of the store

    @property
    def runs(self) -> bool:
        """Whether a process is there, and not frozen."""
        return self.relay is not None and not self.is_frozen


@dataclass(slots=True)
class ServerHost:
    """A place where a server's process runs. `incarnation` counts its processes."""

    name: str
    fingerprint: str
    relays: tuple[str, ...]
    server: Participant | None = None
    incarnation: int = 0
    started: float = 0.0
    newest: int = 0  # version that this process has gone by
    is_frozen: bool = False
    validations: list[ValidateText] = field(default_factory=list)  # under way
    rate: float = 1.0

    @property
    def runs(self) -> bool:
        """Whether a process is there, and not frozen."""
        return self.server is not None and not self.is_frozen

    def rejection_of(self, text: str) -> str:
        """Why this server rejects a text, "" if it accepts it."""
        is_bad = self.fingerprint == REJECTING and text.endswith(BAD_ENDING)
        return "values.look: not known here" if is_bad else ""


@dataclass(slots=True)
class StoreExchange:
    """A relay's request on its way to the store (`outcome` unset) or the answer to it."""

    host: int
    incarnation: int
    effect: Effect
    sent: float
    is_answer: bool = False
    outcome: Outcome = None


@dataclass(slots=True)
class PeerExchange:
    """A relay's request to another one of its cell, or the answer to it."""

    sender: int
    incarnation: int
    peer: int
    request: EndorsementRequest
    answer: Endorsement | None = None


@dataclass(slots=True)
class Stream:
    """Between a server's process and a relay's; each way keeps the order of messages."""

    number: int
    server: int
    server_incarnation: int
    connection: int  # the server's number for it
    relay: int
    relay_incarnation: int
    fingerprint: str
    to_relay: list[ServerMessage | StreamSignal] = field(default_factory=list)
    to_server: list[RelayMessage | StreamSignal] = field(default_factory=list)
    is_ended: bool = False  # by the relay: it receives nothing more

    def copy(self) -> "Stream":
        """A copy that goes its own way."""
        return replace(self, to_relay=list(self.to_relay), to_server=list(self.to_server))


@dataclass(slots=True)
class CellState:
    """One state of the model. `trail`: the events that led to it."""

    variant: CellVariant
    store: ModelStore = field(default_factory=ModelStore)
    relays: list[RelayHost] = field(default_factory=list)
    servers: list[ServerHost] = field(default_factory=list)
    streams: list[Stream] = field(default_factory=list)
    store_exchanges: list[StoreExchange] = field(default_factory=list)
    peer_exchanges: list[PeerExchange] = field(default_factory=list)
    cuts: set[tuple[str, str]] = field(default_factory=set)  # from whom to whom nothing arrives
    pending: dict[str, Commit] = field(default_factory=dict)  # by who computed it and has not sent it yet
    proposed: set[str] = field(default_factory=set)
    now: float = 0.0
    is_store_unreachable: bool = False
    stream_count: int = 0  # so far
    injected_faults: int = 0  # so far
    trail: tuple[str, ...] = ()
    checker: CellHistoryChecker = field(default_factory=lambda: CellHistoryChecker(KEYS, RULES.bound_ms))

    def copy(self: _S) -> _S:
        """A copy that goes its own way."""
        return type(self)(
            self.variant,
            self.store.copy(),
            [replace(host, relay=host.relay and clone(host.relay)) for host in self.relays],
            [_copy_server(host) for host in self.servers],
            [stream.copy() for stream in self.streams],
            [replace(exchange) for exchange in self.store_exchanges],
            [replace(exchange) for exchange in self.peer_exchanges],
            set(self.cuts),
            dict(self.pending),
            set(self.proposed),
            self.now,
            self.is_store_unreachable,
            self.stream_count,
            self.injected_faults,
            self.trail,
            self.checker.copy(),
        )

    def clock(self, host: RelayHost | ServerHost) -> float:
        """The time by the clock of a host."""
        return self.now * host.rate

    def snapshot(self, *, of_primary: bool = False) -> FleetSnapshot:
        """All that the store holds. `of_primary`: the store itself, also while another engine answers."""
        engine = self.store.authority if of_primary else self.store.engine
        return FleetSnapshot(KEYS, engine.read(coordination_keys(KEYS)))

    def change_revision(self) -> int:
        """The revision that created the open change in the store itself; 0: none is open."""
        entry = self.store.authority.keys.get(KEYS.change)
        return entry.created if entry else 0

    def relay_stream(self, relay: int, incarnation: int, number: int) -> Stream | None:
        """The stream with a relay's number for it."""
        key = (relay, incarnation, number)
        found = (s for s in self.streams if (s.relay, s.relay_incarnation, s.number) == key)
        return next(found, None)

    def server_stream(self, server: int, incarnation: int, connection: int) -> Stream | None:
        """The stream with a server's number for it."""
        key = (server, incarnation, connection)
        found = (s for s in self.streams if (s.server, s.server_incarnation, s.connection) == key)
        return next(found, None)

    def pass_time(self, span_ms: float) -> None:
        """Time passes, and leases lapse."""
        self.now += span_ms
        self.store.expire_leases(self.now)


def _copy_server(host: ServerHost) -> ServerHost:
    return replace(host, server=host.server and clone(host.server), validations=list(host.validations))
