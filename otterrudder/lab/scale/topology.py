"""The placement of a fleet: its regions and zones, their latencies, and the regions of the store."""

from dataclasses import dataclass

from otterrudder.lab.scale.experiment import Experiment


@dataclass(frozen=True, slots=True)
class Zone:
    """A zone, whose servers form one cell. `number` is unique over all regions."""

    number: int
    region: int
    name: str


@dataclass(frozen=True, slots=True)
class Topology:
    """The zones and regions of a fleet, and the latencies between regions."""

    zones: tuple[Zone, ...]
    regions: tuple[str, ...]
    latency_ms: tuple[tuple[float, ...], ...]  # one way, between regions
    store_regions: tuple[int, ...]

    @staticmethod
    def of(experiment: Experiment, max_regions: int | None = None) -> "Topology":
        """Creates the topology of an experiment, of its first `max_regions` regions if given.

        The store's members stay in their regions even if these have no servers then."""
        topology = experiment.topology
        zones: list[Zone] = []
        for region, count in enumerate(topology.zones[:max_regions]):
            zones += [
                Zone(len(zones) + index, region, f"{topology.regions[region]}-{'abcdefghij'[index]}")
                for index in range(count)
            ]
        store_regions = tuple(topology.regions.index(region) for region in experiment.store.regions)
        return Topology(tuple(zones), topology.regions, topology.latency_ms, store_regions)

    def neighbour(self, zone: Zone) -> Zone:
        """Returns the next zone of the same region, or of the nearest region if there is no other."""
        others = [other for other in self.zones if other != zone]
        latency = self.latency_ms[zone.region]
        return min(
            others,
            key=lambda other: (
                other.region != zone.region,
                latency[other.region],
                (other.number - zone.number) % len(self.zones),
            ),
        )

    def store_one_way_ms(self, region: int) -> float:
        """Returns the one-way latency from a region to the store's leader through the member for which it is
        shortest, in ms."""
        leader = self.store_regions[0]
        return min(
            self.latency_ms[region][member] + self.latency_ms[member][leader] for member in self.store_regions
        )

    @property
    def quorum_ms(self) -> float:
        """The round trip in ms from the store's leader to the other members that it needs for a quorum."""
        leader = self.store_regions[0]
        latencies = sorted(self.latency_ms[leader][member] for member in self.store_regions[1:])
        needed = len(self.store_regions) // 2
        return 2 * latencies[needed - 1] if needed else 0.0
