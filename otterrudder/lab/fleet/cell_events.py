"""The events that may happen next in a model of cells."""

from functools import partial
from typing import TypeVar

from otterrudder.lab.fleet import cell_delivery
from otterrudder.lab.fleet.cell_event import Event
from otterrudder.lab.fleet.cell_message_events import (
    change_events,
    peer_events,
    store_events,
    stream_events,
)
from otterrudder.lab.fleet.cell_process_events import (
    cut_events,
    engine_events,
    relay_events,
    server_events,
)
from otterrudder.lab.fleet.cell_processes import run_effects
from otterrudder.lab.fleet.cell_recovery import STEP_MS
from otterrudder.lab.fleet.cell_state import CellState

SHORT_STEP_MS = 130.0
LONG_STEP_MS = 1500.0

_S = TypeVar("_S", bound=CellState)


def events(state: CellState, max_faults: int) -> list[Event]:
    """Returns all events that may happen next. Faults are injected up to `max_faults`."""
    may_inject = state.injected_faults < max_faults
    return [
        Event("time passes", partial(_pass_time, STEP_MS)),
        Event("much time passes", partial(_pass_time, LONG_STEP_MS)),
        Event("little time passes", partial(_pass_time, SHORT_STEP_MS)),
        Event("all is delivered", _deliver_all),
        *store_events(state, may_inject),
        *peer_events(state, may_inject),
        *stream_events(state, may_inject),
        *change_events(state),
        *relay_events(state, may_inject),
        *server_events(state, may_inject),
        *cut_events(state, may_inject),
        *engine_events(state, may_inject),
    ]


def apply_event(state: CellState, event: Event) -> None:
    """Applies the event to the state in place."""
    event.action(state)
    state.injected_faults += event.faults
    state.trail = (*state.trail, event.name)
    run_effects(state)


def successor(state: _S, event: Event) -> _S:
    """Returns a copy of the state with the event applied."""
    next_state = state.copy()
    apply_event(next_state, event)
    return next_state


def _pass_time(span_ms: float, state: CellState) -> None:
    state.pass_time(span_ms)


def _deliver_all(state: CellState) -> None:
    cell_delivery.drop_unserved(state)
    cell_delivery.deliver_all(state)
