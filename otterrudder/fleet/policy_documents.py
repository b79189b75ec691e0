"""The texts of policies that may come into force at a member: which are here, which has to be read or judged
next, and what was found wrong with the last one judged. Immutable values; `member.py` holds one."""

from dataclasses import dataclass, replace

MAX_DOCUMENTS = 2  # of the open change, and of what is in force


@dataclass(frozen=True, slots=True)
class PolicyDocuments:
    held: tuple[tuple[str, str], ...] = ()  # digest and text
    needed: str = ""  # the digest of a text that has to be read
    judging: str = ""  # the digest of a text that is here and has to be judged
    judged: str = ""  # the digest of the text that was judged last
    trouble: str = ""  # and what is wrong with it here, "" if nothing

    def text(self, digest: str) -> str | None:
        return dict(self.held).get(digest)

    def verdict(self, digest: str) -> str | None:
        """None: it was not the last one judged."""
        return self.trouble if self.judged == digest else None

    def with_text(self, digest: str, text: str) -> "PolicyDocuments":
        others = tuple(kept for kept in self.held if kept[0] != digest)
        needed = "" if self.needed == digest else self.needed
        return replace(self, held=(*others, (digest, text))[-MAX_DOCUMENTS:], needed=needed)

    def with_needed(self, digest: str) -> "PolicyDocuments":
        return replace(self, needed=digest)

    def with_judging(self, digest: str) -> "PolicyDocuments":
        return replace(self, judging=digest)

    def with_verdict(self, digest: str, trouble: str | None) -> "PolicyDocuments":
        """`trouble` None: the judgement came to nothing, and may be begun anew."""
        judging = "" if self.judging == digest else self.judging
        if trouble is None:
            return replace(self, judging=judging)
        return replace(self, judging=judging, judged=digest, trouble=trouble)

    def without_verdict(self) -> "PolicyDocuments":
        """Nothing counts as judged."""
        return replace(self, judged="", trouble="")
