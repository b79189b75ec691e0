"""The server program with one seeded fault:
`python -m otterrudder.lab.processes.mutants "never aside"`.

Each rule of the history checker has a mutant here that the rule detects. The mutants of the fleet are shared
with the model search; the mutants of the request rules are patched into the request core."""

import asyncio
import os
import socket
import sys
import time
from collections.abc import Callable
from typing import Any, NoReturn

from otterrudder import log
from otterrudder.admission import commands
from otterrudder.admission.interface import Outcome
from otterrudder.configuration import read_configuration
from otterrudder.fleet import agent
from otterrudder.fleet.member import Member
from otterrudder.fleet.state import AdmissionStatus
from otterrudder.lab.fleet.mutants import AppliesBeforeCommit, NeverSuspends, UsesClockOfLastAnswer
from otterrudder.net import core, discovery, serve
from otterrudder.net.request_table import RequestTable
from otterrudder.net.requests import PendingRequest
from otterrudder.net.server_files import ServerFiles

FAULT_EVERY = 6  # one call in 6 is faulty
LATE_ANSWER_S = 4.6  # delay of a late answer; gateways wait 4 s
REPORT_PERIOD_S = 5.0
REPORT_SHARE = 0.2  # fraction of each period in which reports are sent


class _Counter:
    """Counts calls, and selects the faulty ones."""

    def __init__(self) -> None:
        self.count = 0

    def is_due(self) -> bool:
        self.count += 1
        return self.count % FAULT_EVERY == 0


def _patch(owner: object, name: str, replacement: Callable[..., Any]) -> None:
    """Replaces a method, using `setattr` because type checkers reject the assignment."""
    setattr(owner, name, replacement)


def _with_member(member_class: type[Member]) -> Callable[[], None]:
    return lambda: _patch(agent, "Member", member_class)


class ServesAtOnce(Member):
    """Admits from its start by the saved policy, ignoring changes that happened while it was down."""

    def admission_status(self, now: float) -> AdmissionStatus:
        """Returns SERVING while the member is starting or registering."""
        status = super().admission_status(now)
        is_starting = status in (AdmissionStatus.STARTING, AdmissionStatus.REGISTERING)
        return AdmissionStatus.SERVING if is_starting else status


def _loses_answers() -> None:
    """Never sends some answers."""
    original = RequestTable._answer
    counter = _Counter()

    def answer(self: RequestTable, request: PendingRequest, *arguments: Any) -> None:
        if counter.is_due():
            request.is_answered = True
            return
        original(self, request, *arguments)

    _patch(RequestTable, "_answer", answer)


def _runs_twice() -> None:
    """Does not recognise repeats, so their runs start again."""
    original = core.RequestCore.handle_arrival

    def handle_arrival(self: core.RequestCore, *arguments: Any) -> None:
        self.idempotency.entries.clear()
        self.idempotency.batch_entries.clear()
        original(self, *arguments)

    _patch(core.RequestCore, "handle_arrival", handle_arrival)


def _changes_results() -> None:
    """Sends some answers with a body that no run produced."""
    original = core.RequestCore.handle_run_ended
    counter = _Counter()

    def handle_run_ended(self: core.RequestCore, call: str, outcome: Any, body: bytes) -> None:
        original(self, call, outcome, b"other" if counter.is_due() else body)

    _patch(core.RequestCore, "handle_run_ended", handle_run_ended)


def _answers_twice() -> None:
    """Sends each answer twice."""
    original = RequestTable._answer

    def answer(self: RequestTable, request: PendingRequest, *arguments: Any) -> None:
        sent = len(self._outbox)
        original(self, request, *arguments)
        self._outbox += self._outbox[sent:]

    _patch(RequestTable, "_answer", answer)


def _answers_late() -> None:
    """Delays some answers until the caller has timed out."""
    original = RequestTable._answer
    counter = _Counter()

    def answer(self: RequestTable, request: PendingRequest, *arguments: Any) -> None:
        if not counter.is_due() or request.is_answered:
            original(self, request, *arguments)
            return

        def answer_now() -> None:
            request.is_answered = False
            original(self, request, *arguments)

        request.is_answered = True
        asyncio.get_running_loop().call_later(LATE_ANSWER_S, answer_now)

    _patch(RequestTable, "_answer", answer)


def _rejects_repeats() -> None:
    """Rejects repeats of completed requests."""

    def reject(self: core.RequestCore, request: PendingRequest, _: object) -> None:
        self.requests.reject(request, False, 0.0)
        assert self.controller
        self.controller.handle_finished(request.number, Outcome.NEVER_STARTED)

    core._REQUEST_COMMANDS[commands.ReplayResponse] = reject


def _reports_rarely() -> None:
    """Reports to service discovery only during a fraction of each period."""
    original = discovery.DiscoveryReporter._report
    start = time.monotonic()

    def report(self: discovery.DiscoveryReporter, sock: socket.socket) -> None:
        if (time.monotonic() - start) % REPORT_PERIOD_S < REPORT_PERIOD_S * REPORT_SHARE:
            original(self, sock)

    _patch(discovery.DiscoveryReporter, "_report", report)


def _exits_at_drain() -> None:
    """Exits immediately instead of draining."""
    _patch(core.RequestCore, "begin_graceful_shutdown", lambda self, left_ms: os._exit(0))


def _never_drains() -> None:
    """Ignores the signal to drain."""
    _patch(core.RequestCore, "begin_graceful_shutdown", lambda self, left_ms: None)


MUTANTS: dict[str, Callable[[], None]] = {
    "never aside": _with_member(NeverSuspends),
    "sleeps through": _with_member(UsesClockOfLastAnswer),
    "any policy": _with_member(AppliesBeforeCommit),
    "serves at once": _with_member(ServesAtOnce),
    "loses": _loses_answers,
    "runs twice": _runs_twice,
    "another result": _changes_results,
    "answers twice": _answers_twice,
    "answers late": _answers_late,
    "declines repeats": _rejects_repeats,
    "unlisted": _reports_rarely,
    "drops at drain": _exits_at_drain,
    "never leaves": _never_drains,
}


def serve_from_environment() -> NoReturn:
    """Runs the server program, configured by the environment."""
    files = ServerFiles.from_environment()
    configuration = read_configuration(files.configuration)
    log.configure_logging(configuration.name)
    sys.exit(serve.run(configuration, files))


if __name__ == "__main__":
    MUTANTS[sys.argv[1]]()
    serve_from_environment()
