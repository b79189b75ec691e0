"""The policy documents that may come into force at a member: which are here, which one has to be read or
validated next, and the result of the last validation. Immutable values; `policy_state.py` holds one."""

from dataclasses import dataclass, replace

MAX_DOCUMENTS = 2  # of the open change, and of what is in force


@dataclass(frozen=True, slots=True)
class PolicyDocuments:
    """Documents by the digest of their text."""

    texts: tuple[tuple[str, str], ...] = ()  # digest and text
    missing: str = ""  # the digest of a text that has to be read
    pending: str = ""  # the digest of a text that is here and has to be validated
    validated: str = ""  # the digest of the text that was validated last
    rejection: str = ""  # what is wrong with it here; "": nothing

    def text(self, digest: str) -> str | None:
        """None: it is not here."""
        return dict(self.texts).get(digest)

    def result_for(self, digest: str) -> str | None:
        """What is wrong with that text, "" if nothing; None: it was not the last one validated."""
        return self.rejection if self.validated == digest else None

    def with_text(self, digest: str, text: str) -> "PolicyDocuments":
        """The newest documents are retained, within MAX_DOCUMENTS."""
        others = tuple(document for document in self.texts if document[0] != digest)
        missing = "" if self.missing == digest else self.missing
        return replace(self, texts=(*others, (digest, text))[-MAX_DOCUMENTS:], missing=missing)

    def with_missing(self, digest: str) -> "PolicyDocuments":
        """That text has to be read; "": none has."""
        return replace(self, missing=digest)

    def with_pending(self, digest: str) -> "PolicyDocuments":
        """That text has to be validated."""
        return replace(self, pending=digest)

    def with_result(self, digest: str, rejection: str | None) -> "PolicyDocuments":
        """A validation ended. `rejection` None: it failed itself, and may be begun again."""
        pending = "" if self.pending == digest else self.pending
        if rejection is None:
            return replace(self, pending=pending)
        return replace(self, pending=pending, validated=digest, rejection=rejection)

    def without_result(self) -> "PolicyDocuments":
        """Nothing counts as validated."""
        return replace(self, validated="", rejection="")
