"""The validation of a change by the servers of a cell, from the member's request to the result.

The module is pure: it does no I/O and reads no clock."""

import math
from dataclasses import dataclass

from otterrudder.fleet.cell.messages import ValidationRequest
from otterrudder.fleet.cell.sessions import SessionTable
from otterrudder.fleet.cell.validation_poll import ValidationCache, ValidationPoll
from otterrudder.fleet.effects import ValidatePolicy
from otterrudder.fleet.member import Member
from otterrudder.fleet.state import OpenChange


@dataclass(frozen=True, slots=True)
class ValidationStep:
    """The next step of a validation: the connections of the servers to ask now, and the result if it has
    finished.

    `result`: the first rejection, "" if all servers accept the text, None if the result is unknown."""

    connections: tuple[int, ...] = ()
    is_finished: bool = False
    result: str | None = None


NO_STEP = ValidationStep()


def undecided_change(member: Member) -> OpenChange | None:
    """Returns the open change if the cell has not voted on it, according to the member's last read."""
    seen = member.observed
    if not seen or seen.voted is not None:
        return None
    return seen.open


class CellValidation:
    """Polls the servers once for each change, and keeps the member's request until the result is known."""

    __slots__ = ("_awaits_servers", "_change_revision", "cache", "poll", "started_at", "task")

    def __init__(self, now: float) -> None:
        self.cache = ValidationCache()
        self.poll: ValidationPoll | None = None
        self.task: ValidatePolicy | None = None  # the member's request, until it is answered
        self.started_at = now
        self._awaits_servers = False  # whether more servers may still connect after a takeover
        self._change_revision = 0  # store revision that created the change of the poll

    def start(self, now: float, task: ValidatePolicy, member: Member) -> None:
        """Starts the validation of a text that the member has requested."""
        change = undecided_change(member)
        revision = change.created if change and change.digest == task.digest else 0
        if not revision or not self._polls_change(revision):
            self.poll = ValidationPoll(task.digest, self.cache)
            self._change_revision = revision
        self.task = task
        self.started_at = now

    def advance(self, now: float, member: Member, sessions: SessionTable) -> ValidationStep:
        """Returns which servers to ask now, and the result if there is one.

        It is called after each event and at the time that `due` returns."""
        if not self.poll or not self.task:
            return NO_STEP
        if not _is_open(member, self.poll.digest):
            # The change is no longer open. If it was committed, the servers can't reject it any more;
            # otherwise this relay does not know the outcome.
            is_in_force = member.policies.newest_version > member.applied_policy.version
            return ValidationStep(is_finished=True, result="" if is_in_force else None)
        candidates = list(sessions.candidates(now))
        connections = tuple(self.poll.next_requests(now, candidates))
        self._awaits_servers = now < member.voting.abstains_until
        if self._awaits_servers:
            return ValidationStep(connections)
        result = self.poll.result(candidates)
        return ValidationStep(connections, is_finished=result is not None, result=result)

    def finish(self) -> tuple[ValidatePolicy, float]:
        """Ends the validation; returns the member's request and the time at which it was made."""
        assert self.task
        task = self.task
        self.task = None
        return task, self.started_at

    def request(self) -> ValidationRequest:
        """Returns the message that asks a server to validate the text."""
        assert self.poll and self.task
        return ValidationRequest(self.poll.digest, self.task.text)

    def handle_result(self, fingerprint: str, name: str, digest: str, rejection: str) -> bool:
        """Records a server's result; returns whether it is about the text of the current poll."""
        if self.poll and digest == self.poll.digest:
            self.poll.handle_result(fingerprint, name, rejection)
            return True
        self.cache.put(fingerprint, digest, rejection)
        return False

    def is_outdated(self, now: float, member: Member, sessions: SessionTable) -> bool:
        """Whether the member's result for the open change may no longer be valid.

        A result applies to one change and to the servers that were connected when it was obtained. Until the
        vote is sent, a new change, a new fingerprint or a late rejection makes the poll continue."""
        change = undecided_change(member)
        if not change or self.task:
            return False
        result = member.validation_result(change.digest)
        if result is None:
            return False
        if not self.poll or not self._polls_change(change.created):
            return True
        return result == "" and self.poll.result(sessions.candidates(now)) != ""

    def due(self, member: Member) -> float:
        """Returns when `advance` has to be called if no event arrives."""
        if not self.poll or not self.task:
            return math.inf
        due = self.poll.due()
        return min(due, member.voting.abstains_until) if self._awaits_servers else due

    def _polls_change(self, change_revision: int) -> bool:
        """Whether the poll is about the change that was created at this store revision."""
        return self.poll is not None and self._change_revision == change_revision


def _is_open(member: Member, digest: str) -> bool:
    seen = member.observed
    return bool(seen and seen.open and seen.open.digest == digest)
