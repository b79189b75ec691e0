"""The contents of a member's state directory, and the writes that it still needs."""

from otterrudder.fleet.effects import SaveState
from otterrudder.fleet.member.read_schedule import MAX_RETRY_MS
from otterrudder.fleet.state import MemberState

UNWRITABLE = "it could not be written"


class LocalState:
    """Tracks the state that was last saved and decides when the current state has to be saved."""

    __slots__ = ("error", "has_disk", "save_at", "saved")

    def __init__(self, now: float, record: MemberState | None, has_disk: bool) -> None:
        self.has_disk = has_disk  # whether the member has a state directory
        self.saved = record
        self.error = ""  # error of the last write; "" if it succeeded
        self.save_at = now  # earliest time of the next write

    def is_dirty(self, current: MemberState) -> bool:
        """Whether the directory lacks state that a restart would need."""
        if not self.has_disk:
            return False
        return not self.saved or _fields_to_save(self.saved) != _fields_to_save(current)

    def must_save(self, current: MemberState) -> bool:
        """Whether the state has to be saved. After a failed write, the state is written again even if it has
        not changed, so that the member notices when the directory works again."""
        return self.is_dirty(current) or bool(self.error)

    def effect(self, now: float, current: MemberState) -> SaveState | None:
        """Returns the write that is due, or None."""
        return SaveState(current) if now >= self.save_at and self.must_save(current) else None

    def has_saved_wait(self) -> bool:
        """Whether the saved state says that changes wait for this member."""
        return self.has_disk and bool(self.saved and self.saved.waits_for_member)

    def succeed(self, state: MemberState) -> None:
        """Handles a successful write of `state`."""
        self.saved, self.error = state, ""

    def fail(self, now: float) -> None:
        """Handles a failed write."""
        self.error = UNWRITABLE
        self.save_at = now + MAX_RETRY_MS


def _fields_to_save(state: MemberState) -> tuple[object, ...]:
    """Returns the part of the state whose changes have to be saved. The store's revision is saved along with
    it, but its changes alone cause no write."""
    return state.applied_policy, state.prepared_vote, state.joined, state.waits_for_member
