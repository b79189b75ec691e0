"""A change of policy."""

from otterrudder.fleet.change.coordinator import (
    COUNT_MS,
    ChangeCoordinator,
    ChangeRejectedError,
    coordination_keys,
    count_votes,
    evaluate_trial,
    find_change,
    finish_change,
    propose,
    remove_member,
    trial_key,
    trial_metrics,
    withdraw,
)

__all__ = [
    "COUNT_MS",
    "ChangeCoordinator",
    "ChangeRejectedError",
    "coordination_keys",
    "count_votes",
    "evaluate_trial",
    "find_change",
    "finish_change",
    "propose",
    "remove_member",
    "trial_key",
    "trial_metrics",
    "withdraw",
]
