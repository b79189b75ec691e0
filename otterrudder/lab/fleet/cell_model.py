"""A few cells, their relays and servers, the store, and what is between them: a world in which one event
follows another.

All that is decided is the fleet's own code. A world holds what is on its way, who is up, frozen or gone and
which ways are cut; its ledger keeps what was written and sent. `cell_events` gives what may happen next."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from enum import Enum

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
    Endorsement,
    EndorsementRequest,
    LeaseGrant,
    PolicyUpdate,
    Registration,
    RelayMessage,
    ServerMessage,
    ValidationResult,
)
from otterrudder.fleet.cell.participant import Participant
from otterrudder.fleet.cell.relay import Relay
from otterrudder.fleet.change import coordination_keys, finish_change, propose
from otterrudder.fleet.effects import Commit, Effect, Lane, Outcome, SaveState
from otterrudder.fleet.records import FleetSnapshot, Keys, QueuedChange, decode
from otterrudder.fleet.state import AdmissionStatus, MemberState, Rules
from otterrudder.fleet.store import Put
from otterrudder.lab.fleet.cell_history_checker import CellHistoryChecker, RelayHistory
from otterrudder.lab.fleet.cloning import clone, freeze
from otterrudder.lab.fleet.history_checker import wrong_admission
from otterrudder.lab.keyspace import KeySpace

FLEET = "f"
KEYS = Keys(FLEET)
STORE_ID = 1  # of the store, as a key space has it unless told another
STEP_MS = 500.0  # by which time goes on
SHORT_STEP_MS = 130.0
LONG_STEP_MS = 1500.0
DEADLINE_MS = 8000.0  # of the changes
PEACE_STEPS = 100  # of time that a world left in peace has to agree in
AWAY_STEPS = 30  # of time without the store, after peace
MAX_DELIVERIES = 2000  # deliveries at one moment in peace; more: it never rests
MAX_PEER_REQUESTS = 2  # on their way from one relay to another; older ones are lost
BAD_ENDING = "!"  # of a text that the odd kind refuses
SLOW_AND_FAST = (0.91, 1.09)  # rates of clocks, each less than a tenth from 1
DRIFTING = (0.955, 1.0, 1.045)  # no two a tenth apart
RULES = Rules(bound_ms=3000.0, lease_ms=6000.0)


class Control(Enum):
    """What a stream carries beside messages."""

    OPENED = "opened"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class CellVariant:
    """The parts a world is made of; a double with a fault takes the place of one."""

    relay: type[Relay] = Relay
    participant: type[Participant] = Participant
    rules: Rules = RULES
    cells: int = 1
    relays: int = 2  # of a cell
    servers: int = 2
    limits: RelayLimits = RelayLimits()
    has_odd_kind: bool = False  # every second server refuses the second proposer's text
    has_copies: bool = False  # another engine, with an older state, may answer in the store's place
    has_based_changes: bool = False  # what waits was made from what was in force then
    relay_rates: tuple[float, ...] = (1.0,)  # of their clocks, one after another
    server_rates: tuple[float, ...] = (1.0,)

    @property
    def slowest_bound_ms(self) -> float:
        """The bound, counted by the slowest clock of a relay."""
        return self.rules.bound_ms / min(self.relay_rates)


@dataclass(slots=True)
class RelayHost:
    """A place where a relay's process runs. `life` counts its processes."""

    address: str
    cell: str
    candidates: tuple[str, ...]
    relay: Relay | None = None
    life: int = 0
    disk: MemberState | None = None  # of a cell of one relay
    is_frozen: bool = False
    is_mute: bool = False  # what it asks of the store does not arrive
    is_deaf: bool = False  # what the store answers does not arrive
    rate: float = 1.0  # of its clock: ms of its own in a ms of the store

    @property
    def runs(self) -> bool:
        return self.relay is not None and not self.is_frozen


@dataclass(slots=True)
class ServerHost:
    name: str
    kind: str
    relays: tuple[str, ...]
    server: Participant | None = None
    life: int = 0
    started: float = 0.0
    newest: int = 0  # version that this life has gone by
    is_frozen: bool = False
    checks: list[ValidateText] = field(default_factory=list)  # under way
    rate: float = 1.0

    @property
    def runs(self) -> bool:
        return self.server is not None and not self.is_frozen


@dataclass(slots=True)
class StoreFlight:
    """A relay's request on its way to the store (`outcome` unset) or the answer to it."""

    host: int
    life: int
    effect: Effect
    sent: float
    is_answer: bool = False
    outcome: Outcome = None


@dataclass(slots=True)
class PeerFlight:
    """A relay's request to another one of its cell, or the answer to it."""

    sender: int
    life: int
    peer: int
    request: EndorsementRequest
    answer: Endorsement | None = None


@dataclass(slots=True)
class Stream:
    """Between a server's life and a relay's; each way keeps order."""

    number: int
    server: int
    server_life: int
    connection: int  # the server's number for it
    relay: int
    relay_life: int
    kind: str
    to_relay: list[ServerMessage | Control] = field(default_factory=list)
    to_server: list[RelayMessage | Control] = field(default_factory=list)
    is_ended: bool = False  # by the relay: it hears nothing more of it

    def copy(self) -> "Stream":
        return replace(self, to_relay=list(self.to_relay), to_server=list(self.to_server))


@dataclass(slots=True)
class CellWorld:
    variant: CellVariant
    store: KeySpace = field(default_factory=lambda: KeySpace(has_history=False))
    relays: list[RelayHost] = field(default_factory=list)
    servers: list[ServerHost] = field(default_factory=list)
    streams: list[Stream] = field(default_factory=list)
    flights: list[StoreFlight] = field(default_factory=list)
    peer_flights: list[PeerFlight] = field(default_factory=list)
    cuts: set[tuple[str, str]] = field(default_factory=set)  # from whom to whom nothing arrives
    pending: dict[str, Commit] = field(default_factory=dict)  # by who computed it and has not sent it yet
    proposed: set[str] = field(default_factory=set)
    now: float = 0.0
    is_store_away: bool = False
    kept: KeySpace | None = None  # an older state of the store, kept by somebody
    right: KeySpace | None = None  # the store itself, while another engine answers in its place
    opened: int = 0  # streams so far
    spent: int = 0  # harm so far
    trail: tuple[str, ...] = ()
    checker: CellHistoryChecker = field(default_factory=lambda: CellHistoryChecker(KEYS, RULES.bound_ms))

    def copy(self) -> "CellWorld":
        return CellWorld(
            self.variant,
            self.store.copy(),
            [replace(host, relay=host.relay and clone(host.relay)) for host in self.relays],
            [
                replace(host, server=host.server and clone(host.server), checks=list(host.checks))
                for host in self.servers
            ],
            [stream.copy() for stream in self.streams],
            [replace(flight) for flight in self.flights],
            [replace(flight) for flight in self.peer_flights],
            set(self.cuts),
            dict(self.pending),
            set(self.proposed),
            self.now,
            self.is_store_away,
            self.kept,
            self.right and self.right.copy(),
            self.opened,
            self.spent,
            self.trail,
            self.checker.copy(),
        )

    def clock(self, host: RelayHost | ServerHost) -> float:
        """What time it is there."""
        return self.now * host.rate

    # Lives.

    def start_relay(self, n: int) -> None:
        host, variant = self.relays[n], self.variant
        host.life += 1
        host.is_frozen = False
        incarnation = f"{host.address}.{host.life}"
        is_shared = variant.relays > 1
        host.relay = variant.relay(
            self.clock(host),
            CellIdentity(FLEET, host.cell, host.address, host.candidates),
            incarnation,
            replace(variant.rules, is_shared=is_shared),
            variant.limits,
            state=host.disk,
            has_disk=not is_shared,
            cluster=STORE_ID,
        )
        self.checker.relays[n, host.life] = RelayHistory(host.address, incarnation, host.rate)

    def start_server(self, n: int) -> None:
        host = self.servers[n]
        host.life += 1
        host.started, host.newest, host.is_frozen = self.now, 0, False
        host.checks.clear()
        identity = ServerIdentity(FLEET, host.name, f"{host.name}.{host.life}", host.kind)
        span_ms = self.variant.limits.span_ms
        host.server = self.variant.participant(self.clock(host), identity, host.relays, span_ms)

    def stop_relay(self, n: int) -> None:
        """The process ends; its streams do."""
        host = self.relays[n]
        host.relay = None
        for stream in self.streams:
            if (stream.relay, stream.relay_life) == (n, host.life) and not stream.is_ended:
                stream.is_ended = True
                stream.to_server.append(Control.ENDED)

    def stop_server(self, n: int) -> None:
        host = self.servers[n]
        host.server = None
        for stream in self.streams:
            if (stream.server, stream.server_life) == (n, host.life):
                stream.to_relay.append(Control.ENDED)
                stream.to_server.clear()

    # What parts ask for.

    def settle_down(self) -> None:
        """What relays and servers want goes out."""
        is_busy = True
        while is_busy:
            is_busy = False
            for n, host in enumerate(self.relays):
                while host.runs and host.relay and (effects := host.relay.effects(self.clock(host))):
                    is_busy = True
                    for effect in effects:
                        self._relay_wants(n, host, effect)
            for n, server_host in enumerate(self.servers):
                is_busy = self._settle_server(n, server_host) or is_busy

    def _settle_server(self, n: int, host: ServerHost) -> bool:
        is_busy = False
        while host.runs and host.server and (effects := host.server.effects(self.clock(host))):
            is_busy = True
            for effect in effects:
                self._server_wants(n, host, effect)
        if host.server:
            host.newest = max(host.newest, host.server.known.version)
        return is_busy

    def _relay_wants(self, n: int, host: RelayHost, effect: RelayEffect) -> None:
        assert host.relay
        if isinstance(effect, SendToServer):
            self._tell_server(n, host, effect)
        elif isinstance(effect, EndSession):
            if stream := self._stream(n, host.life, effect.connection):
                stream.is_ended = True
                stream.to_server.append(Control.ENDED)
        elif isinstance(effect, PeerRequest):
            self._ask_peer(n, host, effect)
        elif isinstance(effect, SaveState):
            assert isinstance(effect.record, MemberState)
            host.disk = effect.record
            host.relay.handle_result(self.clock(host), effect, self.clock(host), True)
        elif effect.lane is Lane.LEASE or isinstance(effect, Commit) and effect.purpose == "tell":
            now = self.clock(host)
            host.relay.handle_result(now, effect, now, self._exchange(host, effect))
        else:
            if isinstance(effect, Commit) and effect.purpose == "vote":
                self.checker.record_vote(self.now, (n, host.life), effect)
            self.flights.append(StoreFlight(n, host.life, effect, self.clock(host)))

    def _tell_server(self, n: int, host: RelayHost, effect: SendToServer) -> None:
        stream = self._stream(n, host.life, effect.connection)
        if not stream or stream.is_ended:
            return
        stream.to_server.append(effect.message)
        if isinstance(effect.message, LeaseGrant):
            self.checker.record_grant(self.now, (n, host.life), stream.kind, effect.message)

    def _ask_peer(self, n: int, host: RelayHost, effect: PeerRequest) -> None:
        peer = next(at for at, other in enumerate(self.relays) if other.address == effect.peer)
        same = [flight for flight in self.peer_flights if (flight.sender, flight.peer) == (n, peer)]
        if len(same) >= MAX_PEER_REQUESTS:
            self.peer_flights = [flight for flight in self.peer_flights if flight is not same[0]]
        self.peer_flights.append(PeerFlight(n, host.life, peer, effect.message))

    def _exchange(self, host: RelayHost, effect: Effect) -> Outcome:
        """What no order of events hangs on is done at once: leases, and what is told for operators' eyes."""
        if self.is_store_away or host.is_mute:
            return None
        outcome = self.arrive(effect)
        return None if host.is_deaf else outcome

    def _server_wants(self, n: int, host: ServerHost, effect: ParticipantEffect) -> None:
        assert host.server
        if isinstance(effect, Connect):
            self._connect(n, host, effect)
        elif isinstance(effect, ValidateText):
            host.checks.append(effect)
        else:
            stream = self._own_stream(n, host.life, effect.connection)
            if stream and isinstance(effect, SendToRelay):
                stream.to_relay.append(effect.message)
            elif stream and isinstance(effect, Disconnect):
                stream.to_relay.append(Control.ENDED)
                stream.to_server.clear()

    def _connect(self, n: int, host: ServerHost, effect: Connect) -> None:
        assert host.server
        at = next(at for at, relay in enumerate(self.relays) if relay.address == effect.relay)
        if (host.name, effect.relay) in self.cuts:
            return  # nothing comes back
        if not self.relays[at].relay:
            host.server.handle_disconnected(self.clock(host), effect.connection)
            return
        self.opened += 1
        life = self.relays[at].life
        stream = Stream(self.opened, n, host.life, effect.connection, at, life, host.kind)
        stream.to_server.append(Control.OPENED)
        self.streams.append(stream)

    def _stream(self, relay: int, life: int, number: int) -> Stream | None:
        wanted = (relay, life, number)
        return next((s for s in self.streams if (s.relay, s.relay_life, s.number) == wanted), None)

    def _own_stream(self, server: int, life: int, connection: int) -> Stream | None:
        wanted = (server, life, connection)
        return next((s for s in self.streams if (s.server, s.server_life, s.connection) == wanted), None)

    # The store.

    def arrive(self, effect: Effect) -> Outcome:
        """A request reaches the store, whether or not its sender still lives."""
        if isinstance(effect, Commit):
            return self.write(effect)
        return self.store.answer(self.now, effect)  # type: ignore[arg-type]

    def write(self, commit: Commit) -> Outcome:
        """A commit at the store, entered in the ledger, and a hint to all relays that can hear."""
        self.store.lapse(self.now)
        before = self.view()
        done = self.store.commit(commit.compares, commit.writes)
        if done.succeeded:
            if not self.right:  # what another engine was told is not the fleet's
                self.checker.record_commit(self.now, commit, before)
                self._note_texts(commit)
            if commit.purpose != "tell":
                self._hint(commit)
        return done

    def _note_texts(self, commit: Commit) -> None:
        if opened := self.view().change:
            self.checker.changes[self._change_created()] = opened.digest
        for write in commit.writes:
            if isinstance(write, Put) and write.key.startswith(KEYS.queue):
                queued = decode(write.value, QueuedChange)
                self.checker.bases[queued.id] = queued.base
        head = self.view().policy
        if head and head.version not in self.checker.texts:
            entry = self.store.keys.get(KEYS.text(head.digest))
            self.checker.texts[head.version] = entry.value.decode() if entry else ""

    def _hint(self, commit: Commit) -> None:
        for host in self.relays:
            if not host.runs or not host.relay or host.is_deaf:
                continue
            for prefix in host.relay.watched():
                if any(write.key.startswith(prefix) for write in commit.writes):
                    host.relay.handle_watch_event(self.clock(host), prefix)

    def hint_all(self, host: RelayHost) -> None:
        """Its watches are begun anew."""
        if host.runs and host.relay:
            for prefix in host.relay.watched():
                host.relay.handle_watch_event(self.clock(host), prefix)

    def view(self, of_fleet: bool = False) -> FleetSnapshot:
        """`of_fleet`: of the store itself, also while another engine answers."""
        store = self.right if of_fleet and self.right else self.store
        return FleetSnapshot(KEYS, store.read(coordination_keys(KEYS)))

    def _change_created(self) -> int:
        entry = (self.right or self.store).keys.get(KEYS.change)
        return entry.created if entry else 0

    def swap(self, other: KeySpace | None) -> None:
        """Another engine answers from now on, or (None) the store itself again."""
        if other:
            self.right, self.store = self.store, other
        elif self.right:
            self.store, self.right = self.right, None
        self.pending.clear()
        for host in self.relays:
            self.hint_all(host)

    # Deliveries.

    def take_store_flight(self, flight: StoreFlight) -> None:
        """A request is served and its answer taken, or an answer taken."""
        host = self.relays[flight.host]
        if not flight.is_answer:
            flight.outcome = self.arrive(flight.effect)
        if host.is_frozen and host.relay and host.life == flight.life:  # it waits for the thaw
            flight.is_answer = True
            return
        self.flights.remove(flight)
        self.answer(flight)

    def answer(self, flight: StoreFlight) -> None:
        host = self.relays[flight.host]
        if host.relay and host.life == flight.life:
            outcome = None if host.is_deaf else flight.outcome
            host.relay.handle_result(self.clock(host), flight.effect, flight.sent, outcome)

    def take_peer_flight(self, flight: PeerFlight) -> None:
        """A request is answered, and the answer waits; or an answer arrives."""
        sender, peer = self.relays[flight.sender], self.relays[flight.peer]
        if flight.answer is not None:
            self.peer_flights.remove(flight)
            if sender.relay and sender.life == flight.life:
                sender.relay.handle_endorsement(flight.answer)
            return
        if not peer.relay:
            self.peer_flights.remove(flight)
            return
        flight.answer = peer.relay.handle_endorsement_request(self.clock(peer), flight.request)
        if flight.answer.span_ms > 0:
            self.checker.record_endorsement(self.now, (flight.peer, peer.life))

    def can_take_peer(self, flight: PeerFlight) -> bool:
        sender, peer = self.relays[flight.sender], self.relays[flight.peer]
        if flight.answer is not None:
            return not sender.is_frozen and (peer.address, sender.address) not in self.cuts
        return not peer.is_frozen and (sender.address, peer.address) not in self.cuts

    def can_reach_relay(self, stream: Stream) -> bool:
        host, server = self.relays[stream.relay], self.servers[stream.server]
        return bool(stream.to_relay) and not host.is_frozen and (server.name, host.address) not in self.cuts

    def can_reach_server(self, stream: Stream) -> bool:
        host, server = self.relays[stream.relay], self.servers[stream.server]
        return (
            bool(stream.to_server) and not server.is_frozen and (host.address, server.name) not in self.cuts
        )

    def reach_relay(self, stream: Stream) -> None:
        """The next message that way is taken."""
        message = stream.to_relay.pop(0)
        host = self.relays[stream.relay]
        if message is Control.ENDED:
            self.streams.remove(stream)
        if stream.is_ended or not host.relay or host.life != stream.relay_life:
            return
        if isinstance(message, Control):
            host.relay.handle_stream_closed(stream.number)
            return
        if isinstance(message, ValidationResult) and self._is_registered(stream, host):
            at, opened = (stream.relay, stream.relay_life), self._change_created()
            self.checker.record_result(at, stream.kind, message.digest, message.rejection, opened)
        host.relay.handle_message(self.clock(host), stream.number, message)

    def _is_registered(self, stream: Stream, host: RelayHost) -> bool:
        return host.relay is not None and stream.number in host.relay.sessions

    def reach_server(self, stream: Stream) -> None:
        message = stream.to_server.pop(0)
        host = self.servers[stream.server]
        if message is Control.ENDED and stream in self.streams:
            self.streams.remove(stream)
        if not host.server or host.life != stream.server_life:
            return
        if message is Control.OPENED:
            host.server.handle_connected(self.clock(host), stream.connection)
        elif message is Control.ENDED:
            host.server.handle_disconnected(self.clock(host), stream.connection)
        elif not isinstance(message, Control):
            host.server.handle_message(self.clock(host), stream.connection, message)

    def check(self, host: ServerHost) -> None:
        """The text that has waited for longest is checked."""
        task = host.checks.pop(0)
        if host.server:
            host.server.handle_validated(self.clock(host), task.digest, self.trouble_with(host, task.text))

    def trouble_with(self, host: ServerHost, text: str) -> str:
        is_bad = host.kind == "odd" and text.endswith(BAD_ENDING)
        return "values.look: not known here" if is_bad else ""

    def break_stream(self, stream: Stream) -> None:
        """What is on its way is lost, and both ends learn that it has ended, each when it can hear."""
        stream.to_relay[:] = [Control.ENDED]
        stream.to_server[:] = [Control.ENDED]

    def deliver_all(self, wanted: Callable[[StoreFlight], bool] = lambda flight: True) -> str:
        """All that can arrive now does, and what follows from it. `wanted`: of the store's requests."""
        for _ in range(MAX_DELIVERIES):
            self.settle_down()
            if not self._deliver_one(wanted):
                return ""
        return "it never rests"

    def _deliver_one(self, wanted: Callable[[StoreFlight], bool]) -> bool:
        for flight in self.flights:
            host = self.relays[flight.host]
            if self.can_serve(flight) and wanted(flight) and not (host.is_frozen and flight.is_answer):
                self.take_store_flight(flight)
                return True
        for peer_flight in self.peer_flights:
            if self.can_take_peer(peer_flight):
                self.take_peer_flight(peer_flight)
                return True
        for stream in self.streams:
            if self.can_reach_relay(stream):
                self.reach_relay(stream)
                return True
            if self.can_reach_server(stream):
                self.reach_server(stream)
                return True
        for server_host in self.servers:
            if server_host.runs and server_host.checks:
                self.check(server_host)
                return True
        return False

    def can_serve(self, flight: StoreFlight) -> bool:
        """Whether a request arrives at the store, or an answer at whoever asked."""
        host = self.relays[flight.host]
        return flight.is_answer or not self.is_store_away and not (host.is_mute and host.life == flight.life)

    def lose_unserved(self) -> None:
        """Requests that can't arrive are given up by whoever sent them."""
        for flight in [flight for flight in self.flights if not self.can_serve(flight)]:
            if not self.relays[flight.host].is_frozen:
                self.flights.remove(flight)
                flight.outcome = None
                self.answer(flight)

    def pass_time(self, span: float = STEP_MS) -> None:
        self.now += span
        self.store.lapse(self.now)
        if self.right:
            self.right.lapse(self.now)

    # What it promises.

    def violation(self) -> str:
        """Which promise does not hold now, "": all do."""
        if self.checker.violation:
            return self.checker.violation
        for host in self.servers:
            if host.runs and host.server and (trouble := self._wrong(host, host.server)):
                return f"{host.name} at {self.now / 1000:g} s: {trouble}"
        return ""

    def _wrong(self, host: ServerHost, server: Participant) -> str:
        known = server.known
        if known.version < host.newest:
            return f"it has gone back from version {host.newest} to {known.version}"
        version = server.admits(self.clock(host))
        if version is None:
            return ""
        if version and known.text != self.checker.texts.get(version):
            return f"it admits under {version}, whose text is another one"
        if self.trouble_with(host, known.text):
            return f"it admits under {version}, which its configuration refuses"
        bound_ms, committed = self.variant.slowest_bound_ms, self.checker.committed
        trouble = wrong_admission(version, known.change, host.started, self.now, bound_ms, committed)
        return f"it admits under {version}: {trouble}" if trouble else ""

    def recovery_violation(self) -> str:
        """From here on with everything delivered and everybody up: "" if all come to admit under the one
        version in force with no change left open and none waiting, and admit on while the store is away."""
        world = self.copy()
        world.heal()
        for _ in range(PEACE_STEPS):
            if trouble := world.deliver_all() or world.violation():
                return f"in peace: {trouble}"
            if not world._odd_ones():
                return world._without_store()
            world.pass_time()
        return f"in peace not all agree: {', '.join(world._odd_ones())}"

    def heal(self) -> None:
        if self.right:
            self.swap(None)
        self.is_store_away = False
        self.cuts.clear()
        for n, host in enumerate(self.relays):
            host.is_frozen = host.is_mute = host.is_deaf = False
            if not host.relay:
                self.start_relay(n)
            self.hint_all(host)
        for n, server_host in enumerate(self.servers):
            server_host.is_frozen = False
            if not server_host.server:
                self.start_server(n)

    def _odd_ones(self) -> list[str]:
        """What is not as it should be in the end."""
        view = self.view()
        version = view.policy.version if view.policy else 0
        odd = [f"{entry.id} waits" for entry in view.queue]
        odd += [f"{view.change.id} is open"] if view.change else []
        for host in self.servers:
            assert host.server
            admission_status = host.server.admission_status(self.clock(host))
            is_unfit = admission_status is AdmissionStatus.POLICY_REJECTED and bool(
                self.trouble_with(host, host.server.known.text)
            )
            if host.server.admits(self.clock(host)) != version and not is_unfit:
                odd.append(f"{host.name} {admission_status.name} {host.server.known.version}/{version}")
        return odd

    def _without_store(self) -> str:
        """Under `wait` servers admit on while the store is away and all relays of their cell are up. A relay
        that has just started takes part in nothing for a while, so some peace comes first."""
        if self.variant.rules.absent != "wait":
            return ""
        for steps, is_away in ((PEACE_STEPS // 5, False), (AWAY_STEPS, True)):
            self.is_store_away = is_away
            for _ in range(steps):
                self.lose_unserved()
                if trouble := self.deliver_all() or self.violation():
                    return f"the store is away: {trouble}"
                if is_away and (odd := self._odd_ones()):
                    return f"the store is away, nothing is open: {', '.join(odd)}"
                self.pass_time()
        return ""

    # Whether two worlds are one.

    def fingerprint(self) -> int:
        """Of its state at this time."""
        hosts = [(h.life, h.disk, h.is_frozen, h.is_mute, h.is_deaf, freeze(h.relay)) for h in self.relays]
        servers = [(h.life, h.is_frozen, freeze(h.checks), freeze(h.server)) for h in self.servers]
        streams = [
            (s.number, s.is_ended, tuple(map(_message_key, (*s.to_relay, *s.to_server))))
            for s in self.streams
        ]
        flights = sorted(
            repr((f.host, f.life, f.effect, f.sent, f.is_answer, f.outcome)) for f in self.flights
        )
        peers = sorted(repr((f.sender, f.life, f.peer, f.request, f.answer)) for f in self.peer_flights)
        engines = [
            space and (space.cluster, space.revision, tuple(sorted(space.keys.items())))
            for space in (self.store, self.kept, self.right)
        ]
        rest = (
            tuple(sorted(self.cuts)),
            tuple(sorted(map(repr, self.pending.items()))),
            tuple(sorted(self.proposed)),
            self.now,
            self.is_store_away,
            self.spent,
        )
        return hash(
            (tuple(hosts), tuple(servers), tuple(streams), tuple(flights), tuple(peers), tuple(engines), rest)
        )


def _message_key(message: object) -> object:
    return repr(message) if isinstance(message, PolicyUpdate | Registration) else message


class NotConvergedError(Exception):
    """The cells never became a fleet: a double's fault can be that plain."""


class CellStage(Enum):
    """Where a search begins."""

    CALM = "none is open"
    OPEN = "a change is open, and nobody has read it"
    HALF = "one vote is in, the others are on their way"
    VOTED = "all votes are in, and nobody has counted them"
    COMMITTED = "it is committed, and nobody has heard"
    LEADER_LOST = "the leading relay of the first cell has just died"
    STORE_LOST = "the store has just gone"
    CONSENTED = "the store has been away for longer than its leases"


def settled(variant: CellVariant) -> CellWorld:
    """Cells at work: all servers are of it, and version 1 is in force."""
    world = CellWorld(variant)
    world.checker.bound_ms = variant.rules.bound_ms
    for cell in range(variant.cells):
        addresses = tuple(f"r{cell}{n}" for n in range(variant.relays))
        for address in addresses:
            world.relays.append(RelayHost(address, f"c{cell}", addresses))
    for n, host in enumerate(world.relays):
        host.rate = variant.relay_rates[n % len(variant.relay_rates)]
        world.start_relay(n)
    for n in range(variant.servers):
        cell = n % variant.cells
        relays = tuple(host.address for host in world.relays if host.cell == f"c{cell}")
        kind = "odd" if variant.has_odd_kind and n // variant.cells % 2 else "plain"
        rate = variant.server_rates[n % len(variant.server_rates)]
        world.servers.append(ServerHost(f"s{n}", kind, relays, rate=rate))
        world.start_server(n)
    _run(world, 20)
    world.write(propose(world.view(), "first", "policy", "", "", 0.0, DEADLINE_MS))
    _run(world, 20)
    if trouble := world.violation():
        raise NotConvergedError(trouble)
    if odd := world._odd_ones():
        raise NotConvergedError(f"the fleet does not come together: {', '.join(odd)}")
    return world


def _run(world: CellWorld, steps: int) -> None:
    """Time goes on with everything delivered."""
    for _ in range(steps):
        world.lose_unserved()
        if trouble := world.deliver_all():
            raise NotConvergedError(trouble)
        world.pass_time()
    world.deliver_all()


def staged(calm: CellWorld, stage: CellStage) -> CellWorld:
    """From a world at work, one in which so much has happened."""
    world = calm.copy()
    if stage is CellStage.LEADER_LOST:
        world.stop_relay(leader_of(world, "c0"))
        world.settle_down()
    elif stage in (CellStage.STORE_LOST, CellStage.CONSENTED):
        world.is_store_away = True
        _run(world, 0 if stage is CellStage.STORE_LOST else 16)
    elif stage is not CellStage.CALM:
        _stage_change(world, stage)
    return world


def leader_of(world: CellWorld, cell: str) -> int:
    status = world.view(True).status(cell)
    epochs = (f"{host.address}.{host.life}" for host in world.relays)
    return next(
        (n for n, incarnation in enumerate(epochs) if status and incarnation == status.incarnation), 0
    )


def _stage_change(world: CellWorld, stage: CellStage) -> None:
    world.proposed.add("B")
    world.write(propose(world.view(), "B", text_of("B"), "B", "", 0.0, DEADLINE_MS))
    if stage is CellStage.OPEN:
        return
    world.deliver_all(lambda flight: not _is_vote(flight) and not _is_settling(flight))
    votes = [flight for flight in world.flights if _is_vote(flight)]
    for flight in votes[:1] if stage is CellStage.HALF else votes:
        world.take_store_flight(flight)
    if stage is CellStage.COMMITTED and (commit := finish_change(world.view(), False)):
        world.write(commit)
    world.settle_down()


def text_of(ident: str) -> str:
    """B and C say the same, which the odd kind refuses."""
    return "policy A" if ident == "A" else f"policy B{BAD_ENDING}"


def _is_vote(flight: StoreFlight) -> bool:
    return isinstance(flight.effect, Commit) and flight.effect.purpose == "vote"


def _is_settling(flight: StoreFlight) -> bool:
    return flight.effect.lane is Lane.COORDINATE


def all_variants() -> Iterator[tuple[str, CellVariant]]:
    """Each with the parts as they are."""
    leave_out = replace(RULES, absent="leave-out")
    yield "wait", CellVariant()
    yield "wait, two cells", CellVariant(cells=2, servers=3)
    yield "wait, three relays", CellVariant(relays=3)
    yield "wait, one relay", CellVariant(relays=1)
    yield "leave-out, two cells", CellVariant(rules=leave_out, cells=2, servers=3)
    yield "a kind that refuses", CellVariant(servers=3, has_odd_kind=True)
    yield "a kind that refuses, two cells", CellVariant(cells=2, servers=4, has_odd_kind=True)
    yield "an older copy answers", CellVariant(has_copies=True)
    yield "clocks that run apart", CellVariant(servers=3, server_rates=SLOW_AND_FAST)
    yield "clocks that run apart, three relays", CellVariant(relays=3, relay_rates=DRIFTING)
    yield "changes made from what is in force", CellVariant(has_based_changes=True)
