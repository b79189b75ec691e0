"""Endorsement among the relays of one cell, so that a cell serves on while the store is away. Pure.

The relay that leads a cell holds a lease of the store, and its authority ends with it: another relay of the
cell could have taken the cell over. While the store does not answer, the leader asks every other relay of
the cell. One that does not hear the store either, and does not lead, consents: for a span it neither votes
for the cell nor grants leases. While all have consented nobody can have voted in the leader's place, so
under the rule `wait` no change can have been committed, and its authority goes on. Compare quorum leases
(Moraru, Andersen, Kaminsky 2014); here all relays of the cell are the quorum, so no order among them has to
be agreed on.

A relay that has just started may have consented in an earlier life: it takes part in nothing for one span."""

import math
from dataclasses import dataclass

from otterrudder.fleet.cell.messages import Endorsement, EndorsementRequest

ENDORSEMENT_MS = 3000.0  # ms for which a consent binds its giver, by its own clock
TRUSTED_SHARE = 0.9  # of the span, by the asker's clock from the sending: two clocks may run apart by a tenth
RENEWAL_SHARE = 0.25  # of the span, between requests while all have consented: three may be lost
# of the span, between requests until then: the others still heard the store when they were asked, or a
# request was lost, and the lease of the store is running out
FIRST_REQUEST_SHARE = 1 / 12


@dataclass(frozen=True, slots=True)
class PeerRequest:
    """A request to another relay of the cell."""

    peer: str
    message: EndorsementRequest


class EndorsementCollector:
    """The leader's side: what the others have consented to."""

    __slots__ = ("_ask_at", "_ends", "_sent", "_sequence", "candidates", "cell", "fleet", "name", "peers")

    def __init__(self, now: float, fleet: str, cell: str, name: str, candidates: tuple[str, ...]) -> None:
        """`candidates`: all relays of the cell, this one among them."""
        self.fleet, self.cell, self.name = fleet, cell, name
        self.candidates = tuple(sorted(candidates))
        self.peers = tuple(peer for peer in self.candidates if peer != name)
        self._ends = dict.fromkeys(self.peers, -math.inf)
        self._sent: dict[int, tuple[str, float]] = {}
        self._sequence = 0
        self._ask_at = now

    def until(self) -> float:
        """Until when all others have consented, by this relay's clock."""
        return min(self._ends.values(), default=-math.inf)

    def requests(self, now: float) -> list[PeerRequest]:
        """To be called while consent is needed."""
        if now < self._ask_at:
            return []
        share = RENEWAL_SHARE if self.until() > now else FIRST_REQUEST_SHARE
        self._ask_at = now + ENDORSEMENT_MS * share
        oldest = now - ENDORSEMENT_MS
        self._sent = {number: sent for number, sent in self._sent.items() if sent[1] > oldest}
        return [self._request(now, peer) for peer in self.peers]

    def _request(self, now: float, peer: str) -> PeerRequest:
        self._sequence += 1
        self._sent[self._sequence] = (peer, now)
        message = EndorsementRequest(self._sequence, self.fleet, self.cell, self.name, self.candidates)
        return PeerRequest(peer, message)

    def received(self, consent: Endorsement) -> None:
        peer, sent = self._sent.pop(consent.sequence, ("", 0.0))
        if peer != consent.sender or consent.span_ms <= 0:
            return
        self._ends[peer] = max(self._ends[peer], sent + consent.span_ms * TRUSTED_SHARE)

    def due(self) -> float:
        return self._ask_at


class EndorsementGiver:
    """The giver's side: until when it takes no part in the cell."""

    __slots__ = ("candidates", "cell", "fleet", "name", "until")

    def __init__(self, now: float, fleet: str, cell: str, name: str, candidates: tuple[str, ...]) -> None:
        self.fleet, self.cell, self.name = fleet, cell, name
        self.candidates = tuple(sorted(candidates))
        self.until = now + ENDORSEMENT_MS if len(self.candidates) > 1 else -math.inf

    def answer(self, now: float, request: EndorsementRequest, leads: bool, hears_store: bool) -> Endorsement:
        """`leads`: this relay is registered for the cell, as far as it knows, or may be."""
        why = self._why_not(request, leads, hears_store)
        if why:
            return Endorsement(request.sequence, self.name, 0.0, why)
        self.until = max(self.until, now + ENDORSEMENT_MS)
        return Endorsement(request.sequence, self.name, ENDORSEMENT_MS)

    def _why_not(self, request: EndorsementRequest, leads: bool, hears_store: bool) -> str:
        if (request.fleet, request.cell) != (self.fleet, self.cell):
            return f"this relay is of the cell {self.cell} of {self.fleet}"
        if request.candidates != self.candidates or request.sender not in self.candidates:
            return f"this relay knows other relays of the cell: {', '.join(self.candidates)}"
        if leads:
            return "this relay leads the cell"
        if hears_store:
            return "the store answers here"
        return ""
