"""What TCP connections have carried, as the kernel counts it (sock_diag, linux/inet_diag.h): all bytes, with
the frames of HTTP/2, and without anything in between that would slow them."""

import errno
import socket
import struct
from collections.abc import Iterator
from dataclasses import dataclass

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST, NLM_F_DUMP = 0x1, 0x300
NLMSG_ERROR, NLMSG_DONE = 2, 3
INET_DIAG_INFO = 2  # the attribute that holds struct tcp_info
FAMILIES = (socket.AF_INET, socket.AF_INET6)  # grpcio makes sockets of the latter for both
ESTABLISHED = 1 << 1  # in the mask of states
ANSWER_MOST = 1 << 20  # bytes of a datagram of the answer

HEADER = struct.Struct("=IHHII")  # nlmsghdr: length, type, flags, sequence, port
REQUEST = struct.Struct("=BBBxI48s")  # inet_diag_req_v2: family, protocol, extensions, states, socket
SOCKET = struct.Struct("!4xHH")  # of inet_diag_msg: source port, destination port
SOCKET_SIZE = 72  # bytes of inet_diag_msg
ATTRIBUTE = struct.Struct("=HH")  # length, type
BYTES = struct.Struct("=120xQQ16xII")  # tcp_info: bytes acked, bytes received, data segments in and out


@dataclass(frozen=True, slots=True)
class Traffic:
    """Sums over connections, seen from the end that connected."""

    connections: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    segments_sent: int = 0  # that carry data
    segments_received: int = 0

    def __add__(self, other: "Traffic") -> "Traffic":
        return Traffic(
            self.connections + other.connections,
            self.bytes_sent + other.bytes_sent,
            self.bytes_received + other.bytes_received,
            self.segments_sent + other.segments_sent,
            self.segments_received + other.segments_received,
        )


def traffic_to(*ports: int) -> Traffic:
    """Of the connections of this machine that are open to these ports. OSError: the kernel does not tell."""
    total = Traffic()
    for family in FAMILIES:
        for port, traffic in _connections(family):
            if port in ports:
                total += traffic
    return total


def _connections(family: int) -> Iterator[tuple[int, Traffic]]:
    """Of each connection of that family the port that it goes to, and what it carried."""
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, NETLINK_SOCK_DIAG) as sock:
        request = REQUEST.pack(family, socket.IPPROTO_TCP, 1 << (INET_DIAG_INFO - 1), ESTABLISHED, bytes(48))
        flags = NLM_F_REQUEST | NLM_F_DUMP
        sock.send(HEADER.pack(HEADER.size + len(request), SOCK_DIAG_BY_FAMILY, flags, 1, 0) + request)
        while True:
            answer = sock.recv(ANSWER_MOST)
            for kind, body in _messages(answer):
                if kind == NLMSG_DONE:
                    return
                if kind == NLMSG_ERROR:
                    raise OSError(errno.ENOTSUP, "the kernel does not tell of its connections")
                yield SOCKET.unpack_from(body)[1], _traffic(body)


def _messages(answer: bytes) -> Iterator[tuple[int, bytes]]:
    at = 0
    while at < len(answer):
        length, kind, *_ = HEADER.unpack_from(answer, at)
        yield kind, answer[at + HEADER.size : at + length]
        at += _aligned(length)


def _traffic(body: bytes) -> Traffic:
    at = SOCKET_SIZE
    while at + ATTRIBUTE.size <= len(body):
        length, kind = ATTRIBUTE.unpack_from(body, at)
        if kind == INET_DIAG_INFO:
            acked, received, segments_in, segments_out = BYTES.unpack_from(body, at + ATTRIBUTE.size)
            return Traffic(1, acked, received, segments_out, segments_in)
        at += _aligned(length)
    return Traffic(1)


def _aligned(length: int) -> int:
    return (length + 3) & ~3
