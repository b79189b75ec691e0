"""The policy documents that a member may soon have to apply: the texts that it has read, the text that it has
to read or validate next, and the result of the last validation. The values are immutable; `policy_state.py`
holds the current one."""

from dataclasses import dataclass, replace

MAX_DOCUMENTS = 2  # the policy of the open change and the policy in force


@dataclass(frozen=True, slots=True)
class PolicyDocuments:
    """Policy documents, identified by the digests of their texts. An empty digest means that there is
    none."""

    texts: tuple[tuple[str, str], ...] = ()  # pairs of a digest and a text, oldest first
    missing: str = ""  # digest of the text that has to be read
    pending: str = ""  # digest of a text that was read and has to be validated
    validated: str = ""  # digest of the text that was validated last
    rejection: str = ""  # why this server rejects the text validated last; "" if it accepts it

    def text(self, digest: str) -> str | None:
        """Returns the text with this digest, or None if it has not been read."""
        return dict(self.texts).get(digest)

    def result_for(self, digest: str) -> str | None:
        """Returns why this server rejects the text, or "" if it accepts it. Returns None if this was not the
        text validated last."""
        return self.rejection if self.validated == digest else None

    def with_text(self, digest: str, text: str) -> "PolicyDocuments":
        """Returns a copy with a text added. Only the newest MAX_DOCUMENTS texts are kept."""
        others = tuple(document for document in self.texts if document[0] != digest)
        missing = "" if self.missing == digest else self.missing
        return replace(self, texts=(*others, (digest, text))[-MAX_DOCUMENTS:], missing=missing)

    def with_missing(self, digest: str) -> "PolicyDocuments":
        """Returns a copy in which the text with this digest has to be read; with "", no text has to be."""
        return replace(self, missing=digest)

    def with_pending(self, digest: str) -> "PolicyDocuments":
        """Returns a copy in which the text with this digest has to be validated."""
        return replace(self, pending=digest)

    def with_result(self, digest: str, rejection: str | None) -> "PolicyDocuments":
        """Returns a copy with the result of a validation. With `rejection` None, the validation itself failed
        and may be started again."""
        pending = "" if self.pending == digest else self.pending
        if rejection is None:
            return replace(self, pending=pending)
        return replace(self, pending=pending, validated=digest, rejection=rejection)

    def without_result(self) -> "PolicyDocuments":
        """Returns a copy in which no text counts as validated."""
        return replace(self, validated="", rejection="")
