"""Reads the bytes that TCP connections have carried from the counters of the kernel.

The counters are read through sock_diag (linux/inet_diag.h). They include the frames of HTTP/2, and reading
them does not slow the connections as a proxy would."""

import contextlib
import errno
import socket
import struct
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST, NLM_F_DUMP = 0x1, 0x300
NLMSG_ERROR, NLMSG_DONE = 2, 3
INET_DIAG_INFO = 2  # attribute that contains struct tcp_info
FAMILIES = (socket.AF_INET, socket.AF_INET6)  # grpcio uses AF_INET6 sockets for both protocols
ESTABLISHED = 1 << 1  # bit of the mask of connection states
MAX_RESPONSE_BYTES = 1 << 20  # maximum size of a datagram of the response

HEADER = struct.Struct("=IHHII")  # nlmsghdr: length, type, flags, sequence, port
REQUEST = struct.Struct("=BBBxI48s")  # inet_diag_req_v2: family, protocol, extensions, states, socket
PORTS = struct.Struct("!4xHH")  # fields of inet_diag_msg: source, destination
INODE = struct.Struct("=68xI")  # field of inet_diag_msg
SOCKET_SIZE = 72  # size of inet_diag_msg in bytes
ATTRIBUTE = struct.Struct("=HH")  # fields of an attribute: length, type
BYTES = struct.Struct("=120xQQ")  # fields of tcp_info: bytes acknowledged, bytes received


@dataclass(frozen=True, slots=True)
class Traffic:
    """The bytes of one or more connections, as counted at the connecting end."""

    bytes_sent: int = 0
    bytes_received: int = 0

    def __add__(self, other: "Traffic") -> "Traffic":
        return Traffic(
            self.bytes_sent + other.bytes_sent,
            self.bytes_received + other.bytes_received,
        )

    def __sub__(self, before: "Traffic") -> "Traffic":
        return Traffic(
            self.bytes_sent - before.bytes_sent,
            self.bytes_received - before.bytes_received,
        )


Connections = Mapping[int, Traffic]  # traffic by the inode of the socket


def connections_to(ports: Iterable[int], processes: Iterable[int]) -> Connections:
    """Returns the open connections of the given processes to the given ports.

    Raises OSError if the kernel does not report its connections."""
    remote_ports = set(ports)
    own_inodes = {inode for pid in processes for inode in _sockets_of(pid)}
    established = (connection for family in FAMILIES for connection in _connections(family))
    return {
        connection.inode: connection.traffic
        for connection in established
        if connection.port in remote_ports and connection.inode in own_inodes
    }


def traffic_between(before: Connections, after: Connections) -> Traffic:
    """Returns the traffic between two readings of the connections that are open in the second reading.

    The traffic of connections that were closed in between is not included."""
    total = Traffic()
    for inode, traffic in after.items():
        total += traffic - before.get(inode, Traffic())
    return total


@dataclass(frozen=True, slots=True)
class _Connection:
    port: int  # remote port
    inode: int  # inode of the socket
    traffic: Traffic


def _sockets_of(pid: int) -> Iterator[int]:
    """Yields the inodes of the sockets of a process."""
    for descriptor in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):  # the descriptor was closed since it was listed
            kind, _, inode = str(descriptor.readlink()).partition(":")
            if kind == "socket":
                yield int(inode.strip("[]"))


def _connections(family: int) -> Iterator[_Connection]:
    """Yields all established connections of an address family."""
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, NETLINK_SOCK_DIAG) as sock:
        request = REQUEST.pack(family, socket.IPPROTO_TCP, 1 << (INET_DIAG_INFO - 1), ESTABLISHED, bytes(48))
        flags = NLM_F_REQUEST | NLM_F_DUMP
        sock.send(HEADER.pack(HEADER.size + len(request), SOCK_DIAG_BY_FAMILY, flags, 1, 0) + request)
        while True:
            response = sock.recv(MAX_RESPONSE_BYTES)
            for kind, body in _messages(response):
                if kind == NLMSG_DONE:
                    return
                if kind == NLMSG_ERROR:
                    raise OSError(errno.ENOTSUP, "the kernel does not report its connections")
                _, port = PORTS.unpack_from(body)
                (inode,) = INODE.unpack_from(body)
                yield _Connection(port, inode, _traffic(body))


def _messages(response: bytes) -> Iterator[tuple[int, bytes]]:
    offset = 0
    while offset < len(response):
        length, kind, *_ = HEADER.unpack_from(response, offset)
        yield kind, response[offset + HEADER.size : offset + length]
        offset += _aligned(length)


def _traffic(body: bytes) -> Traffic:
    offset = SOCKET_SIZE
    while offset + ATTRIBUTE.size <= len(body):
        length, kind = ATTRIBUTE.unpack_from(body, offset)
        if kind == INET_DIAG_INFO:
            return Traffic(*BYTES.unpack_from(body, offset + ATTRIBUTE.size))
        offset += _aligned(length)
    return Traffic()


def _aligned(length: int) -> int:
    return (length + 3) & ~3
