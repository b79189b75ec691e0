"""Deduplication: no request with side effects runs twice, however often its caller retries it."""

from otterrudder.admission.commands import EvictKey, RetainKey
from otterrudder.admission.context import TICK_MS, AdmissionContext, Stage
from otterrudder.admission.requests import Request, RequestState

_UNFINISHED_STATES = (RequestState.QUEUED, RequestState.RUNNING, RequestState.CALLING)


class Deduplication(Stage):
    """The table of idempotency keys. A key is retained when its first attempt arrives.

    A later attempt waits while the earlier one is queued. If the earlier attempt is running or has run, the
    later one is answered with its response."""

    def __init__(self, context: AdmissionContext) -> None:
        self._context = context
        self._flow = context.flow
        self._clock_tick_ms = context.settings.clock_tick_ms
        self.entries: dict[int, Request] = {}  # by the id of the attempt that retained the key
        # Ids of attempts that were answered before they ran, in the current and the previous tick period.
        self._never_ran: set[int] = set()
        self._never_ran_last_period: set[int] = set()

    def admit(self, request: Request) -> bool:
        """Passes on a new request. A repeat of an earlier attempt is replayed, held or failed."""
        earlier = self.entries.get(request.earlier_attempt_id)
        if earlier is None:
            request.may_have_run &= not self._is_known_not_to_have_run(request.earlier_attempt_id)
            if not request.may_have_run:
                return True
            self._flow.replay(request)
            return False
        request.may_have_run &= earlier.may_have_run
        if not request.may_have_run:
            request.state = RequestState.FOLLOWING
            earlier.followers.append(request)
            return False
        if earlier.state is RequestState.FINISHED and not earlier.is_completed:
            return self._flow.fail(request)
        self._flow.replay(request)
        return False

    def retain(self, request: Request) -> None:
        """Retains the key of a first attempt for as long as retries may arrive."""
        now = self._context.now
        left_ms = request.arrived_at + request.request_class.retention_ms - now
        retention_ms = max(left_ms + self._clock_tick_ms, self._clock_tick_ms)
        self.entries[request.request_id] = request
        self._context.commands.append(RetainKey(request.request_id, retention_ms))
        self._context.timers.schedule(now + retention_ms + self._clock_tick_ms, lambda: self._expire(request))

    def on_started(self, request: Request) -> None:
        """Replays the response of a started attempt to the later attempts that wait for it."""
        for follower in request.followers:
            if not follower.is_answered:
                follower.may_have_run = True
                self._flow.replay(follower)
        request.followers = []

    def on_answered(self, request: Request) -> None:
        """Replaces an attempt that never ran by the next one that waits for it, or evicts its key."""
        if request.may_have_run or not request.has_idempotency_key:
            return
        self._never_ran.add(request.request_id)
        followers = [follower for follower in request.followers if not follower.is_answered]
        request.followers = []
        was_retained = self.entries.pop(request.request_id, None) is not None
        if followers:
            successor = followers[0]
            successor.followers = followers[1:]
            successor.state = RequestState.QUEUED
            self._flow.forward(successor, after=self)
        elif was_retained:
            self._context.commands.append(EvictKey(request.request_id))

    def on_tick(self) -> None:
        """Drops the records of attempts that never ran. Each record is kept for one to two tick periods."""
        self._never_ran_last_period = self._never_ran
        self._never_ran = set()

    def _is_known_not_to_have_run(self, request_id: int) -> bool:
        return request_id in self._never_ran or request_id in self._never_ran_last_period

    def _expire(self, request: Request) -> None:
        if request.state in _UNFINISHED_STATES:  # the entry must outlive the request
            self._context.timers.schedule(self._context.now + TICK_MS, lambda: self._expire(request))
        else:
            self.entries.pop(request.request_id, None)
