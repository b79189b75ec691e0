"""A change of policy, from its proposal to its end, and its trial. Pure: a snapshot of the store in, one
commit out.

`proposal` opens and withdraws changes, `votes` counts them, `finish` ends a change by the votes, `trial`
watches a policy on trial, `coordinator` sees to it that all of this happens.

A coordinator decides nothing: the votes do. A change is committed once every member on the roster has
accepted it, or was left out by its own rule with its lease lapsed; it is aborted at the first rejection and
at its deadline. Each of these is one commit that compares the open change as it was read, and who had
registered by then; so of any number of coordinators at any time, dead or alive, one commit takes effect and
the others fail. A vote, once in the store, stays until the change ends: what was counted at a read still
stands at the commit.

A commit has a handful of writes and compares at any size of the fleet, for engines bound them (etcd: 128)."""

from otterrudder.fleet.change.coordinator import COUNT_INTERVAL_MS, ChangeCoordinator
from otterrudder.fleet.change.finish import finish_change
from otterrudder.fleet.change.proposal import (
    ChangeRejectedError,
    find_change,
    propose,
    remove_member,
    withdraw,
)
from otterrudder.fleet.change.trial import evaluate_trial, trial_id, trial_metrics
from otterrudder.fleet.change.votes import VoteCount, coordination_keys, count_votes

__all__ = [
    "COUNT_INTERVAL_MS",
    "ChangeCoordinator",
    "ChangeRejectedError",
    "VoteCount",
    "coordination_keys",
    "count_votes",
    "evaluate_trial",
    "find_change",
    "finish_change",
    "propose",
    "remove_member",
    "trial_id",
    "trial_metrics",
    "withdraw",
]
