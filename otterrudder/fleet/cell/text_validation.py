"""The policy texts that a server was sent, and its validation of them, one at a time. Pure."""

from collections.abc import Iterator

from otterrudder.fleet.cell.effects import ValidateText
from otterrudder.fleet.cell.messages import PolicyUpdate, ValidationRequest

MAX_TEXTS = 2  # kept beside the one in force: of the open change, and of a newer version
MAX_RESULTS = MAX_TEXTS + 1


class TextValidation:
    """Newer versions and texts that a relay asks about, and the results for this server."""

    __slots__ = ("_requested", "_results", "_updates", "task")

    def __init__(self) -> None:
        self.task: ValidateText | None = None  # under way
        self._updates: dict[str, PolicyUpdate] = {}  # newer versions, by digest
        self._requested: dict[str, str] = {}  # texts that a relay waits for a result of, by digest
        self._results: dict[str, str] = {}  # by digest: why the server rejects the text, "" if it does not

    def add_update(self, update: PolicyUpdate) -> None:
        """A newer version has arrived."""
        self._updates[update.digest] = update
        _drop_oldest(self._updates, MAX_TEXTS)

    def add_request(self, request: ValidationRequest) -> None:
        """A relay asks about a text that has no result yet."""
        self._requested[request.digest] = request.text
        _drop_oldest(self._requested, MAX_TEXTS)

    def result(self, digest: str) -> str | None:
        """Why the server rejects the text, "" if it does not; None: there is no result."""
        return self._results.get(digest)

    def complete(self, digest: str, rejection: str) -> bool:
        """The task under way has ended. Whether a relay waits for the result."""
        self.task = None
        self._results[digest] = rejection
        _drop_oldest(self._results, MAX_RESULTS)
        return self._requested.pop(digest, None) is not None

    def begin_next(self, known_version: int) -> ValidateText | None:
        """The next task, unless one is under way. A newer version goes before a text that is asked about."""
        if self.task:
            return None
        self.task = self._next_update(known_version) or self._next_request()
        return self.task

    def validated_updates(self) -> Iterator[PolicyUpdate]:
        """The versions that have a result, the oldest first."""
        for update in sorted(self._updates.values(), key=lambda update: update.version):
            if update.digest in self._results:
                yield update

    def drop_updates(self, known_version: int) -> None:
        """Forget versions that are not newer than this one."""
        newer = {digest: update for digest, update in self._updates.items() if update.version > known_version}
        self._updates = newer

    def _next_update(self, known_version: int) -> ValidateText | None:
        newer = [update for update in self._updates.values() if update.version > known_version]
        for update in sorted(newer, key=lambda update: -update.version):
            if update.digest not in self._results:
                return ValidateText(update.digest, update.text)
        return None

    def _next_request(self) -> ValidateText | None:
        for digest, text in self._requested.items():
            return ValidateText(digest, text)
        return None


def _drop_oldest(entries: dict[str, PolicyUpdate] | dict[str, str], maximum: int) -> None:
    while len(entries) > maximum:
        del entries[next(iter(entries))]
