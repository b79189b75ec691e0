"""The VRRP router: one UDP socket and the virtual router instances of all groups.

Advertisements and timers must be on time even if the event loop is busy:

- `poll` runs before each batch of the dispatcher as well as in this router's own task, so an advertisement
  waits for one unit of work at most, not for a whole batch.
- Before a timer is handled, all datagrams in the socket are read, so that an advertisement that arrived while
  this process was stalled counts before the master is considered down. The kernel may have dropped others
  meanwhile, so a backup whose timer is late by more than an interval waits for one more advertisement before
  it takes over.

Dropped datagrams are counted by reason, and by group if the group is known. `run` closes the socket."""

import socket
from collections import Counter
from collections.abc import Callable, Mapping

import anyio

from otterrudder import clock
from otterrudder.log import log
from otterrudder.vrrp import datagrams, packet
from otterrudder.vrrp.admission_gate import GateState, SetAdmission
from otterrudder.vrrp.authentication import TRAILER_SIZE, Authenticator
from otterrudder.vrrp.configuration import Peer, VrrpConfiguration
from otterrudder.vrrp.datagrams import Datagram
from otterrudder.vrrp.instance import VirtualRouterInstance, create_instance
from otterrudder.vrrp.keys import KeyRing
from otterrudder.vrrp.packet import DropReason, PacketError
from otterrudder.vrrp.state_machine import Action, SendAdvertisement, State, StateChange, Timer

MAX_DATAGRAMS_PER_READ = 64  # keeps a flood of datagrams from blocking the event loop
RETRY_MS = 10.0  # delay before polling again after a handler failed
TRACKING_INTERVAL_MS = 100.0  # interval between readings of the tracked facts
MAX_LATENESS_SAMPLES = 4096  # maximum number of lateness values kept for measurements


class VrrpRouter:
    """The VRRP router of this process, which takes part in all configured groups."""

    def __init__(
        self,
        configuration: VrrpConfiguration,
        incarnation: int,
        set_admission: Callable[[SetAdmission], None],
        read_facts: Callable[[], Mapping[str, bool]],
    ) -> None:
        """`incarnation` identifies this process, see Authenticator. `set_admission` receives the commands for
        the admission controller. `read_facts` returns for each tracked fact whether it is bad."""
        self.configuration = configuration
        self.authenticator = Authenticator(configuration.keys, incarnation)
        self._set_admission = set_admission
        self._read_facts = read_facts
        self.instances = [create_instance(group, configuration) for group in configuration.groups]
        self._senders = {
            (instance.group.vrid, peer.udp): (instance, peer)
            for instance in self.instances
            for peer in instance.group.peers
        }
        self.counts: Counter[str] = Counter()  # datagrams without a known group, by drop reason
        self.send_lateness_ms: list[float] = []  # delays of sent advertisements
        self.sock: socket.socket | None = None
        self.on_change: Callable[[], None] = lambda: None  # called after a gate has changed its state
        self._wake = anyio.Event()
        self._next_tracking = 0.0
        self._is_shut_down = False

    def bind(self) -> None:
        """Opens the socket. Raises OSError if the address cannot be bound."""
        self.sock = datagrams.open_socket(self.configuration.listen)

    def start(self) -> None:
        """Closes all gates, for an admission controller that is about to start, and starts the instances."""
        now = clock.monotonic()
        for instance in self.instances:
            for command in instance.gate.initial_commands():
                self._set_admission(command)
            self._execute(instance, instance.state_machine.start(now), now)

    def begin_shutdown(self) -> None:
        """Stops all instances; masters send priority 0. The server then drains its requests itself."""
        now = clock.monotonic()
        self._is_shut_down = True
        for instance in self.instances:
            instance.gate.begin_shutdown(now)
            self._execute(instance, instance.state_machine.shutdown(now), now)

    def replace_keys(self, keys: KeyRing) -> None:
        """Replaces the keys. Counters and replay state are kept."""
        self.authenticator.keys = keys

    @property
    def is_serving(self) -> bool:
        """Whether any gate is open."""
        return any(instance.gate.state is GateState.OPEN for instance in self.instances)

    def status(self) -> list[dict[str, object]]:
        """Returns the state of each group, for `vrrp show`."""
        now = clock.monotonic()
        return [instance.status(now) for instance in self.instances]

    async def run(self) -> None:
        """Receives datagrams and runs the timers until it is cancelled."""
        assert self.sock is not None
        sock = self.sock
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._receive_loop, sock)
                await self._timer_loop()
        finally:
            sock.close()

    async def _receive_loop(self, sock: socket.socket) -> None:
        while True:
            await anyio.wait_readable(sock)
            self._run_logged(self._receive)
            await anyio.lowlevel.checkpoint()

    async def _timer_loop(self) -> None:
        while True:
            has_run = self._run_logged(self.poll)
            wait_ms = self._next_deadline() - clock.monotonic()
            if not has_run:
                wait_ms = max(wait_ms, RETRY_MS)
            self._wake = anyio.Event()
            with anyio.move_on_after(max(wait_ms, 0.0) / 1000):
                await self._wake.wait()

    def _next_deadline(self) -> float:
        return min(self._next_tracking, *(instance.deadline for instance in self.instances))

    def _run_logged(self, handler: Callable[[float], None]) -> bool:
        """Runs a handler and logs an exception, so that the server continues. Returns False if it failed."""
        try:
            handler(clock.monotonic())
        except Exception:
            log.exception("vrrp event handler failed")
            return False
        return True

    def poll(self, now: float) -> None:
        """Handles all datagrams and timers that are due at `now`. Returns at once if nothing is due."""
        if now < self._next_deadline():
            return
        self._receive(now)
        if now >= self._next_tracking:
            self._next_tracking = now + TRACKING_INTERVAL_MS
            self._update_priorities(now)
        for instance in self.instances:
            if now >= instance.timer.at:
                self._handle_timer(instance, now)
            for command in instance.gate.handle_deadline(now):
                self._apply(instance, command)

    def _handle_timer(self, instance: VirtualRouterInstance, now: float) -> None:
        lateness_ms = now - instance.timer.at
        machine = instance.state_machine
        if machine.state is State.MASTER:
            self._record_lateness(lateness_ms)
        elif lateness_ms > machine.interval and not instance.has_deferred_takeover:
            self._defer_takeover(instance, now)
            return
        instance.has_deferred_takeover = False
        self._execute(instance, machine.handle_timer(now, instance.timer.number), now)

    @staticmethod
    def _defer_takeover(instance: VirtualRouterInstance, now: float) -> None:
        """Waits for one more advertisement, because this process stalled and may have missed some."""
        machine = instance.state_machine
        instance.has_deferred_takeover = True
        instance.counts["listened once more"] += 1
        instance.timer = Timer(now + machine.interval + machine.skew_time, instance.timer.number)
        machine.timer_at = instance.timer.at

    def _record_lateness(self, lateness_ms: float) -> None:
        if len(self.send_lateness_ms) >= MAX_LATENESS_SAMPLES:
            del self.send_lateness_ms[: MAX_LATENESS_SAMPLES // 2]
        self.send_lateness_ms.append(lateness_ms)

    def _update_priorities(self, now: float) -> None:
        facts = self._read_facts()
        for instance in self.instances:
            priority = instance.tracker.step(now, facts)
            if priority == instance.state_machine.priority or self._is_shut_down:
                continue
            log.info(
                "vrrp priority changed",
                group=instance.group.name,
                priority=priority,
                lowered_by=instance.tracker.lowering_facts,
            )
            self._execute(instance, instance.state_machine.set_priority(now, priority), now)

    def _receive(self, now: float) -> None:
        assert self.sock is not None
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                datagram = datagrams.receive(self.sock)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:  # an ICMP error for an earlier datagram: the peer is unreachable
                self.counts[f"socket: {error.strerror}"] += 1
                continue
            self.handle_datagram(now, datagram)

    def handle_datagram(self, now: float, datagram: Datagram) -> None:
        """Handles one datagram. Never raises. Without a valid MAC, only a counter changes."""
        instance: VirtualRouterInstance | None = None
        try:
            instance, peer = self._sender_of(datagram)
            advertisement = self._decode(instance, peer, datagram.data)
        except PacketError as error:
            counts = instance.counts if instance else self.counts
            counts[error.reason.value] += 1
            return
        instance.counts["heard"] += 1
        if not self._is_shut_down:
            actions = instance.state_machine.handle_advertisement(
                now, advertisement.priority, advertisement.interval_ms, peer.address
            )
            self._execute(instance, actions, now)

    def _sender_of(self, datagram: Datagram) -> tuple[VirtualRouterInstance, Peer]:
        """Returns the instance and the peer of a datagram, by its VRID and its source address.

        Raises PacketError if they are unknown."""
        if self.configuration.checks_hops and datagram.hops != packet.HOP_LIMIT:
            raise PacketError(DropReason.HOPS)
        if len(datagram.data) <= TRAILER_SIZE + packet.HEADER_SIZE:
            raise PacketError(DropReason.SHORT)
        vrid = datagram.data[1]
        sender = self._senders.get((vrid, datagram.source))
        if sender is None:
            raise PacketError(DropReason.SENDER)
        return sender

    def _decode(self, instance: VirtualRouterInstance, peer: Peer, data: bytes) -> packet.Advertisement:
        group = instance.group
        message = self.authenticator.verify(data, str(peer.address), group.vrid, clock.unix())
        advertisement = packet.decode(message, peer.address, group.destination, None)
        packet.check_group(
            advertisement, group.vrid, group.virtual_addresses, group.interval_ms, group.learns_interval
        )
        return advertisement

    def _execute(self, instance: VirtualRouterInstance, actions: list[Action], now: float) -> None:
        for action in actions:
            match action:
                case SendAdvertisement(priority):
                    self._send(instance, priority)
                case Timer():
                    instance.timer = action
                    self._wake.set()
                case StateChange():
                    self._handle_state_change(instance, action, now)

    def _handle_state_change(self, instance: VirtualRouterInstance, change: StateChange, now: float) -> None:
        log.info(
            "vrrp state changed",
            group=instance.group.name,
            state=change.state.value,
            before=change.previous.value,
            why=change.reason,
        )
        instance.counts[f"became {change.state.value}"] += 1
        if change.state is not State.INITIALIZE:
            for command in instance.gate.handle_state(now, change.state):
                self._apply(instance, command)
            self._wake.set()

    def _apply(self, instance: VirtualRouterInstance, command: SetAdmission) -> None:
        log.info(
            "vrrp admission changed",
            group=instance.group.name,
            door=instance.gate.state.value,
            serves=command.is_admitted,
        )
        self._set_admission(command)
        self.on_change()

    def _send(self, instance: VirtualRouterInstance, priority: int) -> None:
        assert self.sock is not None
        group = instance.group
        addresses = tuple(sorted(group.virtual_addresses, key=int))
        advertisement = packet.Advertisement(group.vrid, priority, group.interval_ms, addresses)
        message = packet.encode(advertisement, group.address, group.destination)
        for peer in group.peers:
            try:
                self.sock.sendto(self.authenticator.sign(message, str(group.address)), peer.udp)
                instance.counts["sent"] += 1
            except OSError:  # refused or no buffer space; the next advertisement will follow
                instance.counts["unsent"] += 1
