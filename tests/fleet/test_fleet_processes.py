"""Several processes of the program with faults between them: what the fleet promises holds, the seeded
faults are found, and the baseline is beaten."""

import contextlib
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
from otterrudder.lab.processes.experiment import Run, perform_one, read, shrink, table
from otterrudder.lab.processes.fault_schedule import draw
from otterrudder.lab.processes.faults import DECK, Fault, Round
from otterrudder.lab.processes.history import ClusterHistory, WireHistory, no_version_yet
from otterrudder.lab.processes.history_checker import check_history
from otterrudder.lab.processes.launch import ROOT
from otterrudder.lab.processes.round_runner import RunResult, check_run

pytestmark = pytest.mark.exclusive

EXPERIMENT = read(Path(__file__).parents[2] / "experiments/fleet-policy.toml")
CALM = [Round(1, "look", (), 0.3), Round(2, "pay", (), 0.3)]
VOTED = [Round(1, "look", (), 0.3), Round(2, "pay", (Fault("freeze later", 0),), 2.8)]
DRAINED = [Round(1, "look", (), 0.3), Round(2, "pay", (Fault("drain", 0),), 0.3)]
SLOWLY = msgspec.structs.replace(EXPERIMENT, pace_ms=170.0)  # what waits is read in one go


def test_changes_take_hold_everywhere_or_nowhere_through_faults() -> None:
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
    assert run.result.committed >= 3 and run.result.aborted >= 1  # a bad policy, a full disk
    assert run.result.check.figures["settled"] > 300


def test_with_faults_between_all_ends_and_another_engine_in_the_store_s_place() -> None:
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
    assert not run.result.missed, run.result.rounds  # nothing hangs on who comes first
    assert run.result.committed >= 4 and run.result.check.figures["repeats"] > 10


def test_who_is_away_is_left_out_and_stands_aside() -> None:
    rounds = [
        Round(1, "look", (), 0.3),
        Round(2, "pay", (Fault("cut", 0),), 4.5),
        Round(3, "look", (Fault("store frozen"),), 1.5),
    ]
    run = perform_one(EXPERIMENT, "leave-out", 1, rounds, 3)
    assert not run.broken, (run.broken, run.result.check.violations, run.result.rounds)
    assert run.result.committed >= 2
    assert run.result.check.figures["aside_share"] > 0.02


def test_servers_drain_one_after_another_to_another_rule_while_changes_go_on() -> None:
    """The operators' way from `leave-out` to `wait`: the file changed, a drain, a start."""

    async def play() -> None:
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
            told = (Path(folder) / "proposers.txt").read_text()
            assert told.count('"absent": "wait"') == 3
            assert [drain.exit_code for drain in cluster.drains] == [0, 0, 0]

    anyio.run(play)


def test_a_disk_that_hangs_holds_up_no_drain() -> None:
    """A write that never returns kept the process until it was killed: the way out waited for its thread."""

    async def play() -> None:
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

    anyio.run(play)


def test_told_by_hand_some_stay_behind() -> None:
    rounds = [Round(1, "look", (), 0.3), Round(2, "pay", (Fault("kill", 0), Fault("cut", 1)), 0.8)]
    run = perform_one(EXPERIMENT, "by-hand", 1, rounds, 4)
    assert run.result.outliers_at_end == 2


@pytest.mark.parametrize(
    ("mutant", "variant", "rounds", "says"),
    [
        ("sleeps through", "wait", VOTED, "wrong version"),
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
        ("loses", "wait", CALM, "lost"),
        ("drops at drain", "wait", DRAINED, "lost"),
        ("never leaves", "wait", DRAINED, "drain"),
        ("runs twice", "wait", CALM, "run twice"),
        ("another result", "wait", CALM, "another result"),
        ("answers twice", "wait", CALM, "answered twice"),
        ("answers late", "wait", [Round(1, "look", (), 2.8), Round(2, "pay", (), 2.8)], "late"),
        ("declines repeats", "wait", CALM, "repeat declined"),
        ("unlisted", "wait", [Round(1, "look", (), 2.8), Round(2, "pay", (), 2.8)], "unlisted"),
    ],
)
def test_the_history_checker_finds_seeded_faults(
    mutant: str, variant: str, rounds: list[Round], says: str
) -> None:
    run = perform_one(SLOWLY if rounds is VOTED else EXPERIMENT, variant, 1, rounds, 2, mutant=mutant)
    assert not run.result.missed, run.result.rounds  # what the fault needs has come about
    assert any(line.startswith(says) for line in run.broken), (run.broken, run.result.rounds)


def test_a_policy_on_trial_goes_back_by_itself_with_its_proposer_dead(tmp_path: Path) -> None:
    async def play() -> None:
        cluster = ProcessCluster(tmp_path, 3)
        async with cluster.running():
            assert await cluster.operators.wait_ended(cluster.operators.propose(1, "look", 5.0), 10.0) == 0
            child = cluster.operators.propose(2, "pay", 5.0, options=("--trial", "60", "--if", "busy > 0.1"))
            with anyio.fail_after(25.0):  # the stand-in's gauge says 0.2
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

    anyio.run(play)


def test_a_plan_is_its_seed_s_and_is_cut_down_to_what_breaks() -> None:
    plan = draw(5, 12, 20)
    assert plan == draw(5, 12, 20) != draw(6, 12, 20)
    drawn = {(fault.kind, fault.point) for this in draw(5, 12, 60) for fault in this.faults}
    assert drawn == set(DECK)  # all of them once at the least
    wanted = plan[7].faults[0]
    fewest = shrink(lambda rounds: any(wanted in this.faults for this in rounds), plan)
    assert [this.faults for this in fewest] == [(wanted,)]


def test_a_cluster_whose_terminal_goes_leaves_no_server_behind(tmp_path: Path) -> None:
    """Servers take a hang-up for a word to read their files again: they went on for good."""

    def servers() -> int:
        found = 0
        for environ in Path("/proc").glob("[0-9]*/environ"):
            with contextlib.suppress(OSError):
                found += f"NODE_CONFIG={tmp_path}".encode() in environ.read_bytes()
        return found

    line = [
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
        line,
        cwd=ROOT,
        env=os.environ | {"TMPDIR": str(tmp_path)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    until = time.monotonic() + 20.0
    while servers() < 2 and time.monotonic() < until:
        time.sleep(0.05)
    assert servers() == 2
    cluster.send_signal(signal.SIGHUP)
    assert cluster.wait(20.0) != 0
    assert servers() == 0


def test_the_table_has_a_row_for_each_run() -> None:
    """The figures' names are those of earlier results: `txns` for the requests."""
    result = RunResult(check_history(ClusterHistory(WireHistory(), [no_version_yet()], 1000.0)))
    run = Run("wait", 7, False, result, [], [], [], 3)
    head, _, row = table([run]).splitlines()
    assert head.endswith("| txns |") and row.startswith("| wait | 7 | 0 |") and row.endswith("| 0 |")
