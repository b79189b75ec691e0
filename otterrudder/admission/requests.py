"""The state of a request from its arrival to the end of its work."""

from enum import Enum

from otterrudder.admission.interface import Arrival, Idempotency, RequestClass
from otterrudder.admission.timer_queue import Timer


class RequestState(Enum):
    """The state of a request."""

    QUEUED = "queued"
    FOLLOWING = "following"  # waits for an earlier attempt that is queued
    RUNNING = "running"
    CALLING = "calling"  # makes a downstream call, or waits to make one, and uses no core
    REPLAYING = "replaying"  # will be answered with the response of an earlier attempt
    FINISHED = "finished"


IN_FLIGHT_STATES = (RequestState.RUNNING, RequestState.CALLING)


class IdempotencyRecord:
    """The attempts with one idempotency key."""

    __slots__ = (
        "expiry",
        "followers",
        "has_run",
        "holder",
        "is_choosing_holder",
        "is_completed",
        "retained_id",
    )

    def __init__(self) -> None:
        self.holder: Request | None = None  # the attempt that is queued or running
        self.has_run = False  # a holder ran and is over; the record does not keep the request
        self.is_completed = False  # that run ended successfully
        self.followers: dict[int, Request] = {}  # later attempts that wait for the holder, by id
        self.is_choosing_holder = False  # the followers are being tried as the next holder
        self.expiry: Timer | None = None  # ends the retention of the key
        self.retained_id = 0  # id of the attempt for which the adapter retains the key; 0: it does not


class Request:
    """A request and its state on this server. Times are milliseconds on the adapter's clock."""

    __slots__ = (
        "arrived_at",
        "call_attempts",
        "can_retain_key",
        "class_index",
        "cost_ms",
        "criticality",
        "deadline",
        "earlier_attempt_id",
        "has_side_effects",
        "has_idempotency_key",
        "idempotency_record",
        "is_answered",
        "is_call_open",
        "is_completed",
        "is_established",
        "is_queued",
        "is_retry",
        "left_cores_at",
        "may_have_run",
        "off_cores_ms",
        "soft_deadline",
        "request_class",
        "request_id",
        "session_key",
        "size_kb",
        "started_at",
        "state",
        "tenant",
        "timers",
    )

    def __init__(self, arrival: Arrival, request_class: RequestClass, arrived_at: float) -> None:
        self.request_id = arrival.request_id
        self.class_index = arrival.class_index
        self.request_class = request_class
        self.arrived_at = arrived_at
        self.tenant = arrival.tenant
        self.session_key = arrival.session_key
        self.size_kb = arrival.size_kb
        self.earlier_attempt_id = arrival.earlier_attempt_id
        self.is_retry = arrival.is_retry
        self.criticality = arrival.criticality
        self.can_retain_key = arrival.can_retain_key
        self.has_idempotency_key = request_class.idempotency is Idempotency.IDEMPOTENT
        self.has_side_effects = request_class.idempotency is not Idempotency.SAFE

        self.deadline = 0.0
        self.soft_deadline = 0.0  # a later answer misses the latency objective
        self.state = RequestState.QUEUED
        self.is_queued = False
        self.is_established = False  # belongs to an established session, which is served before newcomers
        self.may_have_run = False  # this or an earlier attempt may have run, so it must not be rejected
        self.is_answered = False
        self.is_completed = False  # its run ended successfully
        self.idempotency_record: IdempotencyRecord | None = None  # None: no key, or its record has expired

        self.timers: list[Timer] = []  # cancelled when it is answered

        self.cost_ms = 0.0  # expected time on the cores, set when the request is queued
        self.started_at = 0.0
        self.left_cores_at = 0.0  # when it last left the cores for a call
        self.off_cores_ms = 0.0  # time spent at downstream calls
        self.is_call_open = False
        self.call_attempts = 0  # attempts of the current downstream call

    def cancel_timers(self) -> None:
        """Cancels the request's timers. A timer would keep the request until it is due."""
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()
