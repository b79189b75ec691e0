"""The link to the runtime: one connection that is kept open and reconnected when it is lost. Each notice of
the runtime is handled once and in order."""

import random

import anyio
import anyio.abc

from otterrudder import clock
from otterrudder.log import log
from otterrudder.net import lines, runtime_codec, sockets
from otterrudder.net.buffer import Buffer, ProtocolError
from otterrudder.net.dispatcher import Dispatcher
from otterrudder.net.messages import CloseLink, RuntimeMessage

FIRST_RETRY_MS = 20.0  # delay of the first reconnect; the runtime is most likely still running
MAX_RETRY_MS = 500.0  # maximum delay of a reconnect, so that a started runtime is found soon
MAX_UNSENT_BYTES = 8 << 20  # with more unsent bytes, the runtime is assumed to hang and the link is reset
RESTART_TOLERANCE_MS = 5000.0  # the start time moves by more after a restart, by less after a pause
MOVE_TIMEOUT_S = 0.3  # time for the old link to confirm its commands after an address change of the runtime
LIMITS = sockets.StreamLimits(lines.BUFFER_BYTES, MAX_UNSENT_BYTES, keeps_empty_buffer=True)
ADDRESS_CHANGED = "the address has changed"  # end reason of a link
MAX_QUOTED = 80  # characters of an invalid line that an error message quotes


class RuntimeLink:
    """Keeps one connection to the runtime, and passes its input to the core."""

    def __init__(self, dispatcher: Dispatcher, address: tuple[str, int]) -> None:
        self._dispatcher = dispatcher
        self._address = address
        self._group: anyio.abc.TaskGroup  # set while `run` is active
        self._stream: sockets.Stream | None = None
        self._last_notice = 0
        self._is_replaying = False  # whether the runtime replays notices missed on earlier links
        self._started_at: float | None = None  # when the runtime started, by this process's clock
        self._closing_tag = 0  # tag of the last query on a link closing for a new address; 0: none
        self._closing_stream: sockets.Stream | None = None  # the link that closes for a new address

    def change_address(self, address: tuple[str, int]) -> None:
        """Moves the link to the runtime's new address. The core is informed first, so that its later commands
        wait for the new link."""
        self._address = address
        self._closing_stream = self._stream
        if self._stream and self._is_replaying:
            self._stream.abort(ADDRESS_CHANGED)  # no command was sent on this link
        elif self._stream:
            self._dispatcher.post(self._dispatcher.core.close_runtime_link)

    def send(self, message: RuntimeMessage) -> None:
        """Sends a command of the core. Without a link the command is dropped, and the core resends it once a
        link is established."""
        if not self._stream:
            return
        if isinstance(message, CloseLink):
            self._begin_close(message)
        elif not self._is_replaying and not self._closing_tag:
            self._stream.send(runtime_codec.encode(message))

    async def run(self) -> None:
        """Keeps the link connected until it is cancelled."""
        async with anyio.create_task_group() as self._group:
            await self._maintain_link()

    async def _maintain_link(self) -> None:
        retry_ms = FIRST_RETRY_MS
        while True:
            try:
                sock = await sockets.connect(self._address)
                stream = sockets.Stream(sock, LIMITS, self._handle_input)
            except OSError as error:
                if retry_ms == FIRST_RETRY_MS:
                    log.warning("cannot connect to the runtime", why=str(error))
                retry_ms = min(retry_ms * 2, MAX_RETRY_MS)
            else:
                address_changed = await self._serve(stream)
                retry_ms = FIRST_RETRY_MS
                if address_changed:
                    continue
            await anyio.sleep(retry_ms / 1000 * random.uniform(0.5, 1.0))

    async def _serve(self, stream: sockets.Stream) -> bool:
        """Runs one link to its end. Returns whether it ended because the address changed."""
        self._stream = stream
        self._is_replaying = True
        self._closing_tag = 0
        stream.send(runtime_codec.encode_sync(self._last_notice))
        try:
            reason = await stream.serve()
            if reason == ADDRESS_CHANGED:
                log.info(
                    "runtime address changed; connecting to the new address",
                    address=self._address,
                    last_notice=self._last_notice,
                )
            else:
                log.warning(
                    "runtime link lost",
                    why=reason,
                    last_notice=self._last_notice,
                    unsent=stream.unsent_bytes,
                )
        finally:
            self._stream = None
            self._dispatcher.post(self._dispatcher.core.handle_link_lost)
        return reason == ADDRESS_CHANGED

    def _begin_close(self, message: CloseLink) -> None:
        """Sends the last query on the old link. Its answer confirms that all earlier commands were read.
        Later commands wait for the new link, so that no start is uncertain."""
        stream = self._stream
        if stream and stream is self._closing_stream and not self._closing_tag:
            self._closing_tag = message.tag
            stream.send(runtime_codec.encode(message))
            self._group.start_soon(self._abort_after_timeout, stream)

    async def _abort_after_timeout(self, stream: sockets.Stream) -> None:
        await anyio.sleep(MOVE_TIMEOUT_S)
        stream.abort(ADDRESS_CHANGED)

    # Input.

    def _handle_input(self, buffer: Buffer) -> None:
        for words, body in lines.read_messages(buffer, runtime_codec.has_body, runtime_codec.REMARK):
            try:
                self._handle_message(words, body)
            except (ValueError, IndexError):
                raise ProtocolError(f"invalid line: {' '.join(words)[:MAX_QUOTED]!r}") from None

    def _handle_message(self, words: lines.Words, body: bytes) -> None:
        number = runtime_codec.notice_number(words)
        if number is not None and not self._accept_notice(number):
            return
        core = self._dispatcher.core
        event = runtime_codec.decode(words, body)
        match event:
            case runtime_codec.RunEnded(request_id, outcome, response):
                arguments = (request_id, outcome, response)
                self._dispatcher.post(core.handle_run_ended, *arguments, request_id=request_id)
            case runtime_codec.CallNeeded(request_id, call):
                self._dispatcher.post(core.handle_call_needed, request_id, call, request_id=request_id)
            case runtime_codec.GaugesReported():
                self._handle_gauges(event)
            case runtime_codec.ReplayFinished():
                self._is_replaying = False
                self._dispatcher.post(core.handle_link_established)
            case runtime_codec.RuntimeReady():
                self._handle_ready(event)
            case runtime_codec.CommandRefused():
                self._handle_refused(event)

    def _accept_notice(self, number: int) -> bool:
        """Returns whether the notice is new. Raises ProtocolError if an earlier notice was skipped."""
        if number <= self._last_notice:
            log.warning("ignoring a duplicate notice", notice=number, last_notice=self._last_notice)
            return False
        if number > self._last_notice + 1 and not self._is_replaying:
            raise ProtocolError(f"notice {number} follows notice {self._last_notice}")
        if number > self._last_notice + 1:  # the runtime keeps a bounded number of notices for the replay
            log.error("notices are missing", notice=number, last_notice=self._last_notice)
        self._last_notice = number
        return True

    def _handle_gauges(self, event: runtime_codec.GaugesReported) -> None:
        self._dispatcher.post(self._dispatcher.core.handle_gauges, event.tag, event.values)
        if self._stream and self._closing_tag and event.tag == self._closing_tag:
            self._stream.abort(ADDRESS_CHANGED)

    def _handle_ready(self, event: runtime_codec.RuntimeReady) -> None:
        assert self._stream  # the stream that `ready` arrived on
        # Sent after `ready`: a runtime that is not up refuses the query, and the replay would never end.
        self._stream.send(runtime_codec.encode_replay_end())
        started_at = clock.monotonic() - event.uptime_ms
        core = self._dispatcher.core
        if self._started_at is None:
            log.info("runtime is up", warm=event.is_warm, up_ms=event.uptime_ms)
            self._dispatcher.post(core.handle_runtime_ready, event.is_warm, event.uptime_ms)
        elif started_at > self._started_at + RESTART_TOLERANCE_MS:
            log.error("runtime has restarted", up_ms=event.uptime_ms, last_notice=self._last_notice)
            self._last_notice = 0
            self._dispatcher.post(core.handle_runtime_restart)
        self._started_at = started_at

    def _handle_refused(self, event: runtime_codec.CommandRefused) -> None:
        if event.is_replay_end:
            # The next link sends the query again.
            raise ProtocolError("runtime refused the query that ends the replay")
        log.info("runtime refused a command", command=event.word, call=event.argument)
        self._dispatcher.post(self._dispatcher.core.handle_command_refused, event.command, event.argument)
