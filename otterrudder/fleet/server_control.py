"""How its part in the fleet controls a server: which policy it applies, and whether it admits.

Shared by a plain member (`agent.py`) and a server of a cell (`cell/agent.py`)."""

from collections.abc import Callable
from dataclasses import dataclass

from otterrudder.fleet.state import AdmissionStatus, Policy
from otterrudder.log import log


@dataclass(frozen=True, slots=True)
class ServerControl:
    """What the server is to do; each is called in the dispatcher's batch, ahead of what arrives."""

    apply_policy: Callable[[str], None]  # this text is in force; "": none is
    suspend_admission: Callable[[bool], None]


class ServerControlSender:
    """Calls the server's control for what has changed since the last time."""

    def __init__(self, control: ServerControl) -> None:
        self.control = control
        self.admission_status: AdmissionStatus | None = None  # as last sent
        self.applied: Policy | None = None  # as last sent
        self.suspensions = 0  # how often admission was suspended

    def send(self, known: Policy, admission_status: AdmissionStatus, detail: str) -> None:
        """`admission_status`: by the time of the batch that admits next; `detail`: more on it, for the
        log."""
        if self.applied is not known:
            self.applied = known
            self.control.apply_policy(known.text)
            log.info("policy in force", version=known.version, digest=known.digest, change=known.change)
        if admission_status is not self.admission_status:
            self._send_status(known, admission_status, detail)

    def _send_status(self, known: Policy, admission_status: AdmissionStatus, detail: str) -> None:
        before, self.admission_status = self.admission_status, admission_status
        if before is None or before.admits is not admission_status.admits:
            self.control.suspend_admission(not admission_status.admits)
            self.suspensions += not admission_status.admits
        log.info(
            "admission status",
            now=admission_status.label,
            before=before.label if before else "",
            admits=admission_status.admits,
            version=known.version,
            why=detail or admission_status.description,
        )
