"""Where everything is: regions and zones, the servers of each, the relays of each cell, and the store."""

from dataclasses import dataclass

from otterrudder.lab.scale.experiment import Experiment


@dataclass(frozen=True, slots=True)
class Zone:
    """A zone, which is a cell as well. `number` counts over all regions."""

    number: int
    region: int
    name: str


@dataclass(frozen=True, slots=True)
class Topology:
    """Zones in regions, and how far they are from each other."""

    zones: tuple[Zone, ...]
    regions: tuple[str, ...]
    latency_ms: tuple[tuple[float, ...], ...]  # one way, between regions
    store_regions: tuple[int, ...]

    @staticmethod
    def of(experiment: Experiment, max_regions: int | None = None) -> "Topology":
        """`max_regions`: the first so many regions alone; the store's members stay where they are."""
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
        """The next zone of the same region; of the nearest region, where it has no other."""
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
        """One way from a region to the store's leader, by way of the member over which it is shortest."""
        leader = self.store_regions[0]
        return min(
            self.latency_ms[region][member] + self.latency_ms[member][leader] for member in self.store_regions
        )

    @property
    def quorum_ms(self) -> float:
        """From the store's leader to the nearest half of the other members and back."""
        leader = self.store_regions[0]
        latencies = sorted(self.latency_ms[leader][member] for member in self.store_regions[1:])
        needed = len(self.store_regions) // 2
        return 2 * latencies[needed - 1] if needed else 0.0
