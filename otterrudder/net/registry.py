"""Keeps this server on the list: a report now and then, which nobody answers."""

import socket

import anyio

from otterrudder.log import log

PERIOD_S = 0.5  # s between reports: five may be lost or late before the entry lapses at 3 s


class Registry:
    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self.name, self.address, self.draining = name, address, False
        self.failing = False

    async def run(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            while True:
                self._report(sock)
                await anyio.sleep(PERIOD_S)
        finally:
            sock.close()

    def _report(self, sock: socket.socket) -> None:
        state = "draining" if self.draining else "ready"
        try:
            sock.sendto(f"BEAT {self.name} {state}".encode(), self.address)
        except OSError as trouble:  # a refusal of the report before, or no room: the next one tells
            if not self.failing:
                log.warning("registry is away", why=str(trouble))
            self.failing = True
        else:
            self.failing = False
