"""Evaluates the claims of an experiment: by run, by case or over all cases, on figures or on differences
between two variants paired by seed."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from otterrudder.lab.plan import ClaimSection, Run, matches_case

# The 97.5% quantiles of Student's t distribution for 1, 2, ... degrees of freedom. Beyond the last entry
# the normal distribution is used.
T_QUANTILES = (
    12.706,
    4.303,
    3.182,
    2.776,
    2.571,
    2.447,
    2.365,
    2.306,
    2.262,
    2.228,
    2.201,
    2.179,
    2.160,
    2.145,
    2.131,
    2.120,
    2.110,
    2.101,
    2.093,
    2.086,
    2.080,
    2.074,
    2.069,
    2.064,
    2.060,
    2.056,
    2.052,
    2.048,
    2.045,
    2.042,
)

NORMAL_QUANTILE = 1.96


@dataclass(frozen=True, slots=True)
class Group:
    """A group of runs for which a claim is evaluated: one run, one case, or all cases."""

    name: str
    mean: float
    half_width: float  # half the width of the 95% confidence interval; 0 for a single value
    holds: bool


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a claim in each group of runs."""

    claim: ClaimSection
    groups: list[Group]

    @property
    def holds(self) -> bool:
        """Whether there is a group, and the claim holds in every group."""
        return bool(self.groups) and all(group.holds for group in self.groups)

    @property
    def worst(self) -> Group | None:
        """The first group in which the claim fails, else the group with the smallest margin."""
        failed = [group for group in self.groups if not group.holds]
        return (failed or sorted(self.groups, key=self._margin))[0] if self.groups else None

    def _margin(self, group: Group) -> float:
        """The distance between the group's mean (or interval) and the nearest bound."""
        claim = self.claim
        margins = [group.mean - bound for bound in (claim.at_least,) if bound is not None]
        margins += [bound - group.mean for bound in (claim.at_most,) if bound is not None]
        margins += [group.mean - group.half_width - bound for bound in (claim.above,) if bound is not None]
        margins += [bound - abs(group.mean) for bound in (claim.within,) if bound is not None]
        return min(margins)


def interval(values: Sequence[float]) -> tuple[float, float]:
    """Returns the mean and half the width of its 95% confidence interval, which is infinite for a single
    value."""
    n = len(values)
    mean = math.fsum(values) / n
    if n < 2:
        return mean, math.inf
    deviation = math.sqrt(math.fsum((value - mean) ** 2 for value in values) / (n - 1))
    quantile = T_QUANTILES[n - 2] if n - 2 < len(T_QUANTILES) else NORMAL_QUANTILE
    return mean, quantile * deviation / math.sqrt(n)


def evaluate(claim: ClaimSection, figures: Sequence[tuple[Run, dict[str, float]]]) -> Verdict:
    """Evaluates a claim on the figures of all runs. A claim that matches no run does not hold."""
    relevant = [
        (run, run_figures)
        for run, run_figures in figures
        if matches_case(claim.cases, run) and claim.figure in run_figures
    ]
    values: dict[str, list[float]] = {}
    baseline = {
        (run.case, run.seed): run_figures[claim.figure]
        for run, run_figures in relevant
        if run.variant == claim.over
    }
    for run, run_figures in relevant:
        if run.variant != claim.variant:
            continue
        value = run_figures[claim.figure]
        if claim.over:
            if (run.case, run.seed) not in baseline:
                continue
            value -= baseline[run.case, run.seed]
        name = {"run": f"{run.case} seed {run.seed}", "case": run.case, "all": "all"}[claim.by]
        values.setdefault(name, []).append(value)
    return Verdict(claim, [_group(claim, name, group_values) for name, group_values in values.items()])


def _group(claim: ClaimSection, name: str, values: list[float]) -> Group:
    mean, half_width = interval(values)
    holds = all(
        (
            claim.at_least is None or mean >= claim.at_least,
            claim.at_most is None or mean <= claim.at_most,
            claim.above is None or mean - half_width > claim.above,
            claim.within is None or abs(mean) <= claim.within,
        )
    )
    return Group(name, mean, half_width if len(values) > 1 else 0.0, holds)
