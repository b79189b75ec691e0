"""A member's vote on the open change. It is saved to disk, sent once, and binds the member until the outcome
is known."""

import math

from otterrudder.fleet.state import MemberState, ObservedState, OpenChange, PreparedVote

# For this time after a read, the vote on the change that it shows takes precedence over the read that the
# next watch event asks for. With a distant store, all other members would have to wait for that read too.
VOTE_PRIORITY_MS = 150.0


class Voting:
    """Tracks the vote that this member has prepared, and when it may vote."""

    __slots__ = (
        "abstains_until",
        "confirmed_open_at",
        "is_abstaining",
        "prepared_vote",
        "vote_priority_until",
        "vote_sent",
    )

    def __init__(self, record: MemberState | None) -> None:
        self.prepared_vote = record.prepared_vote if record else None
        # Whether the vote may have reached the store. An earlier process may have sent a vote found on disk.
        self.vote_sent = self.prepared_vote is not None
        # When the last read was sent that showed the change of the prepared vote still open.
        self.confirmed_open_at = -math.inf
        self.abstains_until = -math.inf  # earliest time of a vote
        self.is_abstaining = False  # whether a vote is ready and is held back only by `abstains_until`
        self.vote_priority_until = -math.inf  # until this time, reads wait for the vote

    def prepare(self, change: OpenChange) -> None:
        """Prepares the vote to accept this change. It may be sent once it is on disk."""
        vote = PreparedVote(change.id, change.created)
        if self.prepared_vote != vote:
            self.prepared_vote, self.vote_sent = vote, False

    def mark_sent(self, now: float) -> None:
        """Records that the vote is sent, so the change may be committed by it from now on."""
        if not self.vote_sent:
            self.vote_sent, self.confirmed_open_at = True, now

    def withdraw_unsent(self) -> None:
        """Withdraws a prepared vote that has not been sent."""
        if self.prepared_vote and not self.vote_sent:
            self.prepared_vote = None

    def update(self, sent: float, observed: ObservedState, is_up_to_date: bool) -> None:
        """Updates the vote from a read sent at `sent`. `is_up_to_date` says whether the newest policy in
        force is applied here."""
        change = observed.open
        opened = PreparedVote(change.id, change.created) if change else None
        if opened and observed.voted and self.prepared_vote != opened:
            # An earlier process sent this vote, and its state directory was lost.
            self.prepared_vote, self.vote_sent, self.confirmed_open_at = opened, True, sent
        if not self.prepared_vote:
            return
        if opened == self.prepared_vote:
            self.confirmed_open_at = max(self.confirmed_open_at, sent)
        elif is_up_to_date:  # the change has ended, and its outcome is applied
            self.prepared_vote, self.vote_sent, self.confirmed_open_at = None, False, -math.inf

    def binds(self) -> bool:
        """Whether the change may be committed with this member's vote."""
        return self.prepared_vote is not None and self.vote_sent

    def valid_until(self, bound_ms: float) -> float:
        """Returns the time until which the member may apply the policy before the change; inf if no vote
        binds it."""
        return self.confirmed_open_at + bound_ms if self.binds() else math.inf
