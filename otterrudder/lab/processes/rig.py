"""Several servers as the operators start them, their stand-ins, the store, and faults between all of them.

Each server has a folder of its own (its disk, kept over a kill), a runtime, a gateway, and links that can be
harmed: from it to the store, the runtime and the list, and from the gateway to it. Everything is on loopback,
on ports of the system's. All children are ended by their own ids on every way out, Ctrl-C included; the
store's stand-in ends with its input."""

import contextlib
import json
import os
import shutil
import signal
import subprocess
import sys
import tomllib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import anyio.abc
import msgspec

from otterrudder.clock import monotonic as clock
from otterrudder.fleet.client import Client
from otterrudder.fleet.configuration import read_fleet
from otterrudder.fleet.failpoints import NAMED
from otterrudder.fleet.records import FleetSnapshot, Keys, digest_of
from otterrudder.fleet.store import StoreUnavailableError
from otterrudder.lab.processes.counters import StoreReport
from otterrudder.lab.processes.etcd import CLUSTER
from otterrudder.lab.processes.ledger import DRAIN_MS, Drain, InForce, Listed
from otterrudder.lab.processes.link import Datagrams, Harm, Link, free_port
from otterrudder.lab.processes.standins import LONG_RUN_MS, SETTINGS, Gateway, Listing, Runtime, Wire

ROOT = Path(__file__).parents[3]
FLEET = "rig"  # its name
LOOK_S = 0.015  # s between the rig's looks at the store
REST_S = 0.5  # s at the end in which what was asked is answered
LINES = 3  # of a server's log that are told where it does not start
UP_S = 20.0  # s that a server may take until it admits
FOLDER = "state"  # of a server's place: what outlives its processes
COPY_ID = 0xC0B1  # of an engine that answers in the store's place
LISTED_MS = 1500.0  # ms that a start, or a link that is whole again, may take until the list hears of it
# What may be done to a place, and the ms from when it is over until what was open is answered or lost.
OWED_MS = {"frozen": 200.0, "down": 200.0, "gateway": 800.0}
BEFORE_MS = 50.0  # ms before it began: what was sent then may be open still
UNHEARD = ("frozen", "down", "left", "list")  # the list is owed no report meanwhile
STOP_MS = 2000  # that the servers are told a drain may take
STALL_MS = 60.0  # of the rig's own loop from which on what crosses it meanwhile is nobody's fault
FEEL_S = 0.02  # s between looks at that
CLAIM_S = 0.5  # s from the claim of a point until its process has stopped
LONG_S = 0.25  # s before a drain from which on runs are long, so that it has something to wait for
ON_ONE_MACHINE = ("runtime",)  # links that a lost network leaves alone

LEVELS = """version = 1
start = "cut"

[[level]]
name = "cut"
least_stay_s = 1.0
trial_s = 600.0
entry = {{ for_s = 1.0, busy = 0.9 }}
exit = {{ for_s = 2.0, busy = 0.01 }}
cut = [{{ do = "decline", products = ["{product}"] }}]
"""


def levels_text(declines: str) -> str:
    """A table that declines one product from its start to its end."""
    return LEVELS.format(product=declines)


def policy_text(declines: str, number: int) -> str:
    """A policy that does the same, each number with a digest of its own."""
    table = levels_text(declines).replace("[[level]]", "[[levels.level]]")
    return f"# policy {number}\nversion = 1\n[levels]\n{table}"


def environment(told: dict[str, str], *halts: Path) -> dict[str, str]:
    """Of a child: what it is told, and the folders in which points are armed for it."""
    env = {name: value for name, value in os.environ.items() if name not in ("NODE_CONFIG", NAMED)}
    return env | told | ({NAMED: os.pathsep.join(map(str, halts))} if halts else {})


def _has_stopped(pid: int) -> bool:
    try:
        stat = Path(f"/proc/{pid}/stat").read_text()
    except OSError:  # it is dead
        return False
    return stat.rpartition(")")[2].split()[0] == "T"


@dataclass(slots=True)
class Place:
    """Where a server runs."""

    number: int
    name: str
    folder: Path
    runtime: Runtime
    gateway: Gateway
    links: dict[str, Link]  # store, runtime, gateway
    listing: Datagrams  # to the list
    process: subprocess.Popen[bytes] | None = None
    # From when to when something was done to it: what was open then is owed no answer in time; or the list is
    # owed no report.
    harmed: list[tuple[float, float]] = field(default_factory=list)
    unlisted: list[tuple[float, float]] = field(default_factory=list)
    begun: dict[str, float] = field(default_factory=dict)  # what is done to it now, and since when

    @property
    def is_up(self) -> bool:
        return self.process is not None and self.process.poll() is None

    @property
    def halts(self) -> Path:
        """Where points are armed for its processes."""
        return self.folder / "halts"

    def over(self, what: str) -> None:
        """Nothing of that is done to it any more: what is owed to whom again."""
        if what not in self.begun:
            return
        began, now = self.begun.pop(what), clock()
        if what in OWED_MS:
            self.harmed.append((began - BEFORE_MS, now + OWED_MS[what]))
        if what in UNHEARD:
            self.unlisted.append((began - LISTED_MS, now + LISTED_MS))


class Rig:
    """`with_fleet`: the servers are of a fleet; else each has a table of levels of its own, the baseline."""

    def __init__(
        self,
        folder: Path,
        servers: int,
        *,
        absent: str = "wait",
        bound_ms: float = 1000.0,
        lease_ms: float = 3000.0,
        pace_ms: float = 40.0,
        with_fleet: bool = True,
        start: str = "wait",
        double: str = "",
        names_store: bool = False,
    ) -> None:
        """`double`: the fault that is put into the first server's program; `names_store`: the fleet's file
        says which engine is believed."""
        self.folder, self.count, self.absent, self.start = folder, servers, absent, start
        self.bound_ms, self.lease_ms, self.pace_ms, self.with_fleet = bound_ms, lease_ms, pace_ms, with_fleet
        self.names_store = names_store
        self.wire, self.list = Wire(), Listing()
        self.copies: list[bytes] = []  # what the store held a while ago, the oldest first
        self.places: list[Place] = []
        self.drains: list[Drain] = []
        self.armed: list[tuple[Path, str]] = []  # folder and point, that nobody has halted at yet
        self.halts, self.proposer_halts = folder / "halts", folder / "halts-of-proposers"
        self.extra: list[subprocess.Popen[bytes]] = []  # proposers, and processes under a name that is taken
        self.kinds: dict[str, str] = {}  # by digest: the product that a policy declines
        self.versions: list[InForce] = [InForce(0, "", float("-inf"), float("-inf"))]
        self.opened = ""  # the change that is open, as the rig last saw it
        self.voted: set[str] = set()  # on that one
        self.marks: list[tuple[float, int, str]] = []  # when, which server (-1: the store), what was done
        self.store: subprocess.Popen[bytes] | None = None
        self.store_at = free_port() if with_fleet else 0
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.run_line = run if (ROOT / ".venv").exists() else f"exec {sys.executable} -m otterrudder"
        spoilt = f'exec {sys.executable} -m otterrudder.lab.processes.double "{double}"'
        self.double_line = spoilt if double else ""

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator["Rig"]:
        """All of it, up and at work; gone at the end."""
        try:
            for halts in (self.halts, self.proposer_halts):
                halts.mkdir()
            async with anyio.create_task_group() as self.group:
                group = self.group
                if self.with_fleet:
                    await self._start_store()
                group.start_soon(self._feel)
                group.start_soon(self.list.run)
                for n in range(self.count):
                    self._make(n)
                for place in self.places:
                    group.start_soon(place.runtime.run)
                    group.start_soon(place.listing.run)
                    for link in place.links.values():
                        group.start_soon(link.run)
                    self.start_server(place)
                if self.with_fleet:
                    group.start_soon(self._look)
                for place in self.places:
                    group.start_soon(place.gateway.run)
                    await self.until_serving(place)
                yield self
                for place in self.places:
                    place.gateway.is_asking = False
                await anyio.sleep(REST_S)
                group.cancel_scope.cancel()
        finally:
            self._end_all()

    def _end_all(self) -> None:
        children = [place.process for place in self.places] + [*self.extra, self.store]
        for child in children:
            if child and child.poll() is None:
                child.kill()
        for child in children:
            if child:
                child.wait()

    # The store.

    async def _start_store(self, state: str = "store", cluster: int = 0) -> None:
        """The engine, with what the file of that name holds."""
        words = [str(self.store_at), "--state", str(self.folder / state), "--cluster", f"{cluster:x}"]
        line = [sys.executable, "-m", "otterrudder.lab.processes.etcd", *words]
        self.store = subprocess.Popen(line, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        assert self.store.stdout
        self.store_at = int(await anyio.to_thread.run_sync(self.store.stdout.readline))

    def kill_store(self) -> None:
        if self.store:
            self.store.kill()
            self.store.wait()
            self.store = None
            self.note(-1, "store killed")

    async def restart_store(self) -> None:
        """With all that it held, whatever answers in its place."""
        self.kill_store()
        await self._start_store()
        self.note(-1, "store starts")

    async def replace_store(self, with_copy: bool) -> None:
        """Another engine answers: one restored from an older state, if there is one, or an empty one."""
        self.kill_store()
        copy = self.folder / "copy"
        copy.unlink(missing_ok=True)
        if with_copy and self.copies:
            copy.write_bytes(self.copies[0])
        await self._start_store("copy", COPY_ID)
        self.note(-1, "an older copy answers" if with_copy else "an empty store answers")

    def keep_copy(self) -> None:
        """Of the present state, and of the one before."""
        if self.store:
            self.copies = [*self.copies[-1:], (self.folder / "store").read_bytes()]

    async def tell_store(self, **fault: object) -> None:
        if not self.store:
            return  # it is dead
        await self._ask_store(self.store, fault)
        self.note(-1, " ".join(fault))

    async def store_report(self) -> StoreReport:
        """What the store has counted; it has to be up."""
        assert self.store
        return msgspec.json.decode(await self._ask_store(self.store, {"report": ""}), type=StoreReport)

    async def _ask_store(self, store: subprocess.Popen[bytes], told: dict[str, object]) -> bytes:
        assert store.stdin and store.stdout
        store.stdin.write(json.dumps(told).encode() + b"\n")
        store.stdin.flush()
        return await anyio.to_thread.run_sync(store.stdout.readline)

    async def hold_ends(self, holds: bool) -> None:
        """No change ends meanwhile: the commits that would are not carried out."""
        await self.tell_store(hold_delete=Keys(FLEET).change if holds else "")

    def signal_store(self, number: signal.Signals) -> None:
        if self.store:
            self.store.send_signal(number)
            self.note(-1, number.name)

    async def _feel(self) -> None:
        """When the rig's own loop stood still."""
        while True:
            before = clock()
            await anyio.sleep(FEEL_S)
            if clock() - before > FEEL_S * 1000 + STALL_MS:
                self.wire.stalls.append((before, clock()))

    async def _look(self) -> None:
        """When which version came into force, by a reader of the rig's own that no fault touches."""
        path = self.folder / "rig.toml"
        path.write_text(self._fleet_file(self.store_at, None))
        fleet = read_fleet(path)
        client, keys, looked = Client(fleet), Keys(fleet.name), clock()
        try:
            while True:
                await anyio.sleep(LOOK_S)
                began = clock()
                with contextlib.suppress(StoreUnavailableError):
                    view = FleetSnapshot(
                        keys, await client.read([keys.policy, keys.change, keys.votes], 1000.0)
                    )
                    if view.raw.cluster != CLUSTER:  # what another engine is told is not the fleet's
                        continue
                    head = view.policy
                    if head and head.version > self.versions[-1].version:
                        kind = self.kinds.get(head.digest, "")
                        self.versions.append(InForce(head.version, kind, looked, clock()))
                    self.opened = view.change.id if view.change else ""
                    self.note_votes(set(view.votes))
                    looked = began
        finally:
            with anyio.CancelScope(shield=True):
                await client.close()

    def note_votes(self, voted: set[str]) -> None:
        """Who has voted on the change that is open, as the rig has just seen it."""
        self.voted = voted

    def _fleet_file(self, port: int, folder: str | None) -> str:
        lasting = f'folder = "{folder}"\n' if folder else ""
        absent = self.absent if folder else "leave-out"
        lasting += f'store_id = "{CLUSTER:x}"\n' if self.names_store else ""
        return (
            f'version = 1\nfleet = "{FLEET}"\nstore = ["127.0.0.1:{port}"]\nabsent = "{absent}"\n'
            f'start = "{self.start if folder else "wait"}"\n'
            f"bound_ms = {self.bound_ms}\nlease_ms = {self.lease_ms}\n{lasting}"
        )

    # The servers.

    def _make(self, n: int) -> None:
        folder = self.folder / f"n{n}"
        (folder / "halts").mkdir(parents=True)
        runtime = Runtime(n, self.wire)
        address = ("127.0.0.1", free_port())
        links = {
            "store": Link(("127.0.0.1", self.store_at)),
            "runtime": Link(runtime.address),
            "gateway": Link(address),
        }
        listing = Datagrams(self.list.address, n)
        gateway = Gateway(n, links["gateway"], runtime, self.wire, self.pace_ms)
        where = "{}:{}".format
        told = {
            "name": f"n{n}",
            "listen": where(*address),
            "runtime": where(*links["runtime"].address),
            "registry": where(*listing.address),
            "seed": f"{n:016x}",
            "stop_ms": STOP_MS,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "settings": SETTINGS,
        }
        (folder / "config.json").write_text(json.dumps(told))
        (folder / "levels.toml").write_text(levels_text("look"))
        self.places.append(Place(n, f"n{n}", folder, runtime, gateway, links, listing))
        self.write_fleet(self.places[-1])

    def write_fleet(self, place: Place) -> None:
        """The fleet's file as it is for that place now: read at its next start."""
        text = self._fleet_file(place.links["store"].address[1], FOLDER)
        (place.folder / "fleet.toml").write_text(text)

    def start_server(self, place: Place) -> None:
        """A new process at that place."""
        place.gateway.life += 1
        place.runtime.begin_life()
        line = self.double_line if self.double_line and place.number == 0 else self.run_line
        place.process = self._launch(place.folder, line, place.halts, self.halts)
        place.over("down")
        place.over("left")
        self.note(place.number, "starts")

    def _launch(self, folder: Path, line: str, *halts: Path) -> subprocess.Popen[bytes]:
        """The server's program, by what lies in its folder."""
        name = "FLEET" if self.with_fleet else "LEVELS"
        told = {
            "NODE_CONFIG": str(folder / "config.json"),
            "TMPDIR": str(folder),
            f"OTTERRUDDER_{name}": str(folder / f"{name.lower()}.toml"),
        }
        with (folder / "log.txt").open("ab") as log:
            return subprocess.Popen(
                ["/bin/sh", "-c", line], cwd=ROOT, env=environment(told, *halts), stderr=log
            )

    def kill(self, place: Place) -> None:
        if place.process:
            place.begun["down"] = clock()
            place.process.kill()
            place.process.wait()
            place.begun.pop("frozen", None)
            self.note(place.number, "killed")

    async def drain(self, place: Place) -> None:
        """The operators' way to stop a server, with work in hand."""
        if not place.is_up:
            return
        place.runtime.run_ms = LONG_RUN_MS
        await anyio.sleep(LONG_S)
        assert place.process
        place.process.terminate()
        place.begun["left"] = clock()
        self.note(place.number, "told to drain")
        self.group.start_soon(self._see_off, place, place.process)

    async def _see_off(self, place: Place, process: subprocess.Popen[bytes]) -> None:
        """How the drain of that process ends, on its own or by a kill."""
        began, code = place.begun["left"], None
        with anyio.move_on_after((STOP_MS + DRAIN_MS) / 1000):
            while (code := process.poll()) is None:
                await anyio.sleep(FEEL_S)
        self.drains.append(Drain(place.number, began, clock(), code))
        if code is None and place.process is process:
            self.kill(place)

    def freeze(self, place: Place) -> None:
        if place.process:
            place.process.send_signal(signal.SIGSTOP)
            place.begun["frozen"] = clock()
            self.note(place.number, "frozen")

    def thaw(self, place: Place) -> None:
        if place.process:
            place.process.send_signal(signal.SIGCONT)
            place.over("frozen")
            self.note(place.number, "thawed")

    def set_link(self, place: Place, what: str, harm: Harm, which: str = "store") -> None:
        """`which`: of the place's links, "list", or "network", all that leave its machine."""
        network = [*(name for name in place.links if name not in ON_ONE_MACHINE), "list"]
        for name in network if which == "network" else [which]:
            if name == "list":
                place.listing.set(harm)
            else:
                place.links[name].set(harm)
            if harm != Harm():
                place.begun.setdefault(name, clock())
            else:
                place.over(name)
        self.note(place.number, what)

    def fill_disk(self, place: Place, is_full: bool) -> None:
        """A file of state can't be written there: as good as no room."""
        beside = place.folder / FOLDER / "member.new"
        if is_full:
            if beside.is_file():  # a process that was killed as it wrote has left it there
                beside.unlink()
            beside.mkdir(parents=True, exist_ok=True)
        elif beside.is_dir():
            beside.rmdir()
        self.note(place.number, "disk full" if is_full else "room again")

    def hang_disk(self, place: Place, hangs: bool) -> None:
        """Whoever writes there waits until it is over, and then fails: a pipe is where the file is made."""
        beside = place.folder / FOLDER / "member.new"
        if hangs:
            beside.unlink(missing_ok=True)
            beside.parent.mkdir(parents=True, exist_ok=True)
            os.mkfifo(beside)
        elif beside.is_fifo():
            reader = os.open(beside, os.O_RDONLY | os.O_NONBLOCK)  # who waits goes on, and can't sync a pipe
            beside.unlink()
            os.close(reader)
        self.note(place.number, "disk hangs" if hangs else "disk goes on")

    def arm(self, folder: Path, point: str) -> None:
        """Whoever looks into that folder halts at that point, the first of them."""
        (folder / point).touch()
        self.armed.append((folder, point))

    async def halted(self, folder: Path, point: str, most_s: float) -> int:
        """The number of the process that has stopped itself at an armed point; 0: none has by then."""
        with anyio.move_on_after(most_s):
            while True:
                for claimed in folder.glob(f"{point}.*"):
                    pid = int(claimed.suffix[1:])
                    if _has_stopped(pid):
                        claimed.unlink()
                        self.armed.remove((folder, point))
                        return pid
                await anyio.sleep(0.02)
        return 0

    def halts_at(self, pid: int, since: float) -> Place:
        """The server that has halted there, at some time since then."""
        place = next(place for place in self.places if place.process and place.process.pid == pid)
        place.begun.setdefault("frozen", since)
        return place

    async def disarm(self, since: float) -> None:
        """Nobody halts any more: who has come to a point too late for its fault goes on."""
        for folder, point in list(self.armed):
            with contextlib.suppress(FileNotFoundError):
                (folder / point).unlink()
                self.armed.remove((folder, point))
                continue
            pid = await self.halted(folder, point, CLAIM_S)
            if folder != self.proposer_halts and pid:
                self.thaw(self.halts_at(pid, since))
        self.armed.clear()

    def lose_folder(self, place: Place) -> None:
        shutil.rmtree(place.folder / FOLDER, ignore_errors=True)
        self.note(place.number, "folder lost")

    def take_name(self, place: Place) -> subprocess.Popen[bytes]:
        """Another process under that name, with a folder and a port of its own."""
        folder = self.folder / f"twin-{place.number}-{len(self.extra)}"
        folder.mkdir()
        told = json.loads((place.folder / "config.json").read_text())
        told["listen"] = f"127.0.0.1:{free_port()}"
        (folder / "config.json").write_text(json.dumps(told))
        (folder / "fleet.toml").write_text(self._fleet_file(self.store_at, FOLDER))
        child = self._launch(folder, self.run_line)
        self.extra.append(child)
        self.note(place.number, "its name is tried")
        return child

    async def until_serving(self, place: Place) -> None:
        """Until something was settled there from now on. RuntimeError, with its last words: it never was."""
        at = len(self.wire.asked)
        with anyio.move_on_after(UP_S):
            while not any(a.server == place.number and a.outcome == "settled" for a in self.wire.asked[at:]):
                await anyio.sleep(0.05)
            return
        log = (place.folder / "log.txt").read_text().splitlines()
        raise RuntimeError(f"{place.name} does not serve: {'; '.join(log[-LINES:])}")

    # Changes.

    def propose(
        self, number: int, declines: str, deadline_s: float, text: str = "", more: tuple[str, ...] = ()
    ) -> subprocess.Popen[bytes]:
        """The operators' own command, begun; `more`: further words of it."""
        text = text or policy_text(declines, number)
        self.kinds[digest_of(text)] = declines
        path = self.folder / f"policy-{number}.toml"
        path.write_text(text)
        words = ["--author", "rig", "--note", f"change {number}", "--deadline", str(deadline_s), *more]
        child = self.ask("policy", "apply", str(path), *words)
        self.note(-1, f"change {number} proposed")
        return child

    def say_gone(self, place: Place) -> subprocess.Popen[bytes]:
        """The operators' word that a server is gone for good."""
        child = self.ask("gone", place.name)
        self.note(place.number, "said to be gone")
        return child

    def ask(self, *words: str) -> subprocess.Popen[bytes]:
        """One of the operators' commands, begun."""
        env = environment({"OTTERRUDDER_FLEET": str(self.folder / "rig.toml")}, self.proposer_halts)
        line = [sys.executable, "-m", "otterrudder", "fleet", *words]
        with (self.folder / "proposers.txt").open("ab") as log:
            child = subprocess.Popen(line, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.extra.append(child)
        return child

    async def ended(self, child: subprocess.Popen[bytes], most_s: float) -> int | None:
        """Its exit code, or None: it has not ended by then. One that halts at a point goes on."""
        with anyio.move_on_after(most_s):
            while child.poll() is None:
                child.send_signal(signal.SIGCONT)
                await anyio.sleep(0.02)
        return child.poll()

    async def hand_out(self, declines: str) -> None:
        """The baseline: one server after another is told, by its own file and a signal. A file system that is
        busy must not hold up the rig: what is open meanwhile would look lost."""
        began = clock()
        for place in self.places:
            if place.is_up and not place.links["store"].harm.is_cut:
                path = place.folder / "levels.toml"
                await anyio.to_thread.run_sync(path.write_text, levels_text(declines))
                assert place.process
                place.process.send_signal(signal.SIGHUP)
        self.versions.append(InForce(len(self.versions), declines, began, clock()))
        self.note(-1, f"told one after another: no {declines}")

    def note(self, server: int, what: str) -> None:
        self.marks.append((clock(), server, what))

    def harmed(self) -> dict[int, list[tuple[float, float]]]:
        now = clock()
        return {
            p.number: p.harmed + [(p.begun[what], now) for what in OWED_MS if what in p.begun]
            for p in self.places
        }

    def listed(self) -> dict[str, Listed]:
        """By server: from when to when it was to be heard by the list, and when it was not."""
        heard: dict[str, list[float]] = {place.name: [] for place in self.places}
        for at, name, _ in self.list.heard:
            heard[name].append(at)
        return {place.name: Listed(heard[place.name], place.unlisted) for place in self.places}

    async def shown(self, place: Place) -> str:
        """Which product the server declines now, by what its gateway sees: "?" while that is not clear."""
        at = len(self.wire.asked)
        with anyio.move_on_after(3.0):
            while True:
                mine = [a for a in self.wire.asked[at:] if a.server == place.number and a.call == a.first]
                settled = {a.product for a in mine if a.outcome == "settled"}
                declined = {a.product for a in mine if a.outcome == "declined"}
                if len(settled) == 1 and len(declined) == 1 and settled != declined:
                    return declined.pop()
                if len(settled) == 2:
                    return ""
                await anyio.sleep(0.05)
        return "?"
