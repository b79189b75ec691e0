"""The circuit breaker for downstream calls: after failures in a row, single trials bring the calls back."""

from otterrudder.admission.commands import LogMessage
from otterrudder.admission.context import TICK_MS, AdmissionContext
from otterrudder.admission.interface import Outcome
from otterrudder.admission.requests import Request

FAILURES_TO_OPEN = 8  # in a row
OPEN_INTERVAL_MS = 500.0  # least time between trials; it halves with each that succeeds


class CircuitBreaker:
    """Spaces calls out while the downstream fails; closed while `_interval_ms` is 0."""

    def __init__(self, context: AdmissionContext) -> None:
        self._context = context
        self._flow = context.flow
        self._consecutive_failures = 0
        self._interval_ms = 0.0
        self._last_call_at = 0.0

    def allows_call(self) -> bool:
        """Whether a call may go out now."""
        return self._context.now >= self._last_call_at + self._interval_ms

    def on_call(self) -> None:
        """A call goes out."""
        self._last_call_at = self._context.now

    def on_success(self) -> None:
        """A call succeeded. The interval shrinks by degrees, as all other servers' calls come back too."""
        if self._consecutive_failures >= FAILURES_TO_OPEN:
            text = f"calls below work again after {self._consecutive_failures} failures"
            self._context.commands.append(LogMessage(text))
        self._consecutive_failures = 0
        self._interval_ms = self._interval_ms / 2 if self._interval_ms > TICK_MS / 2 else 0.0

    def on_failure(self, request: Request, outcome: Outcome) -> None:
        """A call failed. A downstream that is merely full is not broken."""
        if outcome is Outcome.FULL:
            return
        self._consecutive_failures += 1
        if self._consecutive_failures == FAILURES_TO_OPEN:
            # Spread by chance, so that no two servers try in step.
            spread = 1 + self._flow.random_fraction(request.request_id) / 2
            self._interval_ms = OPEN_INTERVAL_MS * spread
            self._context.commands.append(LogMessage("calls below stop: too many failures in a row"))
