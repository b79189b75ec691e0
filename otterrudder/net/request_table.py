"""The table of pending requests, with all the ways in which a request can end.

A request is kept until it is answered (or its caller has disconnected) and its run is over. Its resources are
released on every path: the run in `finish_run`, the downstream call in `finish_run` or `close`, the request
itself in `release`. The admission controller's commands are executed at the end of the batch, so a released
request is still found by its number until then; `remove_released` removes it."""

from collections.abc import Hashable

from otterrudder.admission.controller import AdmissionController
from otterrudder.admission.interface import Idempotency, Outcome, RequestClass
from otterrudder.net.downstream import DownstreamCalls
from otterrudder.net.idempotency import IdempotencyEntry, IdempotencyTable
from otterrudder.net.messages import Outgoing, RequestCompleted, RequestFailed, RequestRejected
from otterrudder.net.requests import UNCERTAIN, PendingRequest, RequestFields
from otterrudder.net.run_delivery import RunDelivery


class RequestTable:
    """Keeps the pending requests, answers each of them once, and reports finished requests to the admission
    controller."""

    def __init__(
        self,
        request_classes: list[RequestClass],
        outbox: list[Outgoing],
        idempotency: IdempotencyTable,
        delivery: RunDelivery,
        calls: DownstreamCalls,
    ) -> None:
        self.held_bytes = 0  # memory of the kept requests with their bodies
        self._request_classes = request_classes
        self._outbox = outbox
        self._idempotency = idempotency
        self._delivery = delivery
        self._calls = calls
        self.controller: AdmissionController  # set once the runtime is up; no request is kept before that
        self.by_number: dict[int, PendingRequest] = {}
        self.by_id: dict[str, PendingRequest] = {}
        self._released: list[PendingRequest] = []  # requests released in the current batch
        self.arrival_count = 0
        self.advertised_load: float | None = None  # sent with each answer

    def __len__(self) -> int:
        return len(self.by_number)

    def add(
        self,
        connection: Hashable,
        rpc_id: int,
        class_index: int,
        fields: RequestFields,
        digest: bytes,
    ) -> PendingRequest:
        """Adds a request that arrived on a connection. `digest` is b"" if its idempotency key is ignored."""
        self.arrival_count += 1
        request = PendingRequest(
            self.arrival_count,
            fields.request_id,
            connection,
            rpc_id,
            class_index,
            fields.body,
            fields.idempotency_key if digest else "",
            digest,
        )
        self.by_number[request.number] = request
        self.by_id[request.request_id] = request
        self.count_bytes(request)
        return request

    def count_bytes(self, request: PendingRequest) -> None:
        """Counts the memory of a request anew, because one of its bodies has changed."""
        self.held_bytes += request.held_bytes - request.counted_bytes
        request.counted_bytes = request.held_bytes

    def running(self) -> list[PendingRequest]:
        """Returns the requests whose run is not over."""
        return [request for request in self.by_number.values() if request.is_running]

    def unanswered_count(self) -> int:
        """Returns the number of requests that are not answered yet."""
        return sum(not request.is_answered for request in self.by_number.values())

    def pending_call_count(self) -> int:
        """Returns the number of requests whose run waits for a downstream call."""
        return sum(request.pending_call is not None for request in self.by_number.values())

    def deadline_of(self, number: int) -> float | None:
        """Returns the deadline in ms of the class of a kept request; None if the request is not kept."""
        request = self.by_number.get(number)
        return self._request_classes[request.class_index].deadline_ms if request else None

    # Answers.

    def reject(self, request: PendingRequest, is_final: bool, retry_after_ms: float) -> None:
        """Answers that the request was rejected and never ran."""
        if not request.is_answered:
            answer = RequestRejected(request.rpc_id, is_final, retry_after_ms, self.advertised_load)
            self._outbox.append((request.connection, answer))
            self.close(request)
        self.release(request)

    def fail(self, request: PendingRequest) -> None:
        """Answers that the server has given up on the request; its run, if any, continues."""
        if not request.is_answered:
            answer = RequestFailed(request.rpc_id, "given up", self.advertised_load)
            self._outbox.append((request.connection, answer))
            self.close(request)
        self.release(request)

    def replay(self, request: PendingRequest) -> None:
        """Answers with the response of an earlier attempt, once that attempt has finished."""
        entry = self._idempotency.entries.get(request.idempotency_key)
        if entry and not entry.is_finished:
            self._idempotency.add_waiting(entry, request.number)
            request.replayed_entry = entry
        else:
            self._answer_from(request, entry.response if entry else None)

    def close(self, request: PendingRequest) -> None:
        """Marks the request as answered, so that no further answer is sent; its run may continue."""
        request.is_answered = True
        request.connection = None
        if request.replayed_entry:
            self._idempotency.remove_waiting(request.replayed_entry, request.number)
            request.replayed_entry = None
        if request.is_calling:
            self._calls.cancel(request)
        if request.delivery == UNCERTAIN:
            self._delivery.confirm_answered(request)

    # Ends of runs.

    def finish_run(self, request: PendingRequest, outcome: Outcome, body: bytes = b"") -> None:
        """Handles the end of a run: answers the request and the attempts that wait for its response."""
        request.is_running = False
        entry = None
        if request.idempotency_key:
            entry = self._idempotency.entry_held_by(request.idempotency_key, request.number)
        if entry:
            self._idempotency.finish(entry, body if outcome is Outcome.OK else None)
            if outcome is Outcome.NEVER_STARTED:
                self._idempotency.evict(request.idempotency_key, request.number)
        if outcome in (Outcome.OK, Outcome.ERROR):
            self._answer(request, outcome, body)
        if request.is_calling:
            self._calls.cancel(request)
        if not outcome.never_ran:
            self._remember_run(request)
        self.controller.handle_finished(request.number, outcome)
        if entry:
            self._answer_waiting(entry)
            self._idempotency.enforce_limit(entry)
        self.release(request)

    def _remember_run(self, request: PendingRequest) -> None:
        request_class = self._request_classes[request.class_index]
        if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            self._idempotency.remember_run(request.request_id, request_class.deadline_ms)

    def release(self, request: PendingRequest) -> None:
        """Releases the request if it is answered and its run is over. Its id is free at once."""
        if not request.is_answered or request.is_running or request.is_released:
            return
        request.is_released = True
        del self.by_id[request.request_id]
        self._released.append(request)

    def remove_released(self) -> None:
        """Removes the released requests at the end of the batch, once all commands on them are executed."""
        for request in self._released:
            del self.by_number[request.number]
            self.held_bytes -= request.counted_bytes
        self._released.clear()

    def evict_key(self, request: PendingRequest) -> None:
        """Evicts the key of a request that never ran, and fails the attempts that wait for its response."""
        if entry := self._idempotency.evict(request.idempotency_key, request.number):
            self._answer_waiting(entry)

    def _answer(self, request: PendingRequest, outcome: Outcome, body: bytes) -> None:
        if request.is_answered:
            return
        answer: RequestCompleted | RequestFailed
        if outcome is Outcome.OK:
            answer = RequestCompleted(request.rpc_id, body, self.advertised_load)
        else:
            answer = RequestFailed(request.rpc_id, "failed", self.advertised_load)
        self._outbox.append((request.connection, answer))
        self.close(request)

    def _answer_from(self, request: PendingRequest, response: bytes | None) -> None:
        """Answers with the response of an earlier attempt; None means that the attempt failed."""
        outcome = Outcome.ERROR if response is None else Outcome.OK
        self._answer(request, outcome, response or b"")
        self.controller.handle_finished(request.number, outcome)
        self.release(request)

    def _answer_waiting(self, entry: IdempotencyEntry) -> None:
        """Answers the attempts that wait for the response of a run that has ended."""
        waiting = entry.waiting or ()
        entry.waiting = None
        for number in waiting:
            if request := self.by_number.get(number):
                request.replayed_entry = None
                self._answer_from(request, entry.response)
