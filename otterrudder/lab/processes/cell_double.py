"""The program with one rule of cells left out, for the rig: the ledger has to find each from the wire.

python -m otterrudder.lab.processes.cell_double server "ignores its lease's end"
python -m otterrudder.lab.processes.cell_double relay "grants past its authority" relay.toml"""

import math
import sys
from collections.abc import Callable, Iterable
from pathlib import Path

from otterrudder import log
from otterrudder.fleet.cell import agent, service
from otterrudder.fleet.cell.endorsement import ENDORSEMENT_MS, EndorsementGiver
from otterrudder.fleet.cell.messages import Endorsement, EndorsementRequest
from otterrudder.fleet.cell.participant import Participant
from otterrudder.fleet.cell.relay import Relay
from otterrudder.fleet.cell.sessions import Session
from otterrudder.fleet.cell.validation_poll import Candidate, ValidationPoll
from otterrudder.fleet.configuration import read_fleet
from otterrudder.fleet.state import AdmissionStatus
from otterrudder.lab.processes.double import serve_as_told
from otterrudder.net import relay


class IgnoresLeaseEnd(Participant):
    """Admits by what it last heard, for as long as it hears nothing."""

    def admission_status(self, now: float) -> AdmissionStatus:
        admission_status = super().admission_status(now)
        return (
            AdmissionStatus.SERVING
            if admission_status in (AdmissionStatus.LEASE_EXPIRED, AdmissionStatus.OUTDATED)
            else admission_status
        )


class GrantsPastAuthority(Relay):
    """Grants for as long as it believes that it leads, with or without the store's lease or a consent."""

    def authority_until(self, now: float) -> float:
        return math.inf if self.leads() else -math.inf


class TellsNobody(Relay):
    """Sends a newer text only to servers that have none."""

    def _push_policy(self, now: float, session: Session) -> None:
        if not session.version:
            super()._push_policy(now, session)


def _consents_always() -> None:
    """Endorses also while it leads, or hears the store, and takes part all the same."""

    def answer(
        self: EndorsementGiver,
        _now: float,
        request: EndorsementRequest,
        *,
        leads: bool,  # noqa: ARG001
        store_answers: bool,  # noqa: ARG001
    ) -> Endorsement:
        return Endorsement(request.sequence, self.identity.address, ENDORSEMENT_MS)

    setattr(EndorsementGiver, "answer", answer)  # noqa: B010


def _votes_without_asking() -> None:
    """Says yes for its servers."""

    def next_questions(_self: ValidationPoll, _now: float, _candidates: Iterable[Candidate]) -> list[int]:
        return []

    def result(_self: ValidationPoll, _candidates: Iterable[Candidate]) -> str:
        return ""

    setattr(ValidationPoll, "next_questions", next_questions)  # noqa: B010
    setattr(ValidationPoll, "result", result)  # noqa: B010


def _with_relay(kind: type[Relay]) -> Callable[[], None]:
    return lambda: setattr(service, "Relay", kind)


def _with_participant(kind: type[Participant]) -> Callable[[], None]:
    return lambda: setattr(agent, "Participant", kind)


SERVER_FAULTS: dict[str, Callable[[], None]] = {
    "ignores its lease's end": _with_participant(IgnoresLeaseEnd),
}
RELAY_FAULTS: dict[str, Callable[[], None]] = {
    "grants past its authority": _with_relay(GrantsPastAuthority),
    "tells nobody": _with_relay(TellsNobody),
    "consents while it leads": _consents_always,
    "votes without asking": _votes_without_asking,
}


def _run_relay(file: Path) -> None:
    fleet = read_fleet(file)
    if not fleet.relay:
        raise ValueError(f"{file}: relay: the file has no such table")
    log.configure_logging(relay.control_name(fleet.relay))
    relay.run(fleet, fleet.relay)


if __name__ == "__main__":
    what, name, *rest = sys.argv[1:]
    if what == "server":
        SERVER_FAULTS[name]()
        serve_as_told()
    RELAY_FAULTS[name]()
    _run_relay(Path(rest[0]))
