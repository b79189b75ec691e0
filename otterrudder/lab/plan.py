"""An experiment file: cases by variants by seeds, what is claimed of them, and which charts show it.

    site = "sites/intake.toml"           # beside this file
    seeds = [1, 2, 3, 4, 5]
    [[variant]]  name = "levels"  levels = "../deploy/levels.toml"  bare = false  [variant.site] ...
    [[case]]     name = "sine"  length_s = 600  variants = [...]  [case.grid] period_s = [20, 60]
    [[case.load]] ... [[claim]]    text = "..."  cases = "sine*"  figure = "moves_per_min"  variant =
    "levels"  at_most = 1.0 [[chart]]    kind = "timeline" | "lines" ...

A text "$name" in a case's load, fault or site stands for the grid's value. A claim with `over` is of the
difference to that variant, paired by seed. Everything is checked before anything is played."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from otterrudder.files import load_toml, merge_tables
from otterrudder.lab.faults import Fault
from otterrudder.lab.shapes import LoadPart
from otterrudder.lab.site import InvalidInputError, Site, convert, site_of
from otterrudder.lab.tunables import TUNABLES
from otterrudder.levels import LevelTable, LevelTableError, read_table

MAX_LENGTH_S = 4 * 3600.0  # s of a day
QUICK_SEED_COUNT = 2  # seeds of a quick run
MAX_QUICK_LENGTH_S = 240.0  # s at the most of a day of a quick run


class _Strict(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    pass


class VariantSection(_Strict, kw_only=True):
    """A variant of the module: its levels, and constants that it changes."""

    name: str
    levels: str = ""  # a table's file, beside the experiment's; none: no levels
    bare: bool = False  # its thresholds without windows, stays and damping
    site: dict[str, Any] = {}  # what differs from the site, as in its file
    module: dict[str, float] = {}  # constants of the module, by name: what another value would have done


class CaseSection(_Strict, kw_only=True):
    """A load with its faults, played by some variants over a grid of values."""

    name: str
    length_s: Annotated[float, msgspec.Meta(gt=0, le=MAX_LENGTH_S)] = 600.0
    variants: list[str] = []  # all if empty
    grid: dict[str, list[float]] = {}
    load: list[dict[str, Any]]
    trouble: list[dict[str, Any]] = []
    site: dict[str, Any] = {}
    in_quick: bool = True


class ClaimSection(_Strict, kw_only=True):
    """What the figures of some cases must show."""

    text: str
    cases: str  # a pattern over the names of cases
    figure: str
    variant: str
    over: str = ""  # the variant it is compared with, by seed
    by: Literal["run", "case", "all"] = "case"  # each of which must hold by itself
    at_least: float | None = None
    at_most: float | None = None
    above: float | None = None  # with `over`: the whole 95% interval lies above
    within: float | None = None  # with `over`: the mean difference is no larger


class ChartSection(_Strict, kw_only=True):
    """A chart to draw."""

    kind: Literal["timeline", "lines"]
    file: str
    title: str
    cases: str
    variants: list[str] = []
    figures: list[str] = []  # lines: what is drawn
    x: str = ""  # lines: the grid's name on the x axis


class _ExperimentFile(_Strict, kw_only=True):
    title: str
    model: str  # in a sentence: what the figures are of
    site: str
    seeds: Annotated[list[int], msgspec.Meta(min_length=1)]
    variant: Annotated[list[VariantSection], msgspec.Meta(min_length=1)]
    case: Annotated[list[CaseSection], msgspec.Meta(min_length=1)]
    claim: list[ClaimSection] = []
    chart: list[ChartSection] = []


@dataclass(frozen=True, slots=True)
class Run:
    """One day to be played: all that it needs, ready for another process."""

    case: str
    base: str  # the case without its grid's values
    values: tuple[tuple[str, float], ...]
    variant: str
    seed: int
    site: Site
    load: list[LoadPart]
    faults: list[Fault]
    levels: LevelTable | None
    bare: bool
    module: tuple[tuple[str, float], ...]
    length_s: float


@dataclass(frozen=True, slots=True)
class Experiment:
    """A whole experiment, checked: its runs, claims and charts."""

    name: str
    title: str
    model: str
    runs: list[Run]
    claims: list[ClaimSection]
    charts: list[ChartSection]


def read_experiment(path: str | Path, seeds: list[int] | None = None, quick: bool = False) -> Experiment:
    """The experiment in a file, checked whole; InvalidInputError names the file and the key."""
    path = Path(path)
    where = path.name
    told: _ExperimentFile = convert(load_toml(path, InvalidInputError), _ExperimentFile, where)
    for variant in told.variant:
        for constant in variant.module:
            if constant not in TUNABLES:
                raise InvalidInputError(
                    f"{where}: variant {variant.name}: the module has no constant {constant!r}"
                )
    site_values = load_toml(path.parent / told.site, InvalidInputError)
    site_where = Path(told.site).name
    site_of(site_values, site_where)
    variants = {variant.name: variant for variant in told.variant}
    chosen_seeds = seeds or (told.seeds[:QUICK_SEED_COUNT] if quick else told.seeds)
    runs: list[Run] = []
    for n, case in enumerate(told.case, 1):
        place = f"{where}: case[{n}]"
        for name in case.variants:
            if name not in variants:
                raise InvalidInputError(f"{place}.variants: there is no {name!r}")
        if quick and not case.in_quick:
            continue
        length_s = min(case.length_s, MAX_QUICK_LENGTH_S) if quick else case.length_s
        for values in _grid_points(case.grid):
            runs += _build_runs(
                case,
                values,
                place,
                site_values,
                site_where,
                path.parent,
                [variants[name] for name in case.variants or variants],
                chosen_seeds,
                length_s,
            )
    _check_claims(told, runs, where, quick)
    return Experiment(path.stem, told.title, told.model, runs, told.claim, told.chart)


def _build_runs(
    case: CaseSection,
    values: dict[str, float],
    place: str,
    site_values: dict[str, Any],
    site_where: str,
    folder: Path,
    variants: list[VariantSection],
    seeds: list[int],
    length_s: float,
) -> Iterator[Run]:
    shown = ",".join(f"{name}={value:g}" for name, value in values.items())
    name = f"{case.name}[{shown}]" if shown else case.name
    load = convert(_substitute(case.load, values, f"{place}.load"), list[LoadPart], f"{place}.load")
    faults = convert(_substitute(case.trouble, values, f"{place}.trouble"), list[Fault], f"{place}.trouble")
    if not load:
        raise InvalidInputError(f"{place}.load: it is empty")
    for variant in variants:
        changed = merge_tables(
            merge_tables(site_values, _substitute(case.site, values, f"{place}.site")), variant.site
        )
        site = site_of(changed, f"{site_where} as {place} and {variant.name} change it")
        for k, fault in enumerate(faults, 1):
            if any(not 0 <= number < site.server.count for number in fault.servers):
                raise InvalidInputError(
                    f"{place}.trouble[{k}].servers: there are {site.server.count}, counted from 0"
                )
        levels = _read_levels(folder, variant, site)
        for seed in seeds:
            yield Run(
                name,
                case.name,
                tuple(values.items()),
                variant.name,
                seed,
                site,
                load,
                faults,
                levels,
                variant.bare,
                tuple(variant.module.items()),
                length_s,
            )


def _read_levels(folder: Path, variant: VariantSection, site: Site) -> LevelTable | None:
    if not variant.levels:
        return None
    try:
        return read_table(folder / variant.levels, site.products, site.tenants)
    except LevelTableError as error:
        raise InvalidInputError(f"variant {variant.name}: {error}") from None


def _grid_points(grid: dict[str, list[float]]) -> Iterator[dict[str, float]]:
    for values in itertools.product(*grid.values()):
        yield dict(zip(grid, values, strict=True))


def _substitute(told: Any, values: dict[str, float], where: str) -> Any:
    """`told` with each "$name" as the grid's value."""
    if isinstance(told, dict):
        return {key: _substitute(value, values, f"{where}.{key}") for key, value in told.items()}
    if isinstance(told, list):
        return [_substitute(value, values, where) for value in told]
    if isinstance(told, str) and told.startswith("$"):
        if told[1:] not in values:
            raise InvalidInputError(f"{where}: the grid has no {told[1:]!r}")
        return values[told[1:]]
    return told


def _check_claims(told: _ExperimentFile, runs: list[Run], where: str, quick: bool) -> None:
    names = {variant.name for variant in told.variant}
    for n, claim in enumerate(told.claim, 1):
        place = f"{where}: claim[{n}]"
        for key, name in (("variant", claim.variant), ("over", claim.over)):
            if name and name not in names:
                raise InvalidInputError(f"{place}.{key}: there is no variant {name!r}")
        bounds = [claim.at_least, claim.at_most, claim.above, claim.within]
        if all(bound is None for bound in bounds):
            raise InvalidInputError(f"{place}: it states no bound")
        if not claim.over and (claim.above is not None or claim.within is not None):
            raise InvalidInputError(f"{place}.over: above and within are of a difference")
        if not quick and not any(
            matches_case(claim.cases, run) and run.variant == claim.variant for run in runs
        ):
            raise InvalidInputError(f"{place}.cases: {claim.cases!r} fits no case of {claim.variant}")


def matches_case(pattern: str, run: Run) -> bool:
    """Whether a pattern names a run's case: `|` between alternatives, `*` at the end of an alternative."""
    for alternative in pattern.split("|"):
        if alternative == "*" or alternative in (run.case, run.base):
            return True
        if alternative.endswith("*") and run.case.startswith(alternative[:-1]):
            return True
    return False
