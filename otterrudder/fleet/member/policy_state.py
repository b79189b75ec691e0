"""The policy that a member applies, the newest policy in force, and the documents that the member reads and
validates in between."""

from collections.abc import Callable

from otterrudder.fleet.effects import ValidatePolicy
from otterrudder.fleet.member.documents import PolicyDocuments
from otterrudder.fleet.records import FleetSnapshot
from otterrudder.fleet.state import MemberState, OpenChange, Policy


class PolicyState:
    """Applies the policy in force once its text has been read and validated."""

    __slots__ = ("documents", "newest_version", "newest_change", "applied_policy", "rejection")

    def __init__(self, record: MemberState | None, validate: Callable[[str], str]) -> None:
        """`validate` returns why this server rejects a text, or "" if it accepts it."""
        self.applied_policy = record.applied_policy if record else Policy()
        # The version of the policy in force, as last read, and the ID of the change that committed it.
        self.newest_version = self.applied_policy.version
        self.newest_change = self.applied_policy.change
        # Why this server rejects the applied policy; "" if it accepts it.
        self.rejection = validate(self.applied_policy.text) if self.applied_policy.version else ""
        self.documents = PolicyDocuments(validated=self.applied_policy.digest, rejection=self.rejection)

    def is_outdated(self) -> bool:
        """Whether a newer policy than the applied one is in force."""
        return self.newest_version > self.applied_policy.version

    def is_up_to_date(self) -> bool:
        """Whether the applied policy is the newest one known to be in force."""
        return self.newest_version == self.applied_policy.version

    def update(self, snapshot: FleetSnapshot, change: OpenChange | None) -> bool | None:
        """Applies what a read shows about policies; `change` is the open change.

        Returns True if the store has to be read again at once, False if the next scheduled read is early
        enough, and None if the read has no effect on the schedule."""
        head = snapshot.policy
        needed_digests = (head.digest if head else "", change.digest if change else "")
        self._keep_texts(snapshot, needed_digests)
        if not head or head.version <= self.applied_policy.version:
            return None
        self.newest_version, self.newest_change = head.version, head.change
        text = self.documents.text(head.digest)
        if text is None:
            # If the text was already missing, this read asked for it, and the store does not have it.
            is_new = self.documents.missing != head.digest
            self.documents = self.documents.with_missing(head.digest)
            return is_new
        rejection = self.documents.result_for(head.digest)
        if rejection is None:
            self.documents = self.documents.with_pending(head.digest)
            return None
        self.applied_policy = Policy(head.version, head.change, head.digest, text)
        self.rejection = rejection
        return None

    def _keep_texts(self, snapshot: FleetSnapshot, needed_digests: tuple[str, str]) -> None:
        for digest in filter(None, (self.documents.missing, *needed_digests)):
            if (text := snapshot.text(digest)) is not None:
                self.documents = self.documents.with_text(digest, text)
        if self.documents.missing not in needed_digests:
            self.documents = self.documents.with_missing("")  # the change that needed it has ended

    def validation_effect(self) -> ValidatePolicy | None:
        """Returns the validation that has to be run next, or None."""
        digest = self.documents.pending
        text = self.documents.text(digest)
        return None if text is None else ValidatePolicy(digest, text)

    def has_text(self, change: OpenChange) -> bool:
        """Whether the change's text has been read."""
        return self.documents.text(change.digest) is not None

    def review(self, change: OpenChange) -> str | None:
        """Returns why this server rejects the change's text, or "" if it accepts it. Returns None if the text
        has to be read or validated first, and requests that."""
        if (result := self.documents.result_for(change.digest)) is not None:
            return result
        if self.has_text(change):
            self.documents = self.documents.with_pending(change.digest)
        elif self.documents.missing == change.digest:
            return f"the text {change.digest} is not in the store"
        else:
            self.documents = self.documents.with_missing(change.digest)
        return None

    def ask_for_text(self, change: OpenChange | None) -> None:
        """Makes the next read fetch the change's text, unless the text was read or validated already or
        another text has to be read first."""
        if self.documents.missing:
            return
        lacks_text = change is not None and change.digest != self.documents.validated
        if change and lacks_text and not self.has_text(change):
            self.documents = self.documents.with_missing(change.digest)
