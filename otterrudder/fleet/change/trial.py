"""Trials of a policy: the fleet rolls the policy back automatically if a metric exceeds its bound."""

import math

from otterrudder.fleet.change.proposal import find_change, open_change
from otterrudder.fleet.effects import Commit, Lane
from otterrudder.fleet.records import MAX_NOTE_LENGTH, Change, FleetSnapshot, Trial
from otterrudder.fleet.store import Compare, Delete

# A policy is rolled back after this many consecutive evaluations with a metric above its bound: a single one
# may be a short peak.
MAX_STRIKES = 3
ROLLBACK_AUTHOR = "the fleet"


def trial_id(trial: Trial) -> str:
    """Returns the ID under which a coordinator tracks a trial, in place of the ID of an open change."""
    return f"trial of {trial.change}"


def trial_metrics(snapshot: FleetSnapshot, trial: Trial) -> dict[str, float]:
    """Returns the mean of each of the trial's metrics over the members that apply the policy and report
    metrics. Returns nothing until at least half of the members that are up do so."""
    statuses = snapshot.statuses.values()
    reports = [
        dict(status.metrics) for status in statuses if status.version == trial.version and status.metrics
    ]
    if not reports or 2 * len(reports) < len(statuses):
        return {}
    means = {}
    for metric, _ in trial.conditions:
        values = [report[metric] for report in reports if math.isfinite(report.get(metric, math.nan))]
        if values:
            means[metric] = sum(values) / len(values)
    return means


def evaluate_trial(snapshot: FleetSnapshot, age_ms: float, strikes: int) -> tuple[Commit | None, int]:
    """Returns the commit that ends the trial or rolls the policy back, if one is due, and the new number of
    consecutive evaluations with a metric above its bound.

    The rollback is an ordinary change. Its ID is derived from the trial, so all coordinators use the same
    one."""
    trial, head = snapshot.trial, snapshot.policy
    if not trial or not head or snapshot.change:
        return None, strikes
    rollback_id = f"back-{trial.change}"
    # An earlier rollback was aborted, so the trial ends and an operator has to intervene.
    was_rollback_tried = find_change(snapshot, rollback_id) is not None
    if was_rollback_tried or head.version != trial.version or age_ms >= trial.span_ms:
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
    """Returns a description of each metric that exceeds its bound."""
    metrics = trial_metrics(snapshot, trial)
    return [
        f"{metric} {metrics[metric]:.3g} > {bound:g}"
        for metric, bound in trial.conditions
        if metrics.get(metric, -math.inf) > bound
    ]


def _end_trial(snapshot: FleetSnapshot) -> Commit:
    """Returns the commit that ends the trial, so that the policy stays in force."""
    key = snapshot.keys.trial
    compares = (Compare(key, "modified", snapshot.raw.modified(key)),)
    return Commit("trial over", compares, (Delete(key),), Lane.COORDINATE)
