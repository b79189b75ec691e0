"""Draining: requests that another server serves from now on are finished here, and no new ones are taken."""

from dataclasses import dataclass

from otterrudder.admission.commands import CloseConnections
from otterrudder.admission.context import TICK_MS, AdmissionContext, RejectionReason, Stage
from otterrudder.admission.interface import RequestScope
from otterrudder.admission.requests import Request

DRAIN_MARGIN_MS = 250.0  # all is answered so long before the stop, so that a short freeze does no harm

_EVERYTHING = RequestScope()
_SHUTDOWN = None  # the key of the drain that can't be taken back


@dataclass(frozen=True, slots=True)
class Drain:
    """The drain of one scope."""

    scope: RequestScope
    admits_until: float  # requests that arrived later are rejected
    stops_at: float  # everything is answered by then

    def rejects(self, request: Request, now: float) -> bool:
        """Whether the request came too late to be served in this drain."""
        if not self.scope.includes(request.class_index, request.tenant):
            return False
        return now >= self.stops_at or request.arrived_at > self.admits_until - TICK_MS


class Draining(Stage):
    """The drains in progress and the scopes that are drained, each until it is resumed."""

    def __init__(self, context: AdmissionContext) -> None:
        self._context = context
        self._flow = context.flow
        self._grace_ms = context.settings.drain_grace_ms
        self.drains: dict[RequestScope | None, Drain] = {}

    @property
    def covers_everything(self) -> bool:
        """Whether a drain covers all requests."""
        return any(drain.scope.is_all for drain in self.drains.values())

    def begin(self, scope: RequestScope, time_left_ms: float) -> None:
        """Drain a scope, which may be resumed."""
        self._begin(scope, scope, time_left_ms)

    def begin_shutdown(self, time_left_ms: float) -> None:
        """Drain everything for good."""
        self._begin(_SHUTDOWN, _EVERYTHING, time_left_ms)

    def end(self, scope: RequestScope) -> bool:
        """Serve the scope again; False if it was not drained."""
        return self.drains.pop(scope, None) is not None

    def admit(self, request: Request) -> bool:
        """Reject what came after a drain's grace time."""
        for drain in self.drains.values():
            if drain.rejects(request, self._context.now):
                return self._flow.reject(request, RejectionReason.SERVED_ELSEWHERE)
        return True

    def _begin(self, key: RequestScope | None, scope: RequestScope, time_left_ms: float) -> None:
        now = self._context.now
        stops_at = now + max(time_left_ms - DRAIN_MARGIN_MS, 0.0)
        self.drains[key] = Drain(scope, now + self._grace_ms, stops_at)
        self._context.timers.schedule(stops_at, lambda: self._stop(key))

    def _stop(self, key: RequestScope | None) -> None:
        drain = self.drains.get(key)
        if drain is None or self._context.now < drain.stops_at:  # it was resumed, or begun anew
            return
        for request in list(self._context.requests.values()):
            if drain.scope.includes(request.class_index, request.tenant):
                self._flow.reject(request, RejectionReason.SERVED_ELSEWHERE)
        if key is _SHUTDOWN:
            self._context.commands.append(CloseConnections())
