"""The policy that a member applies, the newest that is in force, and the documents on the way from one to the
other."""

from collections.abc import Callable

from otterrudder.fleet.effects import ValidatePolicy
from otterrudder.fleet.member.documents import PolicyDocuments
from otterrudder.fleet.records import FleetSnapshot
from otterrudder.fleet.state import MemberState, OpenChange, Policy


class PolicyState:
    """Adopts the policy in force once its text is here and validated."""

    __slots__ = ("documents", "newest_version", "newest_change", "applied_policy", "rejection")

    def __init__(self, record: MemberState | None, validate: Callable[[str], str]) -> None:
        """`validate`: what is wrong for this server with a text, "" if nothing."""
        self.applied_policy = record.applied_policy if record else Policy()  # applied here
        self.newest_version = self.applied_policy.version  # in force, as last seen
        self.newest_change = self.applied_policy.change
        # What is wrong with the applied policy here; "": nothing.
        self.rejection = validate(self.applied_policy.text) if self.applied_policy.version else ""
        self.documents = PolicyDocuments(validated=self.applied_policy.digest, rejection=self.rejection)

    def is_outdated(self) -> bool:
        """A newer policy is in force than the one applied here."""
        return self.newest_version > self.applied_policy.version

    def is_up_to_date(self) -> bool:
        """The newest policy in force, as far as it was seen, is the one applied here."""
        return self.newest_version == self.applied_policy.version

    def update(self, snapshot: FleetSnapshot, change: OpenChange | None) -> bool | None:
        """What a read shows of policies; `change`: the open one. True: the store has to be read again at
        once; False: not before its time; None: nothing follows for the next read."""
        head = snapshot.policy
        needed_digests = (head.digest if head else "", change.digest if change else "")
        self._retain_texts(snapshot, needed_digests)
        if not head or head.version <= self.applied_policy.version:
            return None
        self.newest_version, self.newest_change = head.version, head.change
        text = self.documents.text(head.digest)
        if text is None:
            is_new = self.documents.missing != head.digest  # else it was just asked for, and is not there
            self.documents = self.documents.with_missing(head.digest)
            return is_new
        rejection = self.documents.result_for(head.digest)
        if rejection is None:
            self.documents = self.documents.with_pending(head.digest)
            return None
        self.applied_policy = Policy(head.version, head.change, head.digest, text)
        self.rejection = rejection
        return None

    def _retain_texts(self, snapshot: FleetSnapshot, needed_digests: tuple[str, str]) -> None:
        for digest in filter(None, (self.documents.missing, *needed_digests)):
            if (text := snapshot.text(digest)) is not None:
                self.documents = self.documents.with_text(digest, text)
        if self.documents.missing not in needed_digests:
            self.documents = self.documents.with_missing("")  # it was of a change that has ended

    def validation_effect(self) -> ValidatePolicy | None:
        """The validation that is owed, if any."""
        digest = self.documents.pending
        text = self.documents.text(digest)
        return None if text is None else ValidatePolicy(digest, text)

    def has_text(self, change: OpenChange) -> bool:
        """Whether the change's text is here."""
        return self.documents.text(change.digest) is not None

    def review(self, change: OpenChange) -> str | None:
        """What is wrong with the change's text, "" if nothing; None: it has to be read or validated first,
        which is asked for."""
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
        """The next read brings the change's text, unless it is here or another one is asked for."""
        if self.documents.missing:
            return
        lacks_text = change is not None and change.digest != self.documents.validated
        if change and lacks_text and not self.has_text(change):
            self.documents = self.documents.with_missing(change.digest)
