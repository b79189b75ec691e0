"""Selects the relay that a server connects to, and the time of each connection attempt.

The first address in the list is the preferred relay. The module is pure: it does no I/O and reads no
clock."""

import math

RETRY_MS = 200.0  # delay before a retry after every relay has refused; doubled after each round
MAX_RETRY_MS = 2000.0
MAX_RETRY_DOUBLINGS = 10
PREFERRED_RETRY_MS = 30_000.0  # delay before the preferred relay is tried again
MAX_PREFERRED_DOUBLINGS = 4  # the delay doubles after each failed return: a standby may lead for days


class RelaySelector:
    """Tries the addresses in their order, with a backoff after each round, and returns to the first one.

    Each `jitter` argument is a number from 0 to 1."""

    __slots__ = (
        "_connections",
        "_index",
        "_failed_returns",
        "addresses",
        "connect_at",
        "failures",
        "return_at",
    )

    def __init__(self, now: float, addresses: tuple[str, ...]) -> None:
        self.addresses = addresses
        self.connect_at = now
        self.return_at = math.inf  # time of the next attempt to return to the preferred relay
        self.failures = 0  # consecutive failures to get a lease
        self._connections = 0  # number of connections begun
        self._index = 0
        self._failed_returns = 0  # consecutive failed attempts to return to the preferred relay

    @property
    def address(self) -> str:
        """The address of the relay that the server is connected to, or tries next."""
        return self.addresses[self._index]

    @property
    def is_preferred(self) -> bool:
        """Whether the current address is the preferred relay's."""
        return self._index == 0

    def advance(self) -> None:
        """Selects the next relay after the current relay has granted no lease."""
        self.failures += 1
        self._index = (self._index + 1) % len(self.addresses)

    def schedule_connect(self, now: float, jitter: float) -> None:
        """Schedules the next connection after `advance`.

        It is due at once until each address has been tried, and after an exponential backoff from then on."""
        rounds = self.failures // len(self.addresses)
        if rounds == 0:
            self.connect_at = now
            return
        wait = min(RETRY_MS * 2.0 ** min(rounds - 1, MAX_RETRY_DOUBLINGS), MAX_RETRY_MS)
        self.connect_at = now + wait * (0.5 + 0.5 * jitter)

    def confirm(self) -> None:
        """Records that the current relay has granted a lease."""
        self.failures = 0
        if self.is_preferred:
            self._failed_returns = 0

    def schedule_return_to_preferred(self, now: float, jitter: float) -> None:
        """Schedules the return to the preferred relay after `confirm`, unless it is the current relay."""
        if self.is_preferred or self.return_at < math.inf:
            return
        wait = PREFERRED_RETRY_MS * 2.0**self._failed_returns
        self.return_at = now + wait * (0.5 + jitter)

    def return_to_preferred(self, now: float) -> None:
        """Selects the preferred relay; if it grants no lease, the others are tried after it."""
        self._failed_returns = min(self._failed_returns + 1, MAX_PREFERRED_DOUBLINGS)
        self._index = 0
        self.connect_at = now

    def begin_connection(self) -> int:
        """Begins a connection to the current address and returns the connection's number."""
        self.return_at = math.inf
        self._connections += 1
        return self._connections
