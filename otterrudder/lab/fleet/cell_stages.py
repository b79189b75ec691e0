"""The states of a model of cells from which searches begin."""

from enum import Enum

from otterrudder.fleet.change import finish_change, propose
from otterrudder.fleet.effects import Commit, Lane
from otterrudder.lab.fleet import cell_store
from otterrudder.lab.fleet.cell_delivery import deliver_all, deliver_store_exchange, drop_unserved
from otterrudder.lab.fleet.cell_model import CellModel
from otterrudder.lab.fleet.cell_processes import run_effects, start_relay, start_server, stop_relay
from otterrudder.lab.fleet.cell_recovery import STEP_MS, disagreements
from otterrudder.lab.fleet.cell_state import (
    BAD_ENDING,
    DEADLINE_MS,
    PLAIN,
    REJECTING,
    CellState,
    RelayHost,
    ServerHost,
    StoreExchange,
)
from otterrudder.lab.fleet.cell_variants import CellVariant

SETUP_STEPS = 20  # time steps until processes have registered, and until a change has come into force
UNREACHABLE_STEPS = 16  # time steps without the store; longer than the leases


class NotConvergedError(Exception):
    """Raised if the cells do not form a fleet; the fault of some mutants prevents it."""


class CellStage(Enum):
    """The situation at the start of a search."""

    QUIESCENT = "no change is open"
    OPEN = "a change is open, and no relay has read it"
    HALF = "one vote is in the store, the others are in flight"
    VOTED = "all votes are in the store, and no relay has counted them"
    COMMITTED = "a change is committed, and no relay has read that"
    LEADER_LOST = "the leader of the first cell has just stopped"
    STORE_LOST = "the store has just become unreachable"
    ENDORSED = "the store has been unreachable for longer than its leases"


def converged_model(variant: CellVariant) -> CellModel:
    """Returns a model whose servers have all registered, with version 1 in force."""
    model = CellModel(variant)
    model.checker.bound_ms = variant.rules.bound_ms
    _add_relays(model)
    _add_servers(model)
    _run(model, SETUP_STEPS)
    cell_store.write(model, propose(model.snapshot(), "first", "policy", "", "", 0.0, DEADLINE_MS))
    _run(model, SETUP_STEPS)
    if violation := model.violation():
        raise NotConvergedError(violation)
    if differences := disagreements(model):
        raise NotConvergedError(f"the fleet does not converge: {', '.join(differences)}")
    return model


def _add_relays(state: CellState) -> None:
    variant = state.variant
    for cell in range(variant.cells):
        addresses = tuple(f"r{cell}{number}" for number in range(variant.relays))
        for address in addresses:
            state.relays.append(RelayHost(address, f"c{cell}", addresses))
    for index, host in enumerate(state.relays):
        host.rate = variant.relay_rates[index % len(variant.relay_rates)]
        start_relay(state, index)


def _add_servers(state: CellState) -> None:
    variant = state.variant
    for index in range(variant.servers):
        cell = index % variant.cells
        relays = tuple(host.address for host in state.relays if host.cell == f"c{cell}")
        rejects = variant.has_rejecting_servers and index // variant.cells % 2
        rate = variant.server_rates[index % len(variant.server_rates)]
        state.servers.append(ServerHost(f"s{index}", REJECTING if rejects else PLAIN, relays, rate=rate))
        start_server(state, index)


def _run(state: CellState, steps: int) -> None:
    """Advances the time by a number of steps, with everything delivered."""
    for _ in range(steps):
        drop_unserved(state)
        if violation := deliver_all(state):
            raise NotConvergedError(violation)
        state.pass_time(STEP_MS)
    deliver_all(state)


def model_at_stage(quiescent: CellModel, stage: CellStage) -> CellModel:
    """Returns a copy of a converged model that has reached the stage."""
    model = quiescent.copy()
    if stage is CellStage.LEADER_LOST:
        stop_relay(model, leader_of(model, "c0"))
        run_effects(model)
    elif stage in (CellStage.STORE_LOST, CellStage.ENDORSED):
        model.is_store_unreachable = True
        _run(model, 0 if stage is CellStage.STORE_LOST else UNREACHABLE_STEPS)
    elif stage is not CellStage.QUIESCENT:
        _stage_change(model, stage)
    return model


def leader_of(state: CellState, cell: str) -> int:
    """Returns the index of the relay that leads a cell according to the store, or 0 if none does."""
    status = state.snapshot(of_primary=True).status(cell)
    for index, host in enumerate(state.relays):
        if status and status.incarnation == f"{host.address}.{host.incarnation}":
            return index
    return 0


def _stage_change(state: CellState, stage: CellStage) -> None:
    state.proposed.add("B")
    cell_store.write(state, propose(state.snapshot(), "B", text_of("B"), "B", "", 0.0, DEADLINE_MS))
    if stage is CellStage.OPEN:
        return
    deliver_all(state, lambda exchange: not _is_vote(exchange) and not _is_coordination(exchange))
    votes = [exchange for exchange in state.store_exchanges if _is_vote(exchange)]
    for exchange in votes[:1] if stage is CellStage.HALF else votes:
        deliver_store_exchange(state, exchange)
    if stage is CellStage.COMMITTED and (commit := finish_change(state.snapshot(), False)):
        cell_store.write(state, commit)
    run_effects(state)


def text_of(ident: str) -> str:
    """Returns the policy text of a change. B and C have the same text, which some servers reject."""
    return "policy A" if ident == "A" else f"policy B{BAD_ENDING}"


def _is_vote(exchange: StoreExchange) -> bool:
    return isinstance(exchange.effect, Commit) and exchange.effect.purpose == "vote"


def _is_coordination(exchange: StoreExchange) -> bool:
    return exchange.effect.lane is Lane.COORDINATE
