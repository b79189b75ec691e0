"""Deduplication: no request with side effects runs twice, however often its caller retries it."""

from otterrudder.admission.commands import EvictKey, RetainKey
from otterrudder.admission.context import TICK_MS, AdmissionContext, Stage
from otterrudder.admission.requests import IdempotencyRecord, Request, RequestState


class Deduplication(Stage):
    """The records of the idempotency keys. A key is retained when its first attempt is admitted.

    A later attempt waits while the holder of the record is queued. If the holder is running or has run, the
    later attempt is answered with its response.

    The adapter names an earlier attempt by its own table of keys, which the commands `RetainKey` and
    `EvictKey` change only at the end of a batch. Within the batch it may name an attempt that is not the
    holder any more, so the record is found by the id of each of its attempts."""

    def __init__(self, context: AdmissionContext) -> None:
        self._context = context
        self._flow = context.flow
        self._clock_tick_ms = context.settings.clock_tick_ms
        self._handle_expiry = self._expire  # one bound method for all timers
        self.entry_count = 0  # number of keys that the adapter retains
        self.records: dict[int, IdempotencyRecord] = {}  # by the id of each attempt that may be named
        # Ids of ended attempts, in the current and the previous tick period. Their records are still found.
        self._ended: list[int] = []
        self._ended_last_period: list[int] = []

    def add(self, request: Request) -> None:
        """Adds a request that has just arrived to the record of its idempotency key."""
        if not request.has_idempotency_key:
            return
        record = self.records.get(request.earlier_attempt_id)
        if record is None and request.earlier_attempt_id:
            return  # the record has expired, so the earlier attempt may have run
        record = record or IdempotencyRecord()
        request.idempotency_record = record
        self.records[request.request_id] = record

    def admit(self, request: Request) -> bool:
        """Passes on the first attempt that may run. Another attempt is replayed, held or failed."""
        record = request.idempotency_record
        if record is None:
            if not request.may_have_run:
                return True
            self._flow.replay(request)
            return False
        holder = record.holder
        request.may_have_run = record.has_run or (holder is not None and holder.may_have_run)
        if request.may_have_run:
            self._answer_as_holder(record, request)
            return False
        if holder is None:
            record.holder = request
            return True
        request.state = RequestState.FOLLOWING
        record.followers[request.request_id] = request
        return False

    def is_retained(self, request: Request) -> bool:
        """Returns whether the adapter retains the request's key already, for an earlier attempt."""
        record = request.idempotency_record
        return record is not None and record.retained_id != 0

    def retain(self, request: Request) -> None:
        """Retains the key of a holder for as long as retries may arrive."""
        record = request.idempotency_record
        assert record
        now = self._context.now
        left_ms = request.arrived_at + request.request_class.retention_ms - now
        retention_ms = max(left_ms + self._clock_tick_ms, self._clock_tick_ms)
        if record.retained_id:
            self._forget_entry(record)
        self.entry_count += 1
        record.retained_id = request.request_id
        self._context.commands.append(RetainKey(request.request_id, retention_ms))
        self._schedule_expiry(record, now + retention_ms + self._clock_tick_ms)

    def on_started(self, request: Request) -> None:
        """Replays the response of a started attempt to the later attempts that wait for it."""
        record = request.idempotency_record
        if record is None:
            return
        followers = record.followers
        record.followers = {}
        for follower in followers.values():
            follower.may_have_run = True
            self._flow.replay(follower)

    def on_answered(self, request: Request) -> None:
        """Replaces a holder that never ran by the next attempt that waits for it, or evicts the key."""
        record = request.idempotency_record
        if record is None:
            return
        if record.holder is not request:
            record.followers.pop(request.request_id, None)
            self._ended.append(request.request_id)
        elif not request.may_have_run:
            self._replace_holder(record, request)

    def on_released(self, request: Request) -> None:
        """Records the end of a holder that ran. Replaces one that was answered earlier and whose run proves
        never to have started."""
        record = request.idempotency_record
        if record is None or record.holder is not request:
            return
        if request.may_have_run:
            record.has_run = True
            record.is_completed = request.is_completed
            record.holder = None
            request.idempotency_record = None
        else:
            self._replace_holder(record, request)

    def on_tick(self) -> None:
        """Removes the ids of ended attempts. Each id is kept for one to two tick periods, and so for the rest
        of its batch."""
        for request_id in self._ended_last_period:
            self.records.pop(request_id, None)
        self._ended_last_period = self._ended
        self._ended = []

    def _answer_as_holder(self, record: IdempotencyRecord, request: Request) -> None:
        """Answers an attempt with the response of a holder that runs or ran, or fails it like that holder."""
        if record.has_run and not record.is_completed:
            self._flow.fail(request)
        else:
            self._flow.replay(request)

    def _replace_holder(self, record: IdempotencyRecord, request: Request) -> None:
        record.holder = None
        self._ended.append(request.request_id)
        if record.is_choosing_holder:  # the request was the last choice and is answered already
            return
        record.is_choosing_holder = True
        try:
            self._choose_holder(record)
        finally:
            record.is_choosing_holder = False
        if record.holder is None and record.retained_id:
            self._context.commands.append(EvictKey(record.retained_id))
            self._forget_entry(record)

    def _choose_holder(self, record: IdempotencyRecord) -> None:
        """Forwards the followers in order until one is not answered at once."""
        while record.holder is None and record.followers:
            successor = record.followers.pop(next(iter(record.followers)))
            successor.state = RequestState.QUEUED
            record.holder = successor
            self._flow.forward(successor, after=self)

    def _schedule_expiry(self, record: IdempotencyRecord, due_at: float) -> None:
        record.expiry = self._context.timers.schedule(due_at, self._handle_expiry, record)

    def _expire(self, record: IdempotencyRecord) -> None:
        if record.holder is not None:  # the entry must outlive the request
            self._schedule_expiry(record, self._context.now + TICK_MS)
            return
        self.records.pop(record.retained_id, None)
        self._forget_entry(record)

    def _forget_entry(self, record: IdempotencyRecord) -> None:
        record.retained_id = 0
        self.entry_count -= 1
        if record.expiry:
            record.expiry.cancel()
