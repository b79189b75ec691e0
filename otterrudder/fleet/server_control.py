"""How the fleet agent controls its server: which policy the server applies, and whether it admits requests.

The agents of a plain member (`agent.py`) and of a server of a cell (`cell/agent.py`) share this code."""

from collections.abc import Callable
from dataclasses import dataclass

from otterrudder.fleet.state import AdmissionStatus, Policy
from otterrudder.log import log


@dataclass(frozen=True, slots=True)
class ServerControl:
    """The functions that control the server. They are called in the dispatcher's batch, before it handles
    requests."""

    apply_policy: Callable[[str], None]  # takes the text of the policy in force; "" if there is none
    suspend_admission: Callable[[bool], None]  # True suspends admission, False resumes it


class ServerControlSender:
    """Calls the server's control functions for what has changed since the last call."""

    def __init__(self, control: ServerControl) -> None:
        self.control = control
        self.admission_status: AdmissionStatus | None = None  # last status sent
        self.applied: Policy | None = None  # last policy sent
        self.suspensions = 0  # number of times that admission was suspended

    def send(self, policy: Policy, admission_status: AdmissionStatus, detail: str) -> None:
        """Sends the policy and the admission status to the server if they have changed. `admission_status` is
        evaluated at the time of the current batch; `detail` explains it in the log."""
        if self.applied is not policy:
            self.applied = policy
            self.control.apply_policy(policy.text)
            log.info("policy in force", version=policy.version, digest=policy.digest, change=policy.change)
        if admission_status is not self.admission_status:
            self._send_status(policy, admission_status, detail)

    def _send_status(self, policy: Policy, admission_status: AdmissionStatus, detail: str) -> None:
        before, self.admission_status = self.admission_status, admission_status
        if before is None or before.admits is not admission_status.admits:
            self.control.suspend_admission(not admission_status.admits)
            self.suspensions += not admission_status.admits
        log.info(
            "admission status changed",
            now=admission_status.label,
            before=before.label if before else "",
            admits=admission_status.admits,
            version=policy.version,
            why=detail or admission_status.description,
        )
