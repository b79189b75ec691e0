"""Measures the costs of members and of cells at each size of the processes part of the scale experiment."""

import tempfile
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from statistics import median

import anyio
import msgspec

from otterrudder.clock import monotonic
from otterrudder.lab.processes.counters import StoreReport
from otterrudder.lab.scale.processes.bench import (
    Bench,
    FleetSettings,
    Layout,
    bench_running,
    policy_text,
    total_usage,
)
from otterrudder.lab.scale.processes.rows import Change, Idle, Kind, Row
from otterrudder.lab.scale.processes.tcp import Connections, traffic_between
from otterrudder.lab.scale.processes.usage import Usage

START_TIMEOUT_S = 60.0  # maximum time from the start until all servers admit
CHANGE_TIMEOUT_S = 30.0  # maximum time from the proposal until all servers apply the policy
# Names of the counters by which agents count the messages that they send.
MESSAGE_COUNTERS: Mapping[Kind, str] = {"members": "asked", "cells": "sent"}


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Sizes and durations of the measurements.

    The text of a policy has `text_bytes`. Once a policy is in force, a change is measured for another
    `told_s`, in which members report that they apply it, and relays that their servers do."""

    member_sizes: tuple[int, ...] = (25, 50, 100, 200)
    member_processes: int = 2
    cell_sizes: tuple[int, ...] = (50, 150, 300, 600)
    cells: int = 3
    relays_of_cell: int = 2
    idle_s: float = 20.0
    changes: int = 4
    told_s: float = 3.0
    text_bytes: int = 27_000
    settings: FleetSettings = FleetSettings()


QUICK = Plan(
    member_sizes=(10, 40),
    member_processes=1,
    cell_sizes=(10, 40),
    cells=2,
    idle_s=3.0,
    changes=1,
    told_s=2.4,
)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All counters at one time."""

    at_ms: float
    store: StoreReport
    connections: Connections
    messages: int
    servers_usage: Usage
    relays_usage: Usage
    store_usage: Usage

    @property
    def requests(self) -> int:
        """The number of all requests to the store."""
        return sum(self.store.requests.values())

    def count_requests(self, verb: str) -> int:
        """Returns the number of requests to the store whose kind begins with `verb`."""
        return sum(count for kind, count in self.store.requests.items() if kind.startswith(verb))


async def measure(plan: Plan, print_line: Callable[[str], None]) -> list[Row]:
    """Measures one size after another, so that they do not disturb each other.

    Raises MeasurementError if servers did not start in time, or a change was not in force in time."""
    rows = []
    for kind, sizes in (("members", plan.member_sizes), ("cells", plan.cell_sizes)):
        rows += await _measure_kind(plan, kind, sizes, print_line)  # type: ignore[arg-type]
    return rows


async def measure_concurrently(plan: Plan, print_line: Callable[[str], None]) -> list[Row]:
    """Measures members and cells concurrently, which is suitable for counts but not for times."""
    rows: dict[Kind, list[Row]] = {}

    async def measure_kind(kind: Kind, sizes: tuple[int, ...]) -> None:
        rows[kind] = await _measure_kind(plan, kind, sizes, print_line)

    async with anyio.create_task_group() as group:
        group.start_soon(measure_kind, "members", plan.member_sizes)
        group.start_soon(measure_kind, "cells", plan.cell_sizes)
    return [*rows["members"], *rows["cells"]]


async def _measure_kind(
    plan: Plan, kind: Kind, sizes: tuple[int, ...], print_line: Callable[[str], None]
) -> list[Row]:
    rows = []
    for size in sizes:
        row = await measure_size(plan, kind, size)
        last = max(change.committed_to_last_ms for change in row.changes)
        print_line(
            f"{kind}, {size} servers: the last server applied each change within {last:.0f} ms of its commit"
        )
        rows.append(row)
    return rows


async def measure_size(plan: Plan, kind: Kind, servers: int) -> Row:
    """Measures one size on a new bench."""
    layout = Layout(servers, plan.member_processes)
    if kind == "cells":
        layout = Layout(servers, plan.cells, plan.cells, plan.relays_of_cell)
    with tempfile.TemporaryDirectory() as folder:
        async with bench_running(Path(folder), plan.settings, layout) as bench:
            await bench.wait_settled(START_TIMEOUT_S)
            # The first change also makes a coordinator claim the leadership.
            await _measure_change(plan, bench, kind, 0)
            idle = await _measure_idle(bench, kind, plan.idle_s)
            numbers = range(1, plan.changes + 1)
            changes = [await _measure_change(plan, bench, kind, number) for number in numbers]
            connections = len(bench.connections())
    relays = plan.cells * plan.relays_of_cell if kind == "cells" else 0
    cells = layout.cells
    return Row(kind, servers, layout.processes, cells, relays, connections, idle, tuple(changes))


async def _take_snapshot(bench: Bench, kind: Kind) -> Snapshot:
    counts = await bench.servers.counts()
    return Snapshot(
        monotonic(),
        await bench.fake_store.report(bench.operator.keys.policy),
        bench.connections(),
        counts[MESSAGE_COUNTERS[kind]],
        bench.servers.usage(),
        total_usage(bench.relays),
        total_usage([bench.fake_store.child]),
    )


async def _measure_idle(bench: Bench, kind: Kind, seconds: float) -> Idle:
    before = await _take_snapshot(bench, kind)
    await anyio.sleep(seconds)
    after = await _take_snapshot(bench, kind)
    duration_s = (after.at_ms - before.at_ms) / 1000
    traffic = traffic_between(before.connections, after.connections)
    return Idle(
        duration_s,
        (after.requests - before.requests) / duration_s,
        (after.messages - before.messages) / duration_s,
        traffic.bytes_sent / duration_s,
        traffic.bytes_received / duration_s,
        (after.servers_usage.cpu_s - before.servers_usage.cpu_s) / duration_s,
        (after.relays_usage.cpu_s - before.relays_usage.cpu_s) / duration_s,
        (after.store_usage.cpu_s - before.store_usage.cpu_s) / duration_s,
        after.servers_usage.rss_mb,
        after.relays_usage.rss_mb,
    )


async def _measure_change(plan: Plan, bench: Bench, kind: Kind, number: int) -> Change:
    before = await _take_snapshot(bench, kind)
    proposal = await bench.operator.propose(policy_text(number, plan.text_bytes))
    await bench.servers.wait_all_admit(proposal.version, CHANGE_TIMEOUT_S)
    await anyio.sleep(plan.told_s)
    after = await _take_snapshot(bench, kind)
    committed_ms = after.store.written_ms[bench.operator.keys.policy]
    traffic = traffic_between(before.connections, after.connections)
    switched_ms = bench.servers.switched_ms[proposal.version].values()
    return Change(
        (after.at_ms - before.at_ms) / 1000,
        after.count_requests("write") - before.count_requests("write"),
        after.count_requests("read") - before.count_requests("read"),
        after.store.watch_events - before.store.watch_events,
        after.messages - before.messages,
        traffic.bytes_sent,
        traffic.bytes_received,
        after.servers_usage.cpu_s - before.servers_usage.cpu_s,
        after.relays_usage.cpu_s - before.relays_usage.cpu_s,
        committed_ms - proposal.sent_ms,
        max(switched_ms) - committed_ms,
        median(switched_ms) - committed_ms,
    )
