"""The state of a model of cells: a few relays and servers, the store, and the messages between them.

All decisions are made by the fleet's own code. The state holds which processes run, are frozen or have
stopped, and which links are cut; its history checker records what was written and sent. `cell_events` lists
the events that may happen next."""

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
DEADLINE_MS = 8000.0  # deadline of each change
BAD_ENDING = "!"  # ends a policy text that some servers reject
REJECTING = "rejecting"  # the fingerprint of servers that reject a text with BAD_ENDING
PLAIN = "plain"  # the fingerprint of servers that accept every text

_S = TypeVar("_S", bound="CellState")


class StreamSignal(Enum):
    """The start and the end of a stream, which are delivered in order with its messages."""

    OPENED = "opened"
    ENDED = "ended"


@dataclass(slots=True)
class RelayHost:
    """A host that runs a relay's process. `incarnation` counts its processes."""

    address: str
    cell: str
    candidates: tuple[str, ...]
    relay: Relay | None = None
    incarnation: int = 0
    disk: MemberState | None = None  # saved by the relay if its cell has no other
    is_frozen: bool = False
    is_send_cut: bool = False  # its requests do not reach the store
    is_receive_cut: bool = False  # the store's answers and watch events do not reach it
    rate: float = 1.0  # rate of its clock: ms that it counts in one ms of the store's clock

    @property
    def runs(self) -> bool:
        """Whether a process is there, and not frozen."""
        return self.relay is not None and not self.is_frozen


@dataclass(slots=True)
class ServerHost:
    """A host that runs a server's process. `incarnation` counts its processes."""

    name: str
    fingerprint: str
    relays: tuple[str, ...]
    server: Participant | None = None
    incarnation: int = 0
    started: float = 0.0
    newest: int = 0  # newest version that this process has applied
    is_frozen: bool = False
    validations: list[ValidateText] = field(default_factory=list)  # in progress
    rate: float = 1.0  # rate of its clock: ms that it counts in one ms of the store's clock

    @property
    def runs(self) -> bool:
        """Whether a process is there, and not frozen."""
        return self.server is not None and not self.is_frozen

    def rejection_of(self, text: str) -> str:
        """Returns why this server rejects a text, or "" if it accepts it."""
        is_bad = self.fingerprint == REJECTING and text.endswith(BAD_ENDING)
        return "values.look: not known here" if is_bad else ""


@dataclass(slots=True)
class StoreExchange:
    """A relay's request to the store (`outcome` is not set) or its answer, in flight."""

    host: int
    incarnation: int
    effect: Effect
    sent: float
    is_answer: bool = False
    outcome: Outcome = None


@dataclass(slots=True)
class PeerExchange:
    """A relay's request to another relay of its cell, or its answer."""

    sender: int
    incarnation: int
    peer: int
    request: EndorsementRequest
    answer: Endorsement | None = None


@dataclass(slots=True)
class Stream:
    """A stream between a server's process and a relay's; messages in each direction stay in order."""

    number: int
    server: int
    server_incarnation: int
    connection: int  # the server's number of the stream
    relay: int
    relay_incarnation: int
    fingerprint: str
    to_relay: list[ServerMessage | StreamSignal] = field(default_factory=list)
    to_server: list[RelayMessage | StreamSignal] = field(default_factory=list)
    is_ended: bool = False  # the relay has ended it and receives no more messages

    def copy(self) -> "Stream":
        """Returns an independent copy."""
        return replace(self, to_relay=list(self.to_relay), to_server=list(self.to_server))


@dataclass(slots=True)
class CellState:
    """A state of the model. `trail` holds the names of the events that led to it."""

    variant: CellVariant
    store: ModelStore = field(default_factory=ModelStore)
    relays: list[RelayHost] = field(default_factory=list)
    servers: list[ServerHost] = field(default_factory=list)
    streams: list[Stream] = field(default_factory=list)
    store_exchanges: list[StoreExchange] = field(default_factory=list)
    peer_exchanges: list[PeerExchange] = field(default_factory=list)
    cuts: set[tuple[str, str]] = field(default_factory=set)  # (sender, receiver) of links that are cut
    pending: dict[str, Commit] = field(default_factory=dict)  # computed and not yet sent, by proposer
    proposed: set[str] = field(default_factory=set)
    now: float = 0.0
    is_store_unreachable: bool = False
    stream_count: int = 0  # number of streams opened
    injected_faults: int = 0
    trail: tuple[str, ...] = ()
    checker: CellHistoryChecker = field(default_factory=lambda: CellHistoryChecker(KEYS, RULES.bound_ms))

    def copy(self: _S) -> _S:
        """Returns an independent copy."""
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
        """Returns the time by the clock of a host, in ms."""
        return self.now * host.rate

    def snapshot(self, *, of_primary: bool = False) -> FleetSnapshot:
        """Returns a snapshot of the engine that answers, or of the store itself if `of_primary` is set."""
        engine = self.store.authority if of_primary else self.store.engine
        return FleetSnapshot(KEYS, engine.read(coordination_keys(KEYS)))

    def change_revision(self) -> int:
        """Returns the revision that created the open change in the store itself, or 0 if none is open."""
        entry = self.store.authority.keys.get(KEYS.change)
        return entry.created if entry else 0

    def relay_stream(self, relay: int, incarnation: int, number: int) -> Stream | None:
        """Returns the stream with this number of a relay's process, if it exists."""
        key = (relay, incarnation, number)
        found = (s for s in self.streams if (s.relay, s.relay_incarnation, s.number) == key)
        return next(found, None)

    def server_stream(self, server: int, incarnation: int, connection: int) -> Stream | None:
        """Returns the stream with this number of a server's process, if it exists."""
        key = (server, incarnation, connection)
        found = (s for s in self.streams if (s.server, s.server_incarnation, s.connection) == key)
        return next(found, None)

    def pass_time(self, span_ms: float) -> None:
        """Advances the simulated time and expires leases."""
        self.now += span_ms
        self.store.expire_leases(self.now)


def _copy_server(host: ServerHost) -> ServerHost:
    return replace(host, server=host.server and clone(host.server), validations=list(host.validations))
