"""Gateways and their habits: which server an attempt goes to, how long it waits, and what follows a rejection
or a failure.

A gateway knows only what it was sent itself. Its endpoint list follows the servers' coming and going late.
One that honours Retry-After leaves a server out for as long as it was asked; one that honours `is_final` does
not retry; one that honours the load keeps no more open at a server than it advertised, and rejects a request
itself when no server has capacity left."""

import math
from collections.abc import Callable
from dataclasses import dataclass, replace

from otterrudder.lab.arrivals import OfferedRequest
from otterrudder.lab.checker import Checker
from otterrudder.lab.engine import Engine
from otterrudder.lab.faults import EndpointListener
from otterrudder.lab.outcome_statistics import COMPLETED, FAILED, REJECTED, UNREACHABLE, OutcomeStatistics
from otterrudder.lab.server import Server
from otterrudder.lab.site import GatewaysSection, Site
from otterrudder.net.messages import (
    ConnectionMessage,
    RequestCompleted,
    RequestFailed,
    RequestInvalid,
    RequestRejected,
)

# Answers as the checker names them.
ANSWERS = {
    RequestCompleted: "settled",
    RequestRejected: "declined",
    RequestFailed: "voided",
    RequestInvalid: "rejected",
}
RETRY_DELAY_MS = 1.0  # from a rejection to the next attempt
MIN_TIME_LEFT_MS = 1.0  # below which there is no further attempt
LOAD_TIE_BREAK = 97  # a prime above the number of servers


@dataclass(frozen=True, slots=True)
class RetryState:
    """What the attempts of a request have come to."""

    started_at: float  # ms, of the first attempt
    tried: tuple[int, ...] = ()  # servers, in order


class GatewayAttempt:
    """One attempt of a request at one server; the core's answers go to it."""

    __slots__ = (
        "at",
        "gateway",
        "is_marked",
        "is_over",
        "number",
        "offered",
        "retry_state",
        "server",
        "wait",
    )

    def __init__(
        self,
        gateway: "Gateway",
        offered: OfferedRequest,
        number: int,
        server: Server,
        at: float,
        wait: float,
        retry_state: RetryState,
        is_marked: bool,
    ) -> None:
        self.gateway = gateway
        self.offered = offered
        self.number = number
        self.server = server
        self.at = at
        self.wait = wait
        self.retry_state = retry_state
        self.is_marked = is_marked
        self.is_over = False

    def receive(self, server: Server, message: ConnectionMessage) -> None:
        """An answer of the server, on its way to the gateway."""
        self.gateway.checker.answered(self.gateway.engine.now, self.number, ANSWERS[type(message)])
        server.attempt_over(self)
        self.gateway.engine.after(self.gateway.part.net_ms, self._finish, message)

    def _finish(self, message: ConnectionMessage | None) -> None:
        if not self.is_over:
            self.is_over = True
            self.gateway.attempt_finished(self, message)

    def reset(self, server: Server) -> None:
        """The connection breaks with its server."""
        self._finish(None)

    def time_out(self) -> None:
        """It has waited for as long as it may."""
        self._finish(None)


class Gateway(EndpointListener):
    """One gateway: sends its callers' requests to servers, and retries."""

    def __init__(
        self,
        number: int,
        site: Site,
        engine: Engine,
        checker: Checker,
        statistics: OutcomeStatistics,
        servers: list[Server],
        next_number: Callable[[], int],
        on_completed: Callable[[OfferedRequest], None],
    ) -> None:
        self.number = number
        self.engine = engine
        self.checker = checker
        self.statistics = statistics
        self.part: GatewaysSection = site.gateways
        self.products = site.products
        self.servers = servers
        self.listed: list[int] = []
        self._next_number = next_number
        self._on_completed = on_completed
        quantile = (number + 0.5) / self.part.count
        self.honours_retry_after = quantile < self.part.heeds_away
        self.honours_final = quantile < self.part.heeds_stop
        self.honours_load = quantile < self.part.heeds_load
        self.backed_off_until: dict[int, float] = {}  # by server
        self.max_open: dict[int, float] = {}  # by server: the open attempts that it advertised
        self.open: dict[int, int] = {}  # attempts by server
        self._round_robin = number

    def take(self, offered: OfferedRequest) -> None:
        """A caller asks for a request."""
        self.statistics.asked(offered.at, offered.product)
        self._attempt(offered, RetryState(self.engine.now))

    def _attempt(self, offered: OfferedRequest, state: RetryState) -> None:
        now = self.engine.now
        deadline_ms = self.products[offered.product].deadline_ms
        time_left = state.started_at + deadline_ms - now
        may_try = time_left > MIN_TIME_LEFT_MS and len(state.tried) < self.part.tries
        server = self._choose(offered, state.tried) if may_try else None
        if server is None:
            self._end(offered, REJECTED if state.tried else UNREACHABLE)
            return
        wait = min(time_left, deadline_ms * self.part.try_share)
        arrives_at = now + self.part.net_ms
        is_marked = bool(state.tried) and self.part.marks
        attempt = GatewayAttempt(
            self, offered, self._next_number(), server, arrives_at, wait, state, is_marked
        )
        self.statistics.attempts += 1
        self.open[server.number] = self.open.get(server.number, 0) + 1
        self.engine.after(self.part.net_ms, self._deliver, attempt)
        self.engine.after(wait, attempt.time_out)
        if offered.patience_ms < time_left:
            self.engine.after(offered.patience_ms, self._disconnect, attempt)

    def _deliver(self, attempt: GatewayAttempt) -> None:
        if attempt.server.is_up:
            attempt.server.take(attempt)
        else:
            attempt.reset(attempt.server)

    def _disconnect(self, attempt: GatewayAttempt) -> None:
        """The caller has lost its patience."""
        if attempt.is_over:
            return
        attempt.is_over = True
        self.open[attempt.server.number] -= 1
        if attempt.server.is_up:
            attempt.server.disconnected(attempt)
            attempt.server.attempt_over(attempt)
        self._end(attempt.offered, FAILED)

    def attempt_finished(self, attempt: GatewayAttempt, message: ConnectionMessage | None) -> None:
        """`message`: None if there was no answer, be it in time or at all."""
        server = attempt.server.number
        self.open[server] -= 1
        offered = attempt.offered
        state = replace(attempt.retry_state, tried=(*attempt.retry_state.tried, server))
        match message:
            case RequestCompleted():
                self._note_load(server, message.load)
                self._end(offered, COMPLETED)
            case RequestRejected():
                self._note_load(server, message.load)
                self._handle_rejection(offered, state, server, message)
            case RequestFailed():
                self._note_load(server, message.load)
                self._retry_after_failure(offered, state)
            case _:
                self._retry_after_failure(offered, state)

    def _handle_rejection(
        self, offered: OfferedRequest, state: RetryState, server: int, message: RequestRejected
    ) -> None:
        if self.honours_retry_after and message.retry_after_ms > 0:
            until = self.engine.now + message.retry_after_ms
            self.backed_off_until[server] = max(self.backed_off_until.get(server, 0.0), until)
        if message.is_final and self.honours_final:
            self._end(offered, REJECTED)
        else:
            self.engine.after(RETRY_DELAY_MS, self._attempt, offered, state)

    def _retry_after_failure(self, offered: OfferedRequest, state: RetryState) -> None:
        """Only what may run twice goes to another server: servers share no idempotency keys."""
        if self.products[offered.product].retention_ms or len(state.tried) >= self.part.tries:
            self._end(offered, FAILED)
        else:
            self.engine.after(RETRY_DELAY_MS, self._attempt, offered, state)

    def _note_load(self, server: int, load: float | None) -> None:
        if load is not None:
            self.max_open[server] = load

    def _end(self, offered: OfferedRequest, outcome: str) -> None:
        self.statistics.ended(offered.at, self.engine.now, offered.product, outcome)
        is_completed = outcome == COMPLETED
        session = self.statistics.sessions.get(offered.session)
        if session:
            session.completed += is_completed
            session.is_broken |= not is_completed
            session.is_over = session.is_broken or not offered.remaining_in_session
        if is_completed and offered.remaining_in_session:
            self._on_completed(offered)

    def _choose(self, offered: OfferedRequest, tried: tuple[int, ...]) -> Server | None:
        """The server of the next attempt, by the gateway's way to choose; None if none is left."""
        now = self.engine.now
        known = [n for n in self.listed if n not in tried]
        candidates = [n for n in known if self.backed_off_until.get(n, 0.0) <= now] or known
        if self.honours_load:
            candidates = [n for n in candidates if self.open.get(n, 0) < self.max_open.get(n, math.inf)]
        if not candidates:
            return None
        if self.part.choose == "subject" and offered.key:
            return self.servers[candidates[offered.key % len(candidates)]]
        if self.part.choose == "least":
            return self.servers[min(candidates, key=self._least_open_order)]
        self._round_robin += 1
        return self.servers[candidates[self._round_robin % len(candidates)]]

    def _least_open_order(self, server: int) -> tuple[int, int]:
        return self.open.get(server, 0), (server - self._round_robin) % LOAD_TIE_BREAK
