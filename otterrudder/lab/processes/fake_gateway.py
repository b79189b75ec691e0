"""A fake gateway of one server: sends requests by the platform's protocol and records their outcomes."""

import base64
import json

import anyio
import anyio.abc

from otterrudder.clock import monotonic as clock
from otterrudder.clock import unix
from otterrudder.lab.processes.fake_runtime import CONNECTION_ERRORS, FakeRuntime
from otterrudder.lab.processes.fake_settings import KEYED_PRODUCT, PRODUCTS, REQUEST_TTL_MS
from otterrudder.lab.processes.history import RequestOutcome, RequestRecord, WireHistory
from otterrudder.lab.processes.link import Link

MAX_OPEN_REQUESTS = 30  # per connection; the platform allows 32
MAX_KNOWN_REQUESTS = 200  # per connection; answers to older requests are not recognised
REPEAT_WITHIN_MS = 15_000.0  # after sending the original; well within the key's retention
REPEAT_EVERY = 5  # at most one request in 5 repeats a completed one
RECONNECT_MS = 50.0
REJECTED_CODE = -32014  # JSON-RPC error code of a rejected request
REQUEST_BODY = b"ask"


class FakeGateway:
    """Sends requests at a constant rate, for each product in turn.

    Some requests repeat an earlier one that was completed, or unanswered when its connection ended."""

    def __init__(
        self, server: int, link: Link, runtime: FakeRuntime, wire: WireHistory, pace_ms: float
    ) -> None:
        self.server = server
        self.link = link
        self.runtime = runtime
        self.wire = wire
        self.pace_ms = pace_ms
        self.is_sending = True
        self.incarnation = 0  # incremented each time the server's process starts
        self._sent = 0
        self._refused_before = 0  # the link's refused connections when this one was opened
        self._has_goaway = False  # the server accepts no new requests on this connection
        # These belong to one incarnation, because idempotency keys do not survive the server process.
        self._completed: list[RequestRecord] = []
        self._unanswered: list[RequestRecord] = []
        self._repeats_of_incarnation = 0

    async def run(self) -> None:
        """Connects, and reconnects after each disconnection, until cancelled."""
        while True:
            self._refused_before = self.link.refused_connections
            try:
                async with await anyio.connect_tcp(*self.link.address) as stream:
                    await self._use_connection(stream)
            except* CONNECTION_ERRORS:
                pass
            await anyio.sleep(RECONNECT_MS / 1000)

    async def _use_connection(self, stream: anyio.abc.SocketStream) -> None:
        requests: dict[int, RequestRecord] = {}  # by their JSON-RPC id
        incarnation = self.incarnation
        self._has_goaway = False
        if incarnation != self._repeats_of_incarnation:
            self._completed = []
            self._unanswered = []
            self._repeats_of_incarnation = incarnation
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_requests, stream, requests, incarnation)
                try:
                    await self._receive(stream, requests)
                finally:
                    tasks.cancel_scope.cancel()
        finally:
            self._end_open_requests(requests, incarnation)

    def _end_open_requests(self, requests: dict[int, RequestRecord], incarnation: int) -> None:
        """Records the open requests of an ended connection; keyed ones are repeated to the same process."""
        now = clock()
        was_connected = self.link.refused_connections == self._refused_before
        outcome = RequestOutcome.LOST if was_connected else RequestOutcome.NOT_SENT
        for request in requests.values():
            if request.outcome is not RequestOutcome.OPEN:
                continue
            request.outcome = outcome
            request.answered_at = now
            self.runtime.finished_calls.add(request.call)
            if was_connected and request.idempotency_key and incarnation == self.incarnation:
                self._unanswered.append(request)

    async def _send_requests(
        self, stream: anyio.abc.SocketStream, requests: dict[int, RequestRecord], incarnation: int
    ) -> None:
        rpc_id = 0
        while True:
            await anyio.sleep(self.pace_ms / 1000)
            if not self._may_send(requests):
                continue
            rpc_id += 1
            request = self._next_request(incarnation)
            self.runtime.idempotency_keys[request.call] = request.idempotency_key
            requests[rpc_id] = request
            requests.pop(rpc_id - MAX_KNOWN_REQUESTS, None)
            self.wire.requests.append(request)
            await stream.send(_encode(rpc_id, request))

    def _may_send(self, requests: dict[int, RequestRecord]) -> bool:
        if not self.is_sending or self._has_goaway:
            return False
        is_open = [request.outcome is RequestOutcome.OPEN for request in requests.values()]
        return sum(is_open) < MAX_OPEN_REQUESTS

    def _next_request(self, incarnation: int) -> RequestRecord:
        self._sent += 1
        product = PRODUCTS[self._sent % len(PRODUCTS)]
        call = f"{self.server:04x}{self._sent:012x}"
        if product != KEYED_PRODUCT:
            return RequestRecord(self.server, incarnation, product, call, "", call, clock())
        original = self._request_to_repeat()
        key = original.idempotency_key if original else call * 2
        original_call = original.original_call if original else call
        return RequestRecord(self.server, incarnation, product, call, key, original_call, clock())

    def _request_to_repeat(self) -> RequestRecord | None:
        """Returns the request to repeat, if one is due. After the retention of its key it would run again."""
        while self._unanswered:
            request = self._unanswered.pop()
            if clock() - request.sent_at <= REPEAT_WITHIN_MS:
                return request
        if not self._completed or self._sent % REPEAT_EVERY:
            return None
        request = self._completed[-1]
        return request if clock() - request.sent_at <= REPEAT_WITHIN_MS else None

    async def _receive(self, stream: anyio.abc.SocketStream, requests: dict[int, RequestRecord]) -> None:
        """Receives until the connection ends, or until no request is open after a goaway, as gateways do."""
        data = b""
        while True:
            data += await stream.receive()
            *lines, data = data.split(b"\n")
            for line in lines:
                message = json.loads(line)
                self._has_goaway = self._has_goaway or message.get("method") == "noMore"
                request = requests.get(message.get("id"))
                if request:  # even if it was answered, so that a second response is recorded
                    self._handle_response(request, message)
            is_any_open = any(request.outcome is RequestOutcome.OPEN for request in requests.values())
            if self._has_goaway and not is_any_open:
                return

    def _handle_response(self, request: RequestRecord, message: dict[str, object]) -> None:
        request.responses += 1
        self.runtime.finished_calls.add(request.call)
        if request.responses > 1:
            return
        request.answered_at = clock()
        if isinstance(result := message.get("result"), dict):
            request.outcome = RequestOutcome.COMPLETED
            request.body = base64.b64decode(result["blob"])
            if request.idempotency_key and not request.is_repeat:
                self._completed.append(request)
            return
        error = message.get("error")
        assert isinstance(error, dict)
        is_rejected = error["code"] == REJECTED_CODE
        request.outcome = RequestOutcome.REJECTED if is_rejected else RequestOutcome.FAILED


def _encode(rpc_id: int, request: RequestRecord) -> bytes:
    """Encodes a request as a line of JSON-RPC by the platform's protocol."""
    parameters: dict[str, object] = dict(
        call=request.call,
        recv=round(unix()),
        src=1,
        org="north",
        ttl=REQUEST_TTL_MS,
        heap=20.0,
        crit=0.5,
        blob=base64.b64encode(REQUEST_BODY).decode(),
    )
    if request.idempotency_key:
        parameters["dedupe"] = request.idempotency_key
    if request.is_repeat:
        parameters["rep"] = 1
    message = {"jsonrpc": "2.0", "id": rpc_id, "method": request.product, "params": parameters}
    return json.dumps(message).encode() + b"\n"
