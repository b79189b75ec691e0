"""The VRRP configuration of this router, checked: what the reader makes of the operators' file."""

from dataclasses import dataclass

from otterrudder.admission.interface import RequestScope
from otterrudder.vrrp.admission_gate import HoldDown
from otterrudder.vrrp.keys import KeyRing
from otterrudder.vrrp.packet import Address
from otterrudder.vrrp.tracking import TrackedObject

SocketAddress = tuple[str, int]  # host and port


@dataclass(frozen=True, slots=True)
class Peer:
    """Another router of a group: its primary address, and its UDP socket."""

    address: Address
    udp: SocketAddress


@dataclass(frozen=True, slots=True)
class Group:
    """A virtual router that this router takes part in, and the requests that it moves."""

    name: str
    vrid: int
    address: Address  # this router's primary address
    destination: Address  # of the advertisements, in the checksum's pseudo-header
    virtual_addresses: frozenset[Address]
    priority: int
    interval_ms: float
    learns_interval: bool
    preempts: bool
    preempt_delay_ms: float
    accepts: bool
    scope: RequestScope
    peers: tuple[Peer, ...]
    tracked_objects: tuple[TrackedObject, ...]


@dataclass(frozen=True, slots=True)
class VrrpConfiguration:
    """A whole file, with its keys."""

    listen: SocketAddress
    checks_hops: bool
    hand_over_ms: float
    hold_down: HoldDown
    groups: tuple[Group, ...]
    keys: KeyRing
