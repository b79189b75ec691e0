"""Runs the search of cells on all cores and prints its tables, for `lab cell-search`."""

from collections.abc import Callable, Sequence
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import dataclass

from otterrudder.lab.fleet.cell_search import find_fault, search, walk
from otterrudder.lab.fleet.cell_seeded_faults import SEEDED_FAULTS
from otterrudder.lab.fleet.cell_stages import CellStage
from otterrudder.lab.fleet.cell_variants import all_variants
from otterrudder.lab.fleet.explore import SearchResult

WALKS_PER_TASK = 50  # random walks per task of the process pool
MAX_FAULTS = 2  # maximum number of faults in a breadth-first search

Echo = Callable[[str], None]
Tasks = list[Future[SearchResult]]


def _walk(name: str, seed: str, walks: int) -> SearchResult:
    return walk(dict(all_variants())[name], seed, walks)


def _search(name: str, stage: str, depth: int) -> SearchResult:
    return search(dict(all_variants())[name], depth, MAX_FAULTS, CellStage[stage])


def _find_fault(name: str) -> SearchResult:
    return find_fault(SEEDED_FAULTS[name])


def variant_names() -> list[str]:
    """Returns the names of the variants that can be searched."""
    return [name for name, _ in all_variants()]


@dataclass(frozen=True, slots=True)
class CellSearchPlan:
    """The extent of a search.

    `walks` is the number of random walks per variant, `depth` the depth of the breadth-first search from each
    stage, and `variants` the names of the variants to search; empty for all."""

    walks: int
    seed: int
    depth: int
    variants: Sequence[str] = ()


def run_cell_search(plan: CellSearchPlan, workers: int | None, echo: Echo) -> bool:
    """Runs the search; returns whether no guarantee was violated and each seeded fault was found."""
    names = plan.variants or variant_names()
    with ProcessPoolExecutor(workers) as pool:
        walked = {name: _submit_walks(pool, name, plan.seed, plan.walks) for name in names}
        searched = {
            (name, stage.name): pool.submit(_search, name, stage.name, plan.depth)
            for name in (names if plan.depth else ())
            for stage in CellStage
        }
        fault_searches = {name: pool.submit(_find_fault, name) for name in SEEDED_FAULTS}
        is_sound = _print_variants(walked, searched, echo)
        return _print_faults(fault_searches, echo) and is_sound


def _submit_walks(pool: ProcessPoolExecutor, name: str, seed: int, walks: int) -> Tasks:
    sizes = [min(WALKS_PER_TASK, walks - done) for done in range(0, walks, WALKS_PER_TASK)]
    return [pool.submit(_walk, name, f"{seed}/{number}", size) for number, size in enumerate(sizes)]


def _print_variants(
    walked: dict[str, Tasks], searched: dict[tuple[str, str], Future[SearchResult]], echo: Echo
) -> bool:
    """Prints the table of the variants; returns whether no guarantee was violated."""
    is_sound = True
    echo("| variant | states | violation |")
    echo("| --- | ---: | --- |")
    for name, tasks in walked.items():
        results = [task.result() for task in tasks]
        violating = next((result for result in results if result.violation), None)
        is_sound = is_sound and not violating
        states = sum(result.states for result in results)
        echo(f"| {name}, random walks | {states} | {_violation_cell(violating)} |")
    for (name, stage), task in searched.items():
        result = task.result()
        is_sound = is_sound and not result.violation
        variant = f"{name}, from {stage.lower()} to depth {result.depth}"
        echo(f"| {variant} | {result.states} | {_violation_cell(result)} |")
    return is_sound


def _violation_cell(result: SearchResult | None) -> str:
    return f"{result.violation}: {result.trail}" if result and result.violation else "none"


def _print_faults(fault_searches: dict[str, Future[SearchResult]], echo: Echo) -> bool:
    """Prints the table of the seeded faults; returns whether each was found."""
    are_found = True
    echo("")
    echo("| seeded fault | found after states | as |")
    echo("| --- | ---: | --- |")
    for name, task in fault_searches.items():
        result = task.result()
        are_found = are_found and bool(result.violation)
        echo(f"| {name} | {result.states} | {result.violation or 'NOT FOUND'} |")
    return are_found
