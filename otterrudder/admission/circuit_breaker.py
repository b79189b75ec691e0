"""The circuit breaker for downstream calls, which opens after consecutive failures."""

from otterrudder.admission.commands import LogMessage
from otterrudder.admission.context import TICK_MS, AdmissionContext
from otterrudder.admission.interface import Outcome
from otterrudder.admission.requests import Request

FAILURES_TO_OPEN = 8  # consecutive failures
OPEN_INTERVAL_MS = 500.0  # minimum interval between trial calls; each success halves it


class CircuitBreaker:
    """Limits the rate of calls while the downstream fails. It is closed while `_interval_ms` is 0."""

    def __init__(self, context: AdmissionContext) -> None:
        self._context = context
        self._flow = context.flow
        self._consecutive_failures = 0
        self._interval_ms = 0.0
        self._last_call_at = 0.0

    def allows_call(self) -> bool:
        """Returns whether a call may be sent now."""
        return self._context.now >= self._last_call_at + self._interval_ms

    def on_call(self) -> None:
        """Records that a call is sent."""
        self._last_call_at = self._context.now

    def on_success(self) -> None:
        """Records a successful call.

        The interval shrinks gradually, because the other servers resume their calls at the same time."""
        if self._consecutive_failures >= FAILURES_TO_OPEN:
            text = f"calls below work again after {self._consecutive_failures} failures"
            self._context.commands.append(LogMessage(text))
        self._consecutive_failures = 0
        self._interval_ms = self._interval_ms / 2 if self._interval_ms > TICK_MS / 2 else 0.0

    def on_failure(self, request: Request, outcome: Outcome) -> None:
        """Records a failed call. A full downstream does not count as failing."""
        if outcome is Outcome.FULL:
            return
        self._consecutive_failures += 1
        if self._consecutive_failures == FAILURES_TO_OPEN:
            # Random jitter, so that servers do not send their trial calls at the same time.
            spread = 1 + self._flow.random_fraction(request.request_id) / 2
            self._interval_ms = OPEN_INTERVAL_MS * spread
            self._context.commands.append(LogMessage("calls below stop: too many failures in a row"))
