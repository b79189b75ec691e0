"""What the runtime is told of the runs, and what of it the runtime is known to have read.

The link to the runtime may break with commands on it unread. Gauges are queried all the time, commands are
read in order, and the link's answers come in order: the answer to a gauges query confirms everything that was
sent before the query. What was sent after the last answered query before a break is uncertain."""

import math

from otterrudder.net.messages import (
    CloseLink,
    DeliverReply,
    Destination,
    Outgoing,
    QueryGauges,
    SkipDownstreamCall,
    StartRun,
    StopRun,
)
from otterrudder.net.requests import CONFIRMED, NOT_SENT, UNCERTAIN, PendingRequest


class RunDelivery:
    """Sends commands on runs to the runtime, and sends again on a new link what the old one lost."""

    def __init__(self, outbox: list[Outgoing], method_names: list[str], gauge_names: list[str]) -> None:
        """`method_names`: by class index; `gauge_names`: in the order of the answers, "": unused."""
        self._outbox = outbox
        self._method_names = method_names
        self._gauge_names = gauge_names
        self.is_linked = False  # a link stands, and all that the runtime said meanwhile was received
        self.last_query = 0  # tags of gauges queries
        self.last_answer = 0
        self._gauges: dict[str, float] = {}  # of the last query, until `take_gauges`

    # Gauges.

    def query_gauges(self) -> None:
        """Asks for gauges; those that are at hand are out of date from now on."""
        self.last_query += 1
        self._gauges = {}
        if self.is_linked:
            self._outbox.append((Destination.RUNTIME, QueryGauges(self.last_query)))

    def handle_gauges(self, tag: int, values: list[float]) -> None:
        """An older answer confirms what was read, but its values are out of date."""
        if tag == self.last_query:
            named = zip(self._gauge_names, values, strict=False)
            self._gauges = {name: value for name, value in named if name and math.isfinite(value)}
        self.last_answer = max(self.last_answer, tag)

    def take_gauges(self) -> dict[str, float]:
        """The answer to the last query; empty if there is none, or if it was taken."""
        gauges = self._gauges
        self._gauges = {}
        return gauges

    # Commands.

    def start(self, request: PendingRequest) -> None:
        """Starts the run, on the next link if none stands."""
        request.is_running = True
        if self.is_linked:
            self._send_start(request)

    def deliver_reply(self, request: PendingRequest, body: bytes) -> None:
        """Hands the reply to the run's downstream call over, on the next link if none stands."""
        request.pending_call = None
        request.reply = body
        request.delivery = NOT_SENT
        if self.is_linked:
            self._send_reply(request)

    def stop(self, request: PendingRequest) -> None:
        """Stops the run."""
        self._outbox.append((Destination.RUNTIME, StopRun(request.request_id)))

    def skip_call(self, request: PendingRequest) -> None:
        """Lets the run go on without its downstream call."""
        request.pending_call = None
        self._outbox.append((Destination.RUNTIME, SkipDownstreamCall(request.request_id)))

    # Links.

    def handle_link_established(self) -> None:
        """A link stands; each running request has to be passed to `resume`."""
        self.is_linked = True

    def handle_link_lost(self) -> None:
        """The link is gone."""
        self.is_linked = False
        self._gauges = {}

    def close_link(self) -> None:
        """What is decided from now on goes out on the link to another address. A last query on the old link
        confirms what was read there."""
        self.last_query += 1
        self._outbox.append((Destination.RUNTIME, CloseLink(self.last_query)))
        self.handle_link_lost()

    def resume(self, request: PendingRequest, is_safe: bool) -> bool:
        """Sends on a new link what the old one lost of a running request; False if the run was never started
        and nobody waits for it.

        A safe request is started again: if it runs, nothing happens. One with an effect may have ended just
        now, so its start stays uncertain until it is answered (`confirm_answered`). A reply that was sent is
        not sent again, for the run may be at its next call.
        """
        if request.reply is not None:
            # An answered run ends by itself at its call.
            if request.delivery == NOT_SENT and not request.is_answered:
                self._send_reply(request)
            return True
        if request.delivery == NOT_SENT:
            if request.is_answered:
                return False
            self._send_start(request)
        elif request.delivery > self.last_answer:
            if is_safe or request.is_answered:
                self._send_start(request)
            else:
                request.delivery = UNCERTAIN
        return True

    def confirm_answered(self, request: PendingRequest) -> None:
        """The answer to a request whose delivery is uncertain is not owed any more: nothing would start, so a
        start now only reports whether it runs."""
        if request.is_running and self.is_linked:
            self._send_start(request)

    def was_sent(self, request: PendingRequest) -> bool:
        """Whether the last command of the run was sent, be it read or not."""
        return request.delivery != NOT_SENT

    def has_reached(self, request: PendingRequest) -> bool:
        """Whether the runtime may have been told of the run."""
        return request.delivery != NOT_SENT or request.reply is not None

    def handle_call_needed(self, request: PendingRequest, body: bytes) -> None:
        """The run waits at a downstream call, so all that was sent of it was read."""
        request.pending_call = body
        request.reply = None
        request.delivery = CONFIRMED

    def _send_start(self, request: PendingRequest) -> None:
        request.delivery = self.last_query + 1  # the next query
        method = self._method_names[request.class_index]
        self._outbox.append((Destination.RUNTIME, StartRun(request.request_id, method, request.body)))

    def _send_reply(self, request: PendingRequest) -> None:
        assert request.reply is not None
        request.delivery = self.last_query + 1
        self._outbox.append((Destination.RUNTIME, DeliverReply(request.request_id, request.reply)))
