"""Plays rounds on a cluster of plain members: each a change of policy with its faults under way.

After a round all faults are recovered from, and what is in force then has to be what every server goes by."""

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

CHANGE_DEADLINE_S = 6.0  # beyond the longest fault
CHANGE_END_TIMEOUT_S = 20.0  # in which a change must have ended once all has recovered
CONVERGENCE_TIMEOUT_S = 12.0  # in which all must go by it then
VOTE_TIMEOUT_S = 3.0
VOTE_TIMEOUT_UNHELD_S = 0.1  # where the change may have ended before
OUTLIERS_POLL_S = 0.3
UNKNOWN_PRODUCT = "no-such-product"  # in a policy that every server refuses
SECOND_CHANGE = 100_000  # added to a round's number for the second of two changes at once

Report = Callable[[str], None]  # takes a line for whoever watches


@dataclass(frozen=True, slots=True)
class RoundResult:
    """What came of a round."""

    number: int
    faults: tuple[Fault, ...]
    missed: tuple[Fault, ...]  # that never came about: a failpoint was not reached, a vote not cast in time
    end: str  # how the change ended
    is_in_force: bool
    outliers: list[str]  # servers that went by another policy at the end

    def as_json(self) -> dict[str, object]:
        """The round in results.json."""
        return dict(
            round=self.number,
            faults=names_of(self.faults),
            missed=names_of(self.missed),
            how=self.end,
            in_force=self.is_in_force,
            odd=self.outliers,
        )

    def line(self) -> str:
        """The round for whoever watches."""
        result = "in force" if self.is_in_force else "aborted "
        line = f"{self.number:4}  {result}  {self.end:12}  {names_of(self.faults) or 'no fault'}"
        if self.missed:
            line += f"  (missed: {names_of(self.missed)})"
        if self.outliers:
            line += f"  OUTLIERS: {self.outliers}"
        return line


@dataclass(slots=True)
class RunResult:
    """What came of a run."""

    check: CheckResult = field(default_factory=CheckResult)
    rounds: list[RoundResult] = field(default_factory=list)
    undecided: int = 0  # changes that had not ended in time

    @property
    def outliers(self) -> int:
        """Servers that went by another policy at the end of a round, summed up."""
        return sum(len(result.outliers) for result in self.rounds)

    @property
    def outliers_at_end(self) -> int:
        """Servers that went by another policy at the end of the last round."""
        return len(self.rounds[-1].outliers) if self.rounds else 0

    @property
    def committed(self) -> int:
        """Rounds whose change came into force."""
        return sum(result.is_in_force for result in self.rounds)

    @property
    def aborted(self) -> int:
        """Rounds whose change did not come into force."""
        return len(self.rounds) - self.committed

    @property
    def injected(self) -> int:
        """All faults."""
        return sum(len(result.faults) for result in self.rounds)

    @property
    def missed(self) -> int:
        """Of those, what never came about."""
        return sum(len(result.missed) for result in self.rounds)


def names_of(faults: Iterable[Fault]) -> str:
    """The faults in one line."""
    return ", ".join(map(str, faults))


async def play(cluster: ProcessCluster, rounds: list[Round], report: Report = lambda line: None) -> RunResult:
    """Plays all rounds on a cluster that runs."""
    return await _RoundRunner(cluster, report).play(rounds)


def check_run(cluster: ProcessCluster, result: RunResult) -> RunResult:
    """Adds what the history checker finds once the run is over."""
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
        """Proposes the change, and waits for its end; how it ended."""
        cluster = self.cluster
        proposer = await self._propose_with_faults(round_, missed)
        await self.injector.recover(round_)
        exit_code = await cluster.operators.wait_ended(proposer, CHANGE_END_TIMEOUT_S)
        if await wait_until(lambda: not cluster.observer.open_change, CHANGE_END_TIMEOUT_S):
            return exit_text(exit_code)
        self.result.undecided += 1
        return "undecided"

    async def _propose_with_faults(self, round_: Round, missed: list[Fault]) -> subprocess.Popen[bytes]:
        """Proposes the change, with the faults that meet it while it is open; the proposer's process.

        What is to happen between a vote and the end of a change is not left to chance: the store holds the
        end back until it has been done."""
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
        """Waits for its server's vote, or for anybody's where it is the store's."""

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
    """Whether a fault has to meet a change that is still open."""
    return fault.kind in AFTER_VOTE_FAULTS or fault.point in (*LEADER_POINTS, *COMMIT_POINTS)


def _end_proposer(fault: Fault, proposer: subprocess.Popen[bytes]) -> None:
    if fault.kind == "proposer killed":
        proposer.kill()
        proposer.wait()
    else:
        proposer.send_signal(signal.SIGCONT)


def exit_text(exit_code: int | None) -> str:
    """How a process ended, for results."""
    if exit_code is None:
        return "no end"
    return "killed" if exit_code < 0 else f"exit {exit_code}"


async def find_outliers(cluster: ProcessCluster) -> list[str]:
    """Servers that do not go by what is in force, once they have had their time."""
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
    """By server's name: the product that it rejects, all looked at together."""
    found: dict[str, str] = {}

    async def look(server: ServerProcess) -> None:
        found[server.name] = await cluster.rejected_product(server)

    async with anyio.create_task_group() as tasks:
        for server in cluster.servers:
            tasks.start_soon(look, server)
    return found
