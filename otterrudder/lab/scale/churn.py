"""What goes wrong: restarts and failures as on an ordinary day, drawn from the seed, and scripted faults."""

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
RESTART_SPREAD_MS = 2000.0  # ms over which servers that restart together come back


class Churn:
    """Restarts, failures and scripted faults of a run."""

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
        chance: random.Random,
    ) -> None:
        self.counts: dict[str, int] = {}
        self._topology, self._part, self._load = topology, part, load
        self._servers, self._relays, self._proposers = servers, relays, proposers
        self._network, self._events, self._chance = network, events, chance
        self._acts: dict[str, Callable[[FaultPart], None]] = {
            "server-crash": self._server_crash,
            "machine": self._machine,
            "rack": self._rack,
            "relay-crash": self._relay_crash,
            "relay-restart": self._relay_restart,
            "relay-machine": self._relay_machine,
            "zone-restart": self._zone_restart,
            "zone": self._zone,
            "region-cut": self._region_cut,
            "freeze": self._freeze,
            "burst": self._burst,
        }

    def ordinary(self, begin: float, end: float) -> None:
        """Restarts and failures at the day's rates, for as many servers as there are; relays' machines are
        machines like any other."""
        hosts: list[ServerHost | RelayHost] = [*self._servers.hosts, *self._relays.hosts[::2]]
        share = len(hosts) / self._part.per_servers
        for kind, per_day in (
            ("restart", self._part.restarts_a_day),
            ("failure", self._part.failures_a_day),
        ):
            per_ms = per_day * share / DAY_MS
            at = begin + self._chance.expovariate(per_ms) if per_ms else end
            while at < end:
                host = self._chance.choice(hosts)
                self._events.at(at, self._restart if kind == "restart" else self._fail, host)
                at += self._chance.expovariate(per_ms)

    def down_at_first(self) -> list[ServerHost]:
        """The machines that are being repaired as the run begins."""
        servers = self._servers.hosts
        count = round(self._part.down_at_once * len(servers) / self._part.per_servers)
        return self._chance.sample(servers, min(count, len(servers)))

    def script(self, fault: FaultPart) -> None:
        """Schedules a fault of the experiment's file."""
        self._events.at(fault.at_s * 1000.0, self._begin, fault)

    def _begin(self, fault: FaultPart, _: object) -> None:
        self._count(fault.kind)
        self._acts[fault.kind](fault)

    def _count(self, kind: str) -> None:
        self.counts[kind] = self.counts.get(kind, 0) + 1

    # Of an ordinary day.

    def _restart(self, host: ServerHost | RelayHost, _: object) -> None:
        self._count("restart")
        back = self._events.now + self._part.restart_s * 1000.0
        if isinstance(host, ServerHost):
            self._servers.stop(host, is_silent=False)
            self._events.at(back, self._servers.start, host)
        else:
            self._restart_relay(host, back)

    def _fail(self, host: ServerHost | RelayHost, _: object) -> None:
        self._count("failure")
        back = self._events.now + self._part.repair_s * 1000.0
        if isinstance(host, ServerHost):
            self._servers.stop(host, is_silent=True)
            self._events.at(back, self._servers.start, host)
        else:
            self._fail_relay_machine(host.zone, back)

    def _restart_relay(self, host: RelayHost, back: float) -> None:
        self._relays.leave(host)
        self._events.at(back, self._relays.start, host)

    def _on_machine(self, zone: Zone) -> list[RelayHost]:
        """The relays on a zone's machine for control."""
        return [host for host in self._relays.hosts if host.zone == zone]

    def _fail_relay_machine(self, zone: Zone, back: float) -> None:
        for host in self._on_machine(zone):
            host.is_machine_up = False
            self._relays.stop(host, is_silent=True)
            self._events.at(back, self._repair_relay, host)

    def _repair_relay(self, host: RelayHost, _: object) -> None:
        host.is_machine_up = True
        self._relays.start(host)

    # Scripted.

    def _until(self, fault: FaultPart, otherwise_s: float) -> float:
        return self._events.now + (fault.for_s or otherwise_s) * 1000.0

    def _some_zone(self, fault: FaultPart) -> Zone:
        """The first zone of the fault's region, else one that is drawn."""
        named = [zone for zone in self._topology.zones if self._topology.regions[zone.region] == fault.region]
        return named[0] if named else self._chance.choice(self._topology.zones)

    def _leading(self, zone: Zone) -> RelayHost:
        cell = [host for host in self._relays.hosts if host.cell == zone.name]
        return next((host for host in cell if host.relay and host.relay.leads()), cell[0])

    def _of_zone(self, zone: Zone) -> list[ServerHost]:
        return [host for host in self._servers.hosts if host.zone == zone]

    def _server_crash(self, fault: FaultPart) -> None:
        host = self._chance.choice(self._of_zone(self._some_zone(fault)))
        self._servers.stop(host, is_silent=False)
        self._events.at(self._until(fault, self._part.restart_s), self._servers.start, host)

    def _machine(self, fault: FaultPart) -> None:
        host = self._chance.choice(self._of_zone(self._some_zone(fault)))
        self._servers.stop(host, is_silent=True)
        self._events.at(self._until(fault, self._part.repair_s), self._servers.start, host)

    def _rack(self, fault: FaultPart) -> None:
        """Servers of one zone lose their power together."""
        zone = self._of_zone(self._some_zone(fault))
        back = self._until(fault, self._part.repair_s)
        for host in zone[: self._part.rack_servers]:
            self._servers.stop(host, is_silent=True)
            self._events.at(back + self._spread(), self._servers.start, host)

    def _spread(self) -> float:
        return self._chance.uniform(0.0, RESTART_SPREAD_MS)

    def _relay_crash(self, fault: FaultPart) -> None:
        host = self._leading(self._some_zone(fault))
        self._relays.stop(host, is_silent=False)
        self._events.at(self._until(fault, self._part.restart_s), self._relays.start, host)

    def _relay_restart(self, fault: FaultPart) -> None:
        self._restart_relay(self._leading(self._some_zone(fault)), self._until(fault, self._part.restart_s))

    def _relay_machine(self, fault: FaultPart) -> None:
        zone = self._leading(self._some_zone(fault)).zone
        self._fail_relay_machine(zone, self._until(fault, self._part.repair_s))

    def _zone_restart(self, fault: FaultPart) -> None:
        """All servers of a zone are killed at once and come back at once."""
        back = self._until(fault, self._part.restart_s)
        for host in self._of_zone(self._some_zone(fault)):
            self._servers.stop(host, is_silent=False)
            self._events.at(back, self._servers.start, host)

    def _zone(self, fault: FaultPart) -> None:
        """A zone is lost: its servers and its machine for control."""
        zone, back = self._some_zone(fault), self._until(fault, self._part.repair_s)
        self._fail_relay_machine(zone, back)
        for host in self._of_zone(zone):
            self._servers.stop(host, is_silent=True)
            self._events.at(back + self._spread(), self._servers.start, host)

    def _region_cut(self, fault: FaultPart) -> None:
        region = self._some_zone(fault).region
        self._network.cut_regions.add(region)
        self._events.at(self._until(fault, 3600.0), self._region_back, region)

    def _region_back(self, region: int, _: object) -> None:
        self._network.cut_regions.discard(region)
        for host in self._relays.hosts:
            if host.zone.region == region:
                self._relays.watch_again(host)

    def _freeze(self, fault: FaultPart) -> None:
        """A relay that leads, and a rack's servers of its zone, stand still."""
        zone, until = self._some_zone(fault), self._until(fault, 10.0)
        self._relays.freeze(self._leading(zone), until)
        for host in self._of_zone(zone)[: self._part.rack_servers]:
            self._servers.freeze(host, until)

    def _burst(self, fault: FaultPart) -> None:
        self._proposers.burst(self._events.now, self._load.burst, self._load.burst_s * 1000.0)
