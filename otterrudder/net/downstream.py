"""The outstanding downstream calls of running requests; each request has at most one."""

from otterrudder.net.messages import CancelCall, Destination, Outgoing, SendCall
from otterrudder.net.requests import PendingRequest


class DownstreamCalls:
    """Sends calls to the records service, and cancels those whose reply is not needed any more."""

    def __init__(self, outbox: list[Outgoing]) -> None:
        self._outbox = outbox

    def start(self, request: PendingRequest, timeout_ms: float) -> None:
        """Sends the call that the request's run waits for, if it still waits."""
        if request.pending_call is not None:
            request.is_calling = True
            call = SendCall(request.request_id, timeout_ms, request.pending_call)
            self._outbox.append((Destination.RECORDS, call))

    def finish(self, request: PendingRequest) -> None:
        """Records that the call has ended."""
        request.is_calling = False

    def cancel(self, request: PendingRequest) -> None:
        """Cancels the outstanding call."""
        request.is_calling = False
        self._outbox.append((Destination.RECORDS, CancelCall(request.request_id)))
