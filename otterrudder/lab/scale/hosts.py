"""What the simulation keeps of each process: a server, a relay, and the stream between two of them."""

import math
from dataclasses import dataclass, field
from typing import Any

from otterrudder.fleet.cell.participant import Participant
from otterrudder.fleet.cell.relay import Relay
from otterrudder.lab.scale.events import Handler
from otterrudder.lab.scale.network import Traffic
from otterrudder.lab.scale.topology import Zone

DeferredEvent = tuple[Handler, Any, Any]  # an event that waits while a process is frozen


@dataclass(slots=True, eq=False)
class ServerHost:
    """`participant`: None while the process is down; `version` and `lease_until`: its state after its last
    event."""

    name: str
    zone: Zone
    kind: str
    relays: tuple[str, ...]
    participant: Participant | None = None
    incarnation: int = 0
    stream: "Stream | None" = None
    timer_at: float = math.inf
    version: int = 0
    lease_until: float = -math.inf
    frozen_until: float = -math.inf
    deferred: list[DeferredEvent] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class RelayHost:
    """`relay`: None while the process is down; its machine may be up then, and refuse connections."""

    address: str
    cell: str
    candidates: tuple[str, ...]
    zone: Zone
    relay: Relay | None = None
    is_machine_up: bool = True
    incarnation: int = 0
    timer_at: float = math.inf
    streams: dict[int, "Stream"] = field(default_factory=dict)
    last_stream: int = 0
    watching: frozenset[str] = frozenset()
    received: Traffic = field(default_factory=Traffic)
    sent: Traffic = field(default_factory=Traffic)
    frozen_until: float = -math.inf
    deferred: list[DeferredEvent] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Stream:
    """One connection of a server to a relay; each end has its own number for it. Messages keep their order:
    none arrives before `to_relay_at` or `to_server_at`."""

    server: ServerHost
    server_incarnation: int
    connection: int
    relay: RelayHost
    relay_incarnation: int = 0
    number: int = 0
    to_relay_at: float = 0.0
    to_server_at: float = 0.0
