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
    def of(experiment: Experiment, regions_most: int | None = None) -> "Topology":
        """`regions_most`: the first so many regions alone; the store's members stay where they are."""
        told = experiment.topology
        zones: list[Zone] = []
        for region, count in enumerate(told.zones[:regions_most]):
            zones += [
                Zone(len(zones) + which, region, f"{told.regions[region]}-{'abcdefghij'[which]}")
                for which in range(count)
            ]
        stores = tuple(told.regions.index(region) for region in experiment.store.regions)
        return Topology(tuple(zones), told.regions, told.latency_ms, stores)

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

    def store_way_ms(self, region: int) -> float:
        """One way from a region to the store's leader, by way of the member over which it is shortest."""
        leader = self.store_regions[0]
        return min(
            self.latency_ms[region][member] + self.latency_ms[member][leader] for member in self.store_regions
        )

    @property
    def quorum_ms(self) -> float:
        """From the store's leader to the nearest half of the other members and back."""
        leader = self.store_regions[0]
        ways = sorted(self.latency_ms[leader][member] for member in self.store_regions[1:])
        needed = len(self.store_regions) // 2
        return 2 * ways[needed - 1] if needed else 0.0
