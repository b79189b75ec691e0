"""Keeps this server on the service discovery's endpoint list: a periodic report that nobody answers."""

import socket

import anyio

from otterrudder.log import log

REPORT_INTERVAL_S = 0.5  # five may be lost or late before the entry expires at 3 s


class DiscoveryReporter:
    """Reports the server's state, ready or draining, in one datagram each."""

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self.address = address
        self.is_draining = False
        self._name = name
        self._is_failing = False

    async def run(self) -> None:
        """Reports until it is cancelled."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            while True:
                self._report(sock)
                await anyio.sleep(REPORT_INTERVAL_S)
        finally:
            sock.close()

    def _report(self, sock: socket.socket) -> None:
        state = "draining" if self.is_draining else "ready"
        try:
            sock.sendto(f"BEAT {self._name} {state}".encode(), self.address)
        except OSError as error:  # a refusal of the report before, or no room: the next one follows soon
            if not self._is_failing:
                log.warning("service discovery does not answer", why=str(error))
            self._is_failing = True
        else:
            self._is_failing = False
