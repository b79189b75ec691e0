"""A whole fleet by cells in simulated time: participants and relays as they are, the store, the network, load
and churn, and the history that checks them."""

import random
from dataclasses import dataclass

from otterrudder.fleet.effects import Commit
from otterrudder.fleet.records import Absent, Keys
from otterrudder.fleet.state import Rules
from otterrudder.lab.scale.churn import Churn
from otterrudder.lab.scale.events import EventQueue
from otterrudder.lab.scale.experiment import CasePart, Experiment
from otterrudder.lab.scale.history_checker import HistoryChecker
from otterrudder.lab.scale.hosts import RelayHost, ServerHost
from otterrudder.lab.scale.network import Network, Sizes
from otterrudder.lab.scale.proposers import Proposers
from otterrudder.lab.scale.relays import Relays
from otterrudder.lab.scale.sampling import CpuSample, reading_cost_ns
from otterrudder.lab.scale.servers import Servers
from otterrudder.lab.scale.store import StoreService
from otterrudder.lab.scale.topology import Topology, Zone

FLEET = "f"
LAPSE_MS = 50.0  # between looks of the store for leases that have ended
CALM_MS = 15_000.0  # before the load, in which the standing cost is counted
LAST_ASK_MS = 15_000.0  # before the end, from which on no change is asked for
RELAYS_START_MS = 500.0
SERVERS_START_MS = 5000.0


@dataclass(frozen=True, slots=True)
class Setting:
    """One run of a case."""

    case: CasePart
    servers: int
    regions: int | None
    absent: Absent
    seed: int
    minutes: float

    @property
    def label(self) -> str:
        """The setting in a word."""
        return f"{self.case.name}/{self.absent}/{self.servers}/{self.seed}"


class Simulation:
    """Makes the processes of one run and plays them."""

    servers_type = Servers
    relays_type = Relays

    def __init__(self, experiment: Experiment, setting: Setting) -> None:
        self.experiment, self.setting = experiment, setting
        self.chance = random.Random(f"scale/{setting.label}/{setting.regions}")
        self.topology = Topology.of(experiment, setting.regions)
        self.keys, self.events = Keys(FLEET), EventQueue()
        rules = experiment.rules
        self.history = HistoryChecker(self.keys, rules.bound_ms)
        self.network = Network(self.topology, experiment.network, self.chance)
        self.sizes = Sizes(experiment.network.framing_bytes, experiment.load.text_bytes)
        cost = reading_cost_ns()
        self.server_cpu, self.message_cpu = CpuSample(cost), CpuSample(cost)
        self.store_cpu = CpuSample(cost, every=1)
        self.relays = self._relays()
        self.servers = self._servers()
        self.store = StoreService(
            self.topology, experiment.store, self.chance, self._written, self.relays.changed
        )
        self.relays.use(self.store, self.servers)
        self.proposers = Proposers(
            self.keys, self.topology, self.events, self.network, self.store, self.history, self.chance
        )
        self.churn = Churn(
            self.topology,
            experiment.churn,
            experiment.load,
            self.servers,
            self.relays,
            self.proposers,
            self.network,
            self.events,
            self.chance,
        )

    def _relays(self) -> Relays:
        rules = self.experiment.rules
        return self.relays_type(
            FLEET,
            [host for zone in self.topology.zones for host in self._relays_of(zone)],
            self.topology,
            Rules(self.setting.absent, rules.bound_ms, rules.store_lease_ms, False, True),
            rules.server_lease_ms,
            self.events,
            self.network,
            self.sizes,
            self.history,
            self.chance,
            self.message_cpu,
            self.store_cpu,
        )

    def _relays_of(self, zone: Zone) -> list[RelayHost]:
        """A cell's two relays: on its own zone's machine for control, and on the next zone's."""
        candidates = _addresses(zone)
        zones = (zone, self.topology.neighbour(zone))
        pairs = zip(candidates, zones, strict=True)
        return [RelayHost(address, zone.name, candidates, place) for address, place in pairs]

    def _servers(self) -> Servers:
        zones = self.topology.zones
        hosts = [self._server(number, zones[number % len(zones)]) for number in range(self.setting.servers)]
        return self.servers_type(
            FLEET,
            hosts,
            self.relays,
            self.events,
            self.network,
            self.sizes,
            self.experiment.load,
            self.history,
            self.chance,
            self.experiment.rules.server_lease_ms,
            self.server_cpu,
        )

    def _server(self, number: int, zone: Zone) -> ServerHost:
        kind = f"kind {number // len(self.topology.zones) % self.experiment.load.kinds}"
        relays = (*_addresses(zone), *_addresses(self.topology.neighbour(zone)))
        return ServerHost(f"server-{number:05}", zone, kind, relays)

    # The play.

    @property
    def end_ms(self) -> float:
        """When the load ends."""
        return self.begin_ms + self.setting.minutes * 60_000.0

    @property
    def begin_ms(self) -> float:
        """When the load begins."""
        return self.experiment.warm_up_s * 1000.0

    def play(self) -> None:
        """To the end; figures are read off the parts."""
        self._start_all()
        self._load()
        self.events.at(self.setting.case.look_ms, self._sample, None)
        self.events.at(LAPSE_MS, self._lapse, None)
        self.events.run(self.end_ms)
        self.servers.sample_all()
        self.servers.close()
        self.history.close()

    def _start_all(self) -> None:
        for number, relay in enumerate(self.relays.hosts):
            at = self.chance.uniform(0.0, RELAYS_START_MS)
            if number % 2:
                at += self.setting.case.standbys_start_s * 1000.0
            self.events.at(at, self.relays.start, relay)
        down = set(map(id, self.churn.down_at_first())) if self.setting.case.has_churn else set()
        for server in self.servers.hosts:
            at = self.chance.uniform(RELAYS_START_MS, SERVERS_START_MS)
            if id(server) not in down:
                self.events.at(at, self.servers.start, server)

    def _load(self) -> None:
        case = self.setting.case
        per_s = self.experiment.load.changes_per_s if case.changes_per_s is None else case.changes_per_s
        self.proposers.schedule(self.begin_ms, self.end_ms - LAST_ASK_MS, per_s)
        if case.has_churn:
            self.churn.ordinary(self.begin_ms, self.end_ms)
        for fault in case.faults:
            self.churn.script(fault)

    def _sample(self, _: object, __: object) -> None:
        self.servers.sample_all()
        self.events.at(self.events.now + self.setting.case.look_ms, self._sample, None)

    def _lapse(self, _: object, __: object) -> None:
        self.store.lapse(self.events.now)
        self.events.at(self.events.now + LAPSE_MS, self._lapse, None)

    def _written(self, commit: Commit) -> None:
        before = self.history.version
        self.history.wrote(self.events.now, commit)
        if self.history.version != before:
            self.events.at(self.events.now + self.history.bound_ms, self._look_once, None)

    def _look_once(self, _: object, __: object) -> None:
        """As the bound of a commit passes."""
        self.servers.sample_all()


def _addresses(zone: Zone) -> tuple[str, str]:
    return f"{zone.name}/1", f"{zone.name}/2"
