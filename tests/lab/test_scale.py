"""Agreement by cells at scale, in simulated time: laws by number of servers, the history, and the file."""

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
CPU_TIME_MARKERS = ("cpu", "_cpu_")  # what a machine's clock goes into


@pytest.fixture(scope="module")
def experiment() -> Experiment:
    return read_scale(FILE)


def short_setting(
    experiment: Experiment, servers: int, faults: tuple[FaultPart, ...] = (), **case_changes: object
) -> Setting:
    """A short run of the first three regions."""
    case = msgspec.structs.replace(experiment.case[0], faults=faults, **case_changes)
    return Setting(case, servers, 3, "wait", 1, 0.4)


def deterministic_figures(run: Run) -> dict[str, float]:
    """The figures without those of the machine's clock."""
    return {
        name: value
        for name, value in run.figures.items()
        if not any(marker in name for marker in CPU_TIME_MARKERS)
    }


def test_requests_a_change_and_messages_a_server_do_not_grow_with_the_servers(experiment: Experiment) -> None:
    runs = [play(experiment, short_setting(experiment, servers)) for servers in (45, 180)]
    assert broken(runs) == []
    for run in runs:
        assert run.figures["committed"] > 5 and run.figures["never_opened"] == 0


def test_the_same_seed_gives_the_same_run(experiment: Experiment) -> None:
    first, again = (deterministic_figures(play(experiment, short_setting(experiment, 30))) for _ in range(2))
    assert first == again


class LeaseIgnoringParticipant(Participant):
    """Goes on admitting when its lease has ended."""

    __slots__ = ()

    def admits(self, now: float) -> int | None:
        return self.applied_policy.version if self.has_held_lease else None


class OvergrantingRelay(Relay):
    """Takes its authority for longer than it is."""

    __slots__ = ()

    def authority_until(self, now: float) -> float:
        return super().authority_until(now) + 20_000.0


class FaultyServers(Servers):
    def make_participant(self, identity: ServerIdentity, relays: tuple[str, ...]) -> Participant:
        return LeaseIgnoringParticipant(self._events.now, identity, relays, self.lease_ms)


class FaultyRelays(Relays):
    def make_relay(self, identity: CellIdentity, incarnation: str) -> Relay:
        return OvergrantingRelay(self._events.now, identity, RelayStart(incarnation), self.rules)


class WithFaultyServers(Simulation):
    servers_type = FaultyServers


class WithFaultyRelays(Simulation):
    relays_type = FaultyRelays


@pytest.mark.parametrize("make", [WithFaultyServers, WithFaultyRelays])
def test_the_ledger_sees_a_fault_that_was_put_in(
    experiment: Experiment, make: Callable[[Experiment, Setting], Simulation]
) -> None:
    """A region that is cut off under the rule `leave-out` stands aside, as nothing else makes it."""
    cut = (FaultPart(kind="region-cut", at_s=31.0, region="us-central"),)
    base = short_setting(experiment, 30, cut)
    setting = Setting(base.case, 30, 3, "leave-out", 1, 0.5)
    fault_free = play(experiment, setting)
    assert fault_free.figures["breaches"] == 0 and fault_free.figures["committed"] > 3
    assert fault_free.figures["aside_lapsed"] > 0.1
    assert play(experiment, setting, make).figures["breaches"] > 0


def write_changed_file(tmp_path: Path, old: str, new: str) -> Path:
    text = FILE.read_text()
    assert old in text
    path = tmp_path / "mine.toml"
    path.write_text(text.replace(old, new, 1))
    return path


@pytest.mark.parametrize(
    ("old", "new", "expected_message"),
    [
        ("bound_ms = 3000.0", "bound_ms = -1.0", r"mine.toml: .rules.bound_ms: "),
        ("bound_ms = 3000.0", "bound_mss = 1.0", r"mine.toml: .rules: .*bound_mss"),
        ("[0, 15, 38", "[0, 16, 38", r"mine.toml: .topology.latency_ms: us-central and us-east"),
        ("zones = [3, 3,", "zones = [3,", r"mine.toml: .topology.zones: 9 numbers for 10 regions"),
        (
            'regions = ["us-east", "us-central", "eu-west"]',
            'regions = ["mars"]',
            r"mine.toml: .store.regions: 'mars'",
        ),
        ("server_lease_ms = 3000.0", "server_lease_ms = 4000.0", r"mine.toml: .rules.server_lease_ms: "),
        ("version = 1", "version = 9", r"mine.toml: .version: "),
        ('title = "', "title = ", r"mine.toml: not TOML"),
    ],
)
def test_a_mistake_in_the_file_is_named_with_its_key(
    tmp_path: Path, old: str, new: str, expected_message: str
) -> None:
    with pytest.raises(InvalidInputError, match=expected_message):
        read_scale(write_changed_file(tmp_path, old, new))


def test_the_command_plays_a_case_and_leaves_its_results(tmp_path: Path) -> None:
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


def test_the_quick_form_plays_every_case_that_is_marked(experiment: Experiment) -> None:
    quick = settings_of(experiment, is_quick=True)
    assert {setting.servers for setting in quick} == set(experiment.quick_servers)
    assert all(setting.case.is_quick for setting in quick)


def test_an_indexed_key_space_answers_as_the_plain_one() -> None:
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
        now = number * 180.0  # the lease ends before the seventh request
        assert plain.answer(now, request) == indexed.answer(now, request), f"request {number}"


def test_grants_are_counted_as_they_go_over_the_wire(experiment: Experiment) -> None:
    simulation = Simulation(experiment, short_setting(experiment, 9))
    simulation.play()
    assert simulation.sizes.counts[LeaseGrant] > 9 * 30
    assert simulation.history.granted_until[simulation.history.version] > simulation.events.now
