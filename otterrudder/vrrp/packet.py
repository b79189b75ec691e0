"""VRRPv3 advertisements: bytes to values and back, with every check that RFC 9568 asks of a receiver
(section 7.1).

Over UDP the real source and destination of a message are hidden, so the pseudo-header of the checksum is
made of the addresses that the group states for them. Times on the wire are centiseconds; here they are ms."""

import struct
from dataclasses import dataclass
from enum import Enum
from ipaddress import IPv4Address, IPv6Address

VERSION, ADVERTISEMENT = 3, 1  # of the RFC: the only ones there are
PROTOCOL = 112  # VRRP's number, in the pseudo-header
HOP_LIMIT = 255  # a message that was routed has a lower one
CENTISECOND_MS = 10.0  # ms of the unit on the wire
INTERVAL_MOST = 0xFFF  # centiseconds: the field has 12 bits
ADDRESSES_MOST = 20  # in an advert; the field allows 255, which no group here needs
LEAST = 8  # bytes ahead of the addresses
LEAVING, OWNER = 0, 255  # priorities with a meaning: the master goes; it owns the addresses

Address = IPv4Address | IPv6Address
_HEAD = struct.Struct(">BBBBHH")


class Flaw(Enum):
    """Why a message is dropped; each is counted by itself."""

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
    SEAL = "seal"
    REPLAY = "replayed"
    SENDER = "unknown sender"


class BadPacket(Exception):
    """A message that is dropped; `flaw` says why."""

    def __init__(self, flaw: Flaw) -> None:
        super().__init__(flaw.value)
        self.flaw = flaw


@dataclass(frozen=True, slots=True)
class Advert:
    """What an advertisement says."""

    vrid: int  # 1 to 255
    priority: int  # 0 to 255
    interval_ms: float  # of the sender's adverts; whole centiseconds on the wire
    addresses: tuple[Address, ...]  # all of one family, at least one


def checksum(data: bytes) -> int:
    """The 16-bit one's complement of the one's complement sum (RFC 1071)."""
    if len(data) % 2:
        data += b"\0"
    # Summed as one number: its remainder by 0xFFFF is the end-around sum, with no loop over the bytes.
    total = int.from_bytes(data) % 0xFFFF
    return 0xFFFF - total if total or not any(data) else 0


def pseudo_header(source: Address, destination: Address, length: int) -> bytes:
    """Of RFC 793 for IPv4 and RFC 8200 for IPv6, as the message would be carried in IP."""
    ends = source.packed + destination.packed
    if source.version == 4:
        return ends + struct.pack(">BBH", 0, PROTOCOL, length)
    return ends + struct.pack(">I3xB", length, PROTOCOL)


def encode(advert: Advert, source: Address, destination: Address) -> bytes:
    """The message that `source` sends to `destination`; ValueError for what the fields can't hold."""
    centiseconds = round(advert.interval_ms / CENTISECOND_MS)
    if not 1 <= centiseconds <= INTERVAL_MOST:
        raise ValueError(f"an interval of {advert.interval_ms:g} ms does not fit 1 to {INTERVAL_MOST} cs")
    if not 1 <= advert.vrid <= 255 or not 0 <= advert.priority <= 255:
        raise ValueError("the group's number is from 1 to 255, a priority from 0 to 255")
    if not 1 <= len(advert.addresses) <= ADDRESSES_MOST:
        raise ValueError(f"from 1 to {ADDRESSES_MOST} addresses, not {len(advert.addresses)}")
    if len({address.version for address in (*advert.addresses, source, destination)}) > 1:
        raise ValueError("addresses of both families in one group")
    tail = b"".join(address.packed for address in advert.addresses)
    first = VERSION << 4 | ADVERTISEMENT
    fields = (first, advert.vrid, advert.priority, len(advert.addresses), centiseconds)
    blank = _HEAD.pack(*fields, 0) + tail
    return _HEAD.pack(*fields, checksum(pseudo_header(source, destination, len(blank)) + blank)) + tail


def decode(data: bytes, source: Address, destination: Address, hops: int | None = HOP_LIMIT) -> Advert:
    """The advert in a message, or BadPacket. `hops`: the hop limit that it arrived with; None: not told.

    In the RFC's order: hop limit, version, type, length, checksum. What hangs on the group is for
    `accept`."""
    if hops is not None and hops != HOP_LIMIT:
        raise BadPacket(Flaw.HOPS)
    if len(data) < LEAST:
        raise BadPacket(Flaw.SHORT)
    first, vrid, priority, count, interval, _ = _HEAD.unpack_from(data)
    if first >> 4 != VERSION:
        raise BadPacket(Flaw.VERSION)
    if first & 0xF != ADVERTISEMENT:
        raise BadPacket(Flaw.TYPE)
    size = 4 if source.version == 4 else 16
    if not 1 <= count <= ADDRESSES_MOST or len(data) != LEAST + count * size:
        raise BadPacket(Flaw.LENGTH)
    if checksum(pseudo_header(source, destination, len(data)) + data):
        raise BadPacket(Flaw.CHECKSUM)
    kind: type[Address] = IPv4Address if size == 4 else IPv6Address
    addresses = tuple(kind(data[at : at + size]) for at in range(LEAST, len(data), size))
    return Advert(vrid, priority, (interval & INTERVAL_MOST) * CENTISECOND_MS, addresses)


def accept(
    advert: Advert, vrid: int, addresses: frozenset[Address], interval_ms: float, learns_interval: bool
) -> None:
    """The checks of a group on an advert; BadPacket says which failed. A priority of 0 names no interval to
    go by."""
    if advert.vrid != vrid or not advert.vrid:
        raise BadPacket(Flaw.VRID)
    if frozenset(advert.addresses) != addresses:
        raise BadPacket(Flaw.ADDRESSES)
    if advert.interval_ms <= 0 or not learns_interval and advert.interval_ms != interval_ms:
        raise BadPacket(Flaw.INTERVAL)
