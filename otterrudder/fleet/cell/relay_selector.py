"""Which relay a server connects to, and when it tries the next one. Pure."""

import math

RETRY_MS = 200.0  # to the first retry after every relay has refused; doubled with each round
MAX_RETRY_MS = 2000.0
MAX_RETRY_DOUBLINGS = 10
PREFERRED_RETRY_MS = 30_000.0  # on another relay, after which the first address is tried again
MAX_PREFERRED_DOUBLINGS = 4  # of that, one for each failed return: a standby may lead for days


class RelaySelector:
    """Tries addresses in their order, with a backoff after each round, and returns to the first one.

    A `jitter` argument is a number from 0 to 1."""

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
        self.return_at = math.inf  # to the first address
        self.failures = 0  # in a row
        self._connections = 0  # so far
        self._index = 0
        self._failed_returns = 0  # to the first address that failed, in a row

    @property
    def address(self) -> str:
        """The relay that is connected to, or tried next."""
        return self.addresses[self._index]

    @property
    def is_preferred(self) -> bool:
        """Whether this is the first address."""
        return self._index == 0

    def advance(self) -> None:
        """The current relay granted nothing: the next one follows."""
        self.failures += 1
        self._index = (self._index + 1) % len(self.addresses)

    def schedule_connect(self, now: float, jitter: float) -> None:
        """After `advance`: at once, until each address was tried; then with exponential backoff."""
        rounds = self.failures // len(self.addresses)
        if rounds == 0:
            self.connect_at = now
            return
        wait = min(RETRY_MS * 2.0 ** min(rounds - 1, MAX_RETRY_DOUBLINGS), MAX_RETRY_MS)
        self.connect_at = now + wait * (0.5 + 0.5 * jitter)

    def confirm(self) -> None:
        """The current relay has granted a lease."""
        self.failures = 0
        if self.is_preferred:
            self._failed_returns = 0

    def schedule_return_to_preferred(self, now: float, jitter: float) -> None:
        """After `confirm`: when the first address is tried again, unless this is it."""
        if self.is_preferred or self.return_at < math.inf:
            return
        wait = PREFERRED_RETRY_MS * 2.0**self._failed_returns
        self.return_at = now + wait * (0.5 + jitter)

    def return_to_preferred(self, now: float) -> None:
        """The first address is tried again; if it grants nothing, the others follow."""
        self._failed_returns = min(self._failed_returns + 1, MAX_PREFERRED_DOUBLINGS)
        self._index = 0
        self.connect_at = now

    def begin_connection(self) -> int:
        """A connection to the current address is begun; its number."""
        self.return_at = math.inf
        self._connections += 1
        return self._connections
