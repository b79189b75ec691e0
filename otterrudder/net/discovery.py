"""Periodic reports that keep this server on the endpoint list of the service discovery. Reports are not
answered."""

import socket

import anyio

from otterrudder.log import log

REPORT_INTERVAL_S = 0.5  # an entry expires after 3 s, so five reports may be lost or late


class DiscoveryReporter:
    """Sends the server's state, ready or draining, as one datagram per report."""

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self.address = address
        self.is_draining = False
        self._name = name
        self._is_failing = False

    async def run(self) -> None:
        """Sends reports until it is cancelled."""
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
        except OSError as error:  # the previous report was refused, or the send buffer is full
            if not self._is_failing:
                log.warning("cannot report to service discovery", why=str(error))
            self._is_failing = True
        else:
            self._is_failing = False
