"""Runs rounds on a cluster of cells: changes of policy with concurrent faults, and quiet rounds."""

import subprocess
from collections.abc import Iterable
from dataclasses import dataclass, field

import anyio

from otterrudder.clock import monotonic as clock
from otterrudder.lab.processes.cell_fault_injector import CellFaultInjector
from otterrudder.lab.processes.cell_faults import LEADER, POINT_FAULTS, CellFault, CellRound
from otterrudder.lab.processes.fake_settings import PRODUCTS
from otterrudder.lab.processes.faults import COMMIT_POINTS, LEADER_POINTS
from otterrudder.lab.processes.linked_cells import COMMON_PRODUCT, LinkedCellCluster, QuietWindow
from otterrudder.lab.processes.policies import policy_text
from otterrudder.lab.processes.round_runner import (
    SECOND_CHANGE,
    UNKNOWN_PRODUCT,
    Report,
    exit_text,
    find_outliers,
)
from otterrudder.lab.processes.waiting import wait_until

CHANGE_DEADLINE_S = 14.0  # a cell votes again about 6 s after its leader is killed
CHANGE_END_TIMEOUT_S = 25.0  # maximum time from the recovery of all faults to the end of the change
STORE_UNAVAILABLE = "exit 4"  # exit code of a proposer that has no answer from the store
REFUSED_BY_ONE = "kind refuses"  # fault: a policy that only servers with one fingerprint have to refuse
RELAY_KILLED = "relay killed"
UNDECIDED = "undecided"
QUIET = "quiet"


@dataclass(frozen=True, slots=True)
class LeaderDeath:
    """The times, in ms, when the leader of a cell was killed and when the cell next voted."""

    at: float
    cell: str
    voted_at: float


@dataclass(slots=True)
class CellRoundResult:
    """The result of a round."""

    number: int
    faults: tuple[CellFault, ...]
    missed: list[CellFault]  # faults that did not occur
    is_quiet: bool
    end: str  # exit codes of the proposers, UNDECIDED or QUIET
    proposals: int
    in_force: int  # number of changes that came into force
    version: int  # version in force at the end of the round
    outliers: list[str]  # servers that applied another policy at the end of the round
    not_serving: list[str]  # cells, relays and servers that did not serve again in time
    is_refused_in_force: bool  # whether a policy came into force that a server had to refuse

    def as_json(self) -> dict[str, object]:
        """Returns the entry of this round in results.json."""
        return dict(
            number=self.number,
            faults=_names_of(self.faults),
            missed=_names_of(self.missed),
            how=self.end,
            in_force=self.in_force,
            version=self.version,
            odd=self.outliers,
            troubled=self.not_serving,
        )

    def line(self) -> str:
        """Returns the line that reports the progress of the run."""
        result = "" if self.is_quiet else f"in force: {self.in_force}"
        remarks = [f"(missed: {_names_of(self.missed)})"] if self.missed else []
        if self.outliers:
            remarks.append(f"OUTLIERS: {self.outliers}")
        if self.not_serving:
            remarks.append(f"NOT SERVING: {self.not_serving}")
        faults = _names_of(self.faults) or "no fault"
        return f"{self.number:4}  {self.end:10}  {result:12}  {faults}  {' '.join(remarks)}"


@dataclass(slots=True)
class CellRunResult:
    """The results of all rounds of a run."""

    rounds: list[CellRoundResult] = field(default_factory=list)
    leader_deaths: list[LeaderDeath] = field(default_factory=list)

    @property
    def changes(self) -> int:
        """The number of proposed changes."""
        return sum(result.proposals for result in self.rounds)

    @property
    def committed(self) -> int:
        """The number of changes that came into force."""
        return sum(result.in_force for result in self.rounds)

    @property
    def unanswered(self) -> int:
        """The number of changes not in force whose proposer had no answer from the store."""
        return sum(
            min(result.end.count(STORE_UNAVAILABLE), result.proposals - result.in_force)
            for result in self.rounds
        )

    @property
    def aborted(self) -> int:
        """The number of the other changes that did not come into force."""
        return self.changes - self.committed - self.unanswered

    @property
    def undecided(self) -> int:
        """The number of rounds whose change did not end in time."""
        return sum(result.end == UNDECIDED for result in self.rounds)

    @property
    def outliers(self) -> int:
        """The number of servers that applied another policy at the end of a round, summed over the rounds."""
        return sum(len(result.outliers) for result in self.rounds)

    @property
    def not_serving(self) -> int:
        """The number of cells, relays and servers not serving after a round, summed over the rounds."""
        return sum(len(result.not_serving) for result in self.rounds)

    @property
    def injected(self) -> int:
        """The number of faults that were to be injected."""
        return sum(len(result.faults) for result in self.rounds)

    @property
    def missed(self) -> int:
        """The number of faults that did not occur."""
        return sum(len(result.missed) for result in self.rounds)

    @property
    def refused_in_force(self) -> int:
        """The number of policies that came into force although a server had to refuse them."""
        return sum(result.in_force for result in self.rounds if result.is_refused_in_force)


class CellRunner:
    """Runs rounds on a running cluster."""

    def __init__(self, cluster: LinkedCellCluster, report: Report = lambda line: None) -> None:
        self.cluster = cluster
        self.report = report
        self.result = CellRunResult()

    async def play(self, rounds: list[CellRound]) -> CellRunResult:
        """Runs all rounds, or stops after a round in which a policy came into force that a server refuses."""
        await self.cluster.wait_quiescent()
        for round_ in rounds:
            result = await self._play(round_)
            self.result.rounds.append(result)
            self.report(result.line())
            if result.is_refused_in_force:
                break  # the server that has to refuse the policy does not serve any more
        return self.result

    async def _play(self, round_: CellRound) -> CellRoundResult:
        cluster = self.cluster
        version_before = cluster.observer.in_force.version
        cluster.store.take_snapshot()
        injector = CellFaultInjector(cluster, round_)
        for fault in round_.faults:
            await injector.choose_relay(fault)
        not_serving: list[str] = []
        proposers: list[subprocess.Popen[bytes]] = []
        if round_.is_quiet:
            end = QUIET
            not_serving = await self._run_quiet_round(round_, injector)
        else:
            end = await self._change_policy(round_, injector, proposers)
        must_be_refused = REFUSED_BY_ONE in round_.kinds
        is_in_force = cluster.observer.in_force.version > version_before
        outliers: list[str] = []
        # A server that has to refuse the policy in force suspends admission permanently.
        if not (must_be_refused and is_in_force):
            not_serving = not_serving or await cluster.wait_quiescent()
            outliers = await find_outliers(cluster)
        version = cluster.observer.in_force.version
        return CellRoundResult(
            round_.number,
            round_.faults,
            injector.missed,
            round_.is_quiet,
            end,
            len(proposers),
            version - version_before if not round_.is_quiet else 0,
            version,
            outliers,
            not_serving,
            must_be_refused and version > version_before,
        )

    async def _run_quiet_round(self, round_: CellRound, injector: CellFaultInjector) -> list[str]:
        """Runs a quiet round, and returns the cells, relays and servers that did not serve again in time."""
        start = clock()
        for fault in round_.faults:
            await injector.inject(fault)
        await anyio.sleep(round_.fault_duration_s)
        await injector.recover()
        not_serving = await self.cluster.wait_quiescent()
        self.cluster.quiet_windows.append(QuietWindow(start, clock(), str(round_.faults[0])))
        return not_serving

    async def _change_policy(
        self, round_: CellRound, injector: CellFaultInjector, proposers: list[subprocess.Popen[bytes]]
    ) -> str:
        """Proposes the change, injects the faults and waits for the end of the change.

        Returns the exit codes of the proposers, or UNDECIDED. If a fault has to occur between a vote and the
        end of the change, the store holds back the end until the fault has been injected."""
        cluster = self.cluster
        since = clock()
        for fault in round_.faults:
            await injector.arm(fault)
        for fault in round_.faults:
            await injector.inject(fault)
        is_held = any(_needs_open_change(fault) for fault in round_.faults)
        if is_held:
            await cluster.store.suspend_change_end(True)
        proposers += self._propose(round_)
        for fault in round_.faults:
            await injector.inject_while_open(fault, proposers[0], is_held)
        if is_held:
            await cluster.store.suspend_change_end(False)
        await anyio.sleep(round_.fault_duration_s)
        await injector.recover()
        if "proposer killed" in round_.kinds:
            _kill_all(proposers)
        wait_ended = cluster.operators.wait_ended
        ends = [exit_text(await wait_ended(proposer, CHANGE_END_TIMEOUT_S)) for proposer in proposers]
        has_ended = await wait_until(lambda: not cluster.observer.open_change, CHANGE_END_TIMEOUT_S)
        self._record_leader_death(round_, since)
        return ", ".join(ends) if has_ended else UNDECIDED

    def _propose(self, round_: CellRound) -> list[subprocess.Popen[bytes]]:
        operators = self.cluster.operators
        product = round_.rejected_product
        text = ""
        if "bad policy" in round_.kinds:
            text = policy_text(UNKNOWN_PRODUCT, round_.number)
        elif REFUSED_BY_ONE in round_.kinds:
            text = f"{policy_text(product, round_.number)}[products.{COMMON_PRODUCT}]\nvalue = 1.0\n"
        proposers = [operators.propose(round_.number, product, CHANGE_DEADLINE_S, text)]
        if "two at once" in round_.kinds:
            other_product = PRODUCTS[1 - PRODUCTS.index(product)]
            number = round_.number + SECOND_CHANGE
            proposers.append(operators.propose(number, other_product, CHANGE_DEADLINE_S))
        return proposers

    def _record_leader_death(self, round_: CellRound, since: float) -> None:
        """Records when a leader was killed and when its cell next voted, if no other fault occurred."""
        if len(round_.faults) != 1:
            return
        fault = round_.faults[0]
        if fault.kind != RELAY_KILLED or fault.role != LEADER:
            return
        votes = [vote.at for vote in self.cluster.observer.votes if vote.voter == fault.cell]
        later_votes = [at for at in votes if at > since]
        if later_votes:
            self.result.leader_deaths.append(LeaderDeath(since, fault.cell, later_votes[0]))


def _needs_open_change(fault: CellFault) -> bool:
    """Returns whether a fault can only occur while a change is open."""
    if fault.kind == "proposer killed":
        return fault.point in COMMIT_POINTS
    if fault.kind in POINT_FAULTS:
        return fault.point in (*LEADER_POINTS, "before commit")
    return fault.kind.endswith(" later")


def _kill_all(processes: list[subprocess.Popen[bytes]]) -> None:
    for process in processes:
        if process.poll() is None:
            process.kill()
            process.wait()


def _names_of(faults: Iterable[CellFault]) -> str:
    return ", ".join(map(str, faults))
