"""Injects the faults of a round into a cluster of cells, and ends them."""

import signal
import subprocess
from collections.abc import Awaitable, Callable
from pathlib import Path

from otterrudder.lab.processes.cell_faults import (
    ALL_LINKS,
    ANY_RELAY_POINTS,
    CELL_FAULTS,
    ENDORSEMENT_POINTS,
    PEER_LINK,
    POINT_FAULTS,
    PRESENT_RELAY_LINK,
    RELAY_LINK_FAULTS,
    RELAYS_LINKS,
    SERVER_LINK_FAULTS,
    SERVERS_LINKS,
    STANDBY,
    STANDBY_POINTS,
    STORE_LINK,
    STORE_ONCE_OPEN_FAULTS,
    TAKEOVER_POINTS,
    CellFault,
    CellRound,
)
from otterrudder.lab.processes.failpoints import ArmedFailpoint
from otterrudder.lab.processes.fault_injector import wait_proposer_stopped
from otterrudder.lab.processes.faults import (
    CUT,
    LEADER_POINTS,
    STORE_DOWN_FAULTS,
    STORE_MESSAGES,
    STORE_RECOVERY_MESSAGE,
    BrokenLink,
)
from otterrudder.lab.processes.link import LinkFault
from otterrudder.lab.processes.linked_cells import LinkedCellCluster, LinkedRelay
from otterrudder.lab.processes.server_process import NETWORK, ServerProcess
from otterrudder.lab.processes.waiting import wait_until

VOTE_TIMEOUT_S = 4.0
VOTE_TIMEOUT_UNHELD_S = 0.1  # timeout if the change may already have ended
FAILPOINT_TIMEOUT_S = 9.0  # includes the expiry of a lease and the takeover by another relay
DRAIN_TIMEOUT_S = 25.0
FULL_RELAY_SESSIONS = 2  # limit of a full relay: half of its servers have to use another relay
AFTER_VOTE_SUFFIX = " later"

_NO_LINK = BrokenLink("", LinkFault())


class CellFaultInjector:
    """Injects and ends the faults of one round. Each round needs a new injector."""

    def __init__(self, cluster: LinkedCellCluster, round_: CellRound) -> None:
        self.cluster = cluster
        self.round = round_
        self.missed: list[CellFault] = []  # faults that did not occur
        self._relays: dict[CellFault, LinkedRelay] = {}  # target of each fault on a relay
        store = cluster.store
        self._relay_handlers: dict[str, Callable[[LinkedRelay], None]] = {
            "relay killed": cluster.kill_relay,
            "relay killed later": cluster.kill_relay,
            "relay frozen": cluster.freeze_relay,
            "relay frozen later": cluster.freeze_relay,
            "relay cut from store later": _cut_from_store,
            "cell killed": cluster.kill_relay,
            "cell frozen": cluster.freeze_relay,
            "cell cut from store": _cut_from_store,
        }
        self._server_handlers: dict[str, Callable[[ServerProcess], None]] = {
            "server killed": ServerProcess.kill,
            "server frozen": ServerProcess.freeze,
            "server frozen later": ServerProcess.freeze,
        }
        self._store_handlers: dict[str, Callable[[], Awaitable[None]]] = {
            "store down": lambda: store.inject(down=True),
            "older copy answers": lambda: store.replace(with_snapshot=True),
            "older copy later": lambda: store.replace(with_snapshot=True),
            "empty store answers": lambda: store.replace(with_snapshot=False),
        }

    async def choose_relay(self, fault: CellFault) -> None:
        """Chooses the relay that a fault affects. All relays must be serving."""
        if not fault.cell:
            return
        leader = await self.cluster.leader_of(fault.cell)
        if leader is None:
            self.missed.append(fault)
            return
        targets_standby = fault.role == STANDBY or fault.point in STANDBY_POINTS
        others = [relay for relay in self.cluster.relays_of(fault.cell) if relay is not leader]
        self._relays[fault] = others[0] if targets_standby else leader

    async def arm(self, fault: CellFault) -> None:
        """Arms the failpoint of a fault.

        For a failpoint of the leadership, the leader is removed first, as nobody else would claim it."""
        failpoints = self.cluster.failpoints
        if fault in self.missed:
            return
        if fault.kind == "proposer killed":
            # "after commit" is armed once the proposer has reached its own commit.
            point = "before commit" if fault.point == "after commit" else fault.point
            failpoints.arm(failpoints.for_proposers, point)
        elif fault.kind in POINT_FAULTS:
            if fault.point in LEADER_POINTS:
                await self.cluster.store.expire_leader()
            failpoints.arm(self._failpoint_directory(fault), fault.point)

    def _failpoint_directory(self, fault: CellFault) -> Path:
        if fault.point in ANY_RELAY_POINTS:
            return self.cluster.failpoints.for_all
        return self._relays[fault].failpoints

    # Injection before the change is proposed

    async def inject(self, fault: CellFault) -> None:
        """Injects a fault that begins with the round. Faults that need an open change are left for later."""
        if fault in self.missed or fault.kind.endswith(AFTER_VOTE_SUFFIX):
            return
        if fault.kind in POINT_FAULTS:
            self._drive_to_failpoint(fault)
        elif fault.is_of_server:
            await self._inject_into_server(fault, self.cluster.servers[fault.server])
        elif fault in self._relays:
            await self._inject_into_relays(fault)
        else:
            await self._inject_into_store(fault)

    def _drive_to_failpoint(self, fault: CellFault) -> None:
        """Kills the leader or freezes the store, so that the standby relay reaches its failpoint."""
        if fault.point in TAKEOVER_POINTS:
            for relay in self.cluster.relays_of(fault.cell):
                if relay is not self._relays[fault]:
                    self.cluster.kill_relay(relay)
        elif fault.point in ENDORSEMENT_POINTS:
            self.cluster.store.send_signal(signal.SIGSTOP)

    async def _inject_into_relays(self, fault: CellFault) -> None:
        if fault.kind in RELAY_LINK_FAULTS:
            self._set_relay_links(self._relays[fault], RELAY_LINK_FAULTS[fault.kind])
        elif fault.kind == "relay stopped":
            await self.cluster.stop_relay(self._relays[fault])
        elif fault.kind in CELL_FAULTS or fault.kind == "relay full":
            self._inject_into_cell(fault)
        elif fault.kind in self._relay_handlers:
            self._relay_handlers[fault.kind](self._relays[fault])

    def _inject_into_cell(self, fault: CellFault) -> None:
        """Injects a fault into all relays or all servers of a cell."""
        cluster = self.cluster
        if fault.kind == "servers restarted":
            for server in cluster.servers_of(fault.cell):
                server.kill()
            for server in cluster.servers_of(fault.cell):
                cluster.start_server(server)
            return
        for relay in cluster.relays_of(fault.cell):
            if fault.kind == "relay full":
                cluster.restart_with_sessions(relay, FULL_RELAY_SESSIONS)
            else:
                self._relay_handlers[fault.kind](relay)

    def _set_relay_links(self, relay: LinkedRelay, broken: BrokenLink) -> None:
        if broken.link in (STORE_LINK, ALL_LINKS):
            relay.store_link.set_fault(broken.fault)
        if broken.link in (PEER_LINK, ALL_LINKS):
            relay.peer_link.set_fault(broken.fault)
        if broken.link in (SERVERS_LINKS, ALL_LINKS):
            self.cluster.set_links_to_relay(relay, broken.fault)
        self.cluster.events.add_fleet_wide(f"relay {relay.address}: {broken.link}: {broken.fault}")

    async def _inject_into_server(self, fault: CellFault, server: ServerProcess) -> None:
        if fault.kind in self._server_handlers:
            self._server_handlers[fault.kind](server)
        elif fault.kind == "server drained":
            await self.cluster.drain(server)
        elif fault.kind in SERVER_LINK_FAULTS:
            await self._set_server_links(fault.kind, server)

    async def _set_server_links(self, kind: str, server: ServerProcess) -> None:
        broken = SERVER_LINK_FAULTS[kind]
        if broken.link == PRESENT_RELAY_LINK:
            status = await self.cluster.server_status(server)
            addresses = _relays_behind_link(server, str(status.get("relay")))
            self.cluster.set_links_of_server(server, broken.fault, addresses)
        elif broken.link == RELAYS_LINKS:
            self.cluster.set_links_of_server(server, broken.fault)
        else:
            server.set_link(kind, broken.fault, broken.link)

    async def _inject_into_store(self, fault: CellFault) -> None:
        store = self.cluster.store
        if fault.kind == "store frozen":
            store.send_signal(signal.SIGSTOP)
        elif fault.kind == "store killed":
            store.kill()
        elif fault.kind in self._store_handlers:
            await self._store_handlers[fault.kind]()
        elif fault.kind in STORE_MESSAGES:
            await store.inject(**STORE_MESSAGES[fault.kind])

    # Injection while the change is open

    async def inject_while_open(
        self, fault: CellFault, proposer: subprocess.Popen[bytes], is_held: bool
    ) -> None:
        """Injects a fault that needs an open change: at a failpoint, or once the cell has voted.

        `is_held`: whether the store holds back the end of the change."""
        if fault in self.missed:
            return
        if fault.kind in POINT_FAULTS:
            await self._inject_at_failpoint(fault)
        elif fault.kind == "proposer killed":
            if not await wait_proposer_stopped(self.cluster, fault.point, proposer):
                self.missed.append(fault)
        elif fault.kind in STORE_ONCE_OPEN_FAULTS:
            await self._inject_once_open(fault)
        elif fault.kind.endswith(AFTER_VOTE_SUFFIX):
            timeout_s = VOTE_TIMEOUT_S if is_held else VOTE_TIMEOUT_UNHELD_S
            if not await wait_until(lambda: self._has_voted(fault), timeout_s):
                self.missed.append(fault)
            await self._inject_after_vote(fault)

    async def _inject_at_failpoint(self, fault: CellFault) -> None:
        failpoint = ArmedFailpoint(self._failpoint_directory(fault), fault.point)
        relay = await self.cluster.wait_relay_stopped(failpoint, FAILPOINT_TIMEOUT_S)
        if relay is None:
            self.missed.append(fault)
        elif fault.kind == "relay killed at point":
            self.cluster.kill_relay(relay)

    async def _inject_once_open(self, fault: CellFault) -> None:
        observer = self.cluster.observer
        if not await wait_until(lambda: bool(observer.open_change), VOTE_TIMEOUT_S):
            self.missed.append(fault)
        if fault.kind == "store killed once open":
            self.cluster.store.kill()
        else:
            self.cluster.store.send_signal(signal.SIGSTOP)

    def _has_voted(self, fault: CellFault) -> bool:
        voters = self.cluster.observer.voters
        cell = self.cluster.cell_of(fault.server) if fault.is_of_server else fault.cell
        return cell in voters if cell else bool(voters)

    async def _inject_after_vote(self, fault: CellFault) -> None:
        if fault.is_of_server:
            self._server_handlers[fault.kind](self.cluster.servers[fault.server])
        elif fault in self._relays:
            self._relay_handlers[fault.kind](self._relays[fault])
        else:
            await self._store_handlers[fault.kind]()

    # Recovery

    async def recover(self) -> None:
        """Ends all faults, and restarts the processes that have stopped."""
        cluster = self.cluster
        await cluster.disarm_failpoints(0.0)
        kinds = self.round.kinds
        if kinds & {*STORE_DOWN_FAULTS, "store killed once open"}:
            await cluster.store.restart()
        elif self._is_store_frozen():
            cluster.store.send_signal(signal.SIGCONT)
        await cluster.store.inject(**STORE_RECOVERY_MESSAGE, down=False)
        await self._recover_relays()
        await self._recover_servers()

    def _is_store_frozen(self) -> bool:
        if self.round.kinds & {"store frozen", "store frozen once open"}:
            return True
        return any(fault.point in ENDORSEMENT_POINTS for fault in self.round.faults)

    async def _recover_relays(self) -> None:
        cluster = self.cluster
        for relay in cluster.relays:
            relay.store_link.set_fault(LinkFault())
            relay.peer_link.set_fault(LinkFault())
            cluster.set_links_to_relay(relay, LinkFault())
            if relay.is_frozen:
                cluster.thaw_relay(relay)
            if relay.max_sessions != cluster.layout.max_sessions:
                relay.max_sessions = cluster.layout.max_sessions
                cluster.kill_relay(relay)
        await cluster.start_relays()

    async def _recover_servers(self) -> None:
        cluster = self.cluster
        draining = [
            cluster.servers[fault.server] for fault in self.round.faults if fault.kind == "server drained"
        ]
        await wait_until(lambda: not any(server.is_up for server in draining), DRAIN_TIMEOUT_S)
        for server in cluster.servers:
            if not server.is_up:
                cluster.start_server(server)
            elif server.is_frozen:
                server.thaw()
        for fault in self.round.faults:
            broken = SERVER_LINK_FAULTS.get(fault.kind, _NO_LINK)
            if broken.link in ("gateway", NETWORK):
                cluster.servers[fault.server].set_link("healed", LinkFault(), broken.link)


def _cut_from_store(relay: LinkedRelay) -> None:
    relay.store_link.set_fault(CUT)


def _relays_behind_link(server: ServerProcess, address: str) -> list[str]:
    """Returns the relay that a server reaches through the link with the given address."""
    return [name for name, link in server.links.items() if "{}:{}".format(*link.address) == address]
