"""The downstream calls that are out for running requests: at most one a request."""

from otterrudder.net.messages import CancelCall, Destination, Outgoing, SendCall
from otterrudder.net.requests import PendingRequest


class DownstreamCalls:
    """Sends calls to the records service, and cancels those whose reply nobody waits for."""

    def __init__(self, outbox: list[Outgoing]) -> None:
        self._outbox = outbox

    def start(self, request: PendingRequest, timeout_ms: float) -> None:
        """Makes the call that the request's run waits at, if it still does."""
        if request.pending_call is not None:
            request.is_calling = True
            call = SendCall(request.request_id, timeout_ms, request.pending_call)
            self._outbox.append((Destination.RECORDS, call))

    def finish(self, request: PendingRequest) -> None:
        """The call has ended."""
        request.is_calling = False

    def cancel(self, request: PendingRequest) -> None:
        """Gives up the call that is out."""
        request.is_calling = False
        self._outbox.append((Destination.RECORDS, CancelCall(request.request_id)))
