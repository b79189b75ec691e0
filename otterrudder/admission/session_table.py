"""The table of established sessions, which are served before newcomers (SBOC, see docs/design.md)."""

from collections import OrderedDict

from otterrudder.admission.context import AdmissionContext, Stage
from otterrudder.admission.requests import Request

SESSION_LIFETIME_FACTOR = 10.0  # session lifetime after the last completed request, in latency objectives


class SessionTable(Stage):
    """Sessions by key. A session is added when one of its requests completes."""

    def __init__(self, context: AdmissionContext) -> None:
        self._context = context
        self._max_sessions = context.settings.max_sessions  # beyond it the oldest is evicted
        self._expires_at: OrderedDict[int, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._expires_at)

    def admit(self, request: Request) -> bool:
        """Distinguishes established requests from newcomers.

        A request with side effects counts as established with or without a session key, up to a share of the
        queue, because it stands for the step of a session that earns its value. Any other request without a
        key is a newcomer."""
        expires_at = self._expires_at.get(request.session_key, 0.0)
        request.is_established = request.has_side_effects or expires_at > self._context.now
        return True

    def on_answered(self, request: Request) -> None:
        """Adds or renews the session of a completed request, and evicts expired sessions."""
        now = self._context.now
        if request.is_completed and request.session_key:
            lifetime_ms = SESSION_LIFETIME_FACTOR * request.request_class.latency_objective_ms
            self._expires_at[request.session_key] = now + lifetime_ms
            self._expires_at.move_to_end(request.session_key)
        while self._expires_at and self._is_oldest_evictable(now):
            self._expires_at.popitem(last=False)

    def _is_oldest_evictable(self, now: float) -> bool:
        return len(self._expires_at) > self._max_sessions or next(iter(self._expires_at.values())) <= now
