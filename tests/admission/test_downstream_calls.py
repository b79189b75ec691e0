"""What many servers together ask of a service below that was away: decisions alone, in simulated time."""

import heapq

import pytest
from helpers import SETTINGS

from otterrudder.admission.circuit_breaker import OPEN_INTERVAL_MS
from otterrudder.admission.commands import CallDownstream, ScheduleTick, StartRequest
from otterrudder.admission.controller import AdmissionController
from otterrudder.admission.factory import create_controller
from otterrudder.admission.interface import Arrival, Outcome

WAITING = 10  # requests of each server that stand at a call
BACK_MS = 5000.0  # when the service is back
TOOK_MS = 20.0  # ms of a call


def calls_after_return(servers: int) -> list[float]:
    """When calls went out, in ms from the return of the service; all fail before it."""
    controllers = [create_controller(0.0, n, n, SETTINGS) for n in range(servers)]
    due: list[tuple[float, int, int, str]] = []
    sent = []

    def take(n: int, now: float, controller: AdmissionController) -> None:
        for command in controller.take_commands():
            if isinstance(command, ScheduleTick):
                heapq.heappush(due, (now + command.delay_ms, n, -1, "tick"))
            elif isinstance(command, StartRequest):
                controller.handle_call_needed(command.request_id)
                take(n, now, controller)
            elif isinstance(command, CallDownstream):
                sent.append(now - BACK_MS)
                outcome = "ok" if now >= BACK_MS else "reset"
                heapq.heappush(due, (now + TOOK_MS, n, command.request_id, outcome))

    for n, controller in enumerate(controllers):
        for request_id in range(1, WAITING + 1):
            controller.handle_arrival(Arrival(request_id, 0, time_left_ms=16_000.0))
        take(n, 0.0, controller)
    while due and due[0][0] < BACK_MS + 4000.0:
        now, n, request_id, what = heapq.heappop(due)
        controller = controllers[n]
        controller.advance_to(now)
        if what == "tick":
            controller.tick(0.2, 1.0)
        else:
            controller.handle_call_ended(request_id, Outcome(what))
        take(n, now, controller)
    return [at for at in sent if at >= 0]


@pytest.mark.parametrize("servers", [1, 4, 20, 30])
def test_a_service_that_is_back_is_not_asked_for_all_at_once(servers: int) -> None:
    """All once sent all that waited within 100 ms: trials were in step, and one good one was enough."""
    sent = calls_after_return(servers)
    assert len(sent) == WAITING * servers and max(sent) < 2000.0  # all have gone out, each once
    assert sum(at < OPEN_INTERVAL_MS for at in sent) <= 2 * servers
    assert max(sum(begins <= at < begins + 100 for at in sent) for begins in range(2000)) <= 2 * servers + 6
