"""The actor: one UDP socket, the machines of all groups, their gates, and what they tell the server.

Its adverts and timers must stand a busy event loop:

- It is played at the head of each turn of the dispatcher as well as by its own task, so an advert waits for
  one piece of work at the most, not for a whole turn's mail.
- Before a timer is played, all that waits in the socket is heard: an advert that came while this process
  stalled counts before others are taken to be silent. What the kernel dropped meanwhile is covered by one
  more advert's wait: a backup that finds itself late by more than an interval listens for a skew and an
  interval before it takes over.

Each datagram that is dropped is counted by its flaw, by group where one is known. The socket is given back
in `run`."""

import math
import socket
import struct
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import anyio

from otterrudder import clock
from otterrudder.log import log
from otterrudder.vrrp import packet
from otterrudder.vrrp.admission_gate import Door, Gate, Order
from otterrudder.vrrp.authentication import SIZE, Keys, Seal
from otterrudder.vrrp.configuration import Group, Groups, Peer
from otterrudder.vrrp.packet import BadPacket, Flaw
from otterrudder.vrrp.state_machine import Action, Became, Machine, Send, State, Timer
from otterrudder.vrrp.tracking import Track

IP_RECVTTL = 12  # Linux's number; the standard library has no name for it
DATAGRAM_MOST = 2048  # bytes: the largest advert with its trailer is under 400
HEARD_MOST = 64  # datagrams read in one go, and others get their turn: a flood must not hold the loop
FAILED_MS = 10.0  # ms until what failed is tried again: it must not spin
TRACK_MS = 100.0  # ms between looks at the facts that lower priorities
LATE_KEPT = 4096  # latenesses of adverts kept for the figures: minutes of them


@dataclass(slots=True)
class Member:
    """One group as this router takes part in it."""

    group: Group
    machine: Machine
    gate: Gate
    track: Track
    timer: Timer = field(default_factory=lambda: Timer(float("inf"), 0))
    counts: Counter[str] = field(default_factory=Counter)
    listened: bool = False  # after a stall: it has given others one more advert's wait

    @property
    def due(self) -> float:
        return min(self.timer.at, self.gate.due)


class Speaker:
    def __init__(
        self,
        groups: Groups,
        epoch: int,
        orders: Callable[[Order], None],
        facts: Callable[[], Mapping[str, bool]],
    ) -> None:
        """`epoch`: this life's number, see Seal; `orders` hears what the module is to be told; `facts` says
        which of the tracked facts are bad."""
        self.groups, self.seal = groups, Seal(groups.keys, epoch)
        self._orders, self._facts = orders, facts
        self.members = [_member(group, groups) for group in groups.groups]
        self._peers = {
            (member.group.vrid, peer.udp): (member, peer)
            for member in self.members
            for peer in member.group.peers
        }
        self.counts: Counter[str] = Counter()  # of datagrams of no group
        self.late: list[float] = []  # ms by which adverts went out late
        self.sock: socket.socket | None = None
        self.changed: Callable[[], None] = lambda: None  # a door has moved: for the list and health
        self._wake = anyio.Event()
        self._track_at = 0.0
        self._is_retired = False

    # What the server asks of it.

    def bind(self) -> None:
        """Takes the socket; OSError if the address is not to be had."""
        host, port = self.groups.listen
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            if family == socket.AF_INET:
                sock.setsockopt(socket.IPPROTO_IP, socket.IP_TTL, packet.HOP_LIMIT)
                sock.setsockopt(socket.IPPROTO_IP, IP_RECVTTL, 1)
            else:
                sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_UNICAST_HOPS, packet.HOP_LIMIT)
                sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_RECVHOPLIMIT, 1)
            sock.bind((host, port))
        except BaseException:
            sock.close()
            raise
        self.sock = sock

    def begin(self) -> None:
        """The doors as they stand, for a module that is about to start, and the machines' start."""
        now = clock.monotonic()
        for member in self.members:
            for order in member.gate.begin():
                self._orders(order)
            self._carry_out(member, member.machine.start(now), now)

    def retire(self) -> None:
        """SIGTERM: priority 0 goes out first, then the module's own drain answers."""
        now = clock.monotonic()
        self._is_retired = True
        for member in self.members:
            member.gate.retire(now)
            self._carry_out(member, member.machine.shutdown(now), now)

    def take_keys(self, keys: Keys) -> None:
        """Other keys from now on; counters and what was heard go on."""
        self.seal.keys = keys

    @property
    def is_serving(self) -> bool:
        """Whether any door is open."""
        return any(member.gate.door is Door.OPEN for member in self.members)

    # The actor.

    async def run(self) -> None:
        assert self.sock is not None
        sock = self.sock
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._hear_on, sock)
                await self._keep_time()
        finally:
            sock.close()

    async def _hear_on(self, sock: socket.socket) -> None:
        while True:
            await anyio.wait_readable(sock)
            self._safely(self._hear)
            await anyio.lowlevel.checkpoint()

    async def _keep_time(self) -> None:
        while True:
            went = self._safely(self.pulse)
            wait = min(min(member.due for member in self.members), self._track_at) - clock.monotonic()
            wait = wait if went else max(wait, FAILED_MS)
            self._wake = anyio.Event()
            with anyio.move_on_after(max(wait, 0.0) / 1000):
                await self._wake.wait()

    def _safely(self, act: Callable[[float], None]) -> bool:
        """A failure here is logged, and the server lives: it goes on as it stood. Whether there was none."""
        try:
            act(clock.monotonic())
        except Exception:
            log.exception("vrrp: an event failed")
            return False
        return True

    def pulse(self, now: float) -> None:
        """All that is heard and due by `now`; cheap when nothing is. Called by the dispatcher ahead of its
        turns too."""
        due = min(member.due for member in self.members)
        if now < due and now < self._track_at:
            return
        self._hear(now)
        if now >= self._track_at:
            self._track_at = now + TRACK_MS
            self._note_facts(now)
        for member in self.members:
            if now >= member.timer.at:
                self._timer(member, now)
            for order in member.gate.play(now):
                self._tell(member, order)

    def _timer(self, member: Member, now: float) -> None:
        late, machine = now - member.timer.at, member.machine
        if machine.state is State.MASTER:
            self._note_late(late)
        elif late > machine.interval and not member.listened:
            # This process itself was away: what others said meanwhile may be lost, so it listens once more.
            member.listened = True
            member.counts["listened once more"] += 1
            member.timer = Timer(now + machine.interval + machine.skew, member.timer.number)
            machine.timer_at = member.timer.at
            return
        member.listened = False
        self._carry_out(member, machine.due(now, member.timer.number), now)

    def _note_late(self, late: float) -> None:
        if len(self.late) >= LATE_KEPT:
            del self.late[: LATE_KEPT // 2]
        self.late.append(late)

    def _note_facts(self, now: float) -> None:
        facts = self._facts()
        for member in self.members:
            priority = member.track.step(now, facts)
            if priority != member.machine.priority and not self._is_retired:
                why = member.track.counting
                log.info("vrrp priority", group=member.group.name, priority=priority, lowered_by=why)
                self._carry_out(member, member.machine.reprioritise(now, priority), now)

    # Hearing.

    def _hear(self, now: float) -> None:
        for _ in range(HEARD_MOST):
            try:
                assert self.sock is not None
                data, ancillary, _, source = self.sock.recvmsg(DATAGRAM_MOST, 64)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as trouble:  # an ICMP error of an earlier datagram of ours: its peer is away
                self.counts[f"socket: {trouble.strerror}"] += 1
                continue
            self.datagram(now, data, source[:2], _hops(ancillary))

    def datagram(self, now: float, data: bytes, source: tuple[str, int], hops: int | None) -> None:
        """One datagram; whatever it is, nothing is raised and nothing but a count changes unless it is
        sealed."""
        member: Member | None = None
        try:
            if self.groups.checks_hops and hops != packet.HOP_LIMIT:
                raise BadPacket(Flaw.HOPS)
            if len(data) <= SIZE + packet.LEAST:
                raise BadPacket(Flaw.SHORT)
            found = self._peers.get((data[1], source))
            if found is None:
                raise BadPacket(Flaw.SENDER)
            member, peer = found
            advert = self._open(member, peer, data)
        except BadPacket as bad:
            (member.counts if member else self.counts)[bad.flaw.value] += 1
            return
        member.counts["heard"] += 1
        if not self._is_retired:
            heard = member.machine.hear(now, advert.priority, advert.interval_ms, peer.address)
            self._carry_out(member, heard, now)

    def _open(self, member: Member, peer: Peer, data: bytes) -> packet.Advert:
        group = member.group
        message = self.seal.open(data, str(peer.address), group.vrid, clock.unix())
        advert = packet.decode(message, peer.address, group.destination, None)
        packet.accept(advert, group.vrid, group.virtual, group.interval_ms, group.learns_interval)
        return advert

    # Actions.

    def _carry_out(self, member: Member, actions: list[Action], now: float) -> None:
        for action in actions:
            match action:
                case Send(priority):
                    self._send(member, priority)
                case Timer():
                    member.timer = action
                    self._wake.set()
                case Became(state, before, why):
                    log.info("vrrp", group=member.group.name, state=state.value, before=before.value, why=why)
                    member.counts[f"became {state.value}"] += 1
                    if state is not State.INITIALIZE:
                        for order in member.gate.became(now, state):
                            self._tell(member, order)
                        self._wake.set()

    def _tell(self, member: Member, order: Order) -> None:
        log.info("vrrp door", group=member.group.name, door=member.gate.door.value, serves=order.is_up)
        self._orders(order)
        self.changed()

    def _send(self, member: Member, priority: int) -> None:
        group = member.group
        advert = packet.Advert(group.vrid, priority, group.interval_ms, tuple(sorted(group.virtual, key=int)))
        message = packet.encode(advert, group.address, group.destination)
        for peer in group.peers:
            try:
                assert self.sock is not None
                self.sock.sendto(self.seal.close(message, str(group.address)), peer.udp)
                member.counts["sent"] += 1
            except OSError:  # refused or no room: the next one tells
                member.counts["unsent"] += 1

    def shown(self) -> list[dict[str, object]]:
        """How each group stands, for `vrrp show`."""
        now = clock.monotonic()
        return [self._shown(member, now) for member in self.members]

    @staticmethod
    def _shown(member: Member, now: float) -> dict[str, object]:
        machine, gate, group = member.machine, member.gate, member.group
        timer = round(member.timer.at - now, 1) if member.timer.at < math.inf else None
        return dict(
            group=group.name,
            vrid=group.vrid,
            state=machine.state.value,
            door=gate.door.value,
            priority=machine.priority,
            base=group.priority,
            lowered_by=member.track.counting,
            interval_ms=machine.interval,
            timer_ms=timer,
            returns=gate.returns,
            counts=dict(member.counts),
        )


def _member(group: Group, groups: Groups) -> Member:
    machine = Machine(
        group.address,
        group.priority,
        group.interval_ms,
        preempts=group.preempts,
        preempt_delay_ms=group.preempt_delay_ms,
        accepts=group.accepts,
    )
    return Member(
        group,
        machine,
        Gate(group.part, groups.hand_over_ms, groups.hold_down),
        Track(group.priority, group.tracks),
    )


def _hops(ancillary: list[tuple[int, int, bytes]]) -> int | None:
    for level, kind, data in ancillary:
        is_hops = (level, kind) in (
            (socket.IPPROTO_IP, socket.IP_TTL),
            (socket.IPPROTO_IPV6, socket.IPV6_HOPLIMIT),
        )
        if is_hops and len(data) >= 4:
            return int(struct.unpack_from("=i", data)[0])
    return None
