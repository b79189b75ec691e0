"""The dispatcher of the event loop, the only caller of the request core.

The actors (connections, links, signals) post events: calls of the core, which they never call themselves. The
dispatcher handles all events that wait as one batch: the time once, then the events of the runtime and the
records service ahead of arrivals (what they free is there for those that arrive), then the admission
controller's tick if it is due. The core's messages then go to their destinations. A timer wakes the
dispatcher for the next tick, and a little earlier to query gauges."""

import math
from collections.abc import Callable, Hashable
from typing import Any, Protocol

import anyio
import msgspec

from otterrudder import clock
from otterrudder.admission.commands import ScheduleTick
from otterrudder.log import log
from otterrudder.net.core import RequestCore
from otterrudder.net.loop_statistics import LoopStatistics
from otterrudder.net.messages import Destination, DispatcherMessage

GAUGE_QUERY_LEAD_MS = 6.0  # ahead of a tick: a round trip, and a busy loop


class MailboxEvent(msgspec.Struct, frozen=True, gc=False):
    """A call of the core that waits for the next batch."""

    handler: Callable[..., object]
    arguments: tuple[Any, ...]
    request_id: str  # of the request that fails with it; "": none


class Recipient(Protocol):
    """Where the core's messages may go."""

    def send(self, message: Any) -> None:
        """Takes a message of its own types, see `messages.py`; never waits."""


class Dispatcher:
    """Handles posted events in batches, one batch at a time. An event that fails is logged, and the others go
    on."""

    def __init__(self, core: RequestCore) -> None:
        self.core = core
        self.recipients: dict[Hashable, Recipient] = {Destination.DISPATCHER: self}
        self.tick_at = math.inf
        self.gauge_query_at = math.inf
        self.statistics = LoopStatistics()
        self.batch_hooks: list[Callable[[float], None]] = []  # called at the start of each batch
        self._tick_delay_ms = 0.0  # of the last tick
        self._events: list[MailboxEvent] = []  # of all but gateways: handled ahead of arrivals
        self._arrivals: list[MailboxEvent] = []
        self._woken = anyio.Event()

    def post(self, handler: Callable[..., object], *arguments: Any, request_id: str = "") -> None:
        """Puts a call of the core into the mailbox; `request_id`: the request that fails if the call does."""
        self._events.append(MailboxEvent(handler, arguments, request_id))
        self._woken.set()

    def post_arrival(self, handler: Callable[..., object], *arguments: Any, request_id: str = "") -> None:
        """The same for events of gateways: handled after all that came by `post`."""
        self._arrivals.append(MailboxEvent(handler, arguments, request_id))
        self._woken.set()

    async def run(self) -> None:
        """Runs batches until it is cancelled."""
        while True:
            wait_ms = min(self.tick_at, self.gauge_query_at, self.statistics.next_report) - clock.monotonic()
            if not (self._events or self._arrivals) and wait_ms > 0:
                self._woken = anyio.Event()
                with anyio.move_on_after(wait_ms / 1000):
                    await self._woken.wait()
            else:
                await anyio.lowlevel.checkpoint()  # the actors get their turn even if this one never rests
            self.run_batch()

    def run_batch(self) -> None:
        """One batch: the time, all events, what is due, and what the core then sends."""
        now = clock.monotonic()
        for hook in self.batch_hooks:
            self._try(hook, now)
        events = self._events + self._arrivals
        self._events = []
        self._arrivals = []
        self._try(self.core.advance_to, clock.unix(), now)
        for event in events:
            self._try(event.handler, *event.arguments, request_id=event.request_id)
        self._run_timers(now)
        for destination, message in self._try(self.core.take_messages) or ():
            if destination:  # else its caller has gone
                self._try(self.recipients.get(destination, destination).send, message)
        if self.tick_at == self.gauge_query_at == math.inf and self._tick_delay_ms:
            self._schedule_tick(self._tick_delay_ms)  # a tick that failed must not be the last
        self._try(self.statistics.record_batch, now, len(events), self.core)

    def send(self, message: DispatcherMessage) -> None:
        """What the core sends to its dispatcher: when the next tick is due, or a line for the log."""
        if isinstance(message, ScheduleTick):
            self._schedule_tick(message.delay_ms)
        else:
            log.info(message.text, **message.fields)

    def _run_timers(self, now: float) -> None:
        if now >= self.gauge_query_at:
            self.gauge_query_at = math.inf
            self._try(self.core.query_gauges)
        if now >= self.tick_at:
            late_ms = now - self.tick_at
            self.statistics.record_tick(late_ms)
            self.tick_at = math.inf
            self._try(self.core.tick, late_ms)

    def _schedule_tick(self, delay_ms: float) -> None:
        self._tick_delay_ms = delay_ms
        self.tick_at = clock.monotonic() + delay_ms
        self.gauge_query_at = self.tick_at - GAUGE_QUERY_LEAD_MS

    def _try(self, act: Callable[..., Any], *arguments: Any, request_id: str = "") -> Any:
        try:
            return act(*arguments)
        except Exception:
            log.exception("an event failed", event_of=act.__name__, call=request_id)
            if request_id and act != self.core.fail_request:
                self._try(self.core.fail_request, request_id)
            return None
