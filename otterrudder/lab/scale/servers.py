"""Servers in simulated time: executes the effects of each participant as its process would."""

import math
import random
from collections import Counter
from collections.abc import Mapping
from time import thread_time_ns

from otterrudder.fleet.cell.effects import Connect, ParticipantEffect, SendToRelay, ValidateText
from otterrudder.fleet.cell.identity import ServerIdentity
from otterrudder.fleet.cell.messages import RelayMessage
from otterrudder.fleet.cell.participant import Participant
from otterrudder.lab.scale.events import EventQueue
from otterrudder.lab.scale.experiment import LoadPart
from otterrudder.lab.scale.history_checker import HistoryChecker
from otterrudder.lab.scale.hosts import RelayHost, ServerHost, Stream
from otterrudder.lab.scale.network import Network, Sizes
from otterrudder.lab.scale.relays import Relays
from otterrudder.lab.scale.sampling import CpuSample

# One-way trips from the arrival of the first packet until the connection is established: the SYN-ACK of TCP,
# then a round trip for TLS.
HANDSHAKE_TRIPS = 3


class Servers:
    """All servers of a run, with the handlers of their events."""

    def __init__(
        self,
        fleet: str,
        hosts: list[ServerHost],
        relays: Relays,
        events: EventQueue,
        network: Network,
        sizes: Sizes,
        load: LoadPart,
        history: HistoryChecker,
        random_source: random.Random,
        lease_ms: float,
        cpu: CpuSample,
    ) -> None:
        self.fleet, self.hosts, self.relays = fleet, hosts, relays
        self.lease_ms, self.cpu, self.load = lease_ms, cpu, load
        self.connects = 0
        self.samples = 0
        # time at which a sample last found a running server with suspended admission
        self.last_suspended_at = -math.inf
        self.suspended: Counter[str] = Counter()
        self._events, self._network, self._sizes = events, network, sizes
        self._history, self._random = history, random_source
        self._by_address: Mapping[str, RelayHost] = relays.by_address

    # Life cycle of a server process

    def start(self, host: ServerHost, _: object = None) -> None:
        """Starts the process of a server unless it is already running."""
        if host.participant:
            return
        host.incarnation += 1
        host.version, host.lease_until, host.timer_at = 0, -math.inf, math.inf
        incarnation = f"{host.name}.{host.incarnation}"
        identity = ServerIdentity(self.fleet, host.name, incarnation, host.kind, host.zone.name)
        host.participant = self.make_participant(identity, host.relays)
        self._step(host)

    def make_participant(self, identity: ServerIdentity, relays: tuple[str, ...]) -> Participant:
        """Creates the participant of a new server process."""
        return Participant(self._events.now, identity, relays, self.lease_ms)

    def stop(self, host: ServerHost, is_silent: bool) -> None:
        """Ends the process of a server.

        If `is_silent`, its machine has failed as well, so that nothing closes the stream to the relay."""
        if not host.participant:
            return
        self._history.record_version_end(
            host.version, self._history.version, min(self._events.now, host.lease_until)
        )
        host.participant, host.timer_at = None, math.inf
        host.deferred.clear()
        stream, host.stream = host.stream, None
        if stream and not is_silent:
            self._send_close(stream)

    def freeze(self, host: ServerHost, until: float) -> None:
        """Freezes the process until the given time. Events that arrive meanwhile are deferred."""
        host.frozen_until = until
        self._events.at(until, self.thaw, host)

    def thaw(self, host: ServerHost, _: object = None) -> None:
        """Resumes a frozen process.

        The server is sampled before its deferred events are handled: an admission request that waited in the
        frozen process is decided before any new message is read."""
        self._sample(host)
        events, host.deferred = host.deferred, []
        for handler, subject, argument in events:
            handler(subject, argument)
        if host.participant:
            self._step(host)

    # Events of a server

    def fire_timer(self, host: ServerHost, at: float) -> None:
        """Handles a timer of the server, unless the timer was reset to another time."""
        participant = host.participant
        if host.timer_at != at or not participant:
            return
        now = self._events.now
        if now < host.frozen_until:
            host.timer_at = math.inf
            return
        host.timer_at = math.inf
        if participant.due() > now:
            self._schedule(host, participant)
            return
        self._step(host)

    def receive(self, stream: Stream, message: RelayMessage) -> None:
        """Handles a message from the relay."""
        host = stream.server
        participant = host.participant
        if not participant or host.incarnation != stream.server_incarnation:
            return
        now = self._events.now
        if now < host.frozen_until:
            host.deferred.append((self.receive, stream, message))
            return
        if self.cpu.is_due():
            began = thread_time_ns()
            participant.handle_message(now, stream.connection, message)
            due = participant.due()
            self.cpu.add(began)
        else:
            participant.handle_message(now, stream.connection, message)
            due = participant.due()
        if due <= now:
            self._step(host)
            return
        self._record_version(host, participant)
        if due < host.timer_at:
            host.timer_at = due
            self._events.at(due, self.fire_timer, host, due)

    def handle_connected(self, stream: Stream, _: object) -> None:
        """Handles an established connection to a relay."""
        host = stream.server
        if not host.participant or host.incarnation != stream.server_incarnation:
            return
        if self._events.now < host.frozen_until:
            host.deferred.append((self.handle_connected, stream, None))
            return
        host.participant.handle_connected(self._events.now, stream.connection)
        self._step(host)

    def handle_disconnected(self, stream: Stream, _: object) -> None:
        """Handles a stream that the relay closed, or a refused connection."""
        host = stream.server
        if not host.participant or host.incarnation != stream.server_incarnation:
            return
        if self._events.now < host.frozen_until:
            host.deferred.append((self.handle_disconnected, stream, None))
            return
        if host.stream is stream:
            host.stream = None
        host.participant.handle_disconnected(self._events.now, stream.connection)
        self._step(host)

    def handle_validated(self, host: ServerHost, argument: tuple[int, str]) -> None:
        """Handles the successful validation of a policy."""
        incarnation, digest = argument
        if not host.participant or host.incarnation != incarnation:
            return
        if self._events.now < host.frozen_until:
            host.deferred.append((self.handle_validated, host, argument))
            return
        host.participant.handle_validated(self._events.now, digest, "")
        self._step(host)

    # Effects of a participant

    def _step(self, host: ServerHost) -> None:
        participant, now = host.participant, self._events.now
        assert participant
        if self.cpu.is_due():
            began = thread_time_ns()
            effects = participant.effects(now)
            self.cpu.add(began)
        else:
            effects = participant.effects(now)
        for effect in effects:
            self._execute(host, effect)
        self._record_version(host, participant)
        self._schedule(host, participant)

    def _schedule(self, host: ServerHost, participant: Participant) -> None:
        due = participant.due()
        if due < host.timer_at:
            due = max(due, self._events.now)
            host.timer_at = due
            self._events.at(due, self.fire_timer, host, due)

    def _record_version(self, host: ServerHost, participant: Participant) -> None:
        """Records the policy version that the server applies from now on, and the end of its lease."""
        version = participant.applied_policy.version
        if version != host.version:
            until = min(self._events.now, host.lease_until)
            self._history.record_version_end(host.version, version, until)
            host.version = version
        host.lease_until = participant.lease.until

    def _execute(self, host: ServerHost, effect: ParticipantEffect) -> None:
        if isinstance(effect, SendToRelay):
            self._send(host, effect)
        elif isinstance(effect, Connect):
            self._connect(host, effect)
        elif isinstance(effect, ValidateText):
            due = self._events.now + self._random.uniform(*self.load.check_ms)
            self._events.at(due, self.handle_validated, host, (host.incarnation, effect.digest))
        else:
            stream, host.stream = host.stream, None
            if stream and stream.connection == effect.connection:
                self._send_close(stream)

    def _send(self, host: ServerHost, effect: SendToRelay) -> None:
        stream = host.stream
        if not stream or stream.connection != effect.connection:
            return
        relay = stream.relay
        size = self._sizes.size_of(effect.message)
        relay.received.messages += 1
        relay.received.size += size
        if self._network.is_cut(host.zone.region, relay.zone.region):
            return
        arrival_at = self._events.now + self._network.one_way_ms(host.zone.number, relay.zone.number)
        arrival_at = max(arrival_at, stream.to_relay_at)
        stream.to_relay_at = arrival_at
        self._events.at(arrival_at, self.relays.receive, stream, effect.message)

    def _connect(self, host: ServerHost, effect: Connect) -> None:
        self.connects += 1
        relay = self._by_address[effect.relay]
        stream = Stream(host, host.incarnation, effect.connection, relay)
        host.stream = stream
        if not self._network.is_cut(host.zone.region, relay.zone.region):
            one_way_ms = self._network.one_way_ms(host.zone.number, relay.zone.number)
            self._events.at(self._events.now + one_way_ms, self._handle_syn, stream, one_way_ms)

    def _handle_syn(self, stream: Stream, one_way_ms: float) -> None:
        """Handles the first packet of a connection at the relay's machine.

        A machine that is up refuses the connection if no relay runs on it; a machine that is down does not
        answer."""
        relay = stream.relay
        if not relay.is_machine_up:
            return
        if not relay.relay:
            self._events.at(self._events.now + one_way_ms, self.handle_disconnected, stream, None)
            return
        self.relays.accept(stream)
        stream.to_server_at = self._events.now + HANDSHAKE_TRIPS * one_way_ms
        self._events.at(stream.to_server_at, self.handle_connected, stream, None)

    def _send_close(self, stream: Stream) -> None:
        host, relay = stream.server, stream.relay
        if self._network.is_cut(host.zone.region, relay.zone.region):
            return
        one_way_ms = self._network.one_way_ms(host.zone.number, relay.zone.number)
        arrival_at = max(self._events.now + one_way_ms, stream.to_relay_at)
        self._events.at(arrival_at, self.relays.handle_stream_closed, stream, None)

    # Samples of the admission state

    def sample_all(self) -> None:
        """Samples every running server that is not frozen: passes the policy version under which it admits to
        the history, and counts the servers with suspended admission."""
        for host in self.hosts:
            if host.participant and self._events.now >= host.frozen_until:
                self._sample(host)

    def _sample(self, host: ServerHost) -> None:
        participant, now = host.participant, self._events.now
        if not participant:
            return
        self.samples += 1
        version = participant.admits(now)
        if version is None:
            self.suspended[participant.admission_status(now).label] += 1
            self.last_suspended_at = now
        elif version != self._history.version:
            self._history.check_admission(now, host.name, version)

    def close(self) -> None:
        """Records, at the end of the run, the servers that still apply an older policy version."""
        for host in self.hosts:
            if host.participant and host.version < self._history.version:
                until = host.lease_until if host.lease_until < self._events.now else math.inf
                self._record_stale_server(host, until)

    def _record_stale_server(self, host: ServerHost, until: float) -> None:
        """Extends the admission times of all versions later than the server's own to `until`, which is inf if
        the server still admits."""
        admitted_until = self._history.admitted_until
        for later in range(host.version + 1, self._history.version + 1):
            admitted_until[later] = max(admitted_until[later], until)
