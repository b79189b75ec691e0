"""Reads and validates the file of a scale experiment. Errors name the file and the key."""

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from otterrudder.files import convert, load_toml
from otterrudder.fleet.records import Absent
from otterrudder.lab.site import InvalidInputError

VERSION = 1  # version of the file format

Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Servers = Annotated[int, msgspec.Meta(ge=2)]
Bytes = Annotated[int, msgspec.Meta(ge=0)]
Bounds = tuple[NotNegative, NotNegative]  # minimum and maximum, in ms


class _Strict(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    pass


class RulesPart(_Strict, kw_only=True, frozen=True):
    """The rules of the fleet, as in a fleet file."""

    bound_ms: Positive = 3000.0
    store_lease_ms: Positive = 3000.0
    server_lease_ms: Positive = 3000.0


class TopologyPart(_Strict, kw_only=True, frozen=True):
    """The regions, the number of zones of each, and the one-way latencies between regions."""

    regions: tuple[str, ...]
    zones: tuple[Count, ...]
    latency_ms: tuple[tuple[NotNegative, ...], ...]


class StorePart(_Strict, kw_only=True, frozen=True):
    """The regions of the store's members, the leader's first, and the latencies of the store."""

    regions: tuple[str, ...]
    disk_ms: Bounds = (1.0, 4.0)
    read_ms: Bounds = (0.2, 0.8)
    watch_ms: Bounds = (0.5, 5.0)


class NetworkPart(_Strict, kw_only=True, frozen=True):
    """One-way latencies, and the overhead of messages and connections beyond the encoded messages."""

    in_zone_ms: Bounds = (0.2, 0.6)
    cross_zone_ms: Bounds = (0.6, 1.6)
    jitter: NotNegative = 0.1
    framing_bytes: Bytes = 96
    connect_messages: Bytes = 6
    connect_bytes: Bytes = 4500


class LoadPart(_Strict, kw_only=True, frozen=True):
    """The policy changes that are proposed during a run."""

    changes_per_s: Positive = 0.8
    text_bytes: Bytes = 27_000
    check_ms: Bounds = (0.3, 12.0)
    kinds: Count = 4
    burst: Bytes = 2000
    burst_s: Positive = 60.0


class ChurnPart(_Strict, kw_only=True, frozen=True):
    """The restarts and failures of an ordinary day in a fleet of `per_servers` servers."""

    per_servers: Count = 8200
    restarts_a_day: NotNegative = 14_000.0
    restart_s: Positive = 20.0
    failures_a_day: NotNegative = 300.0
    down_at_once: NotNegative = 12.0
    rack_servers: Count = 40

    @property
    def repair_s(self) -> float:
        """The mean repair time in seconds, which follows from the failures per day and the number of machines
        that are down at any time."""
        return self.down_at_once / max(self.failures_a_day, 1e-9) * 86_400.0


FaultKind = Literal[
    "server-crash",
    "machine",
    "rack",
    "relay-crash",
    "relay-restart",
    "relay-machine",
    "zone-restart",
    "zone",
    "region-cut",
    "freeze",
    "burst",
]


class FaultPart(_Strict, kw_only=True, frozen=True):
    """One scripted fault. `for_s` is its duration; without it, a default for its kind applies."""

    kind: FaultKind
    at_s: NotNegative
    for_s: Positive | None = None
    region: str = ""


class CasePart(_Strict, kw_only=True, frozen=True):
    """A case that is run with each of the given fleet sizes, rules for absent servers and seeds."""

    name: str
    sizes: tuple[Servers, ...] = ()
    regions: tuple[Count, ...] = ()
    absent: tuple[Absent, ...] = ("wait",)
    seeds: tuple[int, ...] = ()
    minutes: Positive | None = None
    changes_per_s: NotNegative | None = None
    has_churn: bool = True
    standbys_start_s: NotNegative = 0.0  # delay of the second relays, so that the first ones lead
    look_ms: Positive = 1000.0  # interval between samples of the admission state of all servers
    faults: tuple[FaultPart, ...] = ()
    is_quick: bool = False


class Experiment(_Strict, kw_only=True, frozen=True):
    """The contents of an experiment file."""

    version: int
    name: str
    title: str
    seeds: tuple[int, ...]
    minutes: Positive
    warm_up_s: Positive = 30.0
    quick_servers: tuple[Servers, ...] = (120, 240)
    quick_minutes: Positive = 1.5
    rules: RulesPart
    topology: TopologyPart
    store: StorePart
    network: NetworkPart
    load: LoadPart
    churn: ChurnPart
    case: tuple[CasePart, ...]
    processes: dict[str, Any] = {}  # settings of the part on processes, which validates them


def read_scale(path: Path) -> Experiment:
    """Reads an experiment file. Raises InvalidInputError with the file and the key if it is invalid."""
    values = load_toml(path, InvalidInputError)
    experiment: Experiment = convert(values, Experiment, f"{path.name}: ", InvalidInputError)
    error = next(_errors(experiment), None)
    if error:
        raise InvalidInputError(f"{path.name}: {error}")
    return experiment


def is_scale(values: dict[str, Any]) -> bool:
    """Returns whether the values of a lab file are those of a scale experiment."""
    return "topology" in values


def _errors(experiment: Experiment) -> Iterator[str]:
    """Yields a message for each error, which starts with the key."""
    yield from _general_errors(experiment)
    yield from _topology_errors(experiment)
    yield from _case_errors(experiment)


def _general_errors(experiment: Experiment) -> Iterator[str]:
    if experiment.version != VERSION:
        yield f".version: this program supports only version {VERSION}"
    if not experiment.seeds:
        yield ".seeds: must not be empty"


def _topology_errors(experiment: Experiment) -> Iterator[str]:
    topology = experiment.topology
    count = len(topology.regions)
    if count < 1 or len(set(topology.regions)) != count:
        yield ".topology.regions: must not be empty or contain a name twice"
    if len(topology.zones) != count:
        yield f".topology.zones: {len(topology.zones)} numbers for {count} regions"
    if sum(topology.zones) < 2:
        yield ".topology.zones: at least two zones are needed for the two relays of a cell"
    if len(topology.latency_ms) != count or any(len(row) != count for row in topology.latency_ms):
        yield f".topology.latency_ms: must have {count} rows of {count} numbers"
        return
    yield from _latency_errors(experiment)
    yield from _store_errors(experiment)


def _latency_errors(experiment: Experiment) -> Iterator[str]:
    topology = experiment.topology
    for here in range(len(topology.regions)):
        for there in range(here):
            if topology.latency_ms[here][there] != topology.latency_ms[there][here]:
                names = f"{topology.regions[here]} and {topology.regions[there]}"
                yield f".topology.latency_ms: {names} have different latencies in the two directions"


def _store_errors(experiment: Experiment) -> Iterator[str]:
    regions = experiment.store.regions
    for region in regions:
        if region not in experiment.topology.regions:
            yield f".store.regions: {region!r} is not a region of the topology"
    if not regions:
        yield ".store.regions: must not be empty"


def _case_errors(experiment: Experiment) -> Iterator[str]:
    names = [case.name for case in experiment.case]
    if len(set(names)) != len(names):
        yield ".case: two cases have the same name"
    for number, case in enumerate(experiment.case):
        if not case.sizes:
            yield f".case[{number}].sizes: must not be empty"
        for fault_number, fault in enumerate(case.faults):
            if fault.region and fault.region not in experiment.topology.regions:
                key = f".case[{number}].faults[{fault_number}].region"
                yield f"{key}: {fault.region!r} is not a region of the topology"
    rules = experiment.rules
    if rules.server_lease_ms > rules.bound_ms:
        yield ".rules.server_lease_ms: must not exceed .rules.bound_ms"
