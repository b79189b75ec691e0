"""Tests relays and servers of cells as processes, with their store: a change takes effect on all servers or
on none, and servers keep admitting when a relay or the store fails."""

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


async def wait_for_leader(cluster: CellCluster, cell: str) -> RelayProcess:
    """Waits until a relay leads the cell and may grant leases, and returns it."""
    with anyio.fail_after(WAIT_S):
        while True:
            for relay in cluster.relays:
                status = await cluster.relay_status(relay) if relay.cell == cell else {}
                if status.get("leads") and status["authority_left_ms"]:
                    return relay
            await anyio.sleep(0.05)


async def wait_for_lease(cluster: CellCluster, server: ServerProcess, relays: list[RelayProcess]) -> None:
    """Waits until the server has a lease from one of these relays."""
    addresses = {relay.address for relay in relays}
    with anyio.fail_after(WAIT_S):
        while True:
            status = await cluster.server_status(server)
            received = status.get("counts", {}).get("received", 0)
            if status.get("relay") in addresses and status["admits"]:
                while (await cluster.server_status(server)).get("counts", {}).get("received", 0) <= received:
                    await anyio.sleep(0.05)
                return
            await anyio.sleep(0.05)


async def suspension_counts(cluster: CellCluster) -> list[int]:
    """Returns how often admission was suspended on each server; once is normal, at the start."""
    return [(await cluster.server_status(server))["counts"]["asides"] for server in cluster.servers]


async def apply_change(cluster: CellCluster, number: int) -> None:
    """Proposes a change and checks that it takes effect on all servers."""
    declines = ("pay", "look")[number % 2]
    assert (
        await cluster.operators.wait_ended(cluster.operators.propose(number, declines, DEADLINE_S), WAIT_S)
        == 0
    )
    assert await rejected_products(cluster) == [declines] * len(cluster.servers)


async def rejected_products(cluster: CellCluster) -> list[str]:
    """Returns the product that each server rejects; all servers are queried concurrently."""
    products = [""] * len(cluster.servers)

    async def query(server: ServerProcess) -> None:
        products[server.number] = await cluster.rejected_product(server)

    async with anyio.create_task_group() as group:
        for server in cluster.servers:
            group.start_soon(query, server)
    return products


def test_servers_keep_serving_and_changes_take_effect_after_relay_and_store_failures(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = CellCluster(tmp_path, 2, CellLayout({"z": 2, "y": 1}))
        async with cluster.running():
            cell_z_relays = [relay for relay in cluster.relays if relay.cell == "z"]
            leader = await wait_for_leader(cluster, "z")
            await apply_change(cluster, 1)

            # A server's rejection names the key, and no policy changes.
            assert (
                await cluster.operators.wait_ended(
                    cluster.operators.propose(2, "", DEADLINE_S, BAD_POLICY), WAIT_S
                )
                == ABORTED
            )
            output = (tmp_path / "proposers.txt").read_text()
            assert "products.nothing: no product has this name" in output
            assert await rejected_products(cluster) == ["look", "look"]

            # A relay that is shut down sends its servers to the other relay.
            assert await cluster.stop_relay(leader) == 0
            second = await wait_for_leader(cluster, "z")
            assert second is not leader
            await apply_change(cluster, 4)

            # The servers of a killed relay notice the failure, and the other relay takes the cell over.
            await cluster.start_relays()
            for server in cluster.servers:
                await wait_for_lease(cluster, server, cluster.relays)
            cluster.kill_relay(second)
            assert await wait_for_leader(cluster, "z") is leader
            for server in cluster.servers:
                await wait_for_lease(
                    cluster, server, [relay for relay in cluster.relays if relay is not second]
                )
            await apply_change(cluster, 5)

            # All servers keep serving without the store: the cell of two relays by endorsement, the cell of
            # one relay by its state directory.
            await cluster.start_relays()
            with anyio.fail_after(WAIT_S):
                while (await cluster.relay_status(second)).get("consented_left_ms") != 0.0:
                    await anyio.sleep(0.05)
            cluster.store.kill()
            with anyio.fail_after(WAIT_S):
                while (await cluster.relay_status(leader))["store_lease_left_ms"]:
                    await anyio.sleep(0.05)
            assert (await cluster.relay_status(leader))["consent_left_ms"]
            single_relay = next(relay for relay in cluster.relays if relay.cell == "y")
            assert (await cluster.relay_status(single_relay))[
                "authority_left_ms"
            ] == -1.0  # stands for an infinite time
            for server in cluster.servers:
                await wait_for_lease(cluster, server, [*cell_z_relays, *cluster.relays])
            await cluster.store.restart()
            await wait_for_leader(cluster, "z")
            await apply_change(cluster, 6)
            assert await suspension_counts(cluster) == [1, 1]
        violations = check_run(cluster, RunResult()).check.violations
        assert not violations, violations

    anyio.run(scenario)


def test_fleet_migrates_to_cells_and_back_without_interruption(tmp_path: Path) -> None:
    """Follows the migration steps of docs/fleet.md, "Cells": at least one server admits at any time, and
    changes take effect between the steps."""

    async def restart_with_new_file(cluster: CellCluster, server: ServerProcess) -> None:
        await cluster.drain(server)
        with anyio.fail_after(WAIT_S):
            while server.is_up:
                await anyio.sleep(0.02)
        cluster.write_fleet_file(server)
        cluster.start_server(server)
        await cluster.wait_serving(server)

    async def scenario() -> None:
        cluster = CellCluster(tmp_path, 2, CellLayout({"z": 2}))
        cluster.plain_servers = {0, 1}
        async with cluster.running():
            first, second = cluster.servers
            await cluster.start_relays()
            leader = await wait_for_leader(cluster, "z")
            await apply_change(cluster, 1)
            for server in (first, second):
                cluster.plain_servers.remove(server.number)
                await restart_with_new_file(cluster, server)
                assert (
                    await cluster.operators.wait_ended(cluster.operators.remove_server(server), WAIT_S) == 0
                )  # the cell votes for the server from now on
                await apply_change(cluster, 2 + server.number)
            status = cluster.operators.run("status")
            assert await cluster.operators.wait_ended(status, WAIT_S) == 0
            assert f"cell, led by {leader.address}" in (tmp_path / "proposers.txt").read_text()
            cluster.plain_servers.add(first.number)
            await restart_with_new_file(cluster, first)
            await apply_change(cluster, 4)
            cluster.plain_servers.add(second.number)
            await restart_with_new_file(cluster, second)
            for relay in cluster.relays:
                assert await cluster.stop_relay(relay) == 0
            assert await cluster.operators.wait_ended(cluster.operators.run("gone", "z"), WAIT_S) == 0
            await apply_change(cluster, 5)
        violations = check_run(cluster, RunResult()).check.violations
        assert not violations, violations
        completed = sorted(
            request.answered_at
            for request in cluster.wire.requests
            if request.outcome is RequestOutcome.COMPLETED
        )
        longest = max(later - earlier for earlier, later in zip(completed, completed[1:], strict=False))
        assert longest < 1000.0, longest

    anyio.run(scenario)
