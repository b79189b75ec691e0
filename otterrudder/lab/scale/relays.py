"""Relays in simulated time: executes the effects of each relay as its process would, with the latencies of
the store and the network."""

import math
import random
from dataclasses import dataclass
from time import thread_time_ns
from typing import Protocol

from otterrudder.fleet.cell.effects import EndSession, PeerRequest, RelayEffect, SendToServer
from otterrudder.fleet.cell.identity import CellIdentity
from otterrudder.fleet.cell.limits import RelayLimits
from otterrudder.fleet.cell.messages import (
    Endorsement,
    EndorsementRequest,
    LeaseGrant,
    RelayMessage,
    ServerMessage,
)
from otterrudder.fleet.cell.relay import Relay
from otterrudder.fleet.cell.relay_start import RelayStart
from otterrudder.fleet.effects import Commit, GrantLease, Outcome, Read, RenewLease, StoreRequest
from otterrudder.fleet.state import Rules
from otterrudder.lab.scale.events import EventQueue
from otterrudder.lab.scale.history_checker import HistoryChecker
from otterrudder.lab.scale.hosts import RelayHost, Stream
from otterrudder.lab.scale.network import Network, Sizes
from otterrudder.lab.scale.sampling import CpuSample
from otterrudder.lab.scale.store import StoreService
from otterrudder.lab.scale.topology import Topology

MAX_TIMEOUT_MS = 2000.0  # maximum timeout of a request to the store
TIMEOUT_RATIO = 0.25  # timeout of a request to the store as a share of `Rules.bound_ms`


@dataclass(frozen=True, slots=True)
class Call:
    """A pending request to the store."""

    incarnation: int
    effect: StoreRequest
    sent: float
    outcome: Outcome = None


class ServerSide(Protocol):
    """The server end of the streams."""

    def receive(self, stream: Stream, message: RelayMessage) -> None:
        """Handles a message from a relay."""

    def handle_disconnected(self, stream: Stream, _: object) -> None:
        """Handles a stream that the relay closed."""


class Relays:
    """All relays of a run, with the handlers of their events."""

    def __init__(
        self,
        fleet: str,
        hosts: list[RelayHost],
        topology: Topology,
        rules: Rules,
        lease_ms: float,
        events: EventQueue,
        network: Network,
        sizes: Sizes,
        history: HistoryChecker,
        random_source: random.Random,
        message_cpu: CpuSample,
        store_cpu: CpuSample,
    ) -> None:
        self.fleet, self.hosts, self.rules, self.lease_ms = fleet, hosts, rules, lease_ms
        self.by_address = {host.address: host for host in hosts}
        self.message_cpu, self.store_cpu = message_cpu, store_cpu
        self.watch_events = 0
        self.peer_messages = 0
        self.timeout_ms = min(rules.bound_ms * TIMEOUT_RATIO, MAX_TIMEOUT_MS)
        self._topology, self._events, self._network = topology, events, network
        self._sizes, self._history, self._random = sizes, history, random_source
        self._store_region = topology.store_regions[0]

    def attach(self, store: StoreService, servers: ServerSide) -> None:
        """Sets the store and the servers, which are created after the relays."""
        self.store, self.servers = store, servers

    # Life cycle of a relay process

    def start(self, host: RelayHost, _: object = None) -> None:
        """Starts the process of a relay unless it is already running or its machine is down."""
        if host.relay or not host.is_machine_up:
            return
        host.incarnation += 1
        host.timer_at = math.inf
        identity = CellIdentity(self.fleet, host.cell, host.address, host.candidates)
        host.relay = self.make_relay(identity, f"{host.address}.{host.incarnation}")
        self._step(host)
        self._update_watches(host)

    def make_relay(self, identity: CellIdentity, incarnation: str) -> Relay:
        """Creates the relay of a new process."""
        limits = RelayLimits(span_ms=self.lease_ms)
        return Relay(self._events.now, identity, RelayStart(incarnation), self.rules, limits)

    def stop(self, host: RelayHost, is_silent: bool) -> None:
        """Ends the process of a relay.

        If `is_silent`, its machine has failed as well, so that nothing closes the streams to the servers."""
        host.relay, host.timer_at = None, math.inf
        host.watching = frozenset()
        host.deferred.clear()
        streams, host.streams = host.streams, {}
        if not is_silent:
            for stream in streams.values():
                self._close_stream(stream)

    def shut_down(self, host: RelayHost) -> None:
        """Shuts the process down gracefully: notifies its servers and revokes its lease."""
        relay = host.relay
        if not relay:
            return
        relay.begin_shutdown()
        self._step(host)
        if relay.member.lease and not self._is_store_cut(host):
            arrival_at = self._events.now + self.store.arrival_ms(host.zone.region, RenewLease(0))
            self._events.at(arrival_at, self._revoke, relay.member.lease)
        self.stop(host, is_silent=False)

    def _revoke(self, lease: int, _: object) -> None:
        self.store.revoke(lease)

    def freeze(self, host: RelayHost, until: float) -> None:
        """Freezes the process until the given time. Events that arrive meanwhile are deferred."""
        host.frozen_until = until
        self._events.at(until, self.thaw, host)

    def thaw(self, host: RelayHost, _: object = None) -> None:
        """Resumes a frozen process with its deferred events."""
        events, host.deferred = host.deferred, []
        for handler, subject, argument in events:
            handler(subject, argument)
        if host.relay:
            self._step(host)

    # Events of a relay

    def fire_timer(self, host: RelayHost, at: float) -> None:
        """Handles a timer of the relay, unless the timer was reset to another time."""
        if host.timer_at != at or not host.relay:
            return
        host.timer_at = math.inf
        if self._events.now >= host.frozen_until:
            self._step(host)

    def accept(self, stream: Stream) -> None:
        """Accepts the connection of a server."""
        host = stream.relay
        host.last_stream += 1
        stream.number, stream.relay_incarnation = host.last_stream, host.incarnation
        host.streams[stream.number] = stream

    def receive(self, stream: Stream, message: ServerMessage) -> None:
        """Handles a message from a server."""
        host = stream.relay
        relay, now = host.relay, self._events.now
        if not relay or stream.relay_incarnation != host.incarnation or stream.number not in host.streams:
            return
        if now < host.frozen_until:
            host.deferred.append((self.receive, stream, message))
            return
        if self.message_cpu.is_due():
            began = thread_time_ns()
            relay.handle_message(now, stream.number, message)
            effects = relay.effects(now)
            due = relay.due()
            self.message_cpu.add(began)
        else:
            relay.handle_message(now, stream.number, message)
            effects = relay.effects(now)
            due = relay.due()
        for effect in effects:
            self._execute(host, effect)
        self._schedule(host, due)

    def handle_stream_closed(self, stream: Stream, _: object) -> None:
        """Handles a stream that the server closed."""
        host = stream.relay
        if stream.relay_incarnation != host.incarnation or not host.streams.pop(stream.number, None):
            return
        if host.relay:
            host.relay.handle_stream_closed(stream.number)

    def handle_watch_event(self, host: RelayHost, argument: tuple[int, str]) -> None:
        """Handles the change of a key under a watched prefix."""
        incarnation, prefix = argument
        if (
            not host.relay
            or host.incarnation != incarnation
            or prefix not in host.watching
            or self._is_store_cut(host)
        ):
            return
        if self._events.now < host.frozen_until:
            host.deferred.append((self.handle_watch_event, host, argument))
            return
        host.relay.handle_watch_event(self._events.now, prefix)
        self._step(host)

    # Requests to the store, and watches

    def notify_watchers(self, keys: list[str]) -> None:
        """Schedules a watch event for each relay and each of its watched prefixes that matches one of `keys`.

        The keys were written or deleted together."""
        for host in self.hosts:
            if not host.relay:
                continue
            for prefix in host.watching:
                if any(key.startswith(prefix) for key in keys):
                    self.watch_events += 1
                    due = self._events.now + self.store.watch_ms(host.zone.region)
                    self._events.at(due, self.handle_watch_event, host, (host.incarnation, prefix))

    def _update_watches(self, host: RelayHost) -> None:
        """Starts and ends watches so that they match the prefixes that the relay wants to watch.

        A new watch delivers one event when it starts, since its prefix may have changed before."""
        relay = host.relay
        if not relay:
            return
        wanted = frozenset(relay.watched_prefixes())
        if wanted == host.watching:
            return
        started, host.watching = wanted - host.watching, wanted
        for prefix in sorted(started):
            due = self._events.now + 2 * self.store.watch_ms(host.zone.region)
            self._events.at(due, self.handle_watch_event, host, (host.incarnation, prefix))

    def restore_watches(self, host: RelayHost) -> None:
        """Restarts all watches of a relay after the store has become reachable again."""
        host.watching = frozenset()
        self._update_watches(host)

    def _is_store_cut(self, host: RelayHost) -> bool:
        return self._network.is_cut(host.zone.region, self._store_region)

    def _send_to_store(self, host: RelayHost, effect: StoreRequest) -> None:
        now = self._events.now
        call = Call(host.incarnation, effect, now)
        if self._is_store_cut(host):
            self._events.at(now + self.timeout_ms, self._handle_store_response, host, call)
            return
        arrival_at = now + self.store.arrival_ms(host.zone.region, effect)
        self._events.at(arrival_at, self._handle_arrival, host, call)

    def _handle_arrival(self, host: RelayHost, call: Call) -> None:
        """Executes a request at the store. It takes effect even if its answer is lost or late."""
        outcome = self.store.answer(self._events.now, call.effect)
        due = self._events.now + self.store.answer_ms(host.zone.region)
        timeout_at = call.sent + self.timeout_ms
        if due >= timeout_at or self._is_store_cut(host):
            self._events.at(max(timeout_at, self._events.now), self._handle_store_response, host, call)
        else:
            answered = Call(call.incarnation, call.effect, call.sent, outcome)
            self._events.at(due, self._handle_store_response, host, answered)

    def _handle_store_response(self, host: RelayHost, call: Call) -> None:
        if not host.relay or host.incarnation != call.incarnation:
            return
        now = self._events.now
        if now < host.frozen_until:
            host.deferred.append((self._handle_store_response, host, call))
            return
        began = thread_time_ns()
        host.relay.handle_result(now, call.effect, call.sent, call.outcome)
        self.store_cpu.calls += 1
        self.store_cpu.add(began)
        self._step(host)
        self._update_watches(host)

    # Effects of a relay

    def _step(self, host: RelayHost) -> None:
        relay = host.relay
        assert relay
        began = thread_time_ns()
        effects = relay.effects(self._events.now)
        self.store_cpu.calls += 1
        self.store_cpu.add(began)
        for effect in effects:
            self._execute(host, effect)
        self._schedule(host, relay.due())

    def _schedule(self, host: RelayHost, due: float) -> None:
        if due < host.timer_at:
            due = max(due, self._events.now)
            host.timer_at = due
            self._events.at(due, self.fire_timer, host, due)

    def _execute(self, host: RelayHost, effect: RelayEffect) -> None:
        if isinstance(effect, SendToServer):
            self._send(host, effect)
        elif isinstance(effect, EndSession):
            stream = host.streams.pop(effect.connection, None)
            if stream:
                self._close_stream(stream)
        elif isinstance(effect, PeerRequest):
            self._send_to_peer(host, self.by_address[effect.peer], effect.message)
        elif isinstance(effect, Read | Commit | GrantLease | RenewLease):
            self._send_to_store(host, effect)
        else:
            raise TypeError(f"unknown relay effect: {effect!r}")

    def _send(self, host: RelayHost, effect: SendToServer) -> None:
        stream = host.streams.get(effect.connection)
        if not stream:
            return
        message = effect.message
        if isinstance(message, LeaseGrant):
            self._history.record_grant(self._events.now, message.version, message.span_ms)
        size = self._sizes.size_of(message)
        host.sent.messages += 1
        host.sent.size += size
        region = stream.server.zone.region
        if self._network.is_cut(region, host.zone.region):
            return
        arrival_at = self._events.now + self._network.one_way_ms(host.zone.number, stream.server.zone.number)
        arrival_at = max(arrival_at, stream.to_server_at)
        stream.to_server_at = arrival_at
        self._events.at(arrival_at, self.servers.receive, stream, message)

    def _close_stream(self, stream: Stream) -> None:
        host, server = stream.relay, stream.server
        if self._network.is_cut(server.zone.region, host.zone.region):
            return
        one_way_ms = self._network.one_way_ms(host.zone.number, server.zone.number)
        arrival_at = max(self._events.now + one_way_ms, stream.to_server_at)
        self._events.at(arrival_at, self.servers.handle_disconnected, stream, None)

    # Messages between the relays of a cell

    def _send_to_peer(self, host: RelayHost, peer: RelayHost, request: EndorsementRequest) -> None:
        self.peer_messages += 1
        if self._network.is_cut(host.zone.region, peer.zone.region):
            return
        arrival_at = self._events.now + self._network.one_way_ms(host.zone.number, peer.zone.number)
        self._events.at(arrival_at, self._handle_peer_request, peer, (host, host.incarnation, request))

    def _handle_peer_request(
        self, peer: RelayHost, argument: tuple[RelayHost, int, EndorsementRequest]
    ) -> None:
        host, incarnation, request = argument
        if not peer.relay:
            return
        if self._events.now < peer.frozen_until:
            peer.deferred.append((self._handle_peer_request, peer, argument))
            return
        self.peer_messages += 1
        endorsement = peer.relay.handle_endorsement_request(self._events.now, request)
        arrival_at = self._events.now + self._network.one_way_ms(peer.zone.number, host.zone.number)
        self._events.at(arrival_at, self._handle_peer_response, host, (incarnation, endorsement))
        self._step(peer)

    def _handle_peer_response(self, host: RelayHost, argument: tuple[int, Endorsement]) -> None:
        incarnation, endorsement = argument
        if not host.relay or host.incarnation != incarnation:
            return
        if self._events.now < host.frozen_until:
            host.deferred.append((self._handle_peer_response, host, argument))
            return
        host.relay.handle_endorsement(endorsement)
        self._step(host)
