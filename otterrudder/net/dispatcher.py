"""The event loop's dispatcher: the only caller of the core.

Actors post calls of the core into its mailbox and never call the core themselves. A turn takes all that waits
in one go: the time once, the runtime and records before arrivals (what they free is there for those that
come), the ring if it is due, then one `done`, whose messages go to their addresses. Its one timer wakes it
for the next ring, and a little earlier to ask for gauges."""

import gc
import math
import resource
from collections.abc import Callable, Hashable
from pathlib import Path
from typing import Any, Protocol

import anyio

from otterrudder import clock
from otterrudder.log import log
from otterrudder.net import core

ASK_AHEAD_MS = 6.0  # ms before a ring at which gauges are asked for: a round trip and a busy loop
LATE_MS = 40.0  # ms of lateness of a ring from which on this process is short of CPU: a whole ring
LATE_FOR_MS = 1000.0  # ms for which such a ring makes it a late one
REPORT_MS = 10_000.0  # ms between lines on how this process does


Mail = tuple[
    Callable[..., object], tuple[Any, ...], dict[str, Any], str
]  # a call, its arguments, whose request


class Address(Protocol):
    """What the core's messages may be sent to."""

    def tell(self, word: str, *rest: Any) -> None:
        """Takes a message, in the forms that core.py lists; never waits."""


class Dispatcher:
    """Plays what was posted in turns, one at a time; a call that fails is logged, and the others go on."""

    def __init__(self, the_core: core.Core) -> None:
        self.core = the_core
        self.addresses: dict[Hashable, Address] = {core.DISPATCHER: self}
        self.period = 0.0  # ms of the last ring's wait
        self.urgent: list[Mail] = []  # of all but gateways: played ahead of arrivals
        self.arrivals: list[Mail] = []
        self.wake = anyio.Event()
        self.ring_at = self.ask_at = float("inf")
        self.statistics = _LoopStatistics()
        self.before_turn: list[Callable[[float], None]] = []  # played at the head of each turn

    def post(self, act: Callable[..., object], *args: Any, of: str = "", **more: Any) -> None:
        """Puts a call of the core into the mailbox; `of` names the request that is voided if it fails."""
        self.urgent.append((act, args, more, of))
        self.wake.set()

    def post_arrival(self, act: Callable[..., object], *args: Any, of: str = "", **more: Any) -> None:
        """The same for what gateways say: played after all that was put in by `post`."""
        self.arrivals.append((act, args, more, of))
        self.wake.set()

    async def run(self) -> None:
        """Takes turns until it is cancelled."""
        while True:
            wait = min(self.ring_at, self.ask_at, self.statistics.next) - clock.monotonic()
            if not (self.urgent or self.arrivals) and wait > 0:
                self.wake = anyio.Event()
                with anyio.move_on_after(wait / 1000):
                    await self.wake.wait()
            else:
                await anyio.lowlevel.checkpoint()  # the actors get to their mail even if this one never rests
            self.turn()

    def turn(self) -> None:
        """One batch of the core: the time, all mail, what is due, and what the core then sends."""
        now = clock.monotonic()
        for pulse in self.before_turn:
            self._try(pulse, now)
        urgent, self.urgent = self.urgent, []
        arrivals, self.arrivals = self.arrivals, []
        self._try(self.core.at, clock.unix(), now)
        for act, args, more, of in urgent + arrivals:
            self._try(act, *args, of=of, **more)
        if now >= self.ask_at:
            self.ask_at = float("inf")
            self._try(self.core.ask)
        if now >= self.ring_at:
            late = now - self.ring_at
            self.statistics.ring_played(late)
            self.ring_at = float("inf")
            self._try(self.core.ring, late)
        for address, *message in self._try(self.core.done) or ():
            if address:  # else its caller has gone
                self._try(self.addresses.get(address, address).tell, *message)
        if self.ring_at == self.ask_at == float("inf") and self.period:  # a failed ring must not be the last
            self.tell("wake", self.period)
        self._try(self.statistics.turn_played, now, len(urgent) + len(arrivals), self.core)

    def tell(self, word: str, *rest: Any) -> None:
        """What the core sends to its dispatcher: when to ring next, or a line to log."""
        if word == "wake":
            self.period = rest[0]
            self.ring_at = clock.monotonic() + rest[0]
            self.ask_at = self.ring_at - ASK_AHEAD_MS
        else:
            log.info(rest[0], **rest[1])

    def _try(self, act: Callable[..., Any], *args: Any, of: str = "", **more: Any) -> Any:
        try:
            return act(*args, **more)
        except Exception:
            log.exception("an event failed", event_of=act.__name__, call=of)
            if of and act != self.core.failed:
                self._try(self.core.failed, of)
            return None


def _rss_mb() -> float:
    """Now, not at its highest: growth shows."""
    return round(int(Path("/proc/self/statm").read_bytes().split()[1]) * resource.getpagesize() / 2**20, 1)


class _LoopStatistics:
    """How the loop keeps up: cheap counts, logged and begun anew each REPORT_MS."""

    def __init__(self) -> None:
        self.next = clock.monotonic() + REPORT_MS
        self.lag = self.turn_ms = 0.0
        self.late_at = -math.inf
        self.mail = self.turns = self.events = 0
        self.cpu = 0.0

    def ring_played(self, late_ms: float) -> None:
        """A ring was played so late."""
        self.lag = max(self.lag, late_ms)
        if late_ms > LATE_MS:
            self.late_at = clock.monotonic()

    def is_late(self) -> bool:
        """Whether a ring of late was so late that answers at expiry may be."""
        return clock.monotonic() - self.late_at < LATE_FOR_MS

    def turn_played(self, began: float, mail: int, of: core.Core) -> None:
        """A turn that began then took so much mail."""
        now = clock.monotonic()
        self.turn_ms = max(self.turn_ms, now - began)
        self.mail, self.turns, self.events = max(self.mail, mail), self.turns + 1, self.events + mail
        if now < self.next:
            return
        used = resource.getrusage(resource.RUSAGE_SELF)
        cpu = used.ru_utime + used.ru_stime
        log.info(
            "doing",
            **of.counters(),
            requests=len(of.requests),
            references=len(of.references),
            numbered=of.numbered,
            worst_ring_late_ms=round(self.lag, 1),
            worst_turn_ms=round(self.turn_ms, 1),
            most_mail=self.mail,
            turns=self.turns,
            events=self.events,
            cpu_s=round(cpu - self.cpu, 3),
            rss_mb=_rss_mb(),
            most_rss_mb=round(used.ru_maxrss / 1024, 1),
            collections=gc.get_stats()[2]["collections"],
        )
        self.next, self.cpu = now + REPORT_MS, cpu
        self.lag = self.turn_ms = 0.0
        self.mail = self.turns = self.events = 0
