"""A rig of cells with a link, that can be harmed, between any two of its processes: server and relay, relay
and store, relay and relay of one cell.

Servers are spread evenly over the cells. Each one's file lists the relays of its own cell first and those of
the others after. The last server has a configuration of its own, so it is a kind of its own."""

import json
import shutil
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio

from otterrudder.clock import monotonic as clock
from otterrudder.lab.processes.cell_hollow import HollowServers
from otterrudder.lab.processes.cells import CellPlan, CellRig, RelayPlace
from otterrudder.lab.processes.cluster import CLAIM_S, Place
from otterrudder.lab.processes.fake_gateway import SETTINGS
from otterrudder.lab.processes.link import Harm, Link, free_port

ONLY_MOST = "refund"  # the product that all servers know but the last one
CALM_S = 25.0  # s in which all relays and servers must be at work again once all is mended


@dataclass(slots=True)
class LinkedRelay(RelayPlace):
    """A relay whose links to the store and from the other relays of its cell can be harmed."""

    listen: str = field(kw_only=True)  # its address is that of the link to it
    store: Link = field(kw_only=True)
    peer: Link = field(kw_only=True)
    sessions_most: int = field(kw_only=True)
    is_frozen: bool = False

    @property
    def halts(self) -> Path:
        """Where points are armed for its processes."""
        return self.folder / "halts"


@dataclass(frozen=True, slots=True)
class VoteSeen:
    """The first look at the store that showed a cell's vote, by the rig's clock."""

    at: float
    change: str
    cell: str


@dataclass(frozen=True, slots=True)
class QuietWindow:
    """From when to when no change was made, and no server was to stand aside, by the rig's clock."""

    since: float
    to: float
    fault: str


class LinkedCellRig(CellRig):
    """`relay_double`: a fault that is put into all relays; `server_double`: one that is put into the first
    server."""

    relays: list[LinkedRelay]  # type: ignore[assignment]

    def __init__(
        self,
        folder: Path,
        servers: int,
        plan: CellPlan,
        *,
        server_double: str = "",
        relay_double: str = "",
        **of: Any,
    ) -> None:
        super().__init__(folder, servers, plan, **of)
        self.votes: list[VoteSeen] = []
        self.quiet: list[QuietWindow] = []
        self.relay_double = relay_double
        self.hollow = HollowServers()
        if server_double:
            module = "otterrudder.lab.processes.cell_mutants"
            self.double_line = f'exec {sys.executable} -m {module} server "{server_double}"'

    # The parts.

    @property
    def cells(self) -> list[str]:
        return list(self.plan.relays)

    def home_of(self, number: int) -> str:
        """The cell of that server."""
        return self.cells[number * len(self.cells) // self.count]

    def servers_of(self, cell: str) -> list[Place]:
        return [place for place in self.places if self.home_of(place.number) == cell]

    def relays_of(self, cell: str) -> list[LinkedRelay]:
        return [relay for relay in self.relays if relay.cell == cell]

    def note_votes(self, voted: set[str]) -> None:
        known = {seen.cell for seen in self.votes if seen.change == self.opened}
        self.votes += [VoteSeen(clock(), self.opened, cell) for cell in sorted(voted - known)]
        super().note_votes(voted)

    async def leader_of(self, cell: str) -> LinkedRelay | None:
        """As the relays say themselves; those that are frozen are not asked."""
        for relay in self.relays_of(cell):
            if not relay.is_frozen and (await self.relay_status(relay)).get("leads"):
                return relay
        return None

    async def until_calm(self) -> list[str]:
        """Until each cell has a leader, no relay is bound by a consent, and all servers admit; who it is not
        so of after `CALM_S`."""
        troubled: list[str] = ["nobody was asked"]
        with anyio.move_on_after(CALM_S):
            while troubled:
                await anyio.sleep(0.1)
                troubled = await self._troubled()
        return troubled

    async def _troubled(self) -> list[str]:
        told: dict[str, dict[str, Any]] = {}
        async with anyio.create_task_group() as group:
            for relay in self.relays:
                group.start_soon(self._ask_relay, relay, told)
            for place in self.places:
                group.start_soon(self._ask_server, place, told)
        behind = self.hollow.behind(self.versions[-1].version)
        troubled = [f"{behind} hollow servers"] if behind else []
        troubled += [cell for cell in self.cells if not self._is_led(cell, told)]
        troubled += [
            relay.address for relay in self.relays if told[relay.address].get("consented_left_ms") != 0.0
        ]
        return troubled + [place.name for place in self.places if not told[place.name].get("admits")]

    def _is_led(self, cell: str, told: dict[str, dict[str, Any]]) -> bool:
        leading = [relay for relay in self.relays_of(cell) if told[relay.address].get("leads")]
        return len(leading) == 1 and told[leading[0].address]["authority_left_ms"] != 0.0

    async def _ask_relay(self, relay: LinkedRelay, told: dict[str, dict[str, Any]]) -> None:
        told[relay.address] = await self.relay_status(relay)

    async def _ask_server(self, place: Place, told: dict[str, dict[str, Any]]) -> None:
        told[place.name] = await self.server_status(place)

    async def start_hollow(self, a_cell: int) -> None:
        """So many hollow servers of each cell, a process a cell, straight to the relays and by no link. Once
        this returns, all admit."""
        for cell in self.cells if a_cell else ():
            folder = self.folder / f"hollow-{cell}"
            folder.mkdir()
            shutil.copy(self.places[0].folder / "config.json", folder / "config.json")
            listens = json.dumps([relay.listen for relay in self._relays_from(cell)])
            (folder / "fleet.toml").write_text(f"{self._common_part()}relays = {listens}\n")
            process = self.hollow.start(folder / "fleet.toml", folder / "config.json", f"{cell}-h", a_cell)
            self.extra.append(process)
            self.group.start_soon(self.hollow.listen, process)
        await self.until_calm()

    def _relays_from(self, home: str) -> list[LinkedRelay]:
        """All relays, in the order in which a server of that cell tries them."""
        at = self.cells.index(home)
        order = [*self.cells[at:], *self.cells[:at]]
        return [relay for cell in order for relay in self.relays_of(cell)]

    # What is done to a relay.

    def freeze_relay(self, relay: LinkedRelay) -> None:
        if relay.is_up and relay.process:
            relay.process.send_signal(signal.SIGSTOP)
            relay.is_frozen = True
            self.note(-1, f"relay {relay.address} frozen")

    def thaw_relay(self, relay: LinkedRelay) -> None:
        if relay.is_up and relay.process:
            relay.process.send_signal(signal.SIGCONT)
        relay.is_frozen = False
        self.note(-1, f"relay {relay.address} thawed")

    def kill_relay(self, relay: RelayPlace) -> None:
        super().kill_relay(relay)
        assert isinstance(relay, LinkedRelay)
        relay.is_frozen = False

    def restart_bounded(self, relay: LinkedRelay, sessions_most: int) -> None:
        """A new process that takes so many servers and no more."""
        self.kill_relay(relay)
        relay.sessions_most = sessions_most
        self.start_relay(relay)

    def set_server_links(self, relay: LinkedRelay, harm: Harm) -> None:
        """From all servers to that relay."""
        for place in self.places:
            place.links[relay.address].set(harm)
        self.note(-1, f"servers' links to {relay.address}: {harm}")

    def set_relay_links(self, place: Place, harm: Harm, addresses: tuple[str, ...] = ()) -> None:
        """From that server to these relays, or to all."""
        for address in addresses or tuple(relay.address for relay in self.relays):
            place.links[address].set(harm)
        self.note(place.number, f"its links to relays: {harm}")

    # Points.

    async def relay_halted(self, folder: Path, point: str, most_s: float) -> LinkedRelay | None:
        """The relay that has stopped itself at an armed point; None: none has by then."""
        pid = await self.halted(folder, point, most_s)
        for relay in self.relays:
            if pid and relay.process and relay.process.pid == pid:
                relay.is_frozen = True
                return relay
        return None

    async def disarm(self, since: float) -> None:
        """Nobody halts any more; a relay that has come to a point too late for its fault goes on."""
        for folder, point in list(self.armed):
            if (folder / point).exists():
                (folder / point).unlink()
                self.armed.remove((folder, point))
            elif relay := await self.relay_halted(folder, point, CLAIM_S):
                self.thaw_relay(relay)
        self.armed.clear()

    # How the parts are started.

    async def _start_store(self, state: str = "store", cluster: int = 0) -> None:
        if self.store is None and not any(relay.process for relay in self.relays):
            for relay in self.relays:
                relay.folder.mkdir(exist_ok=True)
                relay.halts.mkdir(exist_ok=True)
                for link in (relay.store, relay.peer):
                    self.group.start_soon(link.run)
        await super()._start_store(state, cluster)

    def _make(self, n: int) -> None:
        super()._make(n)
        self._write_settings(self.places[-1])

    def _write_settings(self, place: Place) -> None:
        """All servers know one product more than the last one."""
        if place.number == self.count - 1:
            return
        path = place.folder / "config.json"
        told = json.loads(path.read_text())
        classes = SETTINGS["classes"]
        assert isinstance(classes, list)
        told["settings"]["classes"] = [*classes, {**classes[0], "name": ONLY_MOST}]
        told["settings"]["familyInfo"]["classCalls"] = [False] * (len(classes) + 1)
        path.write_text(json.dumps(told))

    def write_fleet(self, place: Place) -> None:
        for relay in self.relays:
            if relay.address not in place.links:
                host, port = relay.listen.split(":")
                place.links[relay.address] = Link((host, int(port)))
        relays = self._relays_from(self.home_of(place.number))
        dialled = ["{}:{}".format(*place.links[relay.address].address) for relay in relays]
        (place.folder / "fleet.toml").write_text(f"{self._common_part()}relays = {json.dumps(dialled)}\n")

    def _relays_of(self, cell: str, count: int) -> list[RelayPlace]:
        listens = [("127.0.0.1", free_port()) for _ in range(count)]
        peers = [Link(listen) for listen in listens]
        addresses = tuple("{}:{}".format(*peer.address) for peer in peers)
        return [
            LinkedRelay(
                cell,
                addresses[n],
                addresses,
                self.folder / f"{cell}{n}",
                listen="{}:{}".format(*listens[n]),
                store=Link(("127.0.0.1", self.store_at)),
                peer=peers[n],
                sessions_most=self.plan.sessions_most,
            )
            for n in range(count)
        ]

    def _relay_file(self, relay: RelayPlace) -> str:
        assert isinstance(relay, LinkedRelay)
        return (
            f'{self._common_part(relay.store.address[1])}[relay]\ncell = "{relay.cell}"\n'
            f'address = "{relay.address}"\nlisten = "{relay.listen}"\n'
            f"candidates = {json.dumps(relay.candidates)}\nsessions_most = {relay.sessions_most}\n"
        )

    def _relay_line(self, relay: RelayPlace, path: Path) -> list[str]:
        if not self.relay_double:
            return super()._relay_line(relay, path)
        module = "otterrudder.lab.processes.cell_mutants"
        return [sys.executable, "-m", module, "relay", self.relay_double, str(path)]

    def _relay_halts(self, relay: RelayPlace) -> tuple[Path, ...]:
        assert isinstance(relay, LinkedRelay)
        return (relay.halts, self.halts)
