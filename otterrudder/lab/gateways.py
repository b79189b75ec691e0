"""Gateways and their habits: which server a try goes to, how long it waits, what a decline or a failure
leads to.

A gateway knows only what it was told itself. Its list of servers follows their coming and going late. One
that heeds stay-away leaves a server out for as long as it was asked; one that heeds `stop` tries nowhere
else; one that heeds the load keeps no more open at a server than it advertised, and turns a request away
itself when no server has room."""

import math
from collections.abc import Callable

from otterrudder.lab.arrivals import Ask
from otterrudder.lab.checker import Checker
from otterrudder.lab.engine import Engine
from otterrudder.lab.faults import EndpointListener
from otterrudder.lab.ledger import DECLINED, SETTLED, UNREACHED, VOIDED, Ledger
from otterrudder.lab.server import Server
from otterrudder.lab.site import GatewaysPart, Site
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
WALK_MS = 1.0  # ms from a decline to the next try


class Try:
    """One try of a request at one server; it is the address that the core answers to."""

    __slots__ = ("ask", "at", "gateway", "is_marked", "is_over", "number", "server", "wait")

    def __init__(
        self,
        gateway: "Gateway",
        ask: Ask,
        number: int,
        server: Server,
        at: float,
        wait: float,
        is_marked: bool,
    ) -> None:
        self.gateway, self.ask, self.number, self.server = gateway, ask, number, server
        self.at, self.wait, self.is_marked = at, wait, is_marked
        self.is_over = False

    def receive(self, server: Server, message: ConnectionMessage) -> None:
        """An answer of the server, on its way to the gateway."""
        self.gateway.checker.answered(self.gateway.engine.now, self.number, ANSWERS[type(message)])
        server.over(self)
        self.gateway.engine.after(self.gateway.part.net_ms, self._finish, message)

    def _finish(self, message: ConnectionMessage | None) -> None:
        if not self.is_over:
            self.is_over = True
            self.gateway.attempt_finished(self, message)

    def reset(self, server: Server) -> None:
        """The connection breaks with its server."""
        self._finish(None)

    def given_up(self) -> None:
        """It has waited for as long as it was allowed."""
        self._finish(None)


class Gateway(EndpointListener):
    def __init__(
        self,
        number: int,
        site: Site,
        engine: Engine,
        checker: Checker,
        ledger: Ledger,
        servers: list[Server],
        numbers: Callable[[], int],
        on_settled: Callable[[Ask], None],
    ) -> None:
        self.number, self.engine, self.checker, self.ledger = number, engine, checker, ledger
        self.part: GatewaysPart = site.gateways
        self.products = site.products
        self.servers, self.numbers, self.on_settled = servers, numbers, on_settled
        share = (number + 0.5) / self.part.count
        self.heeds_away = share < self.part.heeds_away
        self.heeds_stop = share < self.part.heeds_stop
        self.heeds_load = share < self.part.heeds_load
        self.away: dict[int, float] = {}  # by server: until when it asked to be left alone
        self.load: dict[int, float] = {}  # by server: the open tries it wants at the most
        self.open: dict[int, int] = {}
        # of open tries: where the request was, since when
        self.trail: dict[int, tuple[tuple[int, ...], float]] = {}
        self.turn = number  # of the round
        self.listed: list[int] = []  # servers as this gateway knows them

    def take(self, ask: Ask) -> None:
        self.ledger.asked(ask.at, ask.product)
        self._try(ask, (), self.engine.now)

    def _try(self, ask: Ask, been: tuple[int, ...], since: float) -> None:
        spec = self.products[ask.product]
        left = since + spec.deadline_ms - self.engine.now
        server = self._choose(ask, been) if left > 1.0 and len(been) < self.part.tries else None
        if server is None:
            self._end(ask, DECLINED if been else UNREACHED)
            return
        now, wait = self.engine.now, min(left, spec.deadline_ms * self.part.try_share)
        attempt = Try(
            self, ask, self.numbers(), server, now + self.part.net_ms, wait, bool(been) and self.part.marks
        )
        self.ledger.tries += 1
        self.open[server.number] = self.open.get(server.number, 0) + 1
        self.engine.after(self.part.net_ms, self._reaches, attempt)
        self.engine.after(wait, attempt.given_up)
        if ask.patience < left:
            self.engine.after(ask.patience, self._leaves, attempt)
        self.trail[attempt.number] = (been, since)

    def _reaches(self, attempt: Try) -> None:
        if attempt.server.is_up:
            attempt.server.take(attempt)
        else:
            attempt.reset(attempt.server)

    def _leaves(self, attempt: Try) -> None:
        if not attempt.is_over:
            attempt.is_over = True
            self._closed(attempt)
            if attempt.server.is_up:
                attempt.server.left(attempt)
                attempt.server.over(attempt)
            self._end(attempt.ask, VOIDED)

    def _closed(self, attempt: Try) -> tuple[tuple[int, ...], float]:
        self.open[attempt.server.number] -= 1
        return self.trail.pop(attempt.number)

    def attempt_finished(self, attempt: Try, message: ConnectionMessage | None) -> None:
        """`message`: None if there was no answer, be it in time or at all."""
        been, since = self._closed(attempt)
        ask, server, now = attempt.ask, attempt.server, self.engine.now
        been = (*been, server.number)
        match message:
            case RequestCompleted():
                self._note_load(server.number, message.load)
                self._end(ask, SETTLED)
            case RequestRejected():
                self._note_load(server.number, message.load)
                if self.heeds_away and message.retry_after_ms > 0:
                    until = now + message.retry_after_ms
                    self.away[server.number] = max(self.away.get(server.number, 0.0), until)
                if message.is_final and self.heeds_stop:
                    self._end(ask, DECLINED)
                else:
                    self.engine.after(WALK_MS, self._try, ask, been, since)
            case RequestFailed():
                self._note_load(server.number, message.load)
                self._again(ask, been, since)
            case _:
                self._again(ask, been, since)

    def _again(self, ask: Ask, been: tuple[int, ...], since: float) -> None:
        """After a failure only what may run twice goes elsewhere: servers share nothing, and know no other's
        marks."""
        if self.products[ask.product].retention_ms or len(been) >= self.part.tries:
            self._end(ask, VOIDED)
        else:
            self.engine.after(WALK_MS, self._try, ask, been, since)

    def _note_load(self, server: int, load: float | None) -> None:
        if load is not None:
            self.load[server] = load

    def _end(self, ask: Ask, how: str) -> None:
        self.ledger.ended(ask.at, self.engine.now, ask.product, how)
        session = self.ledger.sessions.get(ask.session)
        if session:
            session.settled += how == SETTLED
            session.is_broken |= how != SETTLED
            session.is_over = session.is_broken or not ask.left
        if how == SETTLED and ask.left:
            self.on_settled(ask)

    def _choose(self, ask: Ask, been: tuple[int, ...]) -> Server | None:
        now = self.engine.now
        known = [n for n in self.listed if n not in been]
        calm = [n for n in known if self.away.get(n, 0.0) <= now] or known
        if self.heeds_load:
            calm = [n for n in calm if self.open.get(n, 0) < self.load.get(n, math.inf)]
        if not calm:
            return None
        if self.part.choose == "subject" and ask.key:
            number = calm[ask.key % len(calm)]
        elif self.part.choose == "least":
            number = min(calm, key=lambda n: (self.open.get(n, 0), (n - self.turn) % 97))
        else:
            self.turn += 1
            number = calm[self.turn % len(calm)]
        return self.servers[number]
