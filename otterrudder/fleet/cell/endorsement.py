"""Endorsement of a leader's lease by the other relays of its cell, so that the cell serves on while the store
is unreachable. Pure.

The relay that leads a cell holds a lease of the store, and its authority ends with it: another relay of the
cell could have taken the cell over. While the store does not answer, the leader asks every other relay of
the cell. One that gets no answers of the store either, and does not lead, endorses the lease: for a span it
neither votes for the cell nor grants leases. While all have endorsed nobody can have voted in the leader's
place, so under the rule `wait` no change can have been committed, and its authority goes on. Compare quorum
leases (Moraru, Andersen, Kaminsky 2014); here all relays of the cell are the quorum, so no order among them
has to be agreed on.

A relay that has just started may have endorsed before its restart: it takes part in nothing for one span."""

import math

from otterrudder.fleet.cell.effects import PeerRequest
from otterrudder.fleet.cell.identity import CellIdentity
from otterrudder.fleet.cell.messages import Endorsement, EndorsementRequest

ENDORSEMENT_MS = 3000.0  # for which an endorsement binds its giver, by the giver's clock
TRUSTED_SHARE = 0.9  # of the span, by the leader's clock from the sending: clocks may run apart by a tenth
RENEWAL_SHARE = 0.25  # of the span, between requests while all have endorsed: three may be lost
# of the span, between requests until then: the others may have had an answer of the store until just now, or
# a request was lost, and the lease of the store is running out
FIRST_REQUEST_SHARE = 1 / 12


class EndorsementCollector:
    """The leader's side: asks the other relays, and counts until when all of them have endorsed."""

    __slots__ = ("_endorsed_until", "_request_at", "_requests", "_sequence", "identity", "peers")

    def __init__(self, now: float, identity: CellIdentity) -> None:
        self.identity = identity
        self.peers = tuple(peer for peer in sorted(identity.candidates) if peer != identity.address)
        self._endorsed_until = dict.fromkeys(self.peers, -math.inf)
        self._requests: dict[int, tuple[str, float]] = {}  # peer and time of sending, by sequence number
        self._sequence = 0
        self._request_at = now

    def until(self) -> float:
        """Until when all others have endorsed, by this relay's clock."""
        return min(self._endorsed_until.values(), default=-math.inf)

    def requests(self, now: float) -> list[PeerRequest]:
        """The requests that are due; to be called while endorsements are needed."""
        if now < self._request_at:
            return []
        share = RENEWAL_SHARE if self.until() > now else FIRST_REQUEST_SHARE
        self._request_at = now + ENDORSEMENT_MS * share
        oldest = now - ENDORSEMENT_MS
        self._requests = {number: sent for number, sent in self._requests.items() if sent[1] > oldest}
        return [self._request(now, peer) for peer in self.peers]

    def handle_endorsement(self, endorsement: Endorsement) -> None:
        """Another relay has answered; a span of 0 is a refusal."""
        peer, sent_at = self._requests.pop(endorsement.sequence, ("", 0.0))
        if peer != endorsement.sender or endorsement.span_ms <= 0:
            return
        until = sent_at + endorsement.span_ms * TRUSTED_SHARE
        self._endorsed_until[peer] = max(self._endorsed_until[peer], until)

    def due(self) -> float:
        """When the next requests are due."""
        return self._request_at

    def _request(self, now: float, peer: str) -> PeerRequest:
        self._sequence += 1
        self._requests[self._sequence] = (peer, now)
        identity = self.identity
        message = EndorsementRequest(
            self._sequence,
            identity.fleet,
            identity.cell,
            identity.address,
            tuple(sorted(identity.candidates)),
        )
        return PeerRequest(peer, message)


class EndorsementGiver:
    """The other side: endorses a leader's lease, and remembers until when that binds this relay."""

    __slots__ = ("identity", "until")

    def __init__(self, now: float, identity: CellIdentity) -> None:
        self.identity = identity
        self.until = now + ENDORSEMENT_MS if len(identity.candidates) > 1 else -math.inf

    def answer(
        self, now: float, request: EndorsementRequest, *, leads: bool, store_answers: bool
    ) -> Endorsement:
        """`leads`: this relay is registered for the cell, as far as it knows."""
        reason = self._refusal_reason(request, leads, store_answers)
        if reason:
            return Endorsement(request.sequence, self.identity.address, 0.0, reason)
        self.until = max(self.until, now + ENDORSEMENT_MS)
        return Endorsement(request.sequence, self.identity.address, ENDORSEMENT_MS)

    def _refusal_reason(self, request: EndorsementRequest, leads: bool, store_answers: bool) -> str:
        identity = self.identity
        candidates = tuple(sorted(identity.candidates))
        if (request.fleet, request.cell) != (identity.fleet, identity.cell):
            return f"this relay is of the cell {identity.cell} of {identity.fleet}"
        if request.candidates != candidates or request.sender not in candidates:
            return f"this relay knows other relays of the cell: {', '.join(candidates)}"
        if leads:
            return "this relay leads the cell"
        if store_answers:
            return "the store answers here"
        return ""
