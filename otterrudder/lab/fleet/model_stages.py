"""The states of a model from which searches begin."""

from enum import Enum

from otterrudder.fleet.change import finish_change, propose
from otterrudder.fleet.effects import effect_name
from otterrudder.lab.fleet.model import DEADLINE_MS, Exchange, Host, ModelState, Variant

CONVERGENCE_ROUNDS = 3


class NotConvergedError(Exception):
    """The members never became a fleet: a mutant's fault can be that plain."""


class Stage(Enum):
    """Where a search begins: how far a change has come."""

    QUIESCENT = "none is open"
    OPEN = "it is open, and all votes are on their way"
    HALF = "one vote is in, the others are on their way"
    VOTED = "all votes are in"
    COMMITTED = "it is committed, and nobody has heard"


def state_at_stage(variant: Variant, stage: Stage) -> ModelState:
    """A fleet at work whose first proposer's change has come so far."""
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
    """A fleet at work: all are of it, and version 1 is in force."""
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
        raise NotConvergedError("the fleet does not come together")
    if variant.has_name_conflict:
        state.hosts.append(Host("n0", "another folder"))
        state.start_process(variant.members)
    return state
