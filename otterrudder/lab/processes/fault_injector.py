"""Injects the faults of a round into a cluster of plain members, and ends them afterwards."""

import signal
import subprocess
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio

from otterrudder.clock import monotonic as clock
from otterrudder.lab.processes.cluster import ProcessCluster
from otterrudder.lab.processes.failpoints import ArmedFailpoint
from otterrudder.lab.processes.faults import (
    AFTER_VOTE_FAULTS,
    CUT_AFTER_VOTE,
    DRAIN_FAULTS,
    LASTING_STORE_FAULTS,
    LEADER_POINTS,
    LINK_FAULTS,
    POINT_FAULTS,
    PROPOSER_FAULTS,
    STORE_DOWN_FAULTS,
    STORE_MESSAGES,
    STORE_RECOVERY_MESSAGE,
    Fault,
    Round,
)
from otterrudder.lab.processes.link import LinkFault
from otterrudder.lab.processes.server_process import ServerProcess
from otterrudder.lab.processes.waiting import wait_until

FAILPOINT_TIMEOUT_S = 4.0  # a proposer starts within 1 s, a member campaigns within 2 s
DRAIN_TIMEOUT_S = 20.0
REMOVAL_TIMEOUT_S = 20.0
REMOVAL_RETRY_S = 0.3
RESTART_S = 0.8  # wait for restarted servers before other faults end; a server starts in less


class FaultInjector:
    """Injects the faults of successive rounds.

    A round calls `prepare`, then `inject`, then the methods for faults that need an open change, and finally
    `recover`."""

    def __init__(self, cluster: ProcessCluster) -> None:
        self.cluster = cluster
        self._server_handlers: dict[str, Callable[[ServerProcess], None]] = {
            "kill": ServerProcess.kill,
            "folder lost": _kill_and_lose_state,
            "freeze": ServerProcess.freeze,
            "freeze later": ServerProcess.freeze,
            "disk full": lambda server: server.fill_disk(True),
            "disk hangs": lambda server: server.hang_disk(True),
            "name taken": cluster.start_twin,
        }
        store = cluster.store
        self._store_handlers: dict[str, Callable[[], Awaitable[None]]] = {
            "older copy answers": lambda: store.replace(with_snapshot=True),
            "older copy later": lambda: store.replace(with_snapshot=True),
            "empty store answers": lambda: store.replace(with_snapshot=False),
        }

    async def prepare(self, fault: Fault) -> None:
        """Arms the failpoint of a fault, and removes the leader if other servers have to campaign."""
        if not self.cluster.options.with_fleet:
            return
        if fault.kind in PROPOSER_FAULTS:
            # "after commit" is armed when the proposer has reached its own commit.
            point = "before commit" if fault.point == "after commit" else fault.point
            self.cluster.failpoints.arm(self.cluster.failpoints.for_proposers, point)
        elif fault.kind in POINT_FAULTS:
            if fault.point in LEADER_POINTS:
                await self.cluster.store.expire_leader()
            self.cluster.failpoints.arm(self._failpoint_directory(fault), fault.point)

    async def inject(self, fault: Fault) -> None:
        """Injects a fault that begins with the round; ignores faults that need an open change."""
        if fault.kind in AFTER_VOTE_FAULTS:
            return
        if fault.is_of_server:
            await self._inject_into_server(fault, self.cluster.servers[fault.server])
        elif fault.kind == "store frozen":
            self.cluster.store.send_signal(signal.SIGSTOP)
        elif fault.kind == "store killed":
            self.cluster.store.kill()
        elif fault.kind in self._store_handlers:
            await self._store_handlers[fault.kind]()
        elif fault.kind in STORE_MESSAGES:
            await self.cluster.store.inject(**STORE_MESSAGES[fault.kind])

    async def inject_after_vote(self, fault: Fault) -> None:
        """Injects a fault that begins after a vote."""
        if not fault.is_of_server:
            await self._store_handlers[fault.kind]()
            return
        server = self.cluster.servers[fault.server]
        if fault.kind == "cut later":
            server.set_link(fault.kind, CUT_AFTER_VOTE.fault, CUT_AFTER_VOTE.link)
        else:
            await self._inject_into_server(fault, server)

    async def _inject_into_server(self, fault: Fault, server: ServerProcess) -> None:
        if fault.kind in LINK_FAULTS:
            broken = LINK_FAULTS[fault.kind]
            server.set_link(fault.kind, broken.fault, broken.link)
        elif fault.kind in DRAIN_FAULTS:
            await self.cluster.drain(server)
        elif fault.kind in self._server_handlers:
            self._server_handlers[fault.kind](server)

    async def inject_at_failpoint(self, fault: Fault, since: float) -> bool:
        """Waits until a server has stopped at the fault's failpoint, and injects the fault.

        Returns False if none stopped within the timeout; `since` is the earliest time at which one may have
        stopped."""
        failpoint = ArmedFailpoint(self._failpoint_directory(fault), fault.point)
        pid = await self.cluster.failpoints.wait_stopped(failpoint, FAILPOINT_TIMEOUT_S)
        if not pid:
            return False
        server = self.cluster.server_stopped_at_failpoint(pid, since)
        if fault.kind == "kill at point":
            server.kill()
        elif fault.kind == "store killed at point":
            self.cluster.store.kill()
        return True

    def _failpoint_directory(self, fault: Fault) -> Path:
        """Returns the failpoint directory of the fault's server, or the common one for leader points."""
        if fault.point in LEADER_POINTS:
            return self.cluster.failpoints.for_all
        return self.cluster.servers[fault.server].failpoints

    async def recover(self, round_: Round) -> None:
        """Ends all faults: restarts killed processes, resumes frozen ones, and repairs links."""
        cluster = self.cluster
        if not cluster.options.with_fleet:
            await anyio.sleep(round_.fault_duration_s)
        since = clock() - (round_.fault_duration_s + FAILPOINT_TIMEOUT_S) * 1000
        await cluster.disarm_failpoints(since)
        if round_.kinds & set(STORE_DOWN_FAULTS) and cluster.options.with_fleet:
            await cluster.store.restart()
        await self._wait_drained(round_)
        await self._restart_servers(round_)
        for fault in round_.faults:
            await self._recover_fault(fault)
        for server in cluster.servers:
            if not server.is_up:
                cluster.start_server(server)
        cluster.kill_twins()

    async def _wait_drained(self, round_: Round) -> None:
        draining = [
            self.cluster.servers[fault.server] for fault in round_.faults if fault.kind in DRAIN_FAULTS
        ]
        await wait_until(lambda: not any(server.is_up for server in draining), DRAIN_TIMEOUT_S)

    async def _restart_servers(self, round_: Round) -> None:
        """Starts servers that are down, and resumes servers stopped by a signal or at a failpoint."""
        down = [server for server in self.cluster.servers if not server.is_up]
        for server in down:
            self.cluster.start_server(server)
        if down and len(round_.faults) > 1:
            await anyio.sleep(RESTART_S)
        for server in self.cluster.servers:
            if server not in down and server.is_frozen:
                server.thaw()

    async def _recover_fault(self, fault: Fault) -> None:
        if fault.is_of_server:
            await self._recover_server(fault, self.cluster.servers[fault.server])
        elif fault.kind == "store frozen":
            self.cluster.store.send_signal(signal.SIGCONT)
        elif fault.kind in LASTING_STORE_FAULTS:
            await self.cluster.store.inject(**STORE_RECOVERY_MESSAGE)

    async def _recover_server(self, fault: Fault, server: ServerProcess) -> None:
        if fault.kind in LINK_FAULTS:
            server.set_link("healed", LinkFault(), LINK_FAULTS[fault.kind].link)
        elif fault.kind == "cut later":
            server.set_link("healed", LinkFault(), CUT_AFTER_VOTE.link)
        elif fault.kind == "folder lost":
            await self._wait_removed(server)
        elif fault.kind == "disk full":
            server.fill_disk(False)
        elif fault.kind == "disk hangs":
            server.hang_disk(False)

    async def _wait_removed(self, server: ServerProcess) -> None:
        """Removes the earlier member of a server that lost its state, so that the server can register again.

        Under the rule `wait` such a server is not admitted until an operator removes the earlier member, and
        the removal is refused until that member's lease expires."""
        options = self.cluster.options
        if options.absent != "wait" or not options.with_fleet:
            return
        operators = self.cluster.operators
        with anyio.move_on_after(REMOVAL_TIMEOUT_S):
            while await operators.wait_ended(operators.remove_server(server), REMOVAL_TIMEOUT_S) != 0:
                await anyio.sleep(REMOVAL_RETRY_S)


async def wait_proposer_stopped(
    cluster: ProcessCluster, point: str, proposer: subprocess.Popen[bytes]
) -> bool:
    """Waits for the proposer to stop at a failpoint; returns False if it does not stop in time.

    For "after commit" the proposer is first stopped before its own commit, because servers may commit the
    change as well."""
    failpoints = cluster.failpoints
    if point == "after commit":
        before = ArmedFailpoint(failpoints.for_proposers, "before commit")
        if not await failpoints.wait_stopped(before, FAILPOINT_TIMEOUT_S):
            return False
        failpoints.arm(failpoints.for_proposers, point)
        proposer.send_signal(signal.SIGCONT)
        await cluster.store.suspend_change_end(False)
    failpoint = ArmedFailpoint(failpoints.for_proposers, point)
    return await failpoints.wait_stopped(failpoint, FAILPOINT_TIMEOUT_S) > 0


def _kill_and_lose_state(server: ServerProcess) -> None:
    server.kill()
    server.lose_state_directory()
