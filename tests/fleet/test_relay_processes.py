"""Relays and servers of cells as processes, with their store: a change takes hold everywhere or nowhere, and
nobody stops admitting when a relay, or the store, is lost."""

from pathlib import Path

import anyio
import pytest

from otterrudder.lab.processes.cells import CellCluster, CellLayout, RelayProcess
from otterrudder.lab.processes.history import RequestOutcome
from otterrudder.lab.processes.round_runner import RunResult, check_run
from otterrudder.lab.processes.server_process import ServerProcess

pytestmark = pytest.mark.exclusive

ABORTED = 3
DEADLINE_S, WAIT_S = 8.0, 12.0
BAD_POLICY = "version = 1\n[products.nothing]\nvalue = 1.0\n"


async def the_leader(cluster: CellCluster, cell: str) -> RelayProcess:
    """Once one of them leads and may grant."""
    with anyio.fail_after(WAIT_S):
        while True:
            for relay in cluster.relays:
                told = await cluster.relay_status(relay) if relay.cell == cell else {}
                if told.get("leads") and told["authority_left_ms"]:
                    return relay
            await anyio.sleep(0.05)


async def until_on(cluster: CellCluster, server: ServerProcess, relays: list[RelayProcess]) -> None:
    """Until the server has a lease from one of these."""
    addresses = {relay.address for relay in relays}
    with anyio.fail_after(WAIT_S):
        while True:
            told = await cluster.server_status(server)
            received = told.get("counts", {}).get("received", 0)
            if told.get("relay") in addresses and told["admits"]:
                while (await cluster.server_status(server)).get("counts", {}).get("received", 0) <= received:
                    await anyio.sleep(0.05)
                return
            await anyio.sleep(0.05)


async def asides(cluster: CellCluster) -> list[int]:
    """How often each server has stood aside: once, at its start."""
    return [(await cluster.server_status(server))["counts"]["asides"] for server in cluster.servers]


async def changes(cluster: CellCluster, number: int) -> None:
    """A change is in force on all servers."""
    declines = ("pay", "look")[number % 2]
    assert (
        await cluster.operators.wait_ended(cluster.operators.propose(number, declines, DEADLINE_S), WAIT_S)
        == 0
    )
    assert await all_shown(cluster) == [declines] * len(cluster.servers)


async def all_shown(cluster: CellCluster) -> list[str]:
    """What each server declines, looked at together."""
    found = [""] * len(cluster.servers)

    async def look(server: ServerProcess) -> None:
        found[server.number] = await cluster.rejected_product(server)

    async with anyio.create_task_group() as group:
        for server in cluster.servers:
            group.start_soon(look, server)
    return found


def test_changes_take_hold_and_servers_serve_on_when_relays_and_the_store_are_lost(tmp_path: Path) -> None:
    async def play() -> None:
        cluster = CellCluster(tmp_path, 2, CellLayout({"z": 2, "y": 1}))
        async with cluster.running():
            home = [relay for relay in cluster.relays if relay.cell == "z"]
            leader = await the_leader(cluster, "z")
            await changes(cluster, 1)

            # A server's own no names the key, and nothing changes.
            assert (
                await cluster.operators.wait_ended(
                    cluster.operators.propose(2, "", DEADLINE_S, BAD_POLICY), WAIT_S
                )
                == ABORTED
            )
            told = (tmp_path / "proposers.txt").read_text()
            assert "products.nothing: no product has this name" in told
            assert await all_shown(cluster) == ["look", "look"]

            # A relay that is told to stop sends its servers on.
            assert await cluster.stop_relay(leader) == 0
            second = await the_leader(cluster, "z")
            assert second is not leader
            await changes(cluster, 4)

            # One that is killed is found out by its servers; the other one takes the cell over.
            await cluster.start_relays()
            for server in cluster.servers:
                await until_on(cluster, server, cluster.relays)
            cluster.kill_relay(second)
            assert await the_leader(cluster, "z") is leader
            for server in cluster.servers:
                await until_on(cluster, server, [relay for relay in cluster.relays if relay is not second])
            await changes(cluster, 5)

            # Without the store all serve on: the cell of two by consent, the cell of one by its folder.
            await cluster.start_relays()
            with anyio.fail_after(WAIT_S):
                while (await cluster.relay_status(second)).get("consented_left_ms") != 0.0:
                    await anyio.sleep(0.05)
            cluster.store.kill()
            with anyio.fail_after(WAIT_S):
                while (await cluster.relay_status(leader))["store_lease_left_ms"]:
                    await anyio.sleep(0.05)
            assert (await cluster.relay_status(leader))["consent_left_ms"]
            alone = next(relay for relay in cluster.relays if relay.cell == "y")
            assert (await cluster.relay_status(alone))["authority_left_ms"] == -1.0  # it has no end
            for server in cluster.servers:
                await until_on(cluster, server, [*home, *cluster.relays])
            await cluster.store.restart()
            await the_leader(cluster, "z")
            await changes(cluster, 6)
            assert await asides(cluster) == [1, 1]
        violations = check_run(cluster, RunResult()).check.violations
        assert not violations, violations

    anyio.run(play)


def test_a_small_fleet_moves_to_cells_and_back_by_the_stated_steps(tmp_path: Path) -> None:
    """docs/fleet.md, "Cells": somebody admits at each moment, and changes take hold between the steps."""

    async def move(cluster: CellCluster, server: ServerProcess) -> None:
        await cluster.drain(server)
        with anyio.fail_after(WAIT_S):
            while server.is_up:
                await anyio.sleep(0.02)
        cluster.write_fleet_file(server)
        cluster.start_server(server)
        await cluster.wait_serving(server)

    async def play() -> None:
        cluster = CellCluster(tmp_path, 2, CellLayout({"z": 2}))
        cluster.plain_servers = {0, 1}
        async with cluster.running():
            first, second = cluster.servers
            await cluster.start_relays()
            leader = await the_leader(cluster, "z")
            await changes(cluster, 1)
            for server in (first, second):
                cluster.plain_servers.remove(server.number)
                await move(cluster, server)
                assert (
                    await cluster.operators.wait_ended(cluster.operators.remove_server(server), WAIT_S) == 0
                )  # its cell votes in its place
                await changes(cluster, 2 + server.number)
            status = cluster.operators.run("status")
            assert await cluster.operators.wait_ended(status, WAIT_S) == 0
            assert f"cell, led by {leader.address}" in (tmp_path / "proposers.txt").read_text()
            cluster.plain_servers.add(first.number)
            await move(cluster, first)
            await changes(cluster, 4)
            cluster.plain_servers.add(second.number)
            await move(cluster, second)
            for relay in cluster.relays:
                assert await cluster.stop_relay(relay) == 0
            assert await cluster.operators.wait_ended(cluster.operators.run("gone", "z"), WAIT_S) == 0
            await changes(cluster, 5)
        violations = check_run(cluster, RunResult()).check.violations
        assert not violations, violations
        completed = sorted(
            request.answered_at
            for request in cluster.wire.requests
            if request.outcome is RequestOutcome.COMPLETED
        )
        longest = max(later - earlier for earlier, later in zip(completed, completed[1:], strict=False))
        assert longest < 1000.0, longest

    anyio.run(play)
