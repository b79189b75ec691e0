"""A hollow server is held against a real one: the same messages, as many bytes.

As a member of its own, by what the store was asked; as a server of a cell, by what its agent and its
connection to the relay have counted. All run at once, each with a store's stand-in of its own, with the same
names and the same change, so that what is drawn from those is the same; what the cluster itself asks of its
store is left out."""

import tempfile
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from pathlib import Path

import anyio
import pytest

from otterrudder.lab.processes.cells import CellCluster, CellLayout
from otterrudder.lab.processes.cluster import FLEET, ClusterOptions, ProcessCluster
from otterrudder.lab.processes.counters import StoreReport
from otterrudder.lab.scale.processes.bench import (
    FleetSettings,
    Layout,
    Operator,
    bench_running,
    policy_text,
)
from otterrudder.lab.scale.processes.tcp import Connections, Traffic, carried, connections_to

pytestmark = pytest.mark.exclusive

IDLE_S = 12.0  # an idle minute scaled down, with leases of 3 s: 16 renewals, 4 reads
TRIES_MOST = 3
UP_S = 20.0  # s until the hollow server serves
CHANGE_S = 4.0  # a change is in force long before, and all have told so
TEXT_BYTES = 27_000
MEMBER_BOUND_MS, CELL_BOUND_MS, LEASE_MS = 1000.0, 3000.0, 3000.0
OBSERVER_KIND = "read head+vote"  # of the observer's looks at the store
RENEWALS = "lease renew"
READS = "read head+live+opening+roster+vote"
# While a change is open whose text is here, and is to be voted on.
READS_BEFORE_VOTE = "read head+live+roster+vote"
RENEWALS_TOLERANCE = 2  # of 16: the windows begin at another moment of the lease
IDLE_READS_TOLERANCE = 1  # of 4
CHANGE_READS_TOLERANCE = 4  # of some 12: two hints within 50 ms lead to one read
BYTES_TOLERANCE = 0.1  # of the bytes of a phase
# that grpcio adds at times to a message of a long stream, pings and windows of HTTP/2: renewals of equal
# servers had from 48 to 80 bytes each
FRAMES_BYTES = {"member": 0, "server of a cell": 40}
# of a request and its answer, by which the one may have more than the other
FURTHER_BYTES = {"bytes_sent": 150, "bytes_received": 800}


@dataclass(frozen=True, slots=True)
class Sample:
    """What was counted so far, by kind, and what the server's connections have carried."""

    counts: Mapping[str, int]
    connections: Connections


@dataclass(frozen=True, slots=True)
class Phase:
    """The same between two samples."""

    counts: Mapping[str, int]
    traffic: Traffic
    connections: int

    @staticmethod
    def between(before: Sample, after: Sample) -> "Phase":
        counts = {kind: count - before.counts.get(kind, 0) for kind, count in after.counts.items()}
        return Phase(
            {kind: count for kind, count in counts.items() if count},
            carried(before.connections, after.connections),
            len(after.connections),
        )

    @property
    def messages(self) -> int:
        return sum(self.counts.values())

    @property
    def has_reconnected(self) -> bool:
        return "connected" in self.counts or "ended" in self.counts


@dataclass(frozen=True, slots=True)
class Observed:
    idle: Phase
    change: Phase


Found = dict[str, Observed]


async def _observe(sample: Callable[[], Awaitable[Sample]], operator: Operator) -> Observed:
    """An idle while, then a change; once more where a server lost its relay meanwhile, as on a machine that
    is too busy for an answer within 750 ms: that says nothing of who is hollow."""
    await operator.propose(policy_text(0, TEXT_BYTES), "change-0")  # with it the leadership is taken
    await anyio.sleep(CHANGE_S)
    for number in range(1, TRIES_MOST + 1):
        began = await sample()
        await anyio.sleep(IDLE_S)
        idle = await sample()
        await operator.propose(policy_text(number, TEXT_BYTES), f"change-{number}")
        await anyio.sleep(CHANGE_S)
        observed = Observed(Phase.between(began, idle), Phase.between(idle, await sample()))
        if not (observed.idle.has_reconnected or observed.change.has_reconnected):
            break
    return observed


def _of_store(
    report: Callable[[], Awaitable[StoreReport]], connections: Callable[[], Connections]
) -> Callable[[], Awaitable[Sample]]:
    """What the store was asked, and the hints that it gave."""

    async def sample() -> Sample:
        told = await report()
        requests = {kind: count for kind, count in told.requests.items() if kind != OBSERVER_KIND}
        return Sample(requests | {"watch event": told.watch_events}, connections())

    return sample


def _connections_of(cluster: ProcessCluster, ports: list[int]) -> Connections:
    process = cluster.servers[0].process
    assert process
    return connections_to(ports, [process.pid])


async def _observe_real_member(found: Found) -> None:
    with tempfile.TemporaryDirectory() as folder:
        options = ClusterOptions(bound_ms=MEMBER_BOUND_MS, lease_ms=LEASE_MS)
        cluster = ProcessCluster(Path(folder), 1, options)
        async with cluster.running():
            port = cluster.servers[0].links["store"].address[1]
            operator = Operator(cluster.operators.fleet_file)
            sample = _of_store(cluster.store.report, lambda: _connections_of(cluster, [port]))
            found["real member"] = await _observe(sample, operator)


async def _observe_hollow_member(found: Found) -> None:
    settings = FleetSettings(FLEET, "wait", MEMBER_BOUND_MS, LEASE_MS, MEMBER_BOUND_MS)
    with tempfile.TemporaryDirectory() as folder:
        async with bench_running(Path(folder), settings, Layout(1, 1), "n") as bench:
            await bench.until_settled(UP_S)
            sample = _of_store(bench.stand_in.report, bench.connections)
            found["hollow member"] = await _observe(sample, bench.operator)


async def _observe_real_server_of_a_cell(found: Found) -> None:
    layout = CellLayout({"z0": 2}, server_lease_ms=LEASE_MS)
    with tempfile.TemporaryDirectory() as folder:
        options = ClusterOptions(bound_ms=CELL_BOUND_MS, lease_ms=LEASE_MS)
        cluster = CellCluster(Path(folder), 1, layout, options)
        async with cluster.running():
            ports = [int(relay.address.rpartition(":")[2]) for relay in cluster.relays]

            async def sample() -> Sample:
                counts = (await cluster.server_status(cluster.servers[0]))["counts"]
                return Sample(counts, _connections_of(cluster, ports))

            found["real server of a cell"] = await _observe(sample, Operator(cluster.operators.fleet_file))


async def _observe_hollow_server_of_a_cell(found: Found) -> None:
    settings = FleetSettings(FLEET, "wait", CELL_BOUND_MS, LEASE_MS, LEASE_MS)
    with tempfile.TemporaryDirectory() as folder:
        async with bench_running(Path(folder), settings, Layout(1, 1, 1, 2), "n") as bench:
            await bench.until_settled(UP_S)

            async def sample() -> Sample:
                return Sample(await bench.servers.counts(), bench.connections())

            found["hollow server of a cell"] = await _observe(sample, bench.operator)


@pytest.fixture(scope="module")
def observed() -> Found:
    async def play() -> Found:
        found: Found = {}
        async with anyio.create_task_group() as group:
            group.start_soon(_observe_real_member, found)
            group.start_soon(_observe_hollow_member, found)
            group.start_soon(_observe_real_server_of_a_cell, found)
            group.start_soon(_observe_hollow_server_of_a_cell, found)
        return found

    return anyio.run(play)


def test_a_hollow_member_asks_the_store_as_a_real_one_does_while_nothing_changes(observed: Found) -> None:
    real, hollow = observed["real member"].idle, observed["hollow member"].idle
    assert real.counts.keys() == hollow.counts.keys() == {READS, RENEWALS}
    assert abs(real.counts[RENEWALS] - hollow.counts[RENEWALS]) <= RENEWALS_TOLERANCE
    assert abs(real.counts[READS] - hollow.counts[READS]) <= IDLE_READS_TOLERANCE


def test_a_hollow_member_asks_the_store_as_a_real_one_does_for_a_change(observed: Found) -> None:
    real, hollow = observed["real member"].change, observed["hollow member"].change
    varying = {RENEWALS, READS, READS_BEFORE_VOTE}
    fixed = [{k: n for k, n in one.counts.items() if k not in varying} for one in (real, hollow)]
    assert fixed[0] == fixed[1]
    assert fixed[0]["write vote"] == fixed[0]["write live"] == fixed[0]["write head+opening+vote"] == 1
    reads = [one.counts[READS] + one.counts.get(READS_BEFORE_VOTE, 0) for one in (real, hollow)]
    assert abs(reads[0] - reads[1]) <= CHANGE_READS_TOLERANCE
    assert fixed[0]["watch event"] > 0


def test_a_hollow_server_of_a_cell_renews_its_lease_as_a_real_one_does(observed: Found) -> None:
    real, hollow = observed["real server of a cell"].idle, observed["hollow server of a cell"].idle
    for one in (real, hollow):
        assert one.counts.keys() == {"sent", "received"}
        assert abs(one.counts["sent"] - one.counts["received"]) <= 1  # an answer may be under way
    assert abs(real.counts["sent"] - hollow.counts["sent"]) <= RENEWALS_TOLERANCE


def test_a_hollow_server_of_a_cell_takes_a_change_as_a_real_one_does(observed: Found) -> None:
    real, hollow = observed["real server of a cell"].change, observed["hollow server of a cell"].change
    for one in (real, hollow):
        assert one.counts["checks_begun"] == one.counts["checked"] == 1
        assert one.counts.keys() == {"sent", "received", "checks_begun", "checked"}
        # beside the renewals and their answers: one verdict; a question and a text
        assert abs(one.counts["received"] - one.counts["sent"] - 1) <= 1
    assert abs(real.counts["sent"] - hollow.counts["sent"]) <= RENEWALS_TOLERANCE


@pytest.mark.parametrize("what", ["bytes_sent", "bytes_received"])
@pytest.mark.parametrize("phase", ["idle", "change"])
@pytest.mark.parametrize("which", ["member", "server of a cell"])
def test_a_hollow_server_s_messages_have_as_many_bytes_as_a_real_one_s(
    observed: Found, which: str, phase: str, what: str
) -> None:
    real, hollow = (getattr(observed[f"{who} {which}"], phase) for who in ("real", "hollow"))
    assert real.connections == hollow.connections == 1
    difference = abs(getattr(real.traffic, what) - getattr(hollow.traffic, what))
    further = abs(real.messages - hollow.messages) * FURTHER_BYTES[what]
    further += real.messages / 2 * FRAMES_BYTES[which]  # one half goes each way
    assert difference <= BYTES_TOLERANCE * getattr(real.traffic, what) + further, (real, hollow)
