"""Whether what an experiment claims is so: figures by run, case or all, or differences paired by seed."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from otterrudder.lab.plan import ClaimSection, Run, matches_case

# The 97.5% quantiles of Student's t by degrees of freedom from 1; past the last it is taken for normal.
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
    """One thing that a claim is of: a run, a case, or all cases."""

    name: str
    mean: float
    half_width: float  # of the 95% interval, 0 for a single value
    holds: bool


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a claim holds, group by group."""

    claim: ClaimSection
    groups: list[Group]

    @property
    def holds(self) -> bool:
        """Whether it holds in every group, and there is one."""
        return bool(self.groups) and all(group.holds for group in self.groups)

    @property
    def worst(self) -> Group | None:
        """The group that says most: the first that does not hold, else the one nearest to its bound."""
        failed = [group for group in self.groups if not group.holds]
        return (failed or sorted(self.groups, key=self._margin))[0] if self.groups else None

    def _margin(self, group: Group) -> float:
        """How far the group is from the nearest bound."""
        claim = self.claim
        margins = [group.mean - bound for bound in (claim.at_least,) if bound is not None]
        margins += [bound - group.mean for bound in (claim.at_most,) if bound is not None]
        margins += [group.mean - group.half_width - bound for bound in (claim.above,) if bound is not None]
        margins += [bound - abs(group.mean) for bound in (claim.within,) if bound is not None]
        return min(margins)


def interval(values: Sequence[float]) -> tuple[float, float]:
    """Mean and half of its 95% interval; infinite for a single value, which says nothing of its spread."""
    n = len(values)
    mean = math.fsum(values) / n
    if n < 2:
        return mean, math.inf
    spread = math.sqrt(math.fsum((value - mean) ** 2 for value in values) / (n - 1))
    quantile = T_QUANTILES[n - 2] if n - 2 < len(T_QUANTILES) else NORMAL_QUANTILE
    return mean, quantile * spread / math.sqrt(n)


def evaluate(claim: ClaimSection, figures: Sequence[tuple[Run, dict[str, float]]]) -> Verdict:
    """The verdict on a claim from all runs' figures; without a run that it is about it does not hold."""
    relevant = [
        (run, found) for run, found in figures if matches_case(claim.cases, run) and claim.figure in found
    ]
    values: dict[str, list[float]] = {}
    baseline = {
        (run.case, run.seed): found[claim.figure] for run, found in relevant if run.variant == claim.over
    }
    for run, found in relevant:
        if run.variant != claim.variant:
            continue
        value = found[claim.figure]
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
