"""A rig whose servers are of cells: relays as processes beside the servers and the store.

A cell of several relays keeps nothing; a cell of one has a folder, as a plain member has. Servers that are
not listed as of a cell stay plain members."""

import json
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import anyio.to_thread

from otterrudder.lab.processes.etcd import CLUSTER
from otterrudder.lab.processes.link import free_port
from otterrudder.lab.processes.rig import FLEET, FOLDER, ROOT, Place, Rig, environment
from otterrudder.net import control

RELAY_UP_S = 20.0  # s that a relay may take until it answers, as a server may until it admits


@dataclass(slots=True)
class RelayPlace:
    """Where a relay runs."""

    cell: str
    address: str
    candidates: tuple[str, ...]
    folder: Path
    process: subprocess.Popen[bytes] | None = None

    @property
    def is_up(self) -> bool:
        return self.process is not None and self.process.poll() is None


@dataclass(frozen=True, slots=True)
class CellPlan:
    """Which cells there are, and how long their leases last."""

    relays: dict[str, int] = field(default_factory=lambda: {"z": 2})  # by cell: how many relays
    server_lease_ms: float = 2000.0
    sessions_most: int = 100


class CellRig(Rig):
    """`plain`: the numbers of servers that are plain members; it is read as a server's file is written."""

    def __init__(
        self,
        folder: Path,
        servers: int,
        plan: CellPlan,
        *,
        absent: str = "wait",
        bound_ms: float = 3000.0,
        lease_ms: float = 3000.0,
        pace_ms: float = 40.0,
        names_store: bool = False,
    ) -> None:
        super().__init__(
            folder,
            servers,
            absent=absent,
            bound_ms=bound_ms,
            lease_ms=lease_ms,
            pace_ms=pace_ms,
            names_store=names_store,
        )
        self.plan = plan
        self.plain: set[int] = set()
        self.relays = [place for cell, count in plan.relays.items() for place in self._relays_of(cell, count)]

    def relay_of(self, address: str) -> RelayPlace:
        return next(relay for relay in self.relays if relay.address == address)

    async def start_relays(self) -> None:
        """All that are not up; once this returns, each answers its control socket."""
        for relay in self.relays:
            if not relay.is_up:
                self.start_relay(relay)
        for relay in self.relays:
            await self.until_answering(relay)

    def start_relay(self, relay: RelayPlace) -> None:
        """A new process at that place."""
        relay.folder.mkdir(exist_ok=True)
        path = relay.folder / "relay.toml"
        path.write_text(self._relay_file(relay))
        env = environment({"TMPDIR": str(relay.folder)}, *self._relay_halts(relay))
        with (relay.folder / "log.txt").open("ab") as log:
            relay.process = subprocess.Popen(self._relay_line(relay, path), cwd=ROOT, env=env, stderr=log)
        self.extra.append(relay.process)
        self.note(-1, f"relay {relay.address} starts")

    def kill_relay(self, relay: RelayPlace) -> None:
        if relay.process:
            relay.process.kill()
            relay.process.wait()
            self.note(-1, f"relay {relay.address} killed")

    async def stop_relay(self, relay: RelayPlace) -> int:
        """The operators' way; its exit code."""
        assert relay.process
        relay.process.terminate()
        self.note(-1, f"relay {relay.address} told to stop")
        return await anyio.to_thread.run_sync(relay.process.wait)

    async def until_answering(self, relay: RelayPlace) -> None:
        """TimeoutError: it does not come up."""
        with anyio.fail_after(RELAY_UP_S):
            while not await self.relay_status(relay):
                await anyio.sleep(0.05)

    async def relay_status(self, relay: RelayPlace) -> dict[str, Any]:
        """What it says of itself; empty: it does not answer."""
        return await _asked(relay.folder / f"otterrudder-relay-{relay.address}.sock", "relay")

    async def server_status(self, place: Place) -> dict[str, Any]:
        """What a server says of its part in the fleet; empty: it does not answer."""
        return await _asked(place.folder / f"otterrudder-{place.name}.sock", "fleet")

    def write_fleet(self, place: Place) -> None:
        if place.number in self.plain:
            super().write_fleet(place)
            return
        relays = json.dumps([relay.address for relay in self.relays])
        text = f"{self._common_part()}relays = {relays}\n"
        (place.folder / "fleet.toml").write_text(text)

    async def _start_store(self, state: str = "store", cluster: int = 0) -> None:
        is_first = self.store is None and not any(relay.process for relay in self.relays)
        await super()._start_store(state, cluster)
        if is_first and len(self.plain) < self.count:
            await self.start_relays()

    def _relays_of(self, cell: str, count: int) -> list[RelayPlace]:
        addresses = tuple(f"127.0.0.1:{free_port()}" for _ in range(count))
        return [
            RelayPlace(cell, address, addresses, self.folder / f"{cell}{number}")
            for number, address in enumerate(addresses)
        ]

    def _relay_line(self, _relay: RelayPlace, path: Path) -> list[str]:
        """The command of a relay whose file is at that path."""
        return [sys.executable, "-m", "otterrudder", "fleet", "relay", "--fleet", str(path)]

    def _relay_halts(self, _relay: RelayPlace) -> tuple[Path, ...]:
        """The folders in which points are armed for a relay."""
        return ()

    def _common_part(self, store_port: int = 0) -> str:
        """`store_port`: 0: the store's own."""
        store_id = f'store_id = "{CLUSTER:x}"\n' if self.names_store else ""
        return (
            f'version = 1\nfleet = "{FLEET}"\nstore = ["127.0.0.1:{store_port or self.store_at}"]\n'
            f'absent = "{self.absent}"\n{store_id}'
            f"bound_ms = {self.bound_ms}\nlease_ms = {self.lease_ms}\n"
            f"server_lease_ms = {self.plan.server_lease_ms}\n"
        )

    def _relay_file(self, relay: RelayPlace) -> str:
        folder = f'folder = "{FOLDER}"\n' if len(relay.candidates) == 1 else ""
        return (
            f'{self._common_part()}[relay]\ncell = "{relay.cell}"\naddress = "{relay.address}"\n'
            f"candidates = {json.dumps(relay.candidates)}\n"
            f"sessions_most = {self.plan.sessions_most}\n{folder}"
        )


async def _asked(path: Path, what: str) -> dict[str, Any]:
    try:
        told = await anyio.to_thread.run_sync(control.query_path, path, what)
    except (OSError, ValueError):
        return {}
    answer = told.get(what)
    return answer if isinstance(answer, dict) else {}
