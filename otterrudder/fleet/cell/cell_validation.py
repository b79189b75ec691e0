"""The validation of a change by the servers of a cell, from the member's request to the result. Pure."""

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
    """What a validation has come to: the connections of the servers that are to be asked now, and how it
    ended if it did. `result`: the first rejection, "" if all accept, None if nothing is known."""

    connections: tuple[int, ...] = ()
    is_finished: bool = False
    result: str | None = None


NO_STEP = ValidationStep()


def undecided_change(member: Member) -> OpenChange | None:
    """The open change, while the cell has not voted on it as far as it knows."""
    seen = member.observed
    if not seen or seen.voted is not None:
        return None
    return seen.open


class CellValidation:
    """One poll of the servers for each change, and the member's request that waits for its result."""

    __slots__ = ("_awaits_servers", "_change_revision", "cache", "poll", "started_at", "task")

    def __init__(self, now: float) -> None:
        self.cache = ValidationCache()
        self.poll: ValidationPoll | None = None
        self.task: ValidatePolicy | None = None  # the member's request
        self.started_at = now
        self._awaits_servers = False  # all that are here were asked, and others may come
        self._change_revision = 0  # that created the change of the poll

    def start(self, now: float, task: ValidatePolicy, member: Member) -> None:
        """The member asks for the validation of a text."""
        change = undecided_change(member)
        revision = change.created if change and change.digest == task.digest else 0
        if not revision or not self._polls_change(revision):
            self.poll = ValidationPoll(task.digest, self.cache)
            self._change_revision = revision
        self.task = task
        self.started_at = now

    def advance(self, now: float, member: Member, sessions: SessionTable) -> ValidationStep:
        """Something has happened, or is due: whom to ask, and whether there is a result."""
        if not self.poll or not self.task:
            return NO_STEP
        if not _is_open(member, self.poll.digest):
            # A policy in force is not for this relay's servers to reject; of any other nothing is known.
            is_in_force = member.policies.head > member.known.version
            return ValidationStep(is_finished=True, result="" if is_in_force else None)
        candidates = list(sessions.candidates(now))
        connections = tuple(self.poll.next_requests(now, candidates))
        self._awaits_servers = now < member.voting.abstains_until
        if self._awaits_servers:
            return ValidationStep(connections)
        result = self.poll.result(candidates)
        return ValidationStep(connections, is_finished=result is not None, result=result)

    def finish(self) -> tuple[ValidatePolicy, float]:
        """The request that waited for the result, and when it was made."""
        assert self.task
        task = self.task
        self.task = None
        return task, self.started_at

    def request(self) -> ValidationRequest:
        """What a server is asked."""
        assert self.poll and self.task
        return ValidationRequest(self.poll.digest, self.task.text)

    def handle_result(self, fingerprint: str, name: str, digest: str, rejection: str) -> bool:
        """A server has answered. Whether the answer is about the text of the poll."""
        if self.poll and digest == self.poll.digest:
            self.poll.handle_result(fingerprint, name, rejection)
            return True
        self.cache.put(fingerprint, digest, rejection)
        return False

    def is_outdated(self, now: float, member: Member, sessions: SessionTable) -> bool:
        """Whether the member has a result for the open change that may no longer hold.

        A result is of one change, and of the servers that were here: until the vote is sent a new change, a
        new fingerprint or a late rejection has the poll go on."""
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
        """When `advance` is to be called without an event."""
        if not self.poll or not self.task:
            return math.inf
        due = self.poll.due()
        return min(due, member.voting.abstains_until) if self._awaits_servers else due

    def _polls_change(self, change_revision: int) -> bool:
        """Whether the poll is about the change that this revision created."""
        return self.poll is not None and self._change_revision == change_revision


def _is_open(member: Member, digest: str) -> bool:
    seen = member.observed
    return bool(seen and seen.open and seen.open.digest == digest)
