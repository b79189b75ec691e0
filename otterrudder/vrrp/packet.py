"""Encodes and decodes VRRPv3 advertisements, with the receiver's checks of RFC 9568, section 7.1.

VRRP is carried over UDP here, so the source and destination of the IP header are not available. The
checksum's pseudo-header uses the addresses in the group's configuration instead. The unit of time on the wire
is the centisecond; values in this module are in ms."""

import struct
from dataclasses import dataclass
from enum import Enum
from ipaddress import IPv4Address, IPv6Address

VERSION = 3  # VRRPv3
ADVERTISEMENT_TYPE = 1  # the only type that the RFC defines
PROTOCOL = 112  # VRRP's IP protocol number, for the pseudo-header
HOP_LIMIT = 255  # hop limit of sent messages; a routed message arrives with a lower value
CENTISECOND_MS = 10.0
MAX_INTERVAL_CS = 0xFFF  # centiseconds; the field has 12 bits
MAX_ADDRESSES = 20  # maximum number of addresses in an advertisement; the field allows 255
HEADER_SIZE = 8  # bytes before the addresses
IPV4_SIZE = 4  # bytes of an IPv4 address
IPV6_SIZE = 16  # bytes of an IPv6 address
STOP_PRIORITY = 0  # sent by a master that stops participating in the group
OWNER_PRIORITY = 255  # priority of the router that owns the virtual addresses

Address = IPv4Address | IPv6Address
_HEADER = struct.Struct(">BBBBHH")


class DropReason(Enum):
    """The reason for dropping a message. The value is also the name of the reason's counter."""

    SHORT = "too short"
    VERSION = "another version"
    TYPE = "another type"
    LENGTH = "length does not fit the addresses"
    CHECKSUM = "checksum"
    HOPS = "was routed"
    VRID = "no such group"
    ADDRESSES = "other addresses"
    INTERVAL = "another interval"
    OWN = "heard back"
    AUTHENTICATION = "seal"
    REPLAY = "replayed"
    SENDER = "unknown sender"


class PacketError(Exception):
    """A received message must be dropped; `reason` says why."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Advertisement:
    """The fields of an advertisement."""

    vrid: int  # 1 to 255
    priority: int  # 0 to 255
    interval_ms: float  # interval between advertisements; a whole number of centiseconds on the wire
    addresses: tuple[Address, ...]  # at least one, all of the same IP version


def checksum(data: bytes) -> int:
    """Returns the internet checksum (RFC 1071).

    It is the one's complement of the one's complement sum of all 16-bit words."""
    if len(data) % 2:
        data += b"\0"
    # The remainder modulo 0xFFFF equals the sum with end-around carry, without a loop over the words.
    total = int.from_bytes(data) % 0xFFFF
    return 0xFFFF - total if total or not any(data) else 0


def pseudo_header(source: Address, destination: Address, length: int) -> bytes:
    """Returns the pseudo-header of RFC 793 for IPv4, or of RFC 8200 for IPv6."""
    addresses = source.packed + destination.packed
    if source.version == 4:
        return addresses + struct.pack(">BBH", 0, PROTOCOL, length)
    return addresses + struct.pack(">I3xB", length, PROTOCOL)


def encode(advertisement: Advertisement, source: Address, destination: Address) -> bytes:
    """Returns the message from `source` to `destination`. Raises ValueError if a value is out of range."""
    interval_cs = round(advertisement.interval_ms / CENTISECOND_MS)
    _check_encodable(advertisement, interval_cs, source, destination)
    addresses = b"".join(address.packed for address in advertisement.addresses)
    fields = (
        VERSION << 4 | ADVERTISEMENT_TYPE,
        advertisement.vrid,
        advertisement.priority,
        len(advertisement.addresses),
        interval_cs,
    )
    unsummed = _HEADER.pack(*fields, 0) + addresses
    total = checksum(pseudo_header(source, destination, len(unsummed)) + unsummed)
    return _HEADER.pack(*fields, total) + addresses


def _check_encodable(
    advertisement: Advertisement, interval_cs: int, source: Address, destination: Address
) -> None:
    addresses = advertisement.addresses
    if not 1 <= interval_cs <= MAX_INTERVAL_CS:
        raise ValueError(
            f"the interval of {advertisement.interval_ms:g} ms is not between 1 and {MAX_INTERVAL_CS} "
            "centiseconds"
        )
    if not 1 <= advertisement.vrid <= 255 or not 0 <= advertisement.priority <= 255:
        raise ValueError("the VRID must be between 1 and 255, the priority between 0 and 255")
    if not 1 <= len(addresses) <= MAX_ADDRESSES:
        raise ValueError(f"an advertisement has 1 to {MAX_ADDRESSES} addresses, not {len(addresses)}")
    if len({address.version for address in (*addresses, source, destination)}) > 1:
        raise ValueError("a group must not mix IPv4 and IPv6 addresses")


def decode(data: bytes, source: Address, destination: Address, hops: int | None = HOP_LIMIT) -> Advertisement:
    """Returns the advertisement in a message. Raises PacketError if the message must be dropped.

    `hops` is the hop limit on arrival, None if unknown. The checks are in the order of the RFC: hop limit,
    version, type, length, checksum. `check_group` does the checks that depend on the group."""
    if hops is not None and hops != HOP_LIMIT:
        raise PacketError(DropReason.HOPS)
    if len(data) < HEADER_SIZE:
        raise PacketError(DropReason.SHORT)
    version_type, vrid, priority, count, interval, _ = _HEADER.unpack_from(data)
    if version_type >> 4 != VERSION:
        raise PacketError(DropReason.VERSION)
    if version_type & 0xF != ADVERTISEMENT_TYPE:
        raise PacketError(DropReason.TYPE)
    address_size = IPV4_SIZE if source.version == 4 else IPV6_SIZE
    if not 1 <= count <= MAX_ADDRESSES or len(data) != HEADER_SIZE + count * address_size:
        raise PacketError(DropReason.LENGTH)
    if checksum(pseudo_header(source, destination, len(data)) + data):
        raise PacketError(DropReason.CHECKSUM)
    address_class: type[Address] = IPv4Address if source.version == 4 else IPv6Address
    addresses = tuple(
        address_class(data[start : start + address_size])
        for start in range(HEADER_SIZE, len(data), address_size)
    )
    return Advertisement(vrid, priority, (interval & MAX_INTERVAL_CS) * CENTISECOND_MS, addresses)


def check_group(
    advertisement: Advertisement,
    vrid: int,
    addresses: frozenset[Address],
    interval_ms: float,
    learns_interval: bool,
) -> None:
    """Checks an advertisement against the group's configuration. Raises PacketError with the failed check."""
    if advertisement.vrid != vrid or not advertisement.vrid:
        raise PacketError(DropReason.VRID)
    if frozenset(advertisement.addresses) != addresses:
        raise PacketError(DropReason.ADDRESSES)
    is_other_interval = not learns_interval and advertisement.interval_ms != interval_ms
    if advertisement.interval_ms <= 0 or is_other_interval:
        raise PacketError(DropReason.INTERVAL)
