"""The policy texts that a server has received, and its validation of them, one at a time.

The module is pure: it does no I/O and reads no clock."""

from collections.abc import Iterator

from otterrudder.fleet.cell.effects import ValidateText
from otterrudder.fleet.cell.messages import PolicyUpdate, ValidationRequest

# Texts that are kept in addition to the policy in force: the open change and one newer version.
MAX_TEXTS = 2
MAX_RESULTS = MAX_TEXTS + 1


class TextValidation:
    """The policy updates and validation requests that a server has received, and its results for them."""

    __slots__ = ("_requested", "_results", "_updates", "task")

    def __init__(self) -> None:
        self.task: ValidateText | None = None  # the validation that is running
        self._updates: dict[str, PolicyUpdate] = {}  # newer versions, by digest
        self._requested: dict[str, str] = {}  # texts whose result a relay has requested, by digest
        self._results: dict[str, str] = {}  # rejection of each validated text by digest, "" if it is accepted

    def add_update(self, update: PolicyUpdate) -> None:
        """Adds a newer version that a relay has sent."""
        self._updates[update.digest] = update
        _drop_oldest(self._updates, MAX_TEXTS)

    def add_request(self, request: ValidationRequest) -> None:
        """Adds a relay's request to validate a text that has no result yet."""
        self._requested[request.digest] = request.text
        _drop_oldest(self._requested, MAX_TEXTS)

    def result(self, digest: str) -> str | None:
        """Returns why the server rejects the text, "" if it accepts it, None if there is no result."""
        return self._results.get(digest)

    def complete(self, digest: str, rejection: str) -> bool:
        """Records the result of the running task; returns whether a relay has requested it."""
        self.task = None
        self._results[digest] = rejection
        _drop_oldest(self._results, MAX_RESULTS)
        return self._requested.pop(digest, None) is not None

    def begin_next(self, known_version: int) -> ValidateText | None:
        """Starts and returns the next task; None if one is running or there is none.

        Newer versions are validated before texts that a relay has requested."""
        if self.task:
            return None
        self.task = self._next_update(known_version) or self._next_request()
        return self.task

    def validated_updates(self) -> Iterator[PolicyUpdate]:
        """Yields the versions that have a result, the oldest first."""
        for update in sorted(self._updates.values(), key=lambda update: update.version):
            if update.digest in self._results:
                yield update

    def drop_updates(self, known_version: int) -> None:
        """Removes the versions that are not newer than `known_version`."""
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
