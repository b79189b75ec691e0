"""Delivery of run commands to the runtime, with the record of which commands it is known to have read.

The link to the runtime may break while commands on it are unread. Gauges are queried regularly, the runtime
reads commands in order, and its answers arrive in order, so the answer to a gauges query confirms every
command that was sent before the query. Whether commands sent after the last answered query were read before
the link broke is uncertain."""

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
    """Sends run commands to the runtime, and resends on a new link those that the old link lost."""

    def __init__(self, outbox: list[Outgoing], method_names: list[str], gauge_names: list[str]) -> None:
        """`method_names` has the runtime's method by class index. `gauge_names` has the gauges in the order
        of the runtime's answers, "" for an unused one."""
        self._outbox = outbox
        self._method_names = method_names
        self._gauge_names = gauge_names
        self.is_linked = False  # whether a link is established and its replay of notices is complete
        self.last_query = 0  # tag of the last gauges query
        self.last_answer = 0  # tag of the last gauges query that was answered
        self._gauges: dict[str, float] = {}  # answer to the last query; removed by `take_gauges`

    # Gauges.

    def query_gauges(self) -> None:
        """Queries the gauges, and discards the values of the previous query."""
        self.last_query += 1
        self._gauges = {}
        if self.is_linked:
            self._outbox.append((Destination.RUNTIME, QueryGauges(self.last_query)))

    def handle_gauges(self, tag: int, values: list[float]) -> None:
        """Handles the answer to a query. An answer to an older query confirms the commands before that query,
        but its values are out of date and are ignored."""
        if tag == self.last_query:
            named = zip(self._gauge_names, values, strict=False)
            self._gauges = {name: value for name, value in named if name and math.isfinite(value)}
        self.last_answer = max(self.last_answer, tag)

    def take_gauges(self) -> dict[str, float]:
        """Removes and returns the answer to the last query; empty if it has not arrived or was already
        taken."""
        gauges = self._gauges
        self._gauges = {}
        return gauges

    # Commands.

    def start(self, request: PendingRequest) -> None:
        """Starts the run, or leaves the start to the next link if none is established."""
        request.is_running = True
        if self.is_linked:
            self._send_start(request)

    def deliver_reply(self, request: PendingRequest, body: bytes) -> None:
        """Delivers the reply to the run's downstream call, or leaves it to the next link if none is
        established."""
        request.pending_call = None
        request.reply = body
        request.delivery = NOT_SENT
        if self.is_linked:
            self._send_reply(request)

    def stop(self, request: PendingRequest) -> None:
        """Stops the run."""
        self._outbox.append((Destination.RUNTIME, StopRun(request.request_id)))

    def skip_call(self, request: PendingRequest) -> None:
        """Lets the run continue without its downstream call."""
        request.pending_call = None
        self._outbox.append((Destination.RUNTIME, SkipDownstreamCall(request.request_id)))

    # Links.

    def handle_link_established(self) -> None:
        """Records that a link is established. The caller must pass each running request to `resume`."""
        self.is_linked = True

    def handle_link_lost(self) -> None:
        """Records that the link is lost, and discards the gauges."""
        self.is_linked = False
        self._gauges = {}

    def close_link(self) -> None:
        """Sends a last gauges query on the link, whose answer confirms the commands sent on it. Later
        commands wait for the link to the new address."""
        self.last_query += 1
        self._outbox.append((Destination.RUNTIME, CloseLink(self.last_query)))
        self.handle_link_lost()

    def resume(self, request: PendingRequest, is_safe: bool) -> bool:
        """Resends on a new link the commands of a running request that the old link lost. Returns False if
        the run was never started and its request is already answered.

        A safe request is started again; the runtime ignores the start if the run is active. A request with an
        effect may have ended in the meantime, so its start stays uncertain until the request is answered (see
        `confirm_answered`). A reply that was sent is not resent because the run may already be at its next
        call.
        """
        if request.reply is not None:
            # If the request is answered, its run ends by itself at the call.
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
        """Resends the start of an answered request whose delivery is uncertain. The runtime starts no run for
        a request that is answered, so the start only makes it report the state of the run."""
        if request.is_running and self.is_linked:
            self._send_start(request)

    def was_sent(self, request: PendingRequest) -> bool:
        """Whether the last command of the run was sent; it need not have been read."""
        return request.delivery != NOT_SENT

    def may_have_reached(self, request: PendingRequest) -> bool:
        """Whether the runtime may have received a command of the run."""
        return request.delivery != NOT_SENT or request.reply is not None

    def handle_call_needed(self, request: PendingRequest, body: bytes) -> None:
        """Records the body of the downstream call that the run waits for. The runtime has read all earlier
        commands of the run."""
        request.pending_call = body
        request.reply = None
        request.delivery = CONFIRMED

    def _send_start(self, request: PendingRequest) -> None:
        request.delivery = self.last_query + 1  # the answer to the next query confirms the start
        method = self._method_names[request.class_index]
        self._outbox.append((Destination.RUNTIME, StartRun(request.request_id, method, request.body)))

    def _send_reply(self, request: PendingRequest) -> None:
        assert request.reply is not None
        request.delivery = self.last_query + 1
        self._outbox.append((Destination.RUNTIME, DeliverReply(request.request_id, request.reply)))
