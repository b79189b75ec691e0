"""What a member's state directory holds, and what has still to be written to it."""

from otterrudder.fleet.effects import SaveState
from otterrudder.fleet.member.read_schedule import MAX_RETRY_MS
from otterrudder.fleet.state import MemberState

UNWRITABLE = "it could not be written"


class LocalState:
    """The state as it was last saved, beside the one that a start would need."""

    __slots__ = ("error", "has_disk", "save_at", "saved")

    def __init__(self, now: float, record: MemberState | None, has_disk: bool) -> None:
        self.has_disk = has_disk  # there is a state directory
        self.saved = record
        self.error = ""  # of the last write; "": it succeeded
        self.save_at = now  # no write before

    def is_dirty(self, current: MemberState) -> bool:
        """Whether the directory lacks something that a start would need to know."""
        if not self.has_disk:
            return False
        return not self.saved or _essentials(self.saved) != _essentials(current)

    def must_save(self, current: MemberState) -> bool:
        """A directory that failed is tried again, so that it is known when it works."""
        return self.is_dirty(current) or bool(self.error)

    def effect(self, now: float, current: MemberState) -> SaveState | None:
        """The write that is due, if any."""
        return SaveState(current) if now >= self.save_at and self.must_save(current) else None

    def has_saved_wait(self) -> bool:
        """Whether the directory says that changes wait for this name."""
        return self.has_disk and bool(self.saved and self.saved.waits_for_member)

    def succeed(self, state: MemberState) -> None:
        """The state was written."""
        self.saved, self.error = state, ""

    def fail(self, now: float) -> None:
        """It was not."""
        self.error = UNWRITABLE
        self.save_at = now + MAX_RETRY_MS


def _essentials(state: MemberState) -> tuple[object, ...]:
    """What is worth a write by itself; the store's revision goes with it."""
    return state.applied_policy, state.prepared_vote, state.joined, state.waits_for_member
