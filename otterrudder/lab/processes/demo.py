"""A demonstration: a policy change across six processes, one of which is killed after it saved its vote and
before it sent it, and is restarted."""

import tempfile
from pathlib import Path

import anyio

from otterrudder.lab.processes.cluster import ProcessCluster
from otterrudder.lab.processes.fake_settings import KEYED_PRODUCT, SAFE_PRODUCT
from otterrudder.lab.processes.faults import Fault, Round
from otterrudder.lab.processes.history import FLEET_WIDE
from otterrudder.lab.processes.round_runner import Report, RunResult, check_run, play

SERVERS = 6
KILLED_SERVER = 3
QUIET_ROUND = Round(1, SAFE_PRODUCT, (), 0.3)
KILL_ROUND = Round(2, KEYED_PRODUCT, (Fault("kill at point", KILLED_SERVER, "after save"),), 1.5)


def show(report: Report) -> bool:
    """Runs the demonstration, and returns whether all guarantees held."""
    with tempfile.TemporaryDirectory() as directory:
        result = anyio.run(_play, Path(directory), report)
    figures = result.check.figures
    report(
        f"{figures['txns']:.0f} requests, {figures['settled']:.0f} completed; under a wrong version "
        f"{figures['wrong_version']:.0f}; servers that applied another policy {result.outliers}"
    )
    for violation in result.check.violations:
        report(violation)
    return not result.check.violations and not result.outliers and not result.undecided


async def _play(directory: Path, report: Report) -> RunResult:
    cluster = ProcessCluster(directory, SERVERS)
    report(f"{SERVERS} servers, a store, gateways; policy 1 rejects 'look', policy 2 rejects 'pay'")
    async with cluster.running():
        start = cluster.events.events[0].at
        result = await play(cluster, [QUIET_ROUND])
        report("policy 1 is in force on all servers; in the change to policy 2, n3 is killed before its vote")
        second = await play(cluster, [KILL_ROUND])
    result.rounds += second.rounds
    result.undecided += second.undecided
    _report_events(cluster, start, report)
    return check_run(cluster, result)


def _report_events(cluster: ProcessCluster, start: float, report: Report) -> None:
    for event in cluster.events.events:
        if event.server in (FLEET_WIDE, KILLED_SERVER):
            target = "the fleet" if event.server == FLEET_WIDE else f"n{KILLED_SERVER}"
            report(f"{(event.at - start) / 1000:6.1f} s  {target}: {event.text}")
    for version in cluster.observer.versions[1:]:
        second = (version.by - start) / 1000
        report(f"{second:6.1f} s  version {version.version} in force: rejects '{version.rejected_product}'")
