"""Runs a server or a relay in which one rule of the cell protocol is disabled.

The history checker has to detect each of these mutants from the messages on the wire.

python -m otterrudder.lab.processes.cell_mutants server "ignores its lease's end"
python -m otterrudder.lab.processes.cell_mutants relay "grants past its authority" relay.toml"""

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
from otterrudder.lab.processes.mutants import serve_from_environment
from otterrudder.net import relay


class IgnoresLeaseEnd(Participant):
    """Goes on admitting after its lease has expired."""

    def admission_status(self, now: float) -> AdmissionStatus:
        """Reports SERVING in place of an expired lease or an outdated policy."""
        status = super().admission_status(now)
        is_outdated = status in (AdmissionStatus.LEASE_EXPIRED, AdmissionStatus.OUTDATED)
        return AdmissionStatus.SERVING if is_outdated else status


class GrantsPastAuthority(Relay):
    """Grants leases while it believes that it leads, without a lease from the store or an endorsement."""

    def authority_until(self, now: float) -> float:
        """Returns infinity while the relay believes that it leads."""
        return math.inf if self.leads() else -math.inf


class WithholdsNewPolicies(Relay):
    """Sends a policy only to servers that have no policy yet, so that others keep an old one."""

    def _push_policy(self, now: float, session: Session) -> None:
        if not session.version:
            super()._push_policy(now, session)


def _endorse_always() -> None:
    """Makes relays endorse even while they lead or reach the store.

    A relay that has endorsed is not bound by the endorsement."""

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


def _vote_without_polling() -> None:
    """Makes relays vote yes without polling their servers."""

    def next_requests(_self: ValidationPoll, _now: float, _candidates: Iterable[Candidate]) -> list[int]:
        return []

    def result(_self: ValidationPoll, _candidates: Iterable[Candidate]) -> str:
        return ""

    setattr(ValidationPoll, "next_requests", next_requests)  # noqa: B010
    setattr(ValidationPoll, "result", result)  # noqa: B010


def _with_relay(relay_class: type[Relay]) -> Callable[[], None]:
    return lambda: setattr(service, "Relay", relay_class)


def _with_participant(participant_class: type[Participant]) -> Callable[[], None]:
    return lambda: setattr(agent, "Participant", participant_class)


SERVER_MUTANTS: dict[str, Callable[[], None]] = {
    "ignores its lease's end": _with_participant(IgnoresLeaseEnd),
}
RELAY_MUTANTS: dict[str, Callable[[], None]] = {
    "grants past its authority": _with_relay(GrantsPastAuthority),
    "tells nobody": _with_relay(WithholdsNewPolicies),
    "consents while it leads": _endorse_always,
    "votes without asking": _vote_without_polling,
}


def _run_relay(file: Path) -> None:
    fleet = read_fleet(file)
    if not fleet.relay:
        raise ValueError(f"{file}: the file has no [relay] table")
    log.configure_logging(relay.control_name(fleet.relay))
    relay.run(fleet, fleet.relay)


if __name__ == "__main__":
    program, name, *files = sys.argv[1:]
    if program == "server":
        SERVER_MUTANTS[name]()
        serve_from_environment()
    RELAY_MUTANTS[name]()
    _run_relay(Path(files[0]))
