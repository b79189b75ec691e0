"""Fleets of cells in simulated time: costs by fleet size, the history checker and the experiment file."""

import json
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from helpers import ROOT

from otterrudder.cli.lab import lab
from otterrudder.fleet.cell.identity import CellIdentity, ServerIdentity
from otterrudder.fleet.cell.messages import LeaseGrant
from otterrudder.fleet.cell.participant import Participant
from otterrudder.fleet.cell.relay import Relay
from otterrudder.fleet.cell.relay_start import RelayStart
from otterrudder.fleet.effects import Commit, GrantLease, Read
from otterrudder.fleet.store import Compare, Delete, Put
from otterrudder.lab.indexed import IndexedKeySpace
from otterrudder.lab.keyspace import KeySpace
from otterrudder.lab.scale.experiment import Experiment, FaultPart, read_scale
from otterrudder.lab.scale.play import Run, play, settings_of
from otterrudder.lab.scale.relays import Relays
from otterrudder.lab.scale.servers import Servers
from otterrudder.lab.scale.simulation import Setting, Simulation
from otterrudder.lab.scale.verdicts import broken
from otterrudder.lab.site import InvalidInputError

FILE = ROOT / "experiments/capacity.toml"
CPU_TIME_MARKERS = ("cpu", "_cpu_")  # parts of the names of figures that depend on the machine's clock


@pytest.fixture(scope="module")
def experiment() -> Experiment:
    return read_scale(FILE)


def short_setting(
    experiment: Experiment, servers: int, faults: tuple[FaultPart, ...] = (), **case_changes: object
) -> Setting:
    """Returns the setting of a short run of the first three regions."""
    case = msgspec.structs.replace(experiment.case[0], faults=faults, **case_changes)
    return Setting(case, servers, 3, "wait", 1, 0.4)


def deterministic_figures(run: Run) -> dict[str, float]:
    """Returns the figures that do not depend on the machine's clock."""
    return {
        name: value
        for name, value in run.figures.items()
        if not any(marker in name for marker in CPU_TIME_MARKERS)
    }


def test_costs_per_change_and_server_do_not_grow_with_fleet_size(experiment: Experiment) -> None:
    runs = [play(experiment, short_setting(experiment, servers)) for servers in (45, 180)]
    assert broken(runs) == []
    for run in runs:
        assert run.figures["committed"] > 5 and run.figures["never_opened"] == 0


def test_runs_with_the_same_seed_are_identical(experiment: Experiment) -> None:
    first, second = (deterministic_figures(play(experiment, short_setting(experiment, 30))) for _ in range(2))
    assert first == second


class LeaseIgnoringParticipant(Participant):
    """Continues to admit after the end of its lease."""

    __slots__ = ()

    def admits(self, now: float) -> int | None:
        return self.applied_policy.version if self.has_held_lease else None


class OvergrantingRelay(Relay):
    """Assumes that its authority lasts 20 s longer than it does."""

    __slots__ = ()

    def authority_until(self, now: float) -> float:
        return super().authority_until(now) + 20_000.0


class FaultyServers(Servers):
    def make_participant(self, identity: ServerIdentity, relays: tuple[str, ...]) -> Participant:
        return LeaseIgnoringParticipant(self._events.now, identity, relays, self.lease_ms)


class FaultyRelays(Relays):
    def make_relay(self, identity: CellIdentity, incarnation: str) -> Relay:
        return OvergrantingRelay(self._events.now, identity, RelayStart(incarnation), self.rules)


class SimulationWithFaultyServers(Simulation):
    servers_type = FaultyServers


class SimulationWithFaultyRelays(Simulation):
    relays_type = FaultyRelays


@pytest.mark.parametrize("make_simulation", [SimulationWithFaultyServers, SimulationWithFaultyRelays])
def test_history_checker_detects_faulty_servers_and_relays(
    experiment: Experiment, make_simulation: Callable[[Experiment, Setting], Simulation]
) -> None:
    """Guards against a history checker that misses breaches.

    Under the rule `leave-out`, servers in a partitioned region stop admitting only when their lease ends. A
    server that ignores this end, or a relay that grants past its authority, must cause breaches."""
    cut = (FaultPart(kind="region-cut", at_s=31.0, region="us-central"),)
    base = short_setting(experiment, 30, cut)
    setting = Setting(base.case, 30, 3, "leave-out", 1, 0.5)
    correct_run = play(experiment, setting)
    assert correct_run.figures["breaches"] == 0 and correct_run.figures["committed"] > 3
    assert correct_run.figures["aside_lapsed"] > 0.1
    assert play(experiment, setting, make_simulation).figures["breaches"] > 0


def write_changed_file(tmp_path: Path, old: str, new: str) -> Path:
    text = FILE.read_text()
    assert old in text
    path = tmp_path / "changed.toml"
    path.write_text(text.replace(old, new, 1))
    return path


@pytest.mark.parametrize(
    ("old", "new", "expected_message"),
    [
        ("bound_ms = 3000.0", "bound_ms = -1.0", r"changed.toml: .rules.bound_ms: "),
        ("bound_ms = 3000.0", "bound_mss = 1.0", r"changed.toml: .rules: .*bound_mss"),
        ("[0, 15, 38", "[0, 16, 38", r"changed.toml: .topology.latency_ms: us-central and us-east"),
        ("zones = [3, 3,", "zones = [3,", r"changed.toml: .topology.zones: 9 numbers for 10 regions"),
        (
            'regions = ["us-east", "us-central", "eu-west"]',
            'regions = ["mars"]',
            r"changed.toml: .store.regions: 'mars'",
        ),
        ("server_lease_ms = 3000.0", "server_lease_ms = 4000.0", r"changed.toml: .rules.server_lease_ms: "),
        ("version = 1", "version = 9", r"changed.toml: .version: "),
        ('title = "', "title = ", r"changed.toml: not TOML"),
    ],
)
def test_invalid_experiment_file_is_reported_with_its_key(
    tmp_path: Path, old: str, new: str, expected_message: str
) -> None:
    with pytest.raises(InvalidInputError, match=expected_message):
        read_scale(write_changed_file(tmp_path, old, new))


def test_scale_command_runs_a_case_and_writes_its_results(tmp_path: Path) -> None:
    command = [
        "scale",
        str(FILE),
        "--part",
        "simulated",
        "--servers",
        "27",
        "--case",
        "ordinary",
        "--seed",
        "1",
    ]
    result = CliRunner().invoke(lab, [*command, "--minutes", "0.3", "--json", "--out", str(tmp_path)])
    assert result.exit_code == 0, result.output
    results = json.loads(result.output)
    assert results["simulated"] and results["runs"][0]["figures"]["breaches"] == 0
    assert json.loads((tmp_path / "results.json").read_text()) == results
    result = CliRunner().invoke(lab, ["scale", str(tmp_path / "none.toml"), "--part", "simulated"])
    assert result.exit_code != 0 and "none.toml" in result.output
    result = CliRunner().invoke(lab, ["list", str(FILE.parent)])
    assert result.exit_code == 0 and "capacity.toml" in result.output


def test_quick_mode_selects_the_marked_cases_and_quick_sizes(experiment: Experiment) -> None:
    quick = settings_of(experiment, is_quick=True)
    assert {setting.servers for setting in quick} == set(experiment.quick_servers)
    assert all(setting.case.is_quick for setting in quick)


def test_indexed_key_space_answers_like_the_plain_one() -> None:
    plain, indexed = KeySpace(), IndexedKeySpace()
    requests = [
        GrantLease(1000.0),
        Commit("a", (Compare("f/a/x", "created", 0),), (Put("f/a/x", b"1", 1), Put("f/b/y", b"2"))),
        Commit("b", (Compare("f/a/x", "created", 0),), (Put("f/a/x", b"3"),)),
        Read(("f/a/", "f/b/y", "f/none")),
        Commit("c", (), (Put("f/b/z", b"4", 1), Put("f/a/x", b"5"))),
        Read(("f/a/", "f/b/")),
        Read(("f/a/", "f/b/")),
        Commit("d", (), (Delete("f/b/", is_prefix=True),)),
        Read(("f/a/", "f/b/")),
    ]
    for number, request in enumerate(requests):
        now = number * 180.0  # the lease, granted at 0 for 1000 ms, ends before the seventh request
        assert plain.answer(now, request) == indexed.answer(now, request), f"request {number}"


def test_sent_lease_grants_are_counted_and_recorded(experiment: Experiment) -> None:
    simulation = Simulation(experiment, short_setting(experiment, 9))
    simulation.play()
    assert simulation.sizes.counts[LeaseGrant] > 9 * 30
    assert simulation.history.granted_until[simulation.history.version] > simulation.events.now
