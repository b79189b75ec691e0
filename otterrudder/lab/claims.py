"""Whether what an experiment claims is so: figures by run, case or all, or differences paired by seed."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from otterrudder.lab.plan import ClaimPart, Run, matches

# The 97.5% quantile of Student's t by degrees of freedom from 1; past the last it is taken for normal.
T = (
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


@dataclass(frozen=True, slots=True)
class Group:
    """One thing that a claim is of: a run, a case, or all cases."""

    name: str
    mean: float
    half: float  # of the 95% interval, 0 for a single value
    holds: bool


@dataclass(frozen=True, slots=True)
class Verdict:
    claim: ClaimPart
    groups: list[Group]

    @property
    def holds(self) -> bool:
        return bool(self.groups) and all(group.holds for group in self.groups)

    @property
    def worst(self) -> Group | None:
        """The group that says most: the first that does not hold, else the one nearest to its bound."""
        failed = [group for group in self.groups if not group.holds]
        return (failed or sorted(self.groups, key=self._room))[0] if self.groups else None

    def _room(self, group: Group) -> float:
        claim = self.claim
        rooms = [group.mean - bound for bound in (claim.at_least,) if bound is not None]
        rooms += [bound - group.mean for bound in (claim.at_most,) if bound is not None]
        rooms += [group.mean - group.half - bound for bound in (claim.above,) if bound is not None]
        rooms += [bound - abs(group.mean) for bound in (claim.within,) if bound is not None]
        return min(rooms)


def interval(values: Sequence[float]) -> tuple[float, float]:
    """Mean and half of its 95% interval; infinite for a single value, which says nothing of its spread."""
    n = len(values)
    mean = math.fsum(values) / n
    if n < 2:
        return mean, math.inf
    spread = math.sqrt(math.fsum((value - mean) ** 2 for value in values) / (n - 1))
    return mean, (T[n - 2] if n - 2 < len(T) else 1.96) * spread / math.sqrt(n)


def judge(claim: ClaimPart, figures: Sequence[tuple[Run, dict[str, float]]]) -> Verdict:
    """The verdict on a claim from all runs' figures. With no run that it is of it does not hold."""
    mine = [(run, told) for run, told in figures if matches(claim.cases, run) and claim.figure in told]
    values: dict[str, list[float]] = {}
    others = {(run.case, run.seed): told[claim.figure] for run, told in mine if run.variant == claim.over}
    for run, told in mine:
        if run.variant != claim.variant:
            continue
        value = told[claim.figure]
        if claim.over:
            if (run.case, run.seed) not in others:
                continue
            value -= others[run.case, run.seed]
        name = {"run": f"{run.case} seed {run.seed}", "case": run.case, "all": "all"}[claim.by]
        values.setdefault(name, []).append(value)
    return Verdict(claim, [_group(claim, name, found) for name, found in values.items()])


def _group(claim: ClaimPart, name: str, values: list[float]) -> Group:
    mean, half = interval(values)
    holds = all(
        (
            claim.at_least is None or mean >= claim.at_least,
            claim.at_most is None or mean <= claim.at_most,
            claim.above is None or mean - half > claim.above,
            claim.within is None or abs(mean) <= claim.within,
        )
    )
    return Group(name, mean, half if len(values) > 1 else 0.0, holds)
