"""What TCP connections have carried, as the kernel counts it (sock_diag, linux/inet_diag.h): all bytes, with
the frames of HTTP/2, and without anything in between that would slow them."""

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
INET_DIAG_INFO = 2  # the attribute that holds struct tcp_info
FAMILIES = (socket.AF_INET, socket.AF_INET6)  # grpcio makes sockets of the latter for both
ESTABLISHED = 1 << 1  # in the mask of states
MAX_ANSWER_BYTES = 1 << 20  # bytes of a datagram of the answer

HEADER = struct.Struct("=IHHII")  # nlmsghdr: length, type, flags, sequence, port
REQUEST = struct.Struct("=BBBxI48s")  # inet_diag_req_v2: family, protocol, extensions, states, socket
PORTS = struct.Struct("!4xHH")  # of inet_diag_msg: source, destination
INODE = struct.Struct("=68xI")  # of inet_diag_msg
SOCKET_SIZE = 72  # bytes of inet_diag_msg
ATTRIBUTE = struct.Struct("=HH")  # length, type
BYTES = struct.Struct("=120xQQ")  # of tcp_info: acked, received


@dataclass(frozen=True, slots=True)
class Traffic:
    """Of one connection or several, seen from the end that connected."""

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


Connections = Mapping[int, Traffic]  # by the inode of the socket


def connections_to(ports: Iterable[int], processes: Iterable[int]) -> Connections:
    """Those that these processes have open to these ports. OSError: the kernel does not tell."""
    wanted = set(ports)
    own = {inode for pid in processes for inode in _sockets_of(pid)}
    found = (connection for family in FAMILIES for connection in _connections(family))
    return {
        connection.inode: connection.traffic
        for connection in found
        if connection.port in wanted and connection.inode in own
    }


def carried(before: Connections, after: Connections) -> Traffic:
    """What those that are open after it have carried since; what one carried that ended meanwhile is lost."""
    total = Traffic()
    for inode, traffic in after.items():
        total += traffic - before.get(inode, Traffic())
    return total


@dataclass(frozen=True, slots=True)
class _Connection:
    port: int  # that it goes to
    inode: int  # of the socket
    traffic: Traffic


def _sockets_of(pid: int) -> Iterator[int]:
    """The inodes of a process's sockets."""
    for descriptor in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):  # it was closed just now
            kind, _, inode = str(descriptor.readlink()).partition(":")
            if kind == "socket":
                yield int(inode.strip("[]"))


def _connections(family: int) -> Iterator[_Connection]:
    """All of that family."""
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, NETLINK_SOCK_DIAG) as sock:
        request = REQUEST.pack(family, socket.IPPROTO_TCP, 1 << (INET_DIAG_INFO - 1), ESTABLISHED, bytes(48))
        flags = NLM_F_REQUEST | NLM_F_DUMP
        sock.send(HEADER.pack(HEADER.size + len(request), SOCK_DIAG_BY_FAMILY, flags, 1, 0) + request)
        while True:
            answer = sock.recv(MAX_ANSWER_BYTES)
            for kind, body in _messages(answer):
                if kind == NLMSG_DONE:
                    return
                if kind == NLMSG_ERROR:
                    raise OSError(errno.ENOTSUP, "the kernel does not tell of its connections")
                _, port = PORTS.unpack_from(body)
                (inode,) = INODE.unpack_from(body)
                yield _Connection(port, inode, _traffic(body))


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
            return Traffic(*BYTES.unpack_from(body, at + ATTRIBUTE.size))
        at += _aligned(length)
    return Traffic()


def _aligned(length: int) -> int:
    return (length + 3) & ~3
