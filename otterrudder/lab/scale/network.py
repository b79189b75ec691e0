"""The network between servers and relays: latencies, cuts, and what messages weigh."""

import random
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from otterrudder.fleet.cell.messages import PolicyUpdate, ValidationRequest, encode
from otterrudder.lab.scale.experiment import NetworkPart
from otterrudder.lab.scale.topology import Topology, Zone

MEASURE_INTERVAL = 1024  # messages of a type after which one is encoded again: numbers grow longer


@dataclass(slots=True)
class Traffic:
    """Messages and bytes, framing included."""

    messages: int = 0
    size: int = 0

    def add(self, size: int) -> None:
        """Counts a message of so many bytes."""
        self.messages += 1
        self.size += size


@dataclass(slots=True)
class Sizes:
    """Bytes of a message by its type. A policy's text counts with its stated size, whatever stands in for
    it."""

    framing: int
    text_bytes: int
    _size_by_type: dict[type, int] = field(default_factory=dict)
    counts: Counter[type] = field(default_factory=Counter)

    def size_of(self, message: object) -> int:
        """The size of a message on the wire, in bytes; only some of each type are encoded."""
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
    """One-way latencies between zones, and which regions are cut off from the others."""

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
        """One way between two zones."""
        low, width = self._bounds[here, there]
        return low + width * self._random.random()

    def is_cut(self, region: int, other: int) -> bool:
        """Whether no message passes between two regions."""
        return region != other and (region in self.cut_regions or other in self.cut_regions)
