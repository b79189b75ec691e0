"""What a server is told by its part in the fleet: which policy is in force, and whether it admits.

Shared by a plain member (`agent.py`) and a server of a cell (`cell/agent.py`)."""

from collections.abc import Callable
from dataclasses import dataclass

from otterrudder.fleet.state import Policy, Standing
from otterrudder.log import log


@dataclass(frozen=True, slots=True)
class Orders:
    """What the server is to do; each is called in the dispatcher's turn, ahead of what arrives."""

    take: Callable[[str], None]  # a policy's text is in force; "": none is
    stand_aside: Callable[[bool], None]


class OrderSender:
    """Tells the server of what has changed since it was last told."""

    def __init__(self, orders: Orders) -> None:
        self.orders = orders
        self.standing: Standing | None = None
        self.taken: Policy | None = None
        self.asides = 0  # how often it stood aside

    def send(self, known: Policy, standing: Standing, why: str) -> None:
        """`standing`: by the time of the turn that admits next."""
        if self.taken is not known:
            self.taken = known
            self.orders.take(known.text)
            log.info("policy in force", version=known.version, digest=known.digest, change=known.change)
        if standing is not self.standing:
            self._send_standing(known, standing, why)

    def _send_standing(self, known: Policy, standing: Standing, why: str) -> None:
        before, self.standing = self.standing, standing
        if before is None or before.admits is not standing.admits:
            self.orders.stand_aside(not standing.admits)
            self.asides += not standing.admits
        log.info(
            "fleet standing",
            now=standing.name.lower(),
            before=before.name.lower() if before else "",
            admits=standing.admits,
            version=known.version,
            why=why or standing.value,
        )
