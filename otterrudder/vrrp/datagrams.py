"""The UDP socket of VRRP: sends with hop limit 255 and reports the hop limit of each received datagram."""

import socket
import struct
from dataclasses import dataclass

from otterrudder.vrrp.configuration import SocketAddress
from otterrudder.vrrp.packet import HOP_LIMIT

IP_RECVTTL = 12  # socket option number on Linux; the standard library does not define it
MAX_DATAGRAM = 2048  # bytes; the largest advertisement with its trailer has fewer than 400
MAX_ANCILLARY = 64  # bytes; enough for one control message with the hop limit
HOP_LIMIT_SIZE = 4  # bytes of data in the control message


@dataclass(frozen=True, slots=True)
class Datagram:
    """A received datagram."""

    data: bytes
    source: SocketAddress
    hops: int | None  # the hop limit on arrival; None if unknown


def open_socket(address: SocketAddress) -> socket.socket:
    """Returns a non-blocking socket bound to `address`. Raises OSError if the address cannot be bound."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        if family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_IP, socket.IP_TTL, HOP_LIMIT)
            sock.setsockopt(socket.IPPROTO_IP, IP_RECVTTL, 1)
        else:
            sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_UNICAST_HOPS, HOP_LIMIT)
            sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_RECVHOPLIMIT, 1)
        sock.bind(address)
    except BaseException:
        sock.close()
        raise
    return sock


def receive(sock: socket.socket) -> Datagram:
    """Returns the next datagram. Raises BlockingIOError if there is none, OSError on a socket error."""
    data, ancillary, _, source = sock.recvmsg(MAX_DATAGRAM, MAX_ANCILLARY)
    return Datagram(data, source[:2], _hop_limit(ancillary))


def _hop_limit(ancillary: list[tuple[int, int, bytes]]) -> int | None:
    for level, kind, data in ancillary:
        is_hop_limit = (level, kind) in (
            (socket.IPPROTO_IP, socket.IP_TTL),
            (socket.IPPROTO_IPV6, socket.IPV6_HOPLIMIT),
        )
        if is_hop_limit and len(data) >= HOP_LIMIT_SIZE:
            return int(struct.unpack_from("=i", data)[0])
    return None
