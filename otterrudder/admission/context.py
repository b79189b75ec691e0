"""What the stages of the admission chain share: hooks, the clock and the way to answer a request."""

from enum import Enum
from typing import Protocol

from otterrudder.admission.commands import Command
from otterrudder.admission.requests import Request
from otterrudder.admission.settings import ControllerSettings
from otterrudder.admission.timer_queue import TimerQueue

TICK_MS = 40.0  # period of the tick: half of the 80 ms within which an answer must follow its deadline
RECENT_WEIGHT = 1 / 16  # weight of a new sample in a running mean


class RejectionReason(Enum):
    """Why a request is rejected, which decides whether another server may take it."""

    OVERLOAD = "overload"  # this server is full, and others are likely to be
    LOCAL = "local"  # this server can't take it, others may
    SERVED_ELSEWHERE = "served elsewhere"  # other servers serve such requests now


class AdmissionContext:
    """What all stages have: the time, the settings, the policy, the requests in hand, timers and commands."""

    def __init__(self, now: float, settings: ControllerSettings, flow: "RequestFlow") -> None:
        self.now = now
        self.settings = settings  # as of the start; the policy may change what follows
        self.request_classes = settings.request_classes
        self.limits = settings.limits
        self.flow = flow
        self.requests: dict[int, Request] = {}  # queued, following, running, calling or replaying
        self.timers = TimerQueue()
        self.commands: list[Command] = []


class RequestFlow(Protocol):
    """How a stage moves a request on or answers it; implemented by the controller.

    `reject` and `fail` return False, so that a stage may return their result from `admit`."""

    def forward(self, request: Request, after: "Stage") -> None:
        """Pass a request that a stage kept to the stages after it."""

    def reject(
        self,
        request: Request,
        reason: RejectionReason = RejectionReason.OVERLOAD,
        retry_after_ms: float | None = None,
    ) -> bool:
        """Answer that the request never ran; one that may have run fails instead."""

    def fail(self, request: Request) -> bool:
        """Answer that the request failed and may have run."""

    def replay(self, request: Request) -> None:
        """Answer with the response of the earlier attempt."""

    def random_fraction(self, request_id: int) -> float:
        """A pseudo-random number from 0 to 1, the same for the same seed and order of events."""


class Stage:
    """A link of the admission chain. Hooks run in the reverse order of the chain."""

    def admit(self, request: Request) -> bool:
        """Whether the request goes on to the next stage; if not, this stage has kept or answered it."""
        return True

    def on_answered(self, request: Request) -> None:
        """The request's final answer is given or its caller is gone; its run may go on."""

    def on_released(self, request: Request) -> None:
        """The request's work is over and its memory is free."""
