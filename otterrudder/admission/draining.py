"""Draining: this server finishes the requests of a scope and accepts no new ones; other servers do."""

from dataclasses import dataclass

from otterrudder.admission.commands import CloseConnections
from otterrudder.admission.context import TICK_MS, AdmissionContext, RejectionReason, Stage
from otterrudder.admission.interface import RequestScope
from otterrudder.admission.requests import Request

DRAIN_MARGIN_MS = 250.0  # time between the last answers and the stop, so that a short freeze loses no answer

_EVERYTHING = RequestScope()
_SHUTDOWN = None  # key of the drain for the shutdown, which cannot be resumed


@dataclass(frozen=True, slots=True)
class Drain:
    """The drain of one scope."""

    scope: RequestScope
    admits_until: float  # requests that arrive later are rejected
    stops_at: float  # all requests of the scope are answered by then

    def rejects(self, request: Request, now: float) -> bool:
        """Returns whether the request arrived too late to be served during this drain."""
        if not self.scope.includes(request.class_index, request.tenant):
            return False
        return now >= self.stops_at or request.arrived_at > self.admits_until - TICK_MS


class Draining(Stage):
    """The drains that are in progress or complete. Each lasts until its scope is resumed."""

    def __init__(self, context: AdmissionContext) -> None:
        self._context = context
        self._flow = context.flow
        self._grace_ms = context.settings.drain_grace_ms
        self.drains: dict[RequestScope | None, Drain] = {}

    @property
    def covers_everything(self) -> bool:
        """Whether one drain covers all requests."""
        return any(drain.scope.is_all for drain in self.drains.values())

    def begin(self, scope: RequestScope, time_left_ms: float) -> None:
        """Drains a scope, which may be resumed."""
        self._begin(scope, scope, time_left_ms)

    def begin_shutdown(self, time_left_ms: float) -> None:
        """Drains all requests for a shutdown, which cannot be resumed."""
        self._begin(_SHUTDOWN, _EVERYTHING, time_left_ms)

    def end(self, scope: RequestScope) -> bool:
        """Ends the drain of a scope. Returns False if the scope was not drained."""
        return self.drains.pop(scope, None) is not None

    def admit(self, request: Request) -> bool:
        """Rejects a request that arrived after the grace time of a drain."""
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
        if drain is None or self._context.now < drain.stops_at:  # the drain was ended or begun again
            return
        for request in list(self._context.requests.values()):
            if drain.scope.includes(request.class_index, request.tenant):
                self._flow.reject(request, RejectionReason.SERVED_ELSEWHERE)
        if key is _SHUTDOWN:
            self._context.commands.append(CloseConnections())
