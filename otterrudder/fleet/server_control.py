"""What a server is told by its part in the fleet: which policy is in force, and whether it admits.

Shared by a plain member (`agent.py`) and a server of a cell (`cell/agent.py`)."""

from collections.abc import Callable
from dataclasses import dataclass

from otterrudder.fleet.state import AdmissionStatus, Policy
from otterrudder.log import log


@dataclass(frozen=True, slots=True)
class ServerControl:
    """What the server is to do; each is called in the dispatcher's turn, ahead of what arrives."""

    take: Callable[[str], None]  # a policy's text is in force; "": none is
    suspend_admission: Callable[[bool], None]


class ServerControlSender:
    """Tells the server of what has changed since it was last told."""

    def __init__(self, orders: ServerControl) -> None:
        self.orders = orders
        self.admission_status: AdmissionStatus | None = None
        self.taken: Policy | None = None
        self.asides = 0  # how often it stood aside

    def send(self, known: Policy, admission_status: AdmissionStatus, why: str) -> None:
        """`standing`: by the time of the turn that admits next."""
        if self.taken is not known:
            self.taken = known
            self.orders.take(known.text)
            log.info("policy in force", version=known.version, digest=known.digest, change=known.change)
        if admission_status is not self.admission_status:
            self._send_standing(known, admission_status, why)

    def _send_standing(self, known: Policy, admission_status: AdmissionStatus, why: str) -> None:
        before, self.admission_status = self.admission_status, admission_status
        if before is None or before.admits is not admission_status.admits:
            self.orders.suspend_admission(not admission_status.admits)
            self.asides += not admission_status.admits
        log.info(
            "fleet standing",
            now=admission_status.label,
            before=before.label if before else "",
            admits=admission_status.admits,
            version=known.version,
            why=why or admission_status.description,
        )
