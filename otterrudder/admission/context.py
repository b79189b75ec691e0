"""Types shared by the stages of the admission chain: their hooks, their context and the request flow."""

from enum import Enum
from typing import Protocol

from otterrudder.admission.commands import Command
from otterrudder.admission.requests import Request
from otterrudder.admission.settings import ControllerSettings
from otterrudder.admission.timer_queue import Callback, TimerQueue

TICK_MS = 40.0  # tick period: half of the 80 ms after a deadline within which a request must be answered
RECENT_WEIGHT = 1 / 16  # weight of a new sample in a moving average


class RejectionReason(Enum):
    """Why a request is rejected. The reason decides whether the caller may try another server."""

    OVERLOAD = "overload"  # this server is full, and the others probably are too
    LOCAL = "local"  # this server cannot accept the request, but others may
    SERVED_ELSEWHERE = (
        "served elsewhere"  # this server drains or restricts the request, which other servers accept
    )


class AdmissionContext:
    """The state shared by all stages: time, settings, policy, open requests, timers and commands."""

    def __init__(self, now: float, settings: ControllerSettings, flow: "RequestFlow") -> None:
        self.now = now
        self.settings = settings  # fixed at the start
        # A policy update replaces the request classes and the limits.
        self.request_classes = settings.request_classes
        self.limits = settings.limits
        self.flow = flow
        self.requests: dict[int, Request] = {}  # by id, in every state except FINISHED
        self.timers = TimerQueue()
        self.commands: list[Command] = []

    def schedule_until_answered(self, request: Request, due_at: float, callback: Callback) -> None:
        """Schedules a call about a request, which is cancelled when the request is answered."""
        request.timers.append(self.timers.schedule(due_at, callback))


class RequestFlow(Protocol):
    """The operations by which a stage forwards or answers a request. The controller implements them.

    `reject` and `fail` return False, so that a stage can return their result from `admit`."""

    def forward(self, request: Request, after: "Stage") -> None:
        """Passes a request that a stage held to the stages after it."""

    def reject(
        self,
        request: Request,
        reason: RejectionReason = RejectionReason.OVERLOAD,
        retry_after_ms: float | None = None,
    ) -> bool:
        """Rejects a request that never ran; fails it instead if it may have run."""

    def fail(self, request: Request) -> bool:
        """Answers that the request failed and may have run."""

    def replay(self, request: Request) -> None:
        """Answers the request with the response of its earlier attempt."""

    def random_fraction(self, request_id: int) -> float:
        """Returns a pseudo-random number from 0 to 1, reproducible for the same seed and order of events."""


class Stage:
    """A stage of the admission chain. Its hooks run in the reverse order of the chain."""

    def admit(self, request: Request) -> bool:
        """Returns True to pass the request to the next stage, or False if this stage held or answered it."""
        return True

    def on_answered(self, request: Request) -> None:
        """Called once the request is answered or its caller is gone. The request may still be running."""

    def on_released(self, request: Request) -> None:
        """Called once the request has ended and its memory is free."""
