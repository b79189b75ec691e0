"""A hollow server is held against a real one: the same messages, as many bytes. Both run at once, each with a
store's stand-in of its own; what the rig itself asks of its store is left out."""

import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import anyio
import pytest

from otterrudder.lab.processes.counters import StoreReport
from otterrudder.lab.processes.rig import FLEET, Rig
from otterrudder.lab.scale.processes.bench import FleetSettings, Layout, Operator, bench_running, policy_text
from otterrudder.lab.scale.processes.tcp import Traffic, traffic_to

IDLE_S = 12.0  # an idle minute scaled down, with leases of 3 s: 16 renewals, 4 reads
CHANGE_S = 4.0  # a change is in force long before, and all have told so
TEXT_BYTES = 27_000
BOUND_MS, LEASE_MS = 1000.0, 3000.0
RIG_KIND = "read head+vote"  # of the rig's own looks at the store
RENEWALS = "lease renew"
READS = "read head+live+roster+vote"
# of the bytes of a phase: HTTP/2 sends pings and windows as it likes, and idle windows of one server had from
# 1836 to 1970 bytes
BYTES_TOLERANCE = 0.1
# of a read and its answer, by which the one may have more than the other
FURTHER_BYTES = {"bytes_sent": 150, "bytes_received": 800}
RENEWALS_TOLERANCE = 2  # of 16: the windows begin at another moment of the lease
IDLE_READS_TOLERANCE = 1  # of 4
CHANGE_READS_TOLERANCE = 4  # of some 12: two hints within 50 ms lead to one read


@dataclass(frozen=True, slots=True)
class Sample:
    """What was asked of the store, by kind, and what the connections carried."""

    requests: dict[str, int]
    events: int
    traffic: Traffic

    def __sub__(self, before: "Sample") -> "Sample":
        kinds = {kind: count - before.requests.get(kind, 0) for kind, count in self.requests.items()}
        return Sample(
            {kind: count for kind, count in kinds.items() if count},
            self.events - before.events,
            Traffic(
                self.traffic.connections,
                self.traffic.bytes_sent - before.traffic.bytes_sent,
                self.traffic.bytes_received - before.traffic.bytes_received,
            ),
        )


@dataclass(frozen=True, slots=True)
class Observed:
    idle: Sample
    change: Sample


async def _sample(report: Callable[[], Awaitable[StoreReport]], port: int) -> Sample:
    told = await report()
    requests = {kind: count for kind, count in told.requests.items() if kind != RIG_KIND}
    return Sample(requests, told.watch_events, traffic_to(port))


async def _observe(report: Callable[[], Awaitable[StoreReport]], port: int, operator: Operator) -> Observed:
    """An idle while, then the second change: with the first one the leadership is taken."""
    await operator.propose(policy_text(1, TEXT_BYTES), "change-1")
    await anyio.sleep(CHANGE_S)
    began = await _sample(report, port)
    await anyio.sleep(IDLE_S)
    idle = await _sample(report, port)
    await operator.propose(policy_text(2, TEXT_BYTES), "change-2")
    await anyio.sleep(CHANGE_S)
    return Observed(idle - began, await _sample(report, port) - idle)


async def _observe_real(found: dict[str, Observed]) -> None:
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(Path(folder), 1, bound_ms=BOUND_MS, lease_ms=LEASE_MS)
        async with rig.running():
            port = rig.places[0].links["store"].address[1]
            operator = Operator(Path(folder) / "rig.toml")
            found["real"] = await _observe(rig.store_report, port, operator)


async def _observe_hollow(found: dict[str, Observed]) -> None:
    settings = FleetSettings(FLEET, "wait", BOUND_MS, LEASE_MS, BOUND_MS)
    with tempfile.TemporaryDirectory() as folder:
        async with bench_running(Path(folder), settings, Layout(1, 1), "n") as bench:
            await bench.servers.until_all_admit(0, 10.0)
            found["hollow"] = await _observe(bench.stand_in.report, bench.stand_in.port, bench.operator)


@pytest.fixture(scope="module")
def observed() -> dict[str, Observed]:
    async def play() -> dict[str, Observed]:
        found: dict[str, Observed] = {}
        async with anyio.create_task_group() as group:
            group.start_soon(_observe_real, found)
            group.start_soon(_observe_hollow, found)
        return found

    return anyio.run(play)


def test_a_hollow_member_asks_the_store_as_a_real_server_does_while_nothing_changes(
    observed: dict[str, Observed],
) -> None:
    real, hollow = observed["real"].idle, observed["hollow"].idle
    assert real.requests.keys() == hollow.requests.keys() == {READS, RENEWALS}
    assert abs(real.requests[RENEWALS] - hollow.requests[RENEWALS]) <= RENEWALS_TOLERANCE
    assert abs(real.requests[READS] - hollow.requests[READS]) <= IDLE_READS_TOLERANCE
    assert real.events == hollow.events == 0
    assert real.traffic.connections == hollow.traffic.connections == 1


def test_a_hollow_member_asks_the_store_as_a_real_server_does_for_a_change(
    observed: dict[str, Observed],
) -> None:
    real, hollow = observed["real"].change, observed["hollow"].change
    varying = {RENEWALS, READS}
    fixed = [{k: n for k, n in one.requests.items() if k not in varying} for one in (real, hollow)]
    assert fixed[0] == fixed[1]
    assert fixed[0]["write vote"] == fixed[0]["write live"] == fixed[0]["write head+vote"] == 1
    assert abs(real.requests[READS] - hollow.requests[READS]) <= CHANGE_READS_TOLERANCE
    assert real.events == hollow.events > 0


@pytest.mark.parametrize("what", ["bytes_sent", "bytes_received"])
@pytest.mark.parametrize("phase", ["idle", "change"])
def test_a_hollow_member_s_messages_have_as_many_bytes_as_a_real_server_s(
    observed: dict[str, Observed], phase: str, what: str
) -> None:
    real, hollow = (getattr(observed[who], phase) for who in ("real", "hollow"))
    difference = abs(getattr(real.traffic, what) - getattr(hollow.traffic, what))
    further = abs(_messages(real) - _messages(hollow)) * FURTHER_BYTES[what]
    assert difference <= BYTES_TOLERANCE * getattr(real.traffic, what) + further, (real, hollow)


def _messages(sample: Sample) -> int:
    return sum(sample.requests.values()) + sample.events
