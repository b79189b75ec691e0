"""A fake of the platform's service discovery, which records the reports of servers."""

import contextlib
import socket
from dataclasses import dataclass

import anyio

from otterrudder.clock import monotonic as clock

MAX_DATAGRAM = 512  # bytes


@dataclass(frozen=True, slots=True)
class ServerReport:
    """A received report."""

    at: float
    name: str
    state: str


class FakeDiscovery:
    """Listens on a free UDP port; `run` closes the socket."""

    def __init__(self) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind(("127.0.0.1", 0))
        self.address: tuple[str, int] = self.sock.getsockname()
        self.reports: list[ServerReport] = []

    async def run(self) -> None:
        """Records reports until cancelled."""
        try:
            while True:
                await anyio.wait_readable(self.sock)
                with contextlib.suppress(BlockingIOError):
                    _, name, state = self.sock.recv(MAX_DATAGRAM).decode().split(" ")
                    self.reports.append(ServerReport(clock(), name, state))
        finally:
            self.sock.close()
