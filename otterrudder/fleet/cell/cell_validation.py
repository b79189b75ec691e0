"""The validation of an open change for a whole cell, from the member's request to the result. Pure."""

import math

from otterrudder.fleet.cell.messages import ValidationRequest
from otterrudder.fleet.cell.validation_poll import ValidationCache, ValidationPoll
from otterrudder.fleet.effects import Judge


class CellValidation:
    """One poll of the servers for each change, and the member's request that waits for its result."""

    __slots__ = ("_change_revision", "awaits_servers", "cache", "poll", "started_at", "task")

    def __init__(self, now: float) -> None:
        self.cache = ValidationCache()
        self.poll: ValidationPoll | None = None
        self.task: Judge | None = None  # the member's request
        self.started_at = now
        self.awaits_servers = False  # all that are here were asked, and others may come
        self._change_revision = 0  # that created the change of the poll

    def start(self, now: float, task: Judge, change_revision: int) -> None:
        """`change_revision`: the one that created the change with this text; 0: no such change is open."""
        if not change_revision or not self.is_about(change_revision):
            self.poll = ValidationPoll(task.digest, self.cache)
            self._change_revision = change_revision
        self.task = task
        self.started_at = now

    def is_about(self, change_revision: int) -> bool:
        """Whether the poll is about the change that this revision created."""
        return self.poll is not None and self._change_revision == change_revision

    def finish(self) -> tuple[Judge, float]:
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

    def due(self, abstains_until: float) -> float:
        """When the poll may go on without an event; `abstains_until`: nothing is decided before."""
        if not self.poll or not self.task:
            return math.inf
        return min(self.poll.due(), abstains_until) if self.awaits_servers else self.poll.due()
