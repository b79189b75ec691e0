"""A fleet of cells with no latency: relays, servers and a store in one process, in simulated time.

Time goes on to the next moment at which somebody is due; who is due at the same moment over and over fails
the test."""

import math
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
    RefusalReason,
    Registration,
    RelayMessage,
)
from otterrudder.fleet.cell.participant import Participant
from otterrudder.fleet.cell.relay import Relay
from otterrudder.fleet.change import propose, whole
from otterrudder.fleet.effects import Commit, Outcome, Save
from otterrudder.fleet.queue import enqueue
from otterrudder.fleet.records import Keys, Queued, View
from otterrudder.fleet.state import Record, Rules
from otterrudder.lab.keyspace import KeySpace

FLEET = "f"
KEYS = Keys(FLEET)
RULES = Rules(bound_ms=3000.0, lease_ms=6000.0, is_shared=True)
MAX_STEPS = 2000  # at one moment; more: somebody spins


@dataclass
class Stream:
    server: str
    connection: int
    relay: str


@dataclass
class Harness:
    rules: Rules = RULES
    limits: RelayLimits = field(default_factory=RelayLimits)
    now: float = 0.0
    space: KeySpace = field(default_factory=KeySpace)
    relays: dict[str, Relay] = field(default_factory=dict)
    servers: dict[str, Participant] = field(default_factory=dict)
    streams: dict[int, Stream] = field(default_factory=dict)
    opened: int = 0
    is_store_away: bool = False
    silent: set[str] = field(default_factory=set)  # servers that check no text
    refuses: dict[str, str] = field(default_factory=dict)  # by kind: what is wrong with a text that ends in !
    checks: list[str] = field(default_factory=list)  # names of the servers that were asked to check a text
    refusals: list[LeaseRefusal] = field(default_factory=list)
    disks: dict[str, Record] = field(default_factory=dict)  # of cells of one relay
    life: int = 0

    # Who there is.

    def add_relay(self, address: str, cell: str, candidates: tuple[str, ...] = ()) -> Relay:
        self.life += 1
        identity = CellIdentity(FLEET, cell, address, candidates or (address,))
        rules = replace(self.rules, is_shared=len(identity.candidates) > 1)
        relay = Relay(
            self.now,
            identity,
            f"{address}.{self.life}",
            rules,
            self.limits,
            record=self.disks.get(address),
            has_disk=not rules.is_shared,
        )
        self.relays[address] = relay
        return relay

    def add_cell(self, cell: str, relays: int = 2) -> tuple[str, ...]:
        addresses = tuple(f"{cell}-{n}" for n in range(relays))
        for address in addresses:
            self.add_relay(address, cell, addresses)
        return addresses

    def add_server(self, name: str, relays: tuple[str, ...], kind: str = "plain") -> Participant:
        self.life += 1
        identity = ServerIdentity(FLEET, name, f"{name}.{self.life}", kind)
        server = Participant(self.now, identity, relays, self.limits.span_ms)
        self.servers[name] = server
        return server

    def remove_server(self, name: str) -> None:
        del self.servers[name]
        for number, stream in list(self.streams.items()):
            if stream.server == name:
                self._end(number)

    def remove_relay(self, address: str) -> None:
        """It dies: its streams end."""
        del self.relays[address]
        for number, stream in list(self.streams.items()):
            if stream.relay == address:
                del self.streams[number]
                self.servers[stream.server].handle_disconnected(self.now, stream.connection)

    def leader(self, cell: str) -> Relay:
        (found,) = [r for r in self.relays.values() if r.identity.cell == cell and r.leads()]
        return found

    # The store.

    def view(self) -> View:
        return View(KEYS, self.space.read(whole(KEYS)))

    def commit(self, commit: Commit) -> None:
        assert self.space.commit(commit.compares, commit.writes).held
        self._hint(commit)

    def propose(self, ident: str, text: str = "") -> None:
        self.commit(propose(self.view(), ident, text or f"policy {ident}", ident, "", 0.0, 30_000.0))

    def enqueue(self, ident: str, text: str = "", base: str = "") -> None:
        self.commit(enqueue(self.view(), Queued(ident, base=base), text or f"policy {ident}"))

    def _hint(self, commit: Commit) -> None:
        for relay in self.relays.values():
            for prefix in relay.watched():
                if any(write.key.startswith(prefix) for write in commit.writes):
                    relay.hint(self.now, prefix)

    # Time.

    def run(self, span_ms: float) -> None:
        until = self.now + span_ms
        while True:
            self._settle()
            due = min(part.due() for part in (*self.relays.values(), *self.servers.values()))
            due = min(due, *(end for _, end in self.space.leases.values())) if self.space.leases else due
            if due > until:
                break
            assert due > self.now, "due now, and nothing to do"
            self.now = due
            self.space.lapse(self.now)
        self.now = until

    def _settle(self) -> None:
        for _ in range(MAX_STEPS):
            if not self._step():
                return
        raise AssertionError(f"it never rests at {self.now:g} ms")

    def _step(self) -> bool:
        is_busy = False
        for address, relay in list(self.relays.items()):
            for effect in relay.effects(self.now):
                is_busy = True
                self._relay_effect(address, relay, effect)
        for name, server in list(self.servers.items()):
            for effect in server.effects(self.now):
                is_busy = True
                self._server_effect(name, server, effect)
        return is_busy

    def _relay_effect(self, address: str, relay: Relay, effect: RelayEffect) -> None:
        if isinstance(effect, SendToServer):
            if stream := self.streams.get(effect.connection):
                self._to_server(stream, effect.message)
        elif isinstance(effect, EndSession):
            if stream := self.streams.pop(effect.connection, None):
                self.servers[stream.server].handle_disconnected(self.now, stream.connection)
        elif isinstance(effect, PeerRequest):
            if peer := self.relays.get(effect.peer):
                relay.handle_endorsement(peer.handle_endorsement_request(self.now, effect.message))
        else:
            outcome: Outcome = None
            if isinstance(effect, Save):
                assert isinstance(effect.record, Record)
                self.disks[address], outcome = effect.record, True
            elif not self.is_store_away:
                outcome = self.space.answer(self.now, effect)  # type: ignore[arg-type]
                if isinstance(effect, Commit):
                    self._hint(effect)
            relay.completed(self.now, effect, self.now, outcome)

    def _to_server(self, stream: Stream, message: RelayMessage) -> None:
        if isinstance(message, LeaseRefusal):
            self.refusals.append(message)
        self.servers[stream.server].handle_message(self.now, stream.connection, message)

    def _server_effect(self, name: str, server: Participant, effect: ParticipantEffect) -> None:
        if isinstance(effect, Connect):
            if effect.relay not in self.relays:
                server.handle_disconnected(self.now, effect.connection)
                return
            self.opened += 1
            self.streams[self.opened] = Stream(name, effect.connection, effect.relay)
            server.handle_connected(self.now, effect.connection)
        elif isinstance(effect, Disconnect):
            if (number := self._number(name, effect.connection)) is not None:
                self._end(number)
        elif isinstance(effect, SendToRelay):
            if (number := self._number(name, effect.connection)) is not None:
                relay = self.relays[self.streams[number].relay]
                relay.handle_message(self.now, number, effect.message)
        else:
            self._check(name, server, effect)

    def _check(self, name: str, server: Participant, effect: ValidateText) -> None:
        self.checks.append(name)
        if name not in self.silent:
            trouble = self.refuses.get(server.identity.fingerprint, "") if effect.text.endswith("!") else ""
            server.handle_validated(self.now, effect.digest, trouble)

    def _number(self, name: str, connection: int) -> int | None:
        wanted = (name, connection)
        return next((n for n, s in self.streams.items() if (s.server, s.connection) == wanted), None)

    def _end(self, number: int) -> None:
        stream = self.streams.pop(number)
        if relay := self.relays.get(stream.relay):
            relay.handle_stream_closed(number)

    # What it shows.

    def admitted(self) -> dict[str, int | None]:
        return {name: server.admits(self.now) for name, server in self.servers.items()}


def at_work(**options: object) -> Harness:
    """Two cells of two relays, two servers each, all admitting under the servers' own files."""
    harness = Harness(**options)  # type: ignore[arg-type]
    for cell in ("east", "west"):
        relays = harness.add_cell(cell)
        for number in range(2):
            harness.add_server(f"{cell}-s{number}", relays, f"kind of {cell}")
    harness.run(10_000.0)
    assert set(harness.admitted().values()) == {0}
    return harness


def refusal(reason: RefusalReason, sequence: int = 1) -> LeaseRefusal:
    return LeaseRefusal(sequence, reason)


def sent(effects: list[ParticipantEffect]) -> list[object]:
    """The messages among them."""
    return [effect.message for effect in effects if isinstance(effect, SendToRelay)]


def registration(sequence: int = 1, fleet: str = FLEET, name: str = "s", kind: str = "plain") -> Registration:
    return Registration(sequence, fleet, name, f"{name}.1", kind)


def told(relay_effects: list[RelayEffect]) -> list[RelayMessage]:
    """What servers are told among a relay's effects."""
    return [effect.message for effect in relay_effects if isinstance(effect, SendToServer)]


def in_force(version: int, text: str, digest: str) -> PolicyUpdate:
    return PolicyUpdate(version, f"change {version}", digest, text)


NEVER = math.inf
