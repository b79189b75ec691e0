"""The VRRP configuration of this router, as `configuration_reader` returns it after all checks."""

from dataclasses import dataclass

from otterrudder.admission.interface import RequestScope
from otterrudder.vrrp.admission_gate import HoldDown
from otterrudder.vrrp.keys import KeyRing
from otterrudder.vrrp.packet import Address
from otterrudder.vrrp.tracking import TrackedObject

SocketAddress = tuple[str, int]  # IP address and port


@dataclass(frozen=True, slots=True)
class Peer:
    """Another router of a group."""

    address: Address  # the router's primary address
    udp: SocketAddress  # the address of its UDP socket


@dataclass(frozen=True, slots=True)
class Group:
    """A virtual router that this router takes part in, and the requests that depend on its state."""

    name: str
    vrid: int
    address: Address  # this router's primary address
    destination: Address  # the destination of the advertisements in the checksum's pseudo-header
    virtual_addresses: frozenset[Address]
    priority: int  # 1 to 255, before tracked objects lower it
    interval_ms: float  # interval between advertisements
    learns_interval: bool  # whether to use the master's interval; otherwise other intervals are dropped
    preempts: bool  # Preempt_Mode of the RFC
    preempt_delay_ms: float
    accepts: bool  # Accept_Mode of the RFC
    scope: RequestScope  # the requests that are admitted only while this router is master
    peers: tuple[Peer, ...]
    tracked_objects: tuple[TrackedObject, ...]


@dataclass(frozen=True, slots=True)
class VrrpConfiguration:
    """The contents of a VRRP file and of its key file."""

    listen: SocketAddress
    checks_hops: bool  # whether messages with a hop limit below 255 are dropped
    hand_over_ms: float  # time in which a new backup answers the requests it has read
    hold_down: HoldDown
    groups: tuple[Group, ...]
    keys: KeyRing
