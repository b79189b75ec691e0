"""Tests the fleet's guarantees with several real processes and injected faults, that the history checker
finds seeded faults, and that the baseline without a fleet performs worse."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import anyio
import msgspec
import pytest

from otterrudder.lab.processes.cluster import ClusterOptions, ProcessCluster
from otterrudder.lab.processes.experiment import Run, perform_one, read, shrink, table, write
from otterrudder.lab.processes.fault_schedule import draw
from otterrudder.lab.processes.faults import DECK, Fault, Round
from otterrudder.lab.processes.history import ClusterHistory, WireHistory, initial_version
from otterrudder.lab.processes.history_checker import check_history
from otterrudder.lab.processes.launch import ROOT
from otterrudder.lab.processes.round_runner import RunResult, check_run

pytestmark = pytest.mark.exclusive

EXPERIMENT = read(Path(__file__).parents[2] / "experiments/fleet-policy.toml")
NO_FAULTS = [Round(1, "look", (), 0.3), Round(2, "pay", (), 0.3)]
FROZEN_AFTER_VOTE = [Round(1, "look", (), 0.3), Round(2, "pay", (Fault("freeze later", 0),), 2.8)]
DRAIN = [Round(1, "look", (), 0.3), Round(2, "pay", (Fault("drain", 0),), 0.3)]
# With few requests, a server that was frozen reads all that wait in one batch.
SLOW_EXPERIMENT = msgspec.structs.replace(EXPERIMENT, pace_ms=170.0)


def test_changes_are_atomic_under_faults_of_servers_and_proposers() -> None:
    rounds = [
        Round(1, "look", (Fault("kill at point", 1, "after save"),), 1.2),
        Round(2, "pay", (Fault("freeze later", 2), Fault("one way back", 0)), 2.4),
        Round(3, "look", (Fault("proposer killed", -1, "after propose"),), 1.0),
        Round(4, "pay", (Fault("two at once"), Fault("store loses answers")), 1.0),
        Round(5, "look", (Fault("bad policy"),), 0.5),
        Round(6, "pay", (Fault("name taken", 3), Fault("disk full", 1)), 1.0),
        Round(7, "look", (Fault("half a message", 2), Fault("slow reader", 0), Fault("folder lost", 1)), 1.0),
        Round(8, "pay", (Fault("drain later", 0), Fault("disk hangs", 2)), 1.0),
    ]
    run = perform_one(EXPERIMENT, "wait", 1, rounds, 4)
    assert not run.broken, (run.broken, run.result.check.violations, run.result.rounds)
    assert not run.result.missed, run.result.rounds
    # one policy is invalid, and one disk is full
    assert run.result.committed >= 3 and run.result.aborted >= 1
    assert run.result.check.figures["settled"] > 300


def test_changes_are_atomic_under_network_faults_and_with_another_store() -> None:
    rounds = [
        Round(1, "look", (Fault("gateway cut", 0), Fault("runtime half a message", 1)), 1.0),
        Round(2, "pay", (Fault("older copy later"), Fault("gateway half a message", 1)), 1.2),
        Round(3, "look", (Fault("store killed at point", 2, "after vote"), Fault("runtime cut", 0)), 1.2),
        Round(4, "pay", (Fault("network gone", 1), Fault("list loses", 0)), 1.5),
        Round(5, "look", (Fault("empty store answers"), Fault("runtime one way back", 2)), 1.2),
        Round(6, "pay", (Fault("store killed at proposal", -1, "after propose"),), 1.0),
        Round(7, "look", (Fault("kill at point", 0, "before lead"),), 0.8),
        Round(8, "pay", (Fault("proposer killed", -1, "after commit"),), 0.8),
    ]
    run = perform_one(EXPERIMENT, "wait", 1, rounds, 3)
    assert not run.broken, (run.broken, run.result.check.violations, run.result.rounds)
    assert not run.result.missed, run.result.rounds  # every fault was injected, whatever the order of events
    assert run.result.committed >= 4 and run.result.check.figures["repeats"] > 10


def test_under_leave_out_a_member_that_is_cut_off_is_left_out_and_suspends_admission() -> None:
    rounds = [
        Round(1, "look", (), 0.3),
        Round(2, "pay", (Fault("cut", 0),), 4.5),
        Round(3, "look", (Fault("store frozen"),), 1.5),
    ]
    run = perform_one(EXPERIMENT, "leave-out", 1, rounds, 3)
    assert not run.broken, (run.broken, run.result.check.violations, run.result.rounds)
    assert run.result.committed >= 2
    assert run.result.check.figures["aside_share"] > 0.02


def test_servers_switch_from_leave_out_to_wait_one_by_one_during_changes() -> None:
    """Operators switch a fleet from "leave-out" to "wait" by changing the file of each server, draining the
    server and starting it again."""

    async def run_scenario() -> None:
        with tempfile.TemporaryDirectory() as folder:
            cluster = ProcessCluster(Path(folder), 3, ClusterOptions(absent="leave-out"))
            async with cluster.running():
                assert (
                    await cluster.operators.wait_ended(cluster.operators.propose(1, "look", 5.0), 10.0) == 0
                )
                cluster.options.absent = "wait"
                for server in cluster.servers:
                    await cluster.drain(server)
                    opened = cluster.operators.propose(
                        server.number + 2, ("pay", "look")[server.number % 2], 15.0
                    )
                    with anyio.fail_after(10.0):
                        while server.is_up:
                            await anyio.sleep(0.02)
                    cluster.write_fleet_file(server)
                    cluster.start_server(server)
                    assert await cluster.operators.wait_ended(opened, 15.0) == 0
                with anyio.fail_after(10.0):
                    while {await cluster.rejected_product(server) for server in cluster.servers} != {"pay"}:
                        await anyio.sleep(0.1)
                status = cluster.operators.run("status", "--json")
                assert await cluster.operators.wait_ended(status, 10.0) == 0
            violations = check_run(cluster, RunResult()).check.violations
            assert not violations, violations
            output = (Path(folder) / "proposers.txt").read_text()
            assert output.count('"absent": "wait"') == 3
            assert [drain.exit_code for drain in cluster.drains] == [0, 0, 0]

    anyio.run(run_scenario)


def test_a_hanging_disk_does_not_delay_a_drain() -> None:
    """A write that never returned once kept the process from ending, because the shutdown waited for the
    thread that was writing."""

    async def run_scenario() -> None:
        with tempfile.TemporaryDirectory() as folder:
            cluster = ProcessCluster(Path(folder), 2)
            async with cluster.running():
                assert (
                    await cluster.operators.wait_ended(cluster.operators.propose(1, "look", 5.0), 10.0) == 0
                )
                server = cluster.servers[0]
                server.hang_disk(True)
                opened = cluster.operators.propose(2, "pay", 3.0)
                with anyio.fail_after(10.0):
                    while cluster.servers[1].name not in cluster.observer.voters:
                        await anyio.sleep(0.02)
                await anyio.sleep(0.5)
                assert server.name not in cluster.observer.voters
                await cluster.drain(server)
                assert await cluster.operators.wait_ended(opened, 10.0) == 3
                with anyio.fail_after(10.0):
                    while server.is_up:
                        await anyio.sleep(0.02)
                server.hang_disk(False)
                cluster.start_server(server)
                await cluster.wait_serving(server)
                assert await cluster.operators.wait_ended(cluster.operators.propose(3, "pay", 5.0), 10.0) == 0
            violations = check_run(cluster, RunResult()).check.violations
            assert not violations, violations

    anyio.run(run_scenario)


def test_the_baseline_by_hand_leaves_servers_with_the_old_policy() -> None:
    rounds = [Round(1, "look", (), 0.3), Round(2, "pay", (Fault("kill", 0), Fault("cut", 1)), 0.8)]
    run = perform_one(EXPERIMENT, "by-hand", 1, rounds, 4)
    assert run.result.outliers_at_end == 2


@pytest.mark.parametrize(
    ("mutant", "variant", "rounds", "violation"),
    [
        ("sleeps through", "wait", FROZEN_AFTER_VOTE, "wrong version"),
        (
            "never aside",
            "wait",
            [Round(1, "look", (), 0.3), Round(2, "pay", (Fault("cut later", 0),), 2.8)],
            "wrong version",
        ),
        (
            "serves at once",
            "leave-out",
            [Round(1, "look", (), 0.3), Round(2, "pay", (Fault("kill", 0), Fault("slow link", 0)), 4.8)],
            "wrong version",
        ),
        ("loses", "wait", NO_FAULTS, "lost"),
        ("drops at drain", "wait", DRAIN, "lost"),
        ("never leaves", "wait", DRAIN, "drain"),
        ("runs twice", "wait", NO_FAULTS, "run twice"),
        ("another result", "wait", NO_FAULTS, "another result"),
        ("answers twice", "wait", NO_FAULTS, "answered twice"),
        ("answers late", "wait", [Round(1, "look", (), 2.8), Round(2, "pay", (), 2.8)], "late"),
        ("declines repeats", "wait", NO_FAULTS, "repeat declined"),
        ("unlisted", "wait", [Round(1, "look", (), 2.8), Round(2, "pay", (), 2.8)], "unlisted"),
    ],
)
def test_the_history_checker_finds_seeded_faults(
    mutant: str, variant: str, rounds: list[Round], violation: str
) -> None:
    experiment = SLOW_EXPERIMENT if rounds is FROZEN_AFTER_VOTE else EXPERIMENT
    run = perform_one(experiment, variant, 1, rounds, 2, mutant=mutant)
    assert not run.result.missed, run.result.rounds  # the conditions for the fault have occurred
    assert any(line.startswith(violation) for line in run.broken), (run.broken, run.result.rounds)


def test_a_policy_on_trial_is_rolled_back_without_its_proposer(tmp_path: Path) -> None:
    async def run_scenario() -> None:
        cluster = ProcessCluster(tmp_path, 3)
        async with cluster.running():
            assert await cluster.operators.wait_ended(cluster.operators.propose(1, "look", 5.0), 10.0) == 0
            child = cluster.operators.propose(2, "pay", 5.0, options=("--trial", "60", "--if", "busy > 0.1"))
            with anyio.fail_after(25.0):  # the simulated runtime reports a gauge of 0.2
                while cluster.observer.versions[-1].version < 2:
                    await anyio.sleep(0.05)
                child.kill()
                while cluster.observer.versions[-1].version < 3:
                    await anyio.sleep(0.05)
            assert [version.rejected_product for version in cluster.observer.versions] == [
                "",
                "look",
                "pay",
                "look",
            ]
            await anyio.sleep(0.5)
            assert [await cluster.rejected_product(server) for server in cluster.servers] == ["look"] * 3
        history = ClusterHistory(
            cluster.wire, cluster.observer.versions, cluster.options.bound_ms, cluster.disturbed_spans()
        )
        assert not check_history(history).violations

    anyio.run(run_scenario)


def test_a_fault_schedule_is_reproducible_by_seed_and_shrinks_to_the_failing_fault() -> None:
    plan = draw(5, 12, 20)
    assert plan == draw(5, 12, 20) != draw(6, 12, 20)
    drawn = {(fault.kind, fault.point) for plan_round in draw(5, 12, 60) for fault in plan_round.faults}
    assert drawn == set(DECK)  # a long schedule has each fault at least once
    failing = plan[7].faults[0]
    smallest = shrink(lambda rounds: any(failing in plan_round.faults for plan_round in rounds), plan)
    assert [plan_round.faults for plan_round in smallest] == [(failing,)]


def test_a_cluster_stops_its_servers_when_its_terminal_closes(tmp_path: Path) -> None:
    """Servers reload their files on SIGHUP instead of ending, so they once kept running after the terminal
    had been closed."""

    def server_count() -> int:
        count = 0
        for environ in Path("/proc").glob("[0-9]*/environ"):
            with contextlib.suppress(OSError):
                count += f"NODE_CONFIG={tmp_path}".encode() in environ.read_bytes()
        return count

    command = [
        sys.executable,
        "-m",
        "otterrudder",
        "lab",
        "processes",
        "experiments/fleet-policy.toml",
        "--quick",
        "--servers",
        "2",
        "--out",
        str(tmp_path / "out"),
    ]
    cluster = subprocess.Popen(
        command,
        cwd=ROOT,
        env=os.environ | {"TMPDIR": str(tmp_path)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    deadline = time.monotonic() + 20.0
    while server_count() < 2 and time.monotonic() < deadline:
        time.sleep(0.05)
    assert server_count() == 2
    cluster.send_signal(signal.SIGHUP)
    assert cluster.wait(20.0) != 0
    assert server_count() == 0


def test_the_table_has_a_row_for_each_run() -> None:
    """The columns keep the names of earlier results, such as `txns` for requests."""
    result = RunResult(check_history(ClusterHistory(WireHistory(), [initial_version()], 1000.0)))
    run = Run("wait", 7, False, result, [], [], [], 3)
    head, _, row = table([run]).splitlines()
    assert head.endswith("| txns |") and row.startswith("| wait | 7 | 0 |") and row.endswith("| 0 |")


def test_results_are_written_with_a_table_and_a_chart(tmp_path: Path) -> None:
    history = ClusterHistory(WireHistory(), [initial_version()], 1000.0)
    run = Run("wait", 7, False, RunResult(check_history(history)), [], [initial_version()], [], 3)
    write([run], tmp_path, "one")
    assert {path.name for path in tmp_path.iterdir()} == {"results.json", "table.md", "one-wait.svg"}
    (result,) = json.loads((tmp_path / "results.json").read_text())
    keys = ["variant", "seed", "figures", "breaches", "broken", "rounds", "marks"]
    assert list(result) == keys and result["figures"]["txns"] == 0
