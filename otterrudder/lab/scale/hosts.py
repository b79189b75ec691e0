"""Simulated state of each server process, each relay process and each stream between them."""

import math
from dataclasses import dataclass, field
from typing import Any

from otterrudder.fleet.cell.participant import Participant
from otterrudder.fleet.cell.relay import Relay
from otterrudder.lab.scale.events import Handler
from otterrudder.lab.scale.network import Traffic
from otterrudder.lab.scale.topology import Zone

# handler, subject and argument of an event that arrived while its process was frozen
DeferredEvent = tuple[Handler, Any, Any]


@dataclass(slots=True, eq=False)
class ServerHost:
    """A server. `participant` is None while its process is down; `version` and `lease_until` are the policy
    version and the end of the lease after the last event of the process."""

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
    """A relay. `relay` is None while its process is down; connections are then refused if `is_machine_up`."""

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
    """A connection of a server to a relay, with the number that each end uses for it.

    Messages stay in order: none arrives at the relay before `to_relay_at` or at the server before
    `to_server_at`, the arrival times of the previous messages."""

    server: ServerHost
    server_incarnation: int
    connection: int
    relay: RelayHost
    relay_incarnation: int = 0
    number: int = 0
    to_relay_at: float = 0.0
    to_server_at: float = 0.0
