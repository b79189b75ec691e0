"""Reads an experiment file: the simulations of each case, variant and seed, the claims, and the charts.

    site = "sites/intake.toml"           # relative to the experiment file
    seeds = [1, 2, 3, 4, 5]
    [[variant]]  name = "levels"  levels = "../deploy/levels.toml"  bare = false  [variant.site] ...
    [[case]]     name = "sine"  length_s = 600  variants = [...]  [case.grid] period_s = [20, 60]
    [[case.load]] ...
    [[claim]]    text = "..."  cases = "sine*"  figure = "moves_per_min"  variant = "levels"  at_most = 1.0
    [[chart]]    kind = "timeline" | "lines" ...

The string "$name" in a load, fault or site of a case is replaced by the value that the grid has under this
name. A claim with `over` is about the difference between its variant and the `over` variant, paired by seed.
The whole file is checked before the first simulation starts."""

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

MAX_LENGTH_S = 4 * 3600.0  # maximum length of a simulation, in s
QUICK_SEED_COUNT = 2  # number of the file's seeds that --quick uses
MAX_QUICK_LENGTH_S = 240.0  # maximum length of a simulation with --quick, in s


class _Strict(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    pass


class VariantSection(_Strict, kw_only=True):
    """A variant of the admission module: its service levels, and the constants that it changes."""

    name: str
    levels: str = ""  # path of a level table, relative to the experiment file; empty: no service levels
    bare: bool = False  # use the thresholds of the table without windows, minimum stays and damping
    site: dict[str, Any] = {}  # values that replace those of the site file
    module: dict[str, float] = {}  # values of admission constants, by their names in TUNABLES


class CaseSection(_Strict, kw_only=True):
    """A load with its faults, simulated for some variants at each point of a grid of values."""

    name: str
    length_s: Annotated[float, msgspec.Meta(gt=0, le=MAX_LENGTH_S)] = 600.0
    variants: list[str] = []  # names of variants; empty: all variants
    grid: dict[str, list[float]] = {}
    load: list[dict[str, Any]]
    trouble: list[dict[str, Any]] = []
    site: dict[str, Any] = {}
    in_quick: bool = True


class ClaimSection(_Strict, kw_only=True):
    """A claim about one figure in some cases, with the bounds that the figure must meet."""

    text: str
    cases: str  # pattern of case names, see `matches_case`
    figure: str
    variant: str
    over: str = ""  # name of the variant to compare with, seed by seed
    by: Literal["run", "case", "all"] = "case"  # the groups of runs; the claim must hold in each group
    at_least: float | None = None
    at_most: float | None = None
    above: float | None = None  # with `over`: lower bound of the 95% confidence interval of the difference
    within: float | None = None  # with `over`: maximum absolute value of the mean difference


class ChartSection(_Strict, kw_only=True):
    """A chart of some cases, as `[[chart]]` describes it."""

    kind: Literal["timeline", "lines"]
    file: str
    title: str
    cases: str
    variants: list[str] = []
    figures: list[str] = []  # lines: names of the figures to draw
    x: str = ""  # lines: name of the grid value on the x axis; empty: one point for each case


class _ExperimentFile(_Strict, kw_only=True):
    title: str
    model: str  # one sentence about what is simulated, printed with the figures
    site: str
    seeds: Annotated[list[int], msgspec.Meta(min_length=1)]
    variant: Annotated[list[VariantSection], msgspec.Meta(min_length=1)]
    case: Annotated[list[CaseSection], msgspec.Meta(min_length=1)]
    claim: list[ClaimSection] = []
    chart: list[ChartSection] = []


@dataclass(frozen=True, slots=True)
class Run:
    """The input of one simulation; it can be pickled for a worker process."""

    case: str  # name of the case with its grid values
    base_case: str  # name of the case alone
    grid_values: tuple[tuple[str, float], ...]
    variant: str
    seed: int
    site: Site
    load: list[LoadPart]
    faults: list[Fault]
    levels: LevelTable | None
    has_bare_thresholds: bool
    tunables: tuple[tuple[str, float], ...]  # values of admission constants, by their names in TUNABLES
    length_s: float


@dataclass(frozen=True, slots=True)
class Experiment:
    """An experiment after all checks: its runs, claims and charts."""

    name: str
    title: str
    model: str
    runs: list[Run]
    claims: list[ClaimSection]
    charts: list[ChartSection]


def read_experiment(path: str | Path, seeds: list[int] | None = None, quick: bool = False) -> Experiment:
    """Reads and checks an experiment file. Raises InvalidInputError, which names the file and the key."""
    path = Path(path)
    source = path.name
    decoded: _ExperimentFile = convert(load_toml(path, InvalidInputError), _ExperimentFile, source)
    for variant in decoded.variant:
        for constant in variant.module:
            if constant not in TUNABLES:
                raise InvalidInputError(
                    f"{source}: variant {variant.name}: there is no tunable constant {constant!r}"
                )
    site_values = load_toml(path.parent / decoded.site, InvalidInputError)
    site_source = Path(decoded.site).name
    site_of(site_values, site_source)
    variants = {variant.name: variant for variant in decoded.variant}
    chosen_seeds = seeds or (decoded.seeds[:QUICK_SEED_COUNT] if quick else decoded.seeds)
    runs: list[Run] = []
    for case_number, case in enumerate(decoded.case, 1):
        location = f"{source}: case[{case_number}]"
        for name in case.variants:
            if name not in variants:
                raise InvalidInputError(f"{location}.variants: there is no variant {name!r}")
        if quick and not case.in_quick:
            continue
        length_s = min(case.length_s, MAX_QUICK_LENGTH_S) if quick else case.length_s
        for values in _grid_points(case.grid):
            runs += _build_runs(
                case,
                values,
                location,
                site_values,
                site_source,
                path.parent,
                [variants[name] for name in case.variants or variants],
                chosen_seeds,
                length_s,
            )
    _check_claims(decoded, runs, source, quick)
    return Experiment(path.stem, decoded.title, decoded.model, runs, decoded.claim, decoded.chart)


def _build_runs(
    case: CaseSection,
    values: dict[str, float],
    location: str,
    site_values: dict[str, Any],
    site_source: str,
    folder: Path,
    variants: list[VariantSection],
    seeds: list[int],
    length_s: float,
) -> Iterator[Run]:
    grid_text = ",".join(f"{name}={value:g}" for name, value in values.items())
    name = f"{case.name}[{grid_text}]" if grid_text else case.name
    load = convert(_substitute(case.load, values, f"{location}.load"), list[LoadPart], f"{location}.load")
    faults = convert(
        _substitute(case.trouble, values, f"{location}.trouble"), list[Fault], f"{location}.trouble"
    )
    if not load:
        raise InvalidInputError(f"{location}.load: must not be empty")
    for variant in variants:
        changed = merge_tables(
            merge_tables(site_values, _substitute(case.site, values, f"{location}.site")), variant.site
        )
        site = site_of(changed, f"{site_source} as changed by {location} and variant {variant.name}")
        for fault_number, fault in enumerate(faults, 1):
            if any(not 0 <= number < site.server.count for number in fault.servers):
                raise InvalidInputError(
                    f"{location}.trouble[{fault_number}].servers: "
                    f"there are {site.server.count} servers, numbered from 0"
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


def _substitute(decoded: Any, values: dict[str, float], location: str) -> Any:
    """A copy of `decoded` in which each string "$name" is replaced by the grid value of that name."""
    if isinstance(decoded, dict):
        return {key: _substitute(value, values, f"{location}.{key}") for key, value in decoded.items()}
    if isinstance(decoded, list):
        return [_substitute(value, values, location) for value in decoded]
    if isinstance(decoded, str) and decoded.startswith("$"):
        if decoded[1:] not in values:
            raise InvalidInputError(f"{location}: the grid has no value {decoded[1:]!r}")
        return values[decoded[1:]]
    return decoded


def _check_claims(decoded: _ExperimentFile, runs: list[Run], source: str, quick: bool) -> None:
    names = {variant.name for variant in decoded.variant}
    for claim_number, claim in enumerate(decoded.claim, 1):
        location = f"{source}: claim[{claim_number}]"
        for key, name in (("variant", claim.variant), ("over", claim.over)):
            if name and name not in names:
                raise InvalidInputError(f"{location}.{key}: there is no variant {name!r}")
        bounds = [claim.at_least, claim.at_most, claim.above, claim.within]
        if all(bound is None for bound in bounds):
            raise InvalidInputError(f"{location}: no bound is given (at_least, at_most, above or within)")
        if not claim.over and (claim.above is not None or claim.within is not None):
            raise InvalidInputError(f"{location}.over: above and within need a variant to compare with")
        if not quick and not any(
            matches_case(claim.cases, run) and run.variant == claim.variant for run in runs
        ):
            raise InvalidInputError(
                f"{location}.cases: {claim.cases!r} matches no case of variant {claim.variant}"
            )


def matches_case(pattern: str, run: Run) -> bool:
    """Whether a pattern matches the case of a run. `|` separates alternatives; a trailing `*` matches any
    suffix of the case's name with its grid values."""
    for alternative in pattern.split("|"):
        if alternative == "*" or alternative in (run.case, run.base_case):
            return True
        if alternative.endswith("*") and run.case.startswith(alternative[:-1]):
            return True
    return False
