"""Faults of a run: random restarts and failures at the rates of an ordinary day, and scripted faults."""

import random
from collections.abc import Callable

from otterrudder.lab.scale.events import EventQueue
from otterrudder.lab.scale.experiment import ChurnPart, FaultPart, LoadPart
from otterrudder.lab.scale.hosts import RelayHost, ServerHost
from otterrudder.lab.scale.network import Network
from otterrudder.lab.scale.proposers import Proposers
from otterrudder.lab.scale.relays import Relays
from otterrudder.lab.scale.servers import Servers
from otterrudder.lab.scale.topology import Topology, Zone

DAY_MS = 86_400_000.0
RESTART_JITTER_MS = 2000.0  # interval over which the restarts of servers that failed together are spread


class Churn:
    """Schedules the restarts, failures and scripted faults of a run."""

    def __init__(
        self,
        topology: Topology,
        part: ChurnPart,
        load: LoadPart,
        servers: Servers,
        relays: Relays,
        proposers: Proposers,
        network: Network,
        events: EventQueue,
        random_source: random.Random,
    ) -> None:
        self.counts: dict[str, int] = {}
        self._topology, self._part, self._load = topology, part, load
        self._servers, self._relays, self._proposers = servers, relays, proposers
        self._network, self._events, self._random = network, events, random_source
        self._fault_handlers: dict[str, Callable[[FaultPart], None]] = {
            "server-crash": self._crash_server,
            "machine": self._fail_machine,
            "rack": self._fail_rack,
            "relay-crash": self._crash_relay,
            "relay-restart": self._restart_leader,
            "relay-machine": self._fail_leader_machine,
            "zone-restart": self._restart_zone,
            "zone": self._fail_zone,
            "region-cut": self._cut_region,
            "freeze": self._freeze_leader_and_rack,
            "burst": self._start_burst,
        }

    def schedule_random_faults(self, begin: float, end: float) -> None:
        """Schedules random restarts and failures at the daily rates, scaled to the number of servers.

        Machines of relays restart and fail at the same rates as those of servers."""
        hosts: list[ServerHost | RelayHost] = [*self._servers.hosts, *self._relays.hosts[::2]]
        share = len(hosts) / self._part.per_servers
        for kind, per_day in (
            ("restart", self._part.restarts_a_day),
            ("failure", self._part.failures_a_day),
        ):
            per_ms = per_day * share / DAY_MS
            at = begin + self._random.expovariate(per_ms) if per_ms else end
            while at < end:
                host = self._random.choice(hosts)
                self._events.at(at, self._restart if kind == "restart" else self._fail, host)
                at += self._random.expovariate(per_ms)

    def initially_down(self) -> list[ServerHost]:
        """Draws the servers whose machines are under repair when the run begins."""
        servers = self._servers.hosts
        count = round(self._part.down_at_once * len(servers) / self._part.per_servers)
        return self._random.sample(servers, min(count, len(servers)))

    def schedule_fault(self, fault: FaultPart) -> None:
        """Schedules a scripted fault of the experiment."""
        self._events.at(fault.at_s * 1000.0, self._inject_fault, fault)

    def _inject_fault(self, fault: FaultPart, _: object) -> None:
        self._count(fault.kind)
        self._fault_handlers[fault.kind](fault)

    def _count(self, kind: str) -> None:
        self.counts[kind] = self.counts.get(kind, 0) + 1

    # Random faults of an ordinary day

    def _restart(self, host: ServerHost | RelayHost, _: object) -> None:
        self._count("restart")
        restart_at = self._events.now + self._part.restart_s * 1000.0
        if isinstance(host, ServerHost):
            self._servers.stop(host, is_silent=False)
            self._events.at(restart_at, self._servers.start, host)
        else:
            self._restart_relay(host, restart_at)

    def _fail(self, host: ServerHost | RelayHost, _: object) -> None:
        self._count("failure")
        restart_at = self._events.now + self._part.repair_s * 1000.0
        if isinstance(host, ServerHost):
            self._servers.stop(host, is_silent=True)
            self._events.at(restart_at, self._servers.start, host)
        else:
            self._fail_relay_machine(host.zone, restart_at)

    def _restart_relay(self, host: RelayHost, restart_at: float) -> None:
        self._relays.shut_down(host)
        self._events.at(restart_at, self._relays.start, host)

    def _relays_on_machine_of(self, zone: Zone) -> list[RelayHost]:
        """Returns the relays on the control machine of a zone."""
        return [host for host in self._relays.hosts if host.zone == zone]

    def _fail_relay_machine(self, zone: Zone, restart_at: float) -> None:
        for host in self._relays_on_machine_of(zone):
            host.is_machine_up = False
            self._relays.stop(host, is_silent=True)
            self._events.at(restart_at, self._repair_relay, host)

    def _repair_relay(self, host: RelayHost, _: object) -> None:
        host.is_machine_up = True
        self._relays.start(host)

    # Scripted faults

    def _end_time_of(self, fault: FaultPart, default_s: float) -> float:
        """Returns the time at which a fault that begins now ends."""
        return self._events.now + (fault.for_s or default_s) * 1000.0

    def _zone_of(self, fault: FaultPart) -> Zone:
        """Returns the first zone of the fault's region, or a random zone if there is none."""
        zones = [zone for zone in self._topology.zones if self._topology.regions[zone.region] == fault.region]
        return zones[0] if zones else self._random.choice(self._topology.zones)

    def _leader_of(self, zone: Zone) -> RelayHost:
        """Returns the leading relay of a zone's cell, or the first relay of the cell if none leads."""
        cell = [host for host in self._relays.hosts if host.cell == zone.name]
        return next((host for host in cell if host.relay and host.relay.leads()), cell[0])

    def _servers_of(self, zone: Zone) -> list[ServerHost]:
        return [host for host in self._servers.hosts if host.zone == zone]

    def _crash_server(self, fault: FaultPart) -> None:
        host = self._random.choice(self._servers_of(self._zone_of(fault)))
        self._servers.stop(host, is_silent=False)
        self._events.at(self._end_time_of(fault, self._part.restart_s), self._servers.start, host)

    def _fail_machine(self, fault: FaultPart) -> None:
        host = self._random.choice(self._servers_of(self._zone_of(fault)))
        self._servers.stop(host, is_silent=True)
        self._events.at(self._end_time_of(fault, self._part.repair_s), self._servers.start, host)

    def _fail_rack(self, fault: FaultPart) -> None:
        """Fails the machines of one rack of a zone together, as a loss of power does."""
        servers = self._servers_of(self._zone_of(fault))
        restart_at = self._end_time_of(fault, self._part.repair_s)
        for host in servers[: self._part.rack_servers]:
            self._servers.stop(host, is_silent=True)
            self._events.at(restart_at + self._restart_jitter_ms(), self._servers.start, host)

    def _restart_jitter_ms(self) -> float:
        return self._random.uniform(0.0, RESTART_JITTER_MS)

    def _crash_relay(self, fault: FaultPart) -> None:
        host = self._leader_of(self._zone_of(fault))
        self._relays.stop(host, is_silent=False)
        self._events.at(self._end_time_of(fault, self._part.restart_s), self._relays.start, host)

    def _restart_leader(self, fault: FaultPart) -> None:
        self._restart_relay(
            self._leader_of(self._zone_of(fault)), self._end_time_of(fault, self._part.restart_s)
        )

    def _fail_leader_machine(self, fault: FaultPart) -> None:
        zone = self._leader_of(self._zone_of(fault)).zone
        self._fail_relay_machine(zone, self._end_time_of(fault, self._part.repair_s))

    def _restart_zone(self, fault: FaultPart) -> None:
        """Kills all servers of a zone at the same time and restarts them at the same time."""
        restart_at = self._end_time_of(fault, self._part.restart_s)
        for host in self._servers_of(self._zone_of(fault)):
            self._servers.stop(host, is_silent=False)
            self._events.at(restart_at, self._servers.start, host)

    def _fail_zone(self, fault: FaultPart) -> None:
        """Fails a whole zone: its servers and its control machine."""
        zone, restart_at = self._zone_of(fault), self._end_time_of(fault, self._part.repair_s)
        self._fail_relay_machine(zone, restart_at)
        for host in self._servers_of(zone):
            self._servers.stop(host, is_silent=True)
            self._events.at(restart_at + self._restart_jitter_ms(), self._servers.start, host)

    def _cut_region(self, fault: FaultPart) -> None:
        region = self._zone_of(fault).region
        self._network.cut_regions.add(region)
        self._events.at(self._end_time_of(fault, 3600.0), self._restore_region, region)

    def _restore_region(self, region: int, _: object) -> None:
        self._network.cut_regions.discard(region)
        for host in self._relays.hosts:
            if host.zone.region == region:
                self._relays.restore_watches(host)

    def _freeze_leader_and_rack(self, fault: FaultPart) -> None:
        """Freezes the leading relay of a cell and one rack of servers of its zone."""
        zone, until = self._zone_of(fault), self._end_time_of(fault, 10.0)
        self._relays.freeze(self._leader_of(zone), until)
        for host in self._servers_of(zone)[: self._part.rack_servers]:
            self._servers.freeze(host, until)

    def _start_burst(self, fault: FaultPart) -> None:
        self._proposers.burst(self._events.now, self._load.burst, self._load.burst_s * 1000.0)
