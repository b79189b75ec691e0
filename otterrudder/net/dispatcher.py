"""The dispatcher of the event loop, the only caller of the request core.

The actors (connections, links, signals) never call the core themselves; they post events, which are calls of
the core. The dispatcher handles all posted events as one batch: it sets the time once, then handles the
events of the runtime and the records service, then arrivals, then the admission controller's tick if it is
due. Events come before arrivals so that the capacity they free is available to the arrivals. Finally the
core's messages are passed to their destinations. A timer wakes the dispatcher for the next tick, and a few ms
earlier to query the gauges."""

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

GAUGE_QUERY_LEAD_MS = 6.0  # time before a tick: covers a round trip to the runtime and a busy event loop
MAX_ARRIVALS = 1000  # events from gateways in one batch


class MailboxEvent(msgspec.Struct, frozen=True, gc=False):
    """A call of the core, queued for the next batch."""

    handler: Callable[..., object]
    arguments: tuple[Any, ...]
    request_id: str  # the request that fails if the call raises an exception; "" for none


class Recipient(Protocol):
    """A destination of the core's messages."""

    def send(self, message: Any) -> None:
        """Sends or handles a message without waiting; `messages.py` groups the types by destination."""


class Dispatcher:
    """Handles posted events in batches, one batch at a time. An event whose handler raises an exception is
    logged, and the remaining events are still handled."""

    def __init__(self, core: RequestCore) -> None:
        self.core = core
        self.recipients: dict[Hashable, Recipient] = {Destination.DISPATCHER: self}
        self.tick_at = math.inf
        self.gauge_query_at = math.inf
        self.statistics = LoopStatistics()
        self.batch_hooks: list[Callable[[float], None]] = []  # called at the start of each batch
        self._tick_delay_ms = 0.0  # delay that the controller last requested; 0 before the first request
        self._events: list[MailboxEvent] = []  # from all sources but gateways; handled before arrivals
        self._arrivals: list[MailboxEvent] = []
        self._woken = anyio.Event()

    def post(self, handler: Callable[..., object], *arguments: Any, request_id: str = "") -> None:
        """Queues a call of the core for the next batch. If it raises an exception, the request `request_id`
        fails."""
        self._events.append(MailboxEvent(handler, arguments, request_id))
        self._woken.set()

    def post_arrival(self, handler: Callable[..., object], *arguments: Any, request_id: str = "") -> None:
        """Queues a call like `post`, for events from gateways: they are handled after all events of
        `post`."""
        self._arrivals.append(MailboxEvent(handler, arguments, request_id))
        self._woken.set()

    def has_room(self) -> bool:
        """Whether the next batch has room for further events from gateways. The batch bounds the memory and
        the time that messages of hundreds of connections take at once."""
        return len(self._arrivals) < MAX_ARRIVALS

    async def run(self) -> None:
        """Runs batches until it is cancelled."""
        while True:
            wait_ms = min(self.tick_at, self.gauge_query_at, self.statistics.next_report) - clock.monotonic()
            if not (self._events or self._arrivals) and wait_ms > 0:
                self._woken = anyio.Event()
                with anyio.move_on_after(wait_ms / 1000):
                    await self._woken.wait()
            else:
                await anyio.lowlevel.checkpoint()  # lets other tasks run even if events are always pending
            self.run_batch()

    def run_batch(self) -> None:
        """Runs one batch: sets the time, handles all events and due timers, and sends the core's messages."""
        now = clock.monotonic()
        for hook in self.batch_hooks:
            self._call_logged(hook, now)
        events = self._events + self._arrivals
        self._events = []
        self._arrivals = []
        self._call_logged(self.core.advance_to, clock.unix(), now)
        for event in events:
            self._call_logged(event.handler, *event.arguments, request_id=event.request_id)
        self._run_timers(now)
        for destination, message in self._call_logged(self.core.take_messages) or ():
            if destination:  # None: the caller has disconnected
                self._call_logged(self.recipients.get(destination, destination).send, message)
        if self.tick_at == self.gauge_query_at == math.inf and self._tick_delay_ms:
            self._schedule_tick(self._tick_delay_ms)  # a failed tick has not scheduled the next one
        self._call_logged(self.statistics.record_batch, now, len(events), self.core)

    def send(self, message: DispatcherMessage) -> None:
        """Handles the core's messages to the dispatcher: schedules the next tick or writes a log line."""
        if isinstance(message, ScheduleTick):
            self._schedule_tick(message.delay_ms)
        else:
            log.info(message.text, **message.fields)

    def _run_timers(self, now: float) -> None:
        if now >= self.gauge_query_at:
            self.gauge_query_at = math.inf
            self._call_logged(self.core.query_gauges)
        if now >= self.tick_at:
            late_ms = now - self.tick_at
            self.statistics.record_tick(late_ms)
            self.tick_at = math.inf
            self._call_logged(self.core.tick, late_ms)

    def _schedule_tick(self, delay_ms: float) -> None:
        self._tick_delay_ms = delay_ms
        self.tick_at = clock.monotonic() + delay_ms
        self.gauge_query_at = self.tick_at - GAUGE_QUERY_LEAD_MS

    def _call_logged(self, handler: Callable[..., Any], *arguments: Any, request_id: str = "") -> Any:
        try:
            return handler(*arguments)
        except Exception:
            log.exception("event handler failed", event_of=handler.__name__, call=request_id)
            if request_id and handler != self.core.fail_request:
                self._call_logged(self.core.fail_request, request_id)
            return None
