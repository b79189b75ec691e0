"""The simulated network between servers and relays: latencies, partitions and message sizes."""

import random
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from otterrudder.fleet.cell.messages import PolicyUpdate, ValidationRequest, encode
from otterrudder.lab.scale.experiment import NetworkPart
from otterrudder.lab.scale.topology import Topology, Zone

# Every 1024th message of a type is encoded to measure its size again, since its numbers get more digits over
# time.
MEASURE_INTERVAL = 1024


@dataclass(slots=True)
class Traffic:
    """Counters of messages and of their bytes, including framing."""

    messages: int = 0
    size: int = 0

    def add(self, size: int) -> None:
        """Counts a message of `size` bytes."""
        self.messages += 1
        self.size += size


@dataclass(slots=True)
class Sizes:
    """The wire size of messages by type. A policy text counts with the configured size `text_bytes`, not
    with the length of the simulated text."""

    framing: int
    text_bytes: int
    _size_by_type: dict[type, int] = field(default_factory=dict)
    counts: Counter[type] = field(default_factory=Counter)

    def size_of(self, message: object) -> int:
        """Returns the size of a message on the wire, in bytes.

        Encodes only some messages of each type and reuses their size for the others."""
        kind = type(message)
        self.counts[kind] += 1
        if self.counts[kind] % MEASURE_INTERVAL == 1:
            self._size_by_type[kind] = self._measure(message)
        return self._size_by_type[kind]

    def _measure(self, message: object) -> int:
        size = self.framing + len(encode(message))  # type: ignore[arg-type]
        if isinstance(message, PolicyUpdate | ValidationRequest):
            empty = msgspec.structs.replace(message, text="")
            size = self.framing + len(encode(empty)) + self.text_bytes
        return size


class Network:
    """One-way latencies between zones, and the regions that are cut off from the others."""

    def __init__(self, topology: Topology, part: NetworkPart, random_source: random.Random) -> None:
        self.part = part
        self.cut_regions: set[int] = set()
        self._random = random_source
        self._bounds: dict[tuple[int, int], tuple[float, float]] = {}
        for here in topology.zones:
            for there in topology.zones:
                self._bounds[here.number, there.number] = self._latency_bounds(topology, here, there)

    def _latency_bounds(self, topology: Topology, here: Zone, there: Zone) -> tuple[float, float]:
        if here == there:
            low, high = self.part.in_zone_ms
        elif here.region == there.region:
            low, high = self.part.cross_zone_ms
        else:
            low = topology.latency_ms[here.region][there.region]
            high = low * (1.0 + self.part.jitter)
        return low, high - low

    def one_way_ms(self, here: int, there: int) -> float:
        """Draws the one-way latency between two zones, in ms."""
        low, width = self._bounds[here, there]
        return low + width * self._random.random()

    def is_cut(self, region: int, other: int) -> bool:
        """Returns whether the network between two regions is cut."""
        return region != other and (region in self.cut_regions or other in self.cut_regions)
