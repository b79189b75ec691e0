"""A policy on trial: the fleet goes back by itself while one of its metrics is above its bound."""

import math

from otterrudder.fleet.change.proposal import find_change, open_change
from otterrudder.fleet.effects import Commit, Lane
from otterrudder.fleet.records import MAX_NOTE_LENGTH, Change, FleetSnapshot, Trial
from otterrudder.fleet.store import Compare, Delete

MAX_STRIKES = 3  # counts in a row at which a metric is above its bound: one may be a moment's
ROLLBACK_AUTHOR = "the fleet"


def trial_id(trial: Trial) -> str:
    """What a coordinator knows a trial by."""
    return f"trial of {trial.change}"


def trial_metrics(snapshot: FleetSnapshot, trial: Trial) -> dict[str, float]:
    """The trial's metrics, in the mean of those who serve under it and report them; none until half do."""
    statuses = snapshot.statuses.values()
    reports = [
        dict(status.metrics) for status in statuses if status.version == trial.version and status.metrics
    ]
    if not reports or 2 * len(reports) < len(statuses):
        return {}
    found = {}
    for metric, _ in trial.conditions:
        values = [report[metric] for report in reports if math.isfinite(report.get(metric, math.nan))]
        if values:
            found[metric] = sum(values) / len(values)
    return found


def evaluate_trial(snapshot: FleetSnapshot, age_ms: float, strikes: int) -> tuple[Commit | None, int]:
    """What is to be done about a policy on trial, and at how many counts in a row a metric was above its
    bound. The rollback is a change like any other, with an id that any two coordinators share."""
    trial, head = snapshot.trial, snapshot.policy
    if not trial or not head or snapshot.change:
        return None, strikes
    rollback_id = f"back-{trial.change}"
    # It was rolled back before, and that was aborted: an operator has to look.
    was_rolled_back = find_change(snapshot, rollback_id) is not None
    if was_rolled_back or head.version != trial.version or age_ms >= trial.span_ms:
        return _end_trial(snapshot), 0
    breaches = _breaches(snapshot, trial)
    if not breaches:
        return None, 0
    if strikes + 1 < MAX_STRIKES:
        return None, strikes + 1
    note = f"trial of version {trial.version} ended: {', '.join(breaches)}"
    change = Change(
        rollback_id,
        head.version + 1,
        trial.rollback_digest,
        ROLLBACK_AUTHOR,
        note[:MAX_NOTE_LENGTH],
        head.proposed_at_ms,
    )
    return open_change(snapshot, change), 0


def _breaches(snapshot: FleetSnapshot, trial: Trial) -> list[str]:
    """The metrics that are above their bounds, in words."""
    metrics = trial_metrics(snapshot, trial)
    return [
        f"{metric} {metrics[metric]:.3g} > {bound:g}"
        for metric, bound in trial.conditions
        if metrics.get(metric, -math.inf) > bound
    ]


def _end_trial(snapshot: FleetSnapshot) -> Commit:
    """The policy is in force for good."""
    key = snapshot.keys.trial
    compares = (Compare(key, "modified", snapshot.raw.modified(key)),)
    return Commit("trial over", compares, (Delete(key),), Lane.COORDINATE)
