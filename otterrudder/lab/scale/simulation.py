"""Simulates a whole fleet of cells: runs the production participants and relays against a simulated store,
network, load and churn, and records a history that checks the results."""

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
LEASE_EXPIRY_INTERVAL_MS = 50.0  # between two checks of the store for expired leases
# Length of the interval just before the load in which the cost of an idle fleet is counted.
BASELINE_MS = 15_000.0
# No change is proposed in this last part of a run.
PROPOSAL_CUTOFF_MS = 15_000.0
RELAY_START_WINDOW_MS = 500.0  # relays start between 0 and this time
SERVER_START_END_MS = 5000.0  # servers start between RELAY_START_WINDOW_MS and this time


@dataclass(frozen=True, slots=True)
class Setting:
    """The parameters of one run of a case."""

    case: CasePart
    servers: int
    regions: int | None
    absent: Absent
    seed: int
    minutes: float

    @property
    def label(self) -> str:
        """A short name of the run: case, rule for absent servers, number of servers and seed."""
        return f"{self.case.name}/{self.absent}/{self.servers}/{self.seed}"


class Simulation:
    """Creates the processes of one run and simulates them."""

    servers_type = Servers
    relays_type = Relays

    def __init__(self, experiment: Experiment, setting: Setting) -> None:
        self.experiment, self.setting = experiment, setting
        self.random = random.Random(f"scale/{setting.label}/{setting.regions}")
        self.topology = Topology.of(experiment, setting.regions)
        self.keys, self.events = Keys(FLEET), EventQueue()
        rules = experiment.rules
        self.history = HistoryChecker(self.keys, rules.bound_ms)
        self.network = Network(self.topology, experiment.network, self.random)
        self.sizes = Sizes(experiment.network.framing_bytes, experiment.load.text_bytes)
        cost = reading_cost_ns()
        self.server_cpu, self.message_cpu = CpuSample(cost), CpuSample(cost)
        self.store_cpu = CpuSample(cost, every=1)
        self.relays = self._relays()
        self.servers = self._servers()
        self.store = StoreService(
            self.topology, experiment.store, self.random, self._handle_commit, self.relays.notify_watchers
        )
        self.relays.attach(self.store, self.servers)
        self.proposers = Proposers(
            self.keys, self.topology, self.events, self.network, self.store, self.history, self.random
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
            self.random,
        )

    def _relays(self) -> Relays:
        rules = self.experiment.rules
        return self.relays_type(
            FLEET,
            [host for zone in self.topology.zones for host in self._relay_hosts(zone)],
            self.topology,
            Rules(self.setting.absent, rules.bound_ms, rules.store_lease_ms, False, True),
            rules.server_lease_ms,
            self.events,
            self.network,
            self.sizes,
            self.history,
            self.random,
            self.message_cpu,
            self.store_cpu,
        )

    def _relay_hosts(self, zone: Zone) -> list[RelayHost]:
        """Creates the two relays of a cell: one on the control machine of its own zone, one on that of the
        neighbouring zone."""
        candidates = _addresses(zone)
        zones = (zone, self.topology.neighbour(zone))
        pairs = zip(candidates, zones, strict=True)
        return [RelayHost(address, zone.name, candidates, relay_zone) for address, relay_zone in pairs]

    def _servers(self) -> Servers:
        zones = self.topology.zones
        hosts = [
            self._server_host(number, zones[number % len(zones)]) for number in range(self.setting.servers)
        ]
        return self.servers_type(
            FLEET,
            hosts,
            self.relays,
            self.events,
            self.network,
            self.sizes,
            self.experiment.load,
            self.history,
            self.random,
            self.experiment.rules.server_lease_ms,
            self.server_cpu,
        )

    def _server_host(self, number: int, zone: Zone) -> ServerHost:
        kind = f"kind {number // len(self.topology.zones) % self.experiment.load.kinds}"
        relays = (*_addresses(zone), *_addresses(self.topology.neighbour(zone)))
        return ServerHost(f"server-{number:05}", zone, kind, relays)

    @property
    def end_ms(self) -> float:
        """The time at which the load ends, in ms from the start of the run."""
        return self.begin_ms + self.setting.minutes * 60_000.0

    @property
    def begin_ms(self) -> float:
        """The time at which the load begins, in ms from the start of the run."""
        return self.experiment.warm_up_s * 1000.0

    def play(self) -> None:
        """Runs the simulation to its end. The caller then reads the figures from the components."""
        self._start_all()
        self._schedule_load()
        self.events.at(self.setting.case.look_ms, self._sample, None)
        self.events.at(LEASE_EXPIRY_INTERVAL_MS, self._expire_leases, None)
        self.events.run(self.end_ms)
        self.servers.sample_all()
        self.servers.close()
        self.history.close()

    def _start_all(self) -> None:
        for number, relay in enumerate(self.relays.hosts):
            at = self.random.uniform(0.0, RELAY_START_WINDOW_MS)
            if number % 2:
                at += self.setting.case.standbys_start_s * 1000.0
            self.events.at(at, self.relays.start, relay)
        down = set(map(id, self.churn.initially_down())) if self.setting.case.has_churn else set()
        for server in self.servers.hosts:
            at = self.random.uniform(RELAY_START_WINDOW_MS, SERVER_START_END_MS)
            if id(server) not in down:
                self.events.at(at, self.servers.start, server)

    def _schedule_load(self) -> None:
        case = self.setting.case
        per_s = self.experiment.load.changes_per_s if case.changes_per_s is None else case.changes_per_s
        self.proposers.schedule(self.begin_ms, self.end_ms - PROPOSAL_CUTOFF_MS, per_s)
        if case.has_churn:
            self.churn.schedule_random_faults(self.begin_ms, self.end_ms)
        for fault in case.faults:
            self.churn.schedule_fault(fault)

    def _sample(self, _: object, __: object) -> None:
        self.servers.sample_all()
        self.events.at(self.events.now + self.setting.case.look_ms, self._sample, None)

    def _expire_leases(self, _: object, __: object) -> None:
        self.store.expire_leases(self.events.now)
        self.events.at(self.events.now + LEASE_EXPIRY_INTERVAL_MS, self._expire_leases, None)

    def _handle_commit(self, commit: Commit) -> None:
        before = self.history.version
        self.history.record_commit(self.events.now, commit)
        if self.history.version != before:
            self.events.at(self.events.now + self.history.bound_ms, self._sample_once, None)

    def _sample_once(self, _: object, __: object) -> None:
        """Samples all servers at the moment at which the bound of a commit has passed."""
        self.servers.sample_all()


def _addresses(zone: Zone) -> tuple[str, str]:
    return f"{zone.name}/1", f"{zone.name}/2"
