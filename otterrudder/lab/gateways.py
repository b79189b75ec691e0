"""Models of gateways: to which server an attempt is sent, how long it waits, and when it is retried.

A gateway knows only what servers have sent to it, and its endpoint list is updated late. Depending on its
settings, a gateway honours Retry-After (sends nothing to the server for that time), `is_final` (does not
retry), or the advertised load (keeps no more attempts open at a server than it advertised, and rejects a
request itself when no server has capacity left)."""

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

# Names of the answers for the checker.
ANSWERS = {
    RequestCompleted: "settled",
    RequestRejected: "declined",
    RequestFailed: "voided",
    RequestInvalid: "rejected",
}
RETRY_DELAY_MS = 1.0  # delay between a rejection or failure and the next attempt
MIN_TIME_LEFT_MS = 1.0  # minimum time until the deadline for a further attempt
LOAD_TIE_BREAK = 97  # modulus for ties between servers: a prime above the number of servers


@dataclass(frozen=True, slots=True)
class RetryState:
    """The previous attempts of a request."""

    first_sent_at: float  # time of the first attempt, in ms
    tried_servers: tuple[int, ...] = ()  # numbers of the servers, in the order of the attempts


class GatewayAttempt:
    """One attempt of a request at one server. The server's core addresses its answers to this object."""

    __slots__ = (
        "at",
        "gateway",
        "is_marked",
        "is_over",
        "max_wait_ms",
        "number",
        "offered",
        "retry_state",
        "server",
    )

    def __init__(
        self,
        gateway: "Gateway",
        offered: OfferedRequest,
        number: int,
        server: Server,
        at: float,
        max_wait_ms: float,
        retry_state: RetryState,
        is_marked: bool,
    ) -> None:
        self.gateway = gateway
        self.offered = offered
        self.number = number
        self.server = server
        self.at = at
        self.max_wait_ms = max_wait_ms
        self.retry_state = retry_state
        self.is_marked = is_marked
        self.is_over = False

    def receive(self, server: Server, message: ConnectionMessage) -> None:
        """The server sends an answer, which reaches the gateway after the network latency."""
        self.gateway.checker.answered(self.gateway.engine.now, self.number, ANSWERS[type(message)])
        server.attempt_over(self)
        self.gateway.engine.after(self.gateway.settings.net_ms, self._finish, message)

    def _finish(self, message: ConnectionMessage | None) -> None:
        if not self.is_over:
            self.is_over = True
            self.gateway.attempt_finished(self, message)

    def reset(self, server: Server) -> None:
        """The connection to the server is reset."""
        self._finish(None)

    def time_out(self) -> None:
        """The attempt has reached its maximum waiting time."""
        self._finish(None)


class Gateway(EndpointListener):
    """One gateway, which sends its callers' requests to servers and retries them."""

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
        self.settings: GatewaysSection = site.gateways
        self.products = site.products
        self.servers = servers
        self.listed: list[int] = []
        self._next_number = next_number
        self._on_completed = on_completed
        position = (number + 0.5) / self.settings.count
        self.honours_retry_after = position < self.settings.heeds_away
        self.honours_final = position < self.settings.heeds_stop
        self.honours_load = position < self.settings.heeds_load
        self.backed_off_until: dict[int, float] = {}  # end of the Retry-After time in ms, by server
        self.max_open: dict[int, float] = {}  # advertised maximum of open attempts, by server
        self.open_attempts: dict[int, int] = {}  # number of open attempts, by server
        self._round_robin = number

    def accept(self, offered: OfferedRequest) -> None:
        """A caller sends a request."""
        self.statistics.asked(offered.at, offered.product)
        self._send_attempt(offered, RetryState(self.engine.now))

    def _send_attempt(self, offered: OfferedRequest, retry_state: RetryState) -> None:
        now = self.engine.now
        deadline_ms = self.products[offered.product].deadline_ms
        time_left_ms = retry_state.first_sent_at + deadline_ms - now
        may_send = time_left_ms > MIN_TIME_LEFT_MS and len(retry_state.tried_servers) < self.settings.tries
        server = self._choose(offered, retry_state.tried_servers) if may_send else None
        if server is None:
            self._finish_request(offered, REJECTED if retry_state.tried_servers else UNREACHABLE)
            return
        max_wait_ms = min(time_left_ms, deadline_ms * self.settings.try_share)
        arrives_at = now + self.settings.net_ms
        is_marked = bool(retry_state.tried_servers) and self.settings.marks
        attempt = GatewayAttempt(
            self, offered, self._next_number(), server, arrives_at, max_wait_ms, retry_state, is_marked
        )
        self.statistics.attempts += 1
        self.open_attempts[server.number] = self.open_attempts.get(server.number, 0) + 1
        self.engine.after(self.settings.net_ms, self._deliver, attempt)
        self.engine.after(max_wait_ms, attempt.time_out)
        if offered.patience_ms < time_left_ms:
            self.engine.after(offered.patience_ms, self._disconnect, attempt)

    def _deliver(self, attempt: GatewayAttempt) -> None:
        if attempt.server.is_up:
            attempt.server.receive(attempt)
        else:
            attempt.reset(attempt.server)

    def _disconnect(self, attempt: GatewayAttempt) -> None:
        """The caller disconnects before it has an answer."""
        if attempt.is_over:
            return
        attempt.is_over = True
        self.open_attempts[attempt.server.number] -= 1
        if attempt.server.is_up:
            attempt.server.disconnected(attempt)
            attempt.server.attempt_over(attempt)
        self._finish_request(attempt.offered, FAILED)

    def attempt_finished(self, attempt: GatewayAttempt, message: ConnectionMessage | None) -> None:
        """An attempt has ended. `message` is None if there was no answer in time."""
        server = attempt.server.number
        self.open_attempts[server] -= 1
        offered = attempt.offered
        retry_state = replace(attempt.retry_state, tried_servers=(*attempt.retry_state.tried_servers, server))
        match message:
            case RequestCompleted():
                self._record_load(server, message.load)
                self._finish_request(offered, COMPLETED)
            case RequestRejected():
                self._record_load(server, message.load)
                self._handle_rejection(offered, retry_state, server, message)
            case RequestFailed():
                self._record_load(server, message.load)
                self._retry_after_failure(offered, retry_state)
            case _:
                self._retry_after_failure(offered, retry_state)

    def _handle_rejection(
        self, offered: OfferedRequest, retry_state: RetryState, server: int, message: RequestRejected
    ) -> None:
        if self.honours_retry_after and message.retry_after_ms > 0:
            until = self.engine.now + message.retry_after_ms
            self.backed_off_until[server] = max(self.backed_off_until.get(server, 0.0), until)
        if message.is_final and self.honours_final:
            self._finish_request(offered, REJECTED)
        else:
            self.engine.after(RETRY_DELAY_MS, self._send_attempt, offered, retry_state)

    def _retry_after_failure(self, offered: OfferedRequest, retry_state: RetryState) -> None:
        """Retries a request at another server only if it may run twice, as servers do not share their
        idempotency keys."""
        if (
            self.products[offered.product].retention_ms
            or len(retry_state.tried_servers) >= self.settings.tries
        ):
            self._finish_request(offered, FAILED)
        else:
            self.engine.after(RETRY_DELAY_MS, self._send_attempt, offered, retry_state)

    def _record_load(self, server: int, load: float | None) -> None:
        if load is not None:
            self.max_open[server] = load

    def _finish_request(self, offered: OfferedRequest, outcome: str) -> None:
        self.statistics.ended(offered.at, self.engine.now, offered.product, outcome)
        is_completed = outcome == COMPLETED
        session = self.statistics.sessions.get(offered.session)
        if session:
            session.completed += is_completed
            session.is_broken |= not is_completed
            session.is_over = session.is_broken or not offered.remaining_in_session
        if is_completed and offered.remaining_in_session:
            self._on_completed(offered)

    def _choose(self, offered: OfferedRequest, tried_servers: tuple[int, ...]) -> Server | None:
        """The server of the next attempt by the `choose` setting; None if no server is available."""
        now = self.engine.now
        untried = [n for n in self.listed if n not in tried_servers]
        candidates = [n for n in untried if self.backed_off_until.get(n, 0.0) <= now] or untried
        if self.honours_load:
            candidates = [
                n for n in candidates if self.open_attempts.get(n, 0) < self.max_open.get(n, math.inf)
            ]
        if not candidates:
            return None
        if self.settings.choose == "subject" and offered.key:
            return self.servers[candidates[offered.key % len(candidates)]]
        if self.settings.choose == "least":
            return self.servers[min(candidates, key=self._least_open_order)]
        self._round_robin += 1
        return self.servers[candidates[self._round_robin % len(candidates)]]

    def _least_open_order(self, server: int) -> tuple[int, int]:
        return self.open_attempts.get(server, 0), (server - self._round_robin) % LOAD_TIE_BREAK
