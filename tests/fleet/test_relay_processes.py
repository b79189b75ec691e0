"""Relays and servers of cells as processes, with their store: a change takes hold everywhere or nowhere, and
nobody stops admitting when a relay, or the store, is lost."""

from pathlib import Path

import anyio

from otterrudder.lab.processes.cells import CellPlan, CellRig, RelayPlace
from otterrudder.lab.processes.cluster import Place
from otterrudder.lab.processes.fault_schedule import Played, conclude
from otterrudder.lab.processes.history_checker import Verdict

ABORTED = 3
DEADLINE_S, WAIT_S = 8.0, 12.0
BAD_POLICY = "version = 1\n[products.nothing]\nvalue = 1.0\n"


async def the_leader(rig: CellRig, cell: str) -> RelayPlace:
    """Once one of them leads and may grant."""
    with anyio.fail_after(WAIT_S):
        while True:
            for relay in rig.relays:
                told = await rig.relay_status(relay) if relay.cell == cell else {}
                if told.get("leads") and told["authority_left_ms"]:
                    return relay
            await anyio.sleep(0.05)


async def until_on(rig: CellRig, place: Place, relays: list[RelayPlace]) -> None:
    """Until the server has a lease from one of these."""
    addresses = {relay.address for relay in relays}
    with anyio.fail_after(WAIT_S):
        while True:
            told = await rig.server_status(place)
            received = told.get("counts", {}).get("received", 0)
            if told.get("relay") in addresses and told["admits"]:
                while (await rig.server_status(place)).get("counts", {}).get("received", 0) <= received:
                    await anyio.sleep(0.05)
                return
            await anyio.sleep(0.05)


async def asides(rig: CellRig) -> list[int]:
    """How often each server has stood aside: once, at its start."""
    return [(await rig.server_status(place))["counts"]["asides"] for place in rig.places]


async def changes(rig: CellRig, number: int) -> None:
    """A change is in force on all servers."""
    declines = ("pay", "look")[number % 2]
    assert await rig.ended(rig.propose(number, declines, DEADLINE_S), WAIT_S) == 0
    assert await all_shown(rig) == [declines] * len(rig.places)


async def all_shown(rig: CellRig) -> list[str]:
    """What each server declines, looked at together."""
    found = [""] * len(rig.places)

    async def look(place: Place) -> None:
        found[place.number] = await rig.shown(place)

    async with anyio.create_task_group() as group:
        for place in rig.places:
            group.start_soon(look, place)
    return found


def test_changes_take_hold_and_servers_serve_on_when_relays_and_the_store_are_lost(tmp_path: Path) -> None:
    async def play() -> None:
        rig = CellRig(tmp_path, 2, CellPlan({"z": 2, "y": 1}))
        async with rig.running():
            home = [relay for relay in rig.relays if relay.cell == "z"]
            leader = await the_leader(rig, "z")
            await changes(rig, 1)

            # A server's own no names the key, and nothing changes.
            assert await rig.ended(rig.propose(2, "", DEADLINE_S, BAD_POLICY), WAIT_S) == ABORTED
            told = (tmp_path / "proposers.txt").read_text()
            assert "products.nothing: no product is named so" in told
            assert await all_shown(rig) == ["look", "look"]

            # A relay that is told to stop sends its servers on.
            assert await rig.stop_relay(leader) == 0
            second = await the_leader(rig, "z")
            assert second is not leader
            await changes(rig, 4)

            # One that is killed is found out by its servers; the other one takes the cell over.
            await rig.start_relays()
            for place in rig.places:
                await until_on(rig, place, rig.relays)
            rig.kill_relay(second)
            assert await the_leader(rig, "z") is leader
            for place in rig.places:
                await until_on(rig, place, [relay for relay in rig.relays if relay is not second])
            await changes(rig, 5)

            # Without the store all serve on: the cell of two by consent, the cell of one by its folder.
            await rig.start_relays()
            with anyio.fail_after(WAIT_S):
                while (await rig.relay_status(second)).get("consented_left_ms") != 0.0:
                    await anyio.sleep(0.05)
            rig.kill_store()
            with anyio.fail_after(WAIT_S):
                while (await rig.relay_status(leader))["store_lease_left_ms"]:
                    await anyio.sleep(0.05)
            assert (await rig.relay_status(leader))["consent_left_ms"]
            alone = next(relay for relay in rig.relays if relay.cell == "y")
            assert (await rig.relay_status(alone))["authority_left_ms"] == -1.0  # it has no end
            for place in rig.places:
                await until_on(rig, place, [*home, *rig.relays])
            await rig.restart_store()
            await the_leader(rig, "z")
            await changes(rig, 6)
            assert await asides(rig) == [1, 1]
        verdict = conclude(rig, Played(Verdict())).verdict
        assert not verdict.breaches, verdict.breaches

    anyio.run(play)


def test_a_small_fleet_moves_to_cells_and_back_by_the_stated_steps(tmp_path: Path) -> None:
    """docs/fleet.md, "Cells": somebody admits at each moment, and changes take hold between the steps."""

    async def move(rig: CellRig, place: Place) -> None:
        await rig.drain(place)
        with anyio.fail_after(WAIT_S):
            while place.is_up:
                await anyio.sleep(0.02)
        rig.write_fleet(place)
        rig.start_server(place)
        await rig.until_serving(place)

    async def play() -> None:
        rig = CellRig(tmp_path, 2, CellPlan({"z": 2}))
        rig.plain = {0, 1}
        async with rig.running():
            first, second = rig.places
            await rig.start_relays()
            leader = await the_leader(rig, "z")
            await changes(rig, 1)
            for place in (first, second):
                rig.plain.remove(place.number)
                await move(rig, place)
                assert await rig.ended(rig.say_gone(place), WAIT_S) == 0  # its cell votes in its place
                await changes(rig, 2 + place.number)
            status = rig.ask("status")
            assert await rig.ended(status, WAIT_S) == 0
            assert f"cell, led by {leader.address}" in (tmp_path / "proposers.txt").read_text()
            rig.plain.add(first.number)
            await move(rig, first)
            await changes(rig, 4)
            rig.plain.add(second.number)
            await move(rig, second)
            for relay in rig.relays:
                assert await rig.stop_relay(relay) == 0
            assert await rig.ended(rig.ask("gone", "z"), WAIT_S) == 0
            await changes(rig, 5)
        verdict = conclude(rig, Played(Verdict())).verdict
        assert not verdict.breaches, verdict.breaches
        settled = sorted(asked.answered for asked in rig.wire.asked if asked.outcome == "settled")
        longest = max(later - earlier for earlier, later in zip(settled, settled[1:], strict=False))
        assert longest < 1000.0, longest

    anyio.run(play)
