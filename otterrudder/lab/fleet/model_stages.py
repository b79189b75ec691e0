"""The states of a model from which searches begin."""

from enum import Enum

from otterrudder.fleet.change import finish_change, propose
from otterrudder.fleet.effects import effect_name
from otterrudder.lab.fleet.model import DEADLINE_MS, Exchange, Host, ModelState, Variant

CONVERGENCE_ROUNDS = 3


class NotConvergedError(Exception):
    """Raised if the members do not form a fleet; the fault of some mutants prevents it."""


class Stage(Enum):
    """The progress of a change at the start of a search."""

    QUIESCENT = "no change is open"
    OPEN = "the change is open, and all votes are in flight"
    HALF = "one vote is in the store, the others are in flight"
    VOTED = "all votes are in the store"
    COMMITTED = "the change is committed, and no member has read that"


def state_at_stage(variant: Variant, stage: Stage) -> ModelState:
    """Returns the state of a converged fleet in which the first proposer's change has reached the stage."""
    state = converged_state(variant)
    if stage is Stage.QUIESCENT:
        return state
    state.proposed = 1
    state.write(propose(state.snapshot(), "A", "policy A", "A", "", 0.0, DEADLINE_MS))
    state.deliver_all(lambda exchange: not _is_vote(exchange))
    if stage is not Stage.OPEN:
        first = next(exchange.host for exchange in state.exchanges if _is_vote(exchange))
        state.deliver_all(lambda exchange: stage is not Stage.HALF or exchange.host == first)
    if stage is Stage.COMMITTED and (commit := finish_change(state.snapshot(), False)):
        state.write(commit)
        state.start_effects()
    return state


def _is_vote(exchange: Exchange) -> bool:
    return effect_name(exchange.effect) == "vote"


def converged_state(variant: Variant) -> ModelState:
    """Returns the state of a fleet whose members have all registered, with version 1 in force."""
    state = ModelState(variant)
    for n in range(variant.members):
        state.hosts.append(Host(f"n{n}", f"folder {n}"))
        state.start_process(n)
    if violation := state.deliver_all():
        raise NotConvergedError(violation)
    state.write(propose(state.snapshot(), "first", "policy", "", "", 0.0, DEADLINE_MS))
    for _ in range(CONVERGENCE_ROUNDS):
        state.deliver_all()
        if commit := finish_change(state.snapshot(), False):
            state.write(commit)
        state.pass_time()
    state.deliver_all()
    if [host.member.admits(state.now) for host in state.hosts if host.member] != [1] * variant.members:
        raise NotConvergedError("not all members admit under version 1")
    if variant.has_name_conflict:
        state.hosts.append(Host("n0", "another folder"))
        state.start_process(variant.members)
    return state
