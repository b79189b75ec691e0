"""Test harness: a fleet of cells with relays, servers and a store in one process, in simulated time and
without network latency.

The simulated time advances to the next due time of any relay, server or store lease. A test fails if effects
keep arising without an advance of the time."""

from dataclasses import dataclass, field, replace

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
from otterrudder.fleet.cell.limits import RelayLimits
from otterrudder.fleet.cell.messages import (
    LeaseRefusal,
    PolicyUpdate,
    Registration,
    RelayMessage,
)
from otterrudder.fleet.cell.participant import Participant
from otterrudder.fleet.cell.relay import Relay
from otterrudder.fleet.cell.relay_start import RelayStart
from otterrudder.fleet.change import coordination_keys, propose
from otterrudder.fleet.effects import Commit, Effect, Outcome, SaveState
from otterrudder.fleet.queue import enqueue
from otterrudder.fleet.records import FleetSnapshot, Keys, QueuedChange
from otterrudder.fleet.state import MemberState, Rules
from otterrudder.lab.keyspace import KeySpace

FLEET = "f"
KEYS = Keys(FLEET)
RULES = Rules(bound_ms=3000.0, lease_ms=6000.0, is_shared=True)
MAX_STEPS = 2000  # maximum steps at one simulated time; more indicate an endless loop


@dataclass
class Stream:
    """A stream between a server and a relay. `connection`: the server's number of the stream."""

    server: str
    connection: int
    relay: str


@dataclass
class Harness:
    """Relays, servers and a store that share one simulated clock."""

    rules: Rules = RULES
    limits: RelayLimits = field(default_factory=RelayLimits)
    now: float = 0.0
    space: KeySpace = field(default_factory=KeySpace)
    relays: dict[str, Relay] = field(default_factory=dict)
    servers: dict[str, Participant] = field(default_factory=dict)
    streams: dict[int, Stream] = field(default_factory=dict)  # open streams by the relay's number
    stream_count: int = 0  # number of streams opened
    is_store_unreachable: bool = False
    silent: set[str] = field(default_factory=set)  # servers that never finish a validation
    rejections: dict[str, str] = field(default_factory=dict)  # by fingerprint, for texts that end with "!"
    validations: list[str] = field(default_factory=list)  # servers that were asked to validate a text
    refusals: list[LeaseRefusal] = field(default_factory=list)
    disks: dict[str, MemberState] = field(default_factory=dict)  # saved states of relays without peers
    incarnations: int = 0  # number of processes started

    # Processes.

    def add_relay(self, address: str, cell: str, candidates: tuple[str, ...] = ()) -> Relay:
        """Starts a relay. The only relay of a cell loads the state that it has saved."""
        self.incarnations += 1
        identity = CellIdentity(FLEET, cell, address, candidates or (address,))
        rules = replace(self.rules, is_shared=len(identity.candidates) > 1)
        start = RelayStart(
            f"{address}.{self.incarnations}",
            state=self.disks.get(address),
            has_disk=not rules.is_shared,
        )
        relay = Relay(self.now, identity, start, rules, self.limits)
        self.relays[address] = relay
        return relay

    def add_cell(self, cell: str, relays: int = 2) -> tuple[str, ...]:
        """Starts the relays of a cell and returns their addresses."""
        addresses = tuple(f"{cell}-{n}" for n in range(relays))
        for address in addresses:
            self.add_relay(address, cell, addresses)
        return addresses

    def add_server(self, name: str, relays: tuple[str, ...], fingerprint: str = "plain") -> Participant:
        """Starts a server."""
        self.incarnations += 1
        identity = ServerIdentity(FLEET, name, f"{name}.{self.incarnations}", fingerprint)
        server = Participant(self.now, identity, relays, self.limits.span_ms)
        self.servers[name] = server
        return server

    def remove_server(self, name: str) -> None:
        """Stops a server abruptly; its streams end."""
        del self.servers[name]
        for number, stream in list(self.streams.items()):
            if stream.server == name:
                self._end_stream(number)

    def remove_relay(self, address: str) -> None:
        """Stops a relay abruptly; its streams end."""
        del self.relays[address]
        for number, stream in list(self.streams.items()):
            if stream.relay == address:
                del self.streams[number]
                self.servers[stream.server].handle_disconnected(self.now, stream.connection)

    def leader(self, cell: str) -> Relay:
        """Returns the only relay that leads the cell."""
        (leader,) = [r for r in self.relays.values() if r.identity.cell == cell and r.leads()]
        return leader

    # The store.

    def view(self) -> FleetSnapshot:
        """Returns a snapshot of the store."""
        return FleetSnapshot(KEYS, self.space.read(coordination_keys(KEYS)))

    def commit(self, commit: Commit) -> None:
        """Commits to the store; the commit has to succeed."""
        assert self.space.commit(commit.compares, commit.writes).succeeded
        self._notify_watches(commit)

    def propose(self, ident: str, text: str = "") -> None:
        """Opens a change in the store."""
        self.commit(propose(self.view(), ident, text or f"policy {ident}", ident, "", 0.0, 30_000.0))

    def enqueue(self, ident: str, text: str = "", base: str = "") -> None:
        """Queues a change in the store."""
        self.commit(enqueue(self.view(), QueuedChange(ident, base=base), text or f"policy {ident}"))

    def _notify_watches(self, commit: Commit) -> None:
        for relay in self.relays.values():
            for prefix in relay.watched_prefixes():
                if any(write.key.startswith(prefix) for write in commit.writes):
                    relay.handle_watch_event(self.now, prefix)

    # Time.

    def run(self, span_ms: float) -> None:
        """Advances the simulated time by `span_ms`, with all events that are due in it."""
        until = self.now + span_ms
        while True:
            self._run_until_idle()
            due = self._next_due()
            if due > until:
                break
            assert due > self.now, "a process is due now, but has no effects"
            self.now = due
            self.space.expire_leases(self.now)
        self.now = until

    def _next_due(self) -> float:
        relays = [relay.due() for relay in self.relays.values()]
        servers = [server.due() for server in self.servers.values()]
        lease_ends = [end for _, end in self.space.leases.values()]
        return min(relays + servers + lease_ends)

    def _run_until_idle(self) -> None:
        for _ in range(MAX_STEPS):
            if not self._run_effects():
                return
        raise AssertionError(f"effects do not end at {self.now:g} ms")

    def _run_effects(self) -> bool:
        """Performs the current effects; returns whether there were any."""
        is_busy = False
        for address, relay in list(self.relays.items()):
            for effect in relay.effects(self.now):
                is_busy = True
                self._perform_relay_effect(address, relay, effect)
        for name, server in list(self.servers.items()):
            for server_effect in server.effects(self.now):
                is_busy = True
                self._perform_server_effect(name, server, server_effect)
        return is_busy

    def _perform_relay_effect(self, address: str, relay: Relay, effect: RelayEffect) -> None:
        if isinstance(effect, SendToServer):
            if stream := self.streams.get(effect.connection):
                self._deliver_to_server(stream, effect.message)
        elif isinstance(effect, EndSession):
            if stream := self.streams.pop(effect.connection, None):
                self.servers[stream.server].handle_disconnected(self.now, stream.connection)
        elif isinstance(effect, PeerRequest):
            if peer := self.relays.get(effect.peer):
                relay.handle_endorsement(peer.handle_endorsement_request(self.now, effect.message))
        else:
            relay.handle_result(self.now, effect, self.now, self._outcome(address, effect))

    def _outcome(self, address: str, effect: Effect) -> Outcome:
        if isinstance(effect, SaveState):
            assert isinstance(effect.record, MemberState)
            self.disks[address] = effect.record
            return True
        if self.is_store_unreachable:
            return None
        outcome = self.space.answer(self.now, effect)  # type: ignore[arg-type]
        if isinstance(effect, Commit):
            self._notify_watches(effect)
        return outcome

    def _deliver_to_server(self, stream: Stream, message: RelayMessage) -> None:
        if isinstance(message, LeaseRefusal):
            self.refusals.append(message)
        self.servers[stream.server].handle_message(self.now, stream.connection, message)

    def _perform_server_effect(self, name: str, server: Participant, effect: ParticipantEffect) -> None:
        if isinstance(effect, Connect):
            if effect.relay not in self.relays:
                server.handle_disconnected(self.now, effect.connection)
                return
            self.stream_count += 1
            self.streams[self.stream_count] = Stream(name, effect.connection, effect.relay)
            server.handle_connected(self.now, effect.connection)
        elif isinstance(effect, Disconnect):
            if (number := self._stream_number(name, effect.connection)) is not None:
                self._end_stream(number)
        elif isinstance(effect, SendToRelay):
            if (number := self._stream_number(name, effect.connection)) is not None:
                relay = self.relays[self.streams[number].relay]
                relay.handle_message(self.now, number, effect.message)
        else:
            self._validate(name, server, effect)

    def _validate(self, name: str, server: Participant, effect: ValidateText) -> None:
        self.validations.append(name)
        if name not in self.silent:
            is_bad = effect.text.endswith("!")
            rejection = self.rejections.get(server.identity.fingerprint, "") if is_bad else ""
            server.handle_validated(self.now, effect.digest, rejection)

    def _stream_number(self, name: str, connection: int) -> int | None:
        key = (name, connection)
        return next((n for n, s in self.streams.items() if (s.server, s.connection) == key), None)

    def _end_stream(self, number: int) -> None:
        stream = self.streams.pop(number)
        if relay := self.relays.get(stream.relay):
            relay.handle_stream_closed(number)

    # Results.

    def admitted_versions(self) -> dict[str, int | None]:
        """Returns the version under which each server admits now, None if it does not admit."""
        return {name: server.admits(self.now) for name, server in self.servers.items()}


def serving_fleet(
    *,
    rules: Rules = RULES,
    limits: RelayLimits = RelayLimits(),  # noqa: B008 (frozen)
    rejections: dict[str, str] | None = None,
    silent: set[str] | None = None,
) -> Harness:
    """Returns a fleet of two cells with two relays and two servers each, whose servers all admit under
    version 0, which is their own configuration."""
    harness = Harness(rules, limits, rejections=rejections or {}, silent=silent or set())
    for cell in ("east", "west"):
        relays = harness.add_cell(cell)
        for number in range(2):
            harness.add_server(f"{cell}-s{number}", relays, f"kind of {cell}")
    harness.run(10_000.0)
    assert set(harness.admitted_versions().values()) == {0}
    return harness


def messages_to_relay(effects: list[ParticipantEffect]) -> list[object]:
    """Returns the messages to a relay among a server's effects."""
    return [effect.message for effect in effects if isinstance(effect, SendToRelay)]


def registration(
    sequence: int = 1, fleet: str = FLEET, name: str = "s", fingerprint: str = "plain"
) -> Registration:
    """Returns the first message of a server."""
    return Registration(sequence, fleet, name, f"{name}.1", fingerprint)


def messages_to_servers(relay_effects: list[RelayEffect]) -> list[RelayMessage]:
    """Returns the messages to servers among a relay's effects."""
    return [effect.message for effect in relay_effects if isinstance(effect, SendToServer)]


def in_force(version: int, text: str, digest: str) -> PolicyUpdate:
    """Returns the message that announces a version."""
    return PolicyUpdate(version, f"change {version}", digest, text)
