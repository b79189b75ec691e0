"""The program with one fault put in, for the rig: `python -m otterrudder.lab.processes.double "never aside"`.

Each claim of the checker has a fault here that it finds. The fleet's are the doubles of the search; the four
rules' are spoilt on the way out."""

import asyncio
import os
import socket
import sys
import time
from collections.abc import Callable
from typing import NoReturn

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

EACH = 6  # requests, of which one is spoilt
LATE_S = 4.6  # s until an answer that is late: the gateways wait 4 s
PAUSE_S = 5.0  # s, in a fifth of which the list is told anything


def _member(kind: type[Member]) -> Callable[[], None]:
    def put_in() -> None:
        setattr(agent, "Member", kind)  # noqa: B010

    return put_in


class ServesAtOnce(Member):
    """Admits from its start by what its folder says, whatever was changed while it was down."""

    def admission_status(self, now: float) -> AdmissionStatus:
        admission_status = super().admission_status(now)
        return (
            AdmissionStatus.SERVING
            if admission_status in (AdmissionStatus.STARTING, AdmissionStatus.REGISTERING)
            else admission_status
        )


def _loses() -> None:
    """Now and then an answer is never sent."""
    real, count = RequestTable._answer, [0]

    def answer(self: RequestTable, request: PendingRequest, *rest: object) -> None:
        count[0] += 1
        if count[0] % EACH == 0:
            request.is_answered = True
            return
        real(self, request, *rest)  # type: ignore[arg-type]

    setattr(RequestTable, "_answer", answer)  # noqa: B010


def _runs_twice() -> None:
    """Knows no repeat."""
    real = core.RequestCore.handle_arrival

    def handle_arrival(self: core.RequestCore, *args: object) -> None:
        self.idempotency.entries.clear()
        self.idempotency.batch_entries.clear()
        real(self, *args)  # type: ignore[arg-type]

    setattr(core.RequestCore, "handle_arrival", handle_arrival)  # noqa: B010


def _other_result() -> None:
    """Now and then serves what no run made."""
    real, count = core.RequestCore.handle_run_ended, [0]

    def ended(self: core.RequestCore, call: str, outcome: object, body: bytes) -> None:
        count[0] += 1
        real(self, call, outcome, b"other" if count[0] % EACH == 0 else body)  # type: ignore[arg-type]

    setattr(core.RequestCore, "handle_run_ended", ended)  # noqa: B010


def _answers_twice() -> None:
    """Says the same again."""
    real = RequestTable._answer

    def answer(self: RequestTable, request: PendingRequest, *rest: object) -> None:
        sent = len(self._outbox.messages)
        real(self, request, *rest)  # type: ignore[arg-type]
        self._outbox.messages += self._outbox.messages[sent:]

    setattr(RequestTable, "_answer", answer)  # noqa: B010


def _answers_late() -> None:
    """Now and then an answer lies about until its caller has given up."""
    real, count = RequestTable._answer, [0]

    def answer(self: RequestTable, request: PendingRequest, *rest: object) -> None:
        count[0] += 1
        if count[0] % EACH or request.is_answered:
            real(self, request, *rest)  # type: ignore[arg-type]
            return

        def later() -> None:
            request.is_answered = False
            real(self, request, *rest)  # type: ignore[arg-type]

        request.is_answered = True
        asyncio.get_running_loop().call_later(LATE_S, later)

    setattr(RequestTable, "_answer", answer)  # noqa: B010


def _declines_repeats() -> None:
    """A repeat of what ran is turned away."""

    def replay(self: core.RequestCore, request: PendingRequest, _: object) -> None:
        self.requests.reject(request, False, 0.0)
        assert self.controller
        self.controller.handle_finished(request.number, Outcome.NEVER_STARTED)

    core._REQUEST_COMMANDS[commands.ReplayResponse] = replay


def _unlisted() -> None:
    """Tells the list of itself when it feels like it."""
    real, start = discovery.DiscoveryReporter._report, time.monotonic()

    def report(self: discovery.DiscoveryReporter, sock: socket.socket) -> None:
        if (time.monotonic() - start) % PAUSE_S < PAUSE_S / 5:
            real(self, sock)

    setattr(discovery.DiscoveryReporter, "_report", report)  # noqa: B010


def _drops_at_drain() -> None:
    """Told to drain, it ends at once."""
    setattr(core.RequestCore, "begin_graceful_shutdown", lambda self, left_ms: os._exit(0))  # noqa: B010


def _never_leaves() -> None:
    """Told to drain, it serves on."""
    setattr(core.RequestCore, "begin_graceful_shutdown", lambda self, left_ms: None)  # noqa: B010


FAULTS: dict[str, Callable[[], None]] = {
    "never aside": _member(NeverSuspends),
    "sleeps through": _member(UsesClockOfLastAnswer),
    "any policy": _member(AppliesBeforeCommit),
    "serves at once": _member(ServesAtOnce),
    "loses": _loses,
    "runs twice": _runs_twice,
    "another result": _other_result,
    "answers twice": _answers_twice,
    "answers late": _answers_late,
    "declines repeats": _declines_repeats,
    "unlisted": _unlisted,
    "drops at drain": _drops_at_drain,
    "never leaves": _never_leaves,
}


def serve_as_told() -> NoReturn:
    """The server's program, by what the environment says."""
    files = ServerFiles.from_environment()
    configuration = read_configuration(files.configuration)
    log.configure_logging(configuration.name)
    sys.exit(serve.run(configuration, files))


if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    serve_as_told()
