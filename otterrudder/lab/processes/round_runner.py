"""Runs rounds on a cluster of plain members: each round is a policy change during which faults are injected.

At the end of a round all faults are recovered from, and every server must apply the policy that is in
force."""

import signal
import subprocess
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import anyio

from otterrudder.clock import monotonic as clock
from otterrudder.lab.processes.cluster import ProcessCluster
from otterrudder.lab.processes.fake_settings import PRODUCTS
from otterrudder.lab.processes.fault_injector import FaultInjector, wait_proposer_stopped
from otterrudder.lab.processes.faults import (
    AFTER_VOTE_FAULTS,
    COMMIT_POINTS,
    LEADER_POINTS,
    NO_VOTES_FAULTS,
    POINT_FAULTS,
    PROPOSER_FAULTS,
    Fault,
    Round,
)
from otterrudder.lab.processes.history_checker import CheckResult, check_history
from otterrudder.lab.processes.policies import policy_text
from otterrudder.lab.processes.server_process import ServerProcess
from otterrudder.lab.processes.waiting import wait_until

CHANGE_DEADLINE_S = 6.0  # longer than the longest fault
CHANGE_END_TIMEOUT_S = 20.0  # maximum time from recovery of all faults to the end of the change
CONVERGENCE_TIMEOUT_S = 12.0  # maximum time until all servers apply the policy in force
VOTE_TIMEOUT_S = 3.0
VOTE_TIMEOUT_UNHELD_S = 0.1  # used if the store does not hold the change open, which may then have ended
OUTLIERS_POLL_S = 0.3
UNKNOWN_PRODUCT = "no-such-product"  # a policy with this product is invalid for every server
SECOND_CHANGE = 100_000  # added to the round's number for the second of two concurrent changes

Report = Callable[[str], None]  # receives progress lines


@dataclass(frozen=True, slots=True)
class RoundResult:
    """The result of a round."""

    number: int
    faults: tuple[Fault, ...]
    missed: tuple[Fault, ...]  # faults whose failpoint was not reached or whose vote was not cast in time
    end: str  # how the change ended
    is_in_force: bool
    outliers: list[str]  # servers that applied another policy at the end

    def as_json(self) -> dict[str, object]:
        """Returns the round as it is written to results.json."""
        return dict(
            round=self.number,
            faults=format_faults(self.faults),
            missed=format_faults(self.missed),
            how=self.end,
            in_force=self.is_in_force,
            odd=self.outliers,
        )

    def line(self) -> str:
        """Returns the round as a progress line."""
        result = "in force" if self.is_in_force else "aborted "
        line = f"{self.number:4}  {result}  {self.end:12}  {format_faults(self.faults) or 'no fault'}"
        if self.missed:
            line += f"  (missed: {format_faults(self.missed)})"
        if self.outliers:
            line += f"  OUTLIERS: {self.outliers}"
        return line


@dataclass(slots=True)
class RunResult:
    """The result of a run."""

    check: CheckResult = field(default_factory=CheckResult)
    rounds: list[RoundResult] = field(default_factory=list)
    undecided: int = 0  # number of changes that did not end in time

    @property
    def outliers(self) -> int:
        """The number of servers that applied another policy at the end of a round, summed over all rounds."""
        return sum(len(result.outliers) for result in self.rounds)

    @property
    def outliers_at_end(self) -> int:
        """The number of servers that applied another policy at the end of the last round."""
        return len(self.rounds[-1].outliers) if self.rounds else 0

    @property
    def committed(self) -> int:
        """The number of rounds whose change came into force."""
        return sum(result.is_in_force for result in self.rounds)

    @property
    def aborted(self) -> int:
        """The number of rounds whose change did not come into force."""
        return len(self.rounds) - self.committed

    @property
    def injected(self) -> int:
        """The number of faults in all rounds."""
        return sum(len(result.faults) for result in self.rounds)

    @property
    def missed(self) -> int:
        """The number of faults whose failpoint was not reached or whose vote was not cast in time."""
        return sum(len(result.missed) for result in self.rounds)


def format_faults(faults: Iterable[Fault]) -> str:
    """Returns the names of the faults, separated by commas."""
    return ", ".join(map(str, faults))


async def play(cluster: ProcessCluster, rounds: list[Round], report: Report = lambda line: None) -> RunResult:
    """Runs all rounds on a running cluster."""
    return await _RoundRunner(cluster, report).play(rounds)


def check_run(cluster: ProcessCluster, result: RunResult) -> RunResult:
    """Checks the history of a finished run, and adds what was found to its result."""
    result.check = check_history(cluster.history())
    return result


class _RoundRunner:
    def __init__(self, cluster: ProcessCluster, report: Report) -> None:
        self.cluster = cluster
        self.injector = FaultInjector(cluster)
        self.report = report
        self.result = RunResult()

    async def play(self, rounds: list[Round]) -> RunResult:
        for round_ in rounds:
            round_result = await self._play(round_)
            self.result.rounds.append(round_result)
            self.report(round_result.line())
        return self.result

    async def _play(self, round_: Round) -> RoundResult:
        cluster = self.cluster
        version_before = cluster.observer.in_force.version
        cluster.store.take_snapshot()
        for fault in round_.faults:
            await self.injector.prepare(fault)
        for fault in round_.faults:
            await self.injector.inject(fault)
        missed: list[Fault] = []
        if cluster.options.with_fleet:
            end = await self._change_policy(round_, missed)
        else:
            await cluster.replace_levels(round_.rejected_product)
            await self.injector.recover(round_)
            end = "by hand"
        is_in_force = cluster.observer.in_force.version > version_before
        outliers = await find_outliers(cluster)
        return RoundResult(round_.number, round_.faults, tuple(missed), end, is_in_force, outliers)

    async def _change_policy(self, round_: Round, missed: list[Fault]) -> str:
        """Proposes the change, waits until it ends, and returns how it ended."""
        cluster = self.cluster
        proposer = await self._propose_with_faults(round_, missed)
        await self.injector.recover(round_)
        exit_code = await cluster.operators.wait_ended(proposer, CHANGE_END_TIMEOUT_S)
        if await wait_until(lambda: not cluster.observer.open_change, CHANGE_END_TIMEOUT_S):
            return exit_text(exit_code)
        self.result.undecided += 1
        return "undecided"

    async def _propose_with_faults(self, round_: Round, missed: list[Fault]) -> subprocess.Popen[bytes]:
        """Proposes the change, injects the faults that need an open change, and returns the proposer process.

        If a fault has to be injected between a vote and the end of the change, the store delays the end
        until the fault has been injected, so that the order does not depend on timing."""
        store = self.cluster.store
        is_held = not round_.kinds & set(NO_VOTES_FAULTS) and any(map(_needs_open_change, round_.faults))
        if is_held:
            await store.suspend_change_end(True)
        since = clock()
        proposer = self._propose(round_)
        for fault in round_.faults:
            if fault.kind in AFTER_VOTE_FAULTS:
                if not await self._wait_vote(fault, is_held):
                    missed.append(fault)
                await self.injector.inject_after_vote(fault)
        missed += [
            fault
            for fault in round_.faults
            if fault.kind in POINT_FAULTS and not await self.injector.inject_at_failpoint(fault, since)
        ]
        proposer_fault = next((fault for fault in round_.faults if fault.kind in PROPOSER_FAULTS), None)
        if proposer_fault:
            await self._stop_proposer(proposer_fault, proposer, missed)
        if is_held:
            await store.suspend_change_end(False)
        await anyio.sleep(round_.fault_duration_s)
        if proposer_fault:
            _end_proposer(proposer_fault, proposer)
        return proposer

    def _propose(self, round_: Round) -> subprocess.Popen[bytes]:
        operators = self.cluster.operators
        text = policy_text(UNKNOWN_PRODUCT, round_.number) if "bad policy" in round_.kinds else ""
        proposer = operators.propose(round_.number, round_.rejected_product, CHANGE_DEADLINE_S, text)
        if "two at once" in round_.kinds:
            other_product = PRODUCTS[(round_.number + 1) % len(PRODUCTS)]
            operators.propose(round_.number + SECOND_CHANGE, other_product, CHANGE_DEADLINE_S)
        return proposer

    async def _wait_vote(self, fault: Fault, is_held: bool) -> bool:
        """Waits for the vote of the fault's server, or for any vote if it is a fault of the store."""

        def has_voted() -> bool:
            voters = self.cluster.observer.voters
            return self.cluster.servers[fault.server].name in voters if fault.is_of_server else bool(voters)

        return await wait_until(has_voted, VOTE_TIMEOUT_S if is_held else VOTE_TIMEOUT_UNHELD_S)

    async def _stop_proposer(
        self, fault: Fault, proposer: subprocess.Popen[bytes], missed: list[Fault]
    ) -> None:
        if not await wait_proposer_stopped(self.cluster, fault.point, proposer):
            missed.append(fault)
        elif fault.kind == "store killed at proposal":
            self.cluster.store.kill()


def _needs_open_change(fault: Fault) -> bool:
    """Whether a fault has to be injected while the change is still open."""
    return fault.kind in AFTER_VOTE_FAULTS or fault.point in (*LEADER_POINTS, *COMMIT_POINTS)


def _end_proposer(fault: Fault, proposer: subprocess.Popen[bytes]) -> None:
    if fault.kind == "proposer killed":
        proposer.kill()
        proposer.wait()
    else:
        proposer.send_signal(signal.SIGCONT)


def exit_text(exit_code: int | None) -> str:
    """Returns how a process ended, as text for results."""
    if exit_code is None:
        return "no end"
    return "killed" if exit_code < 0 else f"exit {exit_code}"


async def find_outliers(cluster: ProcessCluster) -> list[str]:
    """Returns the servers that do not apply the policy in force by the end of the convergence timeout."""
    outliers: list[str] = []
    with anyio.move_on_after(CONVERGENCE_TIMEOUT_S):
        while True:
            in_force = cluster.observer.in_force.rejected_product
            rejected = await _rejected_products(cluster)
            outliers = sorted(
                f"{name}: {product or 'no policy'}"
                for name, product in rejected.items()
                if product != in_force
            )
            if not outliers or not cluster.options.with_fleet:
                return outliers
            await anyio.sleep(OUTLIERS_POLL_S)
    return outliers


async def _rejected_products(cluster: ProcessCluster) -> dict[str, str]:
    """Returns the product that each server rejects, by server name; the servers are probed concurrently."""
    products: dict[str, str] = {}

    async def probe(server: ServerProcess) -> None:
        products[server.name] = await cluster.rejected_product(server)

    async with anyio.create_task_group() as tasks:
        for server in cluster.servers:
            tasks.start_soon(probe, server)
    return products
