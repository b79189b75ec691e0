"""Plays rounds on a cluster of cells: changes of policy with faults under way, and quiet rounds."""

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

CHANGE_DEADLINE_S = 14.0  # a cell votes again within some 6 s of its leader's death
CHANGE_END_TIMEOUT_S = 25.0  # in which a change must have ended once all has recovered
STORE_UNAVAILABLE = "exit 4"  # of a proposer: the store does not answer
REFUSED_BY_ONE = "kind refuses"  # a fault: a policy that only one fingerprint has to refuse
LEADER_DEATH = "relay killed"
UNDECIDED = "undecided"
QUIET = "quiet"


@dataclass(frozen=True, slots=True)
class LeaderDeath:
    """A leader was killed at `at`, and its cell has voted again at `voted_at`, in ms."""

    at: float
    cell: str
    voted_at: float


@dataclass(slots=True)
class CellRoundResult:
    """What came of a round."""

    number: int
    faults: tuple[CellFault, ...]
    missed: list[CellFault]  # that never came about
    is_quiet: bool
    end: str  # how the change ended
    proposals: int
    in_force: int  # changes that came into force
    version: int  # in force at its end
    outliers: list[str]  # servers that went by another policy at its end
    not_serving: list[str]  # who did not serve again in time
    is_refused_in_force: bool  # a policy came into force that a server had to refuse

    def as_json(self) -> dict[str, object]:
        """The round in results.json."""
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
        """The round for whoever watches."""
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
    """What came of a run."""

    rounds: list[CellRoundResult] = field(default_factory=list)
    leader_deaths: list[LeaderDeath] = field(default_factory=list)

    @property
    def changes(self) -> int:
        """All proposals."""
        return sum(result.proposals for result in self.rounds)

    @property
    def committed(self) -> int:
        """Changes that came into force."""
        return sum(result.in_force for result in self.rounds)

    @property
    def unanswered(self) -> int:
        """Changes that did not come into force, and whose proposer had no answer from the store."""
        return sum(
            min(result.end.count(STORE_UNAVAILABLE), result.proposals - result.in_force)
            for result in self.rounds
        )

    @property
    def aborted(self) -> int:
        """The other changes that did not come into force."""
        return self.changes - self.committed - self.unanswered

    @property
    def undecided(self) -> int:
        """Rounds whose change had not ended in time."""
        return sum(result.end == UNDECIDED for result in self.rounds)

    @property
    def outliers(self) -> int:
        """Servers that went by another policy at the end of a round, summed up."""
        return sum(len(result.outliers) for result in self.rounds)

    @property
    def not_serving(self) -> int:
        """Cells, relays and servers that did not serve after a round, summed up."""
        return sum(len(result.not_serving) for result in self.rounds)

    @property
    def injected(self) -> int:
        """All faults."""
        return sum(len(result.faults) for result in self.rounds)

    @property
    def missed(self) -> int:
        """Of those, what never came about."""
        return sum(len(result.missed) for result in self.rounds)

    @property
    def refused_in_force(self) -> int:
        """Policies in force that a server had to refuse."""
        return sum(result.in_force for result in self.rounds if result.is_refused_in_force)


class CellRunner:
    """Plays rounds on a cluster that runs."""

    def __init__(self, cluster: LinkedCellCluster, report: Report = lambda line: None) -> None:
        self.cluster = cluster
        self.report = report
        self.result = CellRunResult()

    async def play(self, rounds: list[CellRound]) -> CellRunResult:
        """Plays all rounds."""
        await self.cluster.wait_quiescent()
        for round_ in rounds:
            result = await self._play(round_)
            self.result.rounds.append(result)
            self.report(result.line())
            if result.is_refused_in_force:
                break  # the server that has to refuse it is out from here on
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
            not_serving = await self._keep_quiet(round_, injector)
        else:
            end = await self._change_policy(round_, injector, proposers)
        is_to_be_refused = REFUSED_BY_ONE in round_.kinds
        is_in_force = cluster.observer.in_force.version > version_before
        outliers: list[str] = []
        # The server that has to refuse a policy in force suspends admission for good.
        if not (is_to_be_refused and is_in_force):
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
            is_to_be_refused and version > version_before,
        )

    async def _keep_quiet(self, round_: CellRound, injector: CellFaultInjector) -> list[str]:
        """A quiet round; who did not serve again in time."""
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
        """Proposes the change with its faults, and waits for its end; how its proposers ended.

        What is to happen between a vote and the end of a change is not left to chance: the store holds the
        end back until it has been done."""
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
        self._note_leader_death(round_, since)
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

    def _note_leader_death(self, round_: CellRound, since: float) -> None:
        """Notes how long a cell did not vote whose leader was killed while nothing else was done."""
        if len(round_.faults) != 1:
            return
        fault = round_.faults[0]
        if fault.kind != LEADER_DEATH or fault.role != LEADER:
            return
        votes = [vote.at for vote in self.cluster.observer.votes if vote.voter == fault.cell]
        later = [at for at in votes if at > since]
        if later:
            self.result.leader_deaths.append(LeaderDeath(since, fault.cell, later[0]))


def _needs_open_change(fault: CellFault) -> bool:
    """Whether a fault has to meet a change that is still open."""
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
