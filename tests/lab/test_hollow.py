"""Tests that hollow servers cause the same messages and about the same bytes as real servers.

Plain members are compared by the requests that the store counts, and servers of a cell by the counts of
their agent. Both are compared by the bytes of their connections. All four run at the same time, each with a
separate fake store. Their names and changes are equal, so that the values derived from them are equal.
Requests of the observer of the cluster are not counted."""

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
from otterrudder.lab.scale.processes.tcp import Connections, Traffic, connections_to, traffic_between

pytestmark = pytest.mark.exclusive

IDLE_S = 12.0  # a shortened idle minute: 16 renewals and 4 reads with leases of 3 s
MAX_ATTEMPTS = 3
START_TIMEOUT_S = 20.0  # maximum time until the hollow server admits
CHANGE_S = 4.0  # long enough for a change to come into force and for all servers to report it
TEXT_BYTES = 27_000
MEMBER_BOUND_MS, CELL_BOUND_MS, LEASE_MS = 1000.0, 3000.0, 3000.0
OBSERVER_KIND = "read head+vote"  # kind of the requests of the observer
RENEWALS = "lease renew"
READS = "read head+live+opening+roster+vote"
# Kind of the reads of a member that has the text of an open change and has not voted yet.
READS_BEFORE_VOTE = "read head+live+roster+vote"
RENEWALS_TOLERANCE = 2  # of 16 renewals: the measurements begin at different times within the lease
IDLE_READS_TOLERANCE = 1  # of 4 reads
CHANGE_READS_TOLERANCE = 4  # of about 12 reads: two watch events within 50 ms cause a single read
BYTES_TOLERANCE = 0.1  # share of the bytes of a phase
# Bytes by which grpcio may enlarge a message of a long stream with pings and window updates of HTTP/2:
# renewals of equal servers had from 48 to 80 bytes each.
HTTP2_FRAME_BYTES = {"member": 0, "server of a cell": 40}
# Bytes of a request and of its response, for each message that only one of the two servers has sent.
MESSAGE_BYTES = {"bytes_sent": 150, "bytes_received": 800}


@dataclass(frozen=True, slots=True)
class Sample:
    """The counts by kind and the traffic of the connections of a server up to now."""

    counts: Mapping[str, int]
    connections: Connections


@dataclass(frozen=True, slots=True)
class Phase:
    """The counts and the traffic of a server between two samples."""

    counts: Mapping[str, int]
    traffic: Traffic
    connections: int

    @staticmethod
    def between(before: Sample, after: Sample) -> "Phase":
        counts = {kind: count - before.counts.get(kind, 0) for kind, count in after.counts.items()}
        return Phase(
            {kind: count for kind, count in counts.items() if count},
            traffic_between(before.connections, after.connections),
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


Observations = dict[str, Observed]


async def _observe(sample: Callable[[], Awaitable[Sample]], operator: Operator) -> Observed:
    """Samples an idle period and then a change.

    Both are repeated if the server has reconnected to a relay meanwhile. This occurs on a machine that is too
    busy for an answer within 750 ms, and does not depend on whether the server is hollow."""
    # The first change also makes a coordinator claim the leadership.
    await operator.propose(policy_text(0, TEXT_BYTES), "change-0")
    await anyio.sleep(CHANGE_S)
    for number in range(1, MAX_ATTEMPTS + 1):
        at_start = await sample()
        await anyio.sleep(IDLE_S)
        after_idle = await sample()
        await operator.propose(policy_text(number, TEXT_BYTES), f"change-{number}")
        await anyio.sleep(CHANGE_S)
        observed = Observed(Phase.between(at_start, after_idle), Phase.between(after_idle, await sample()))
        if not (observed.idle.has_reconnected or observed.change.has_reconnected):
            break
    return observed


def _store_sampler(
    report: Callable[[], Awaitable[StoreReport]], connections: Callable[[], Connections]
) -> Callable[[], Awaitable[Sample]]:
    """Returns a function that samples the requests to the store and its watch events."""

    async def sample() -> Sample:
        counters = await report()
        requests = {kind: count for kind, count in counters.requests.items() if kind != OBSERVER_KIND}
        return Sample(requests | {"watch event": counters.watch_events}, connections())

    return sample


def _connections_of(cluster: ProcessCluster, ports: list[int]) -> Connections:
    process = cluster.servers[0].process
    assert process
    return connections_to(ports, [process.pid])


async def _observe_real_member(observations: Observations) -> None:
    with tempfile.TemporaryDirectory() as folder:
        options = ClusterOptions(bound_ms=MEMBER_BOUND_MS, lease_ms=LEASE_MS)
        cluster = ProcessCluster(Path(folder), 1, options)
        async with cluster.running():
            port = cluster.servers[0].links["store"].address[1]
            operator = Operator(cluster.operators.fleet_file)
            sample = _store_sampler(cluster.store.report, lambda: _connections_of(cluster, [port]))
            observations["real member"] = await _observe(sample, operator)


async def _observe_hollow_member(observations: Observations) -> None:
    settings = FleetSettings(FLEET, "wait", MEMBER_BOUND_MS, LEASE_MS, MEMBER_BOUND_MS)
    with tempfile.TemporaryDirectory() as folder:
        async with bench_running(Path(folder), settings, Layout(1, 1), "n") as bench:
            await bench.wait_settled(START_TIMEOUT_S)
            sample = _store_sampler(bench.fake_store.report, bench.connections)
            observations["hollow member"] = await _observe(sample, bench.operator)


async def _observe_real_server_of_a_cell(observations: Observations) -> None:
    layout = CellLayout({"z0": 2}, server_lease_ms=LEASE_MS)
    with tempfile.TemporaryDirectory() as folder:
        options = ClusterOptions(bound_ms=CELL_BOUND_MS, lease_ms=LEASE_MS)
        cluster = CellCluster(Path(folder), 1, layout, options)
        async with cluster.running():
            ports = [int(relay.address.rpartition(":")[2]) for relay in cluster.relays]

            async def sample() -> Sample:
                counts = (await cluster.server_status(cluster.servers[0]))["counts"]
                return Sample(counts, _connections_of(cluster, ports))

            observations["real server of a cell"] = await _observe(
                sample, Operator(cluster.operators.fleet_file)
            )


async def _observe_hollow_server_of_a_cell(observations: Observations) -> None:
    settings = FleetSettings(FLEET, "wait", CELL_BOUND_MS, LEASE_MS, LEASE_MS)
    with tempfile.TemporaryDirectory() as folder:
        async with bench_running(Path(folder), settings, Layout(1, 1, 1, 2), "n") as bench:
            await bench.wait_settled(START_TIMEOUT_S)

            async def sample() -> Sample:
                return Sample(await bench.servers.counts(), bench.connections())

            observations["hollow server of a cell"] = await _observe(sample, bench.operator)


@pytest.fixture(scope="module")
def observed() -> Observations:
    async def observe_all() -> Observations:
        observations: Observations = {}
        async with anyio.create_task_group() as group:
            group.start_soon(_observe_real_member, observations)
            group.start_soon(_observe_hollow_member, observations)
            group.start_soon(_observe_real_server_of_a_cell, observations)
            group.start_soon(_observe_hollow_server_of_a_cell, observations)
        return observations

    return anyio.run(observe_all)


def test_idle_hollow_member_sends_the_requests_of_a_real_member(observed: Observations) -> None:
    real, hollow = observed["real member"].idle, observed["hollow member"].idle
    assert real.counts.keys() == hollow.counts.keys() == {READS, RENEWALS}
    assert abs(real.counts[RENEWALS] - hollow.counts[RENEWALS]) <= RENEWALS_TOLERANCE
    assert abs(real.counts[READS] - hollow.counts[READS]) <= IDLE_READS_TOLERANCE


def test_hollow_member_sends_the_requests_of_a_real_member_for_a_change(observed: Observations) -> None:
    real, hollow = observed["real member"].change, observed["hollow member"].change
    varying = {RENEWALS, READS, READS_BEFORE_VOTE}
    fixed = [{k: n for k, n in phase.counts.items() if k not in varying} for phase in (real, hollow)]
    assert fixed[0] == fixed[1]
    assert fixed[0]["write vote"] == fixed[0]["write live"] == fixed[0]["write head+opening+vote"] == 1
    reads = [phase.counts[READS] + phase.counts.get(READS_BEFORE_VOTE, 0) for phase in (real, hollow)]
    assert abs(reads[0] - reads[1]) <= CHANGE_READS_TOLERANCE
    assert fixed[0]["watch event"] > 0


def test_hollow_server_of_a_cell_renews_its_lease_as_often_as_a_real_server(observed: Observations) -> None:
    real, hollow = observed["real server of a cell"].idle, observed["hollow server of a cell"].idle
    for phase in (real, hollow):
        assert phase.counts.keys() == {"sent", "received"}
        assert abs(phase.counts["sent"] - phase.counts["received"]) <= 1  # one response may be in transit
    assert abs(real.counts["sent"] - hollow.counts["sent"]) <= RENEWALS_TOLERANCE


def test_hollow_server_of_a_cell_exchanges_the_messages_of_a_real_server_for_a_change(
    observed: Observations,
) -> None:
    real, hollow = observed["real server of a cell"].change, observed["hollow server of a cell"].change
    for phase in (real, hollow):
        assert phase.counts["checks_begun"] == phase.counts["checked"] == 1
        assert phase.counts.keys() == {"sent", "received", "checks_begun", "checked"}
        # Besides renewals, the server sends a verdict, and receives a validation request and a policy.
        assert abs(phase.counts["received"] - phase.counts["sent"] - 1) <= 1
    assert abs(real.counts["sent"] - hollow.counts["sent"]) <= RENEWALS_TOLERANCE


@pytest.mark.parametrize("direction", ["bytes_sent", "bytes_received"])
@pytest.mark.parametrize("phase", ["idle", "change"])
@pytest.mark.parametrize("role", ["member", "server of a cell"])
def test_hollow_server_transfers_about_as_many_bytes_as_a_real_server(
    observed: Observations, role: str, phase: str, direction: str
) -> None:
    real, hollow = (getattr(observed[f"{server} {role}"], phase) for server in ("real", "hollow"))
    assert real.connections == hollow.connections == 1
    difference = abs(getattr(real.traffic, direction) - getattr(hollow.traffic, direction))
    extra_bytes = abs(real.messages - hollow.messages) * MESSAGE_BYTES[direction]
    extra_bytes += real.messages / 2 * HTTP2_FRAME_BYTES[role]  # half of the messages go in each direction
    assert difference <= BYTES_TOLERANCE * getattr(real.traffic, direction) + extra_bytes, (real, hollow)
