"""The search of cells on all cores, and its tables: what `lab cell-search` prints."""

from collections.abc import Callable, Sequence
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import dataclass

from otterrudder.lab.fleet.cell_search import find_fault, search, walk
from otterrudder.lab.fleet.cell_seeded_faults import SEEDED_FAULTS
from otterrudder.lab.fleet.cell_stages import CellStage
from otterrudder.lab.fleet.cell_variants import all_variants
from otterrudder.lab.fleet.explore import SearchResult

WALKS_A_TASK = 50
MAX_FAULTS = 2  # in a search by breadth

Echo = Callable[[str], None]
Tasks = list[Future[SearchResult]]


def _walk(name: str, seed: str, walks: int) -> SearchResult:
    return walk(dict(all_variants())[name], seed, walks)


def _search(name: str, stage: str, depth: int) -> SearchResult:
    return search(dict(all_variants())[name], depth, MAX_FAULTS, CellStage[stage])


def _find_fault(name: str) -> SearchResult:
    return find_fault(SEEDED_FAULTS[name])


def variant_names() -> list[str]:
    """The variants that can be searched."""
    return [name for name, _ in all_variants()]


@dataclass(frozen=True, slots=True)
class CellSearchPlan:
    """`walks`: by variant; `depth`: of the search by breadth from each stage; `variants`: these alone, or
    all."""

    walks: int
    seed: int
    depth: int
    variants: Sequence[str] = ()


def run_cell_search(plan: CellSearchPlan, workers: int | None, echo: Echo) -> bool:
    """Whether no promise was violated and each seeded fault was found."""
    names = plan.variants or variant_names()
    with ProcessPoolExecutor(workers) as pool:
        walked = {name: _begin_walks(pool, name, plan.seed, plan.walks) for name in names}
        searched = {
            (name, stage.name): pool.submit(_search, name, stage.name, plan.depth)
            for name in (names if plan.depth else ())
            for stage in CellStage
        }
        fault_searches = {name: pool.submit(_find_fault, name) for name in SEEDED_FAULTS}
        is_sound = _print_variants(walked, searched, echo)
        return _print_faults(fault_searches, echo) and is_sound


def _begin_walks(pool: ProcessPoolExecutor, name: str, seed: int, walks: int) -> Tasks:
    sizes = [min(WALKS_A_TASK, walks - done) for done in range(0, walks, WALKS_A_TASK)]
    return [pool.submit(_walk, name, f"{seed}/{number}", size) for number, size in enumerate(sizes)]


def _print_variants(
    walked: dict[str, Tasks], searched: dict[tuple[str, str], Future[SearchResult]], echo: Echo
) -> bool:
    """Whether no promise was violated."""
    is_sound = True
    echo("| variant | states | violation |")
    echo("| --- | ---: | --- |")
    for name, tasks in walked.items():
        found = [task.result() for task in tasks]
        violating = next((one for one in found if one.violation), None)
        is_sound = is_sound and not violating
        echo(f"| {name}, drawn | {sum(one.states for one in found)} | {_violation_cell(violating)} |")
    for (name, stage), task in searched.items():
        one = task.result()
        is_sound = is_sound and not one.violation
        echo(f"| {name}, from {stage.lower()} to depth {one.depth} | {one.states} | {_violation_cell(one)} |")
    return is_sound


def _violation_cell(found: SearchResult | None) -> str:
    return f"{found.violation}: {found.trail}" if found and found.violation else "none"


def _print_faults(fault_searches: dict[str, Future[SearchResult]], echo: Echo) -> bool:
    """Whether each was found."""
    are_found = True
    echo("")
    echo("| seeded fault | found after states | as |")
    echo("| --- | ---: | --- |")
    for name, task in fault_searches.items():
        one = task.result()
        are_found = are_found and bool(one.violation)
        echo(f"| {name} | {one.states} | {one.violation or 'NOT FOUND'} |")
    return are_found
