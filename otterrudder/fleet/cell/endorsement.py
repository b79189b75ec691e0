"""Endorsement of a leader's lease by the other relays of its cell, so that the cell keeps serving while the
store is unreachable. The module is pure: it does no I/O and reads no clock.

The relay that leads a cell holds a lease in the store, and its authority ends with that lease, because
another relay of the cell could have taken the cell over. While the store does not answer, the leader sends a
request to every other relay of the cell. A relay that gets no answers from the store either, and does not
lead, endorses the lease: for ENDORSEMENT_MS it neither votes for the cell nor grants leases. While all other
relays endorse the lease, none of them can have voted for the cell, so under the rule `wait` no change can
have been committed, and the leader keeps its authority. Compare quorum leases (Moraru, Andersen, Kaminsky
2014); here the quorum is all relays of the cell, so they do not have to agree on an order among them.

A relay that has just started may have given an endorsement before its restart, so it neither votes nor
grants leases for ENDORSEMENT_MS."""

import math

from otterrudder.fleet.cell.effects import PeerRequest
from otterrudder.fleet.cell.identity import CellIdentity
from otterrudder.fleet.cell.messages import Endorsement, EndorsementRequest

ENDORSEMENT_MS = 3000.0  # how long an endorsement binds the relay that gives it, by that relay's clock
# The leader trusts an endorsement for this share of its span, counted from the sending of the request by the
# leader's clock: the rates of two clocks may differ by a tenth.
TRUSTED_SHARE = 0.9
# Interval between requests while all relays endorse the lease, as a share of the span: three requests may be
# lost before the endorsement ends.
RENEWAL_SHARE = 0.25
# Interval between requests until all relays endorse the lease, as a share of the span. It is short because
# the store lease is running out, while requests may be lost or refused: a relay refuses if the store has
# answered it recently.
FIRST_REQUEST_SHARE = 1 / 12


class EndorsementCollector:
    """The leader's side: creates the requests to the other relays, and records until when all endorse."""

    __slots__ = ("_endorsed_until", "_request_at", "_requests", "_sequence", "identity", "peers")

    def __init__(self, now: float, identity: CellIdentity) -> None:
        self.identity = identity
        self.peers = tuple(peer for peer in sorted(identity.candidates) if peer != identity.address)
        self._endorsed_until = dict.fromkeys(self.peers, -math.inf)
        self._requests: dict[int, tuple[str, float]] = {}  # peer and time of sending, by sequence number
        self._sequence = 0
        self._request_at = now

    def until(self) -> float:
        """Returns until when all other relays endorse this relay's lease, by this relay's clock."""
        return min(self._endorsed_until.values(), default=-math.inf)

    def requests(self, now: float) -> list[PeerRequest]:
        """Returns the requests that are due. It is called only while endorsements are needed."""
        if now < self._request_at:
            return []
        share = RENEWAL_SHARE if self.until() > now else FIRST_REQUEST_SHARE
        self._request_at = now + ENDORSEMENT_MS * share
        oldest = now - ENDORSEMENT_MS
        self._requests = {number: sent for number, sent in self._requests.items() if sent[1] > oldest}
        return [self._request(now, peer) for peer in self.peers]

    def handle_endorsement(self, endorsement: Endorsement) -> None:
        """Handles the answer of another relay; a span of 0 is a refusal."""
        peer, sent_at = self._requests.pop(endorsement.sequence, ("", 0.0))
        if peer != endorsement.sender or endorsement.span_ms <= 0:
            return
        until = sent_at + endorsement.span_ms * TRUSTED_SHARE
        self._endorsed_until[peer] = max(self._endorsed_until[peer], until)

    def due(self) -> float:
        """Returns when the next requests are due."""
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
    """The side of the other relays: endorses a leader's lease, and records until when that binds this
    relay."""

    __slots__ = ("identity", "until")

    def __init__(self, now: float, identity: CellIdentity) -> None:
        self.identity = identity
        self.until = now + ENDORSEMENT_MS if len(identity.candidates) > 1 else -math.inf

    def answer(
        self, now: float, request: EndorsementRequest, *, leads: bool, store_answers: bool
    ) -> Endorsement:
        """Returns an endorsement, or a refusal with its reason.

        `leads`: whether this relay is registered for the cell. `store_answers`: whether the store has
        answered this relay recently."""
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
