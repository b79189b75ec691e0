"""The life of a policy change, from its proposal to its end, and its trial. Pure: each function takes a
snapshot of the store and returns at most one commit.

`proposal` opens and withdraws changes, `votes` counts the votes, `finish` commits or aborts a change by its
votes, `trial` monitors a policy on trial, and `coordinator` drives all of this.

The coordinator makes no decisions of its own; the votes decide. A change is committed once every member on
the roster has accepted it or is left out, which is possible only if its own rule allows that and its lease
has expired. A change is aborted at the first rejection or at its deadline. Each outcome is one commit that
compares the open change as it was read, and a successful outcome also compares the key `joined`, which each
registration writes. So of any number of coordinators only one commit takes effect, and the others fail. A
vote stays in the store until the change ends, so the votes counted at a read are still there at the commit.

A commit has only a few writes and compares at any fleet size, because stores limit them (etcd: 128)."""

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
