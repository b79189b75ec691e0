"""A member's vote on the open change: prepared on disk, sent once, and binding until the outcome is known."""

import math

from otterrudder.fleet.state import MemberState, ObservedState, OpenChange, PreparedVote

# ms after a read in which the vote that it leads to is made ready, and goes before the read that the next
# watch event asks for: where the store is far, all others would wait for that read as well
VOTE_PRIORITY_MS = 150.0


class Voting:
    """The vote that this member has prepared, and when it may vote at all."""

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
        self.vote_sent = self.prepared_vote is not None  # by an earlier process: it may have been
        # When the read was sent that last showed the change open that the prepared vote is about.
        self.confirmed_open_at = -math.inf
        self.abstains_until = -math.inf  # it does not vote before
        self.is_abstaining = False  # it would vote, if it did not abstain
        self.vote_priority_until = (
            -math.inf
        )  # a read that a watch event asks for waits for the vote until then

    def prepare(self, change: OpenChange) -> None:
        """A vote for this change is to be sent, once it is on disk."""
        vote = PreparedVote(change.id, change.created)
        if self.prepared_vote != vote:
            self.prepared_vote, self.vote_sent = vote, False

    def mark_sent(self, now: float) -> None:
        """The vote is on its way: it may count from now on."""
        if not self.vote_sent:
            self.vote_sent, self.confirmed_open_at = True, now

    def withdraw_unsent(self) -> None:
        """A vote that was prepared and not sent does not bind."""
        if self.prepared_vote and not self.vote_sent:
            self.prepared_vote = None

    def update(self, sent: float, observed: ObservedState, is_up_to_date: bool) -> None:
        """What a read that was sent then shows of the change that the vote is about. `is_up_to_date`: the
        newest policy in force is applied here."""
        change = observed.open
        opened = PreparedVote(change.id, change.created) if change else None
        if opened and observed.voted and self.prepared_vote != opened:
            # An earlier process's, whose state directory is not here.
            self.prepared_vote, self.vote_sent, self.confirmed_open_at = opened, True, sent
        if not self.prepared_vote:
            return
        if opened == self.prepared_vote:
            self.confirmed_open_at = max(self.confirmed_open_at, sent)
        elif is_up_to_date:  # the change has ended, and what is in force since is here
            self.prepared_vote, self.vote_sent, self.confirmed_open_at = None, False, -math.inf

    def binds(self) -> bool:
        """Whether the change may be committed by this member's vote."""
        return self.prepared_vote is not None and self.vote_sent

    def valid_until(self, bound_ms: float) -> float:
        """Until when the policy before the change may be applied; inf: no vote binds."""
        return self.confirmed_open_at + bound_ms if self.binds() else math.inf
