"""Searches and plans of the fleet on all cores, and their tables: what `lab fleet-search` and
`lab fleet-hours` print."""

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

from otterrudder.lab.fleet.explore import SearchResult
from otterrudder.lab.fleet.model_stages import Stage
from otterrudder.lab.fleet.search import find_fault, search, walk
from otterrudder.lab.fleet.seeded_faults import SEEDED_FAULTS, VARIANTS
from otterrudder.lab.fleet.simulation import Result, play

WALK_LENGTH = 60  # events of a drawn walk
MAX_FAULTS = 6  # faults in it
WALKS_PER_TASK = 50  # walks that are handed out at a time
DEPTH_FAULTS = 2  # faults in a search by breadth
QUIESCENT_SIZES = (10, 50, 200, 1000)  # servers, for what a change costs without faults
FAULTS_A_PLAN = 8


def _walk(name: str, members: int, seed: int, walks: int) -> SearchResult:
    return walk(replace(VARIANTS[name], members=members), seed, walks, WALK_LENGTH, MAX_FAULTS)


def _search(name: str, members: int, stage: str, depth: int) -> SearchResult:
    return search(replace(VARIANTS[name], members=members), depth, DEPTH_FAULTS, stage=Stage[stage])


def _find_fault(name: str) -> SearchResult:
    return find_fault(SEEDED_FAULTS[name])


def run_model_search(
    walks: int, seed: int, depth: int, workers: int | None, write: Callable[[str], None]
) -> bool:
    """Whether no promise broke and each fault was found. `walks`: by variant and number of members; `depth`:
    of the search by breadth with two members, one less with three, two less with four."""
    good = True
    with ProcessPoolExecutor(workers) as pool:
        drawn = {
            (name, members): [
                pool.submit(_walk, name, members, seed * 1000 + n, min(WALKS_PER_TASK, walks))
                for n in range(max(walks // WALKS_PER_TASK, 1))
            ]
            for name in VARIANTS
            for members in (2, 3, 4)
        }
        deep = {
            (name, members, stage.name): pool.submit(_search, name, members, stage.name, deep)
            for members in (2, 3, 4)
            if (deep := depth + 2 - members) > 0
            for name in VARIANTS
            for stage in Stage
        }
        fault_searches = {name: pool.submit(_find_fault, name) for name in SEEDED_FAULTS}
        write("| variant | members | states by random walks | broken |")
        write("| --- | ---: | ---: | --- |")
        for (name, members), parts in drawn.items():
            found = [part.result() for part in parts]
            violating = next((one for one in found if one.violation), None)
            good = good and not violating
            write(
                f"| {name} | {members} | {sum(one.states for one in found)} | "
                f"{f'{violating.violation}: {violating.trail}' if violating else 'none'} |"
            )
        for (name, members, stage_name), part in deep.items():
            one = part.result()
            good = good and not one.violation
            write(
                f"| {name}, from {stage_name.lower()} | {members} | {one.states}, each to depth {one.depth} "
                f"| {f'{one.violation}: {one.trail}' if one.violation else 'none'} |"
            )
        write("")
        write("| fault put in | found after states | as |")
        write("| --- | ---: | --- |")
        for name, part in fault_searches.items():
            one = part.result()
            good = good and bool(one.violation)
            write(f"| {name} | {one.states} | {one.violation or 'NOT FOUND'} |")
    return good


def run_simulations(servers: int, plans: int, workers: int | None, write: Callable[[str], None]) -> bool:
    """Whether nobody was past the bound in any plan, and all agreed after it."""
    good = True
    write(
        "| rule | plans | committed | past the bound | not agreed | worst age of the old, ms | "
        "last switch, ms: median, 95%, most | suspended |"
    )
    write("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
    with ProcessPoolExecutor(workers) as pool:
        for absent in ("wait", "leave-out"):
            parts = [pool.submit(play, servers, seed, FAULTS_A_PLAN, absent) for seed in range(plans)]
            results = [part.result() for part in parts]
            breaches, apart = sum(r.breaches for r in results), sum(not r.agreed for r in results)
            good = good and not breaches and not apart
            write(
                f"| {absent} | {plans} | {sum(r.committed for r in results)} | {breaches} | {apart} | "
                f"{max(r.worst_old_ms for r in results):.0f} | {_spread(results)} | "
                f"{sum(r.suspended_share for r in results) / plans:.2%} |"
            )
        write("")
        write(
            "| servers, no fault | last switch, ms | reads a change | writes | watch events | "
            "reads a second, quiescent |"
        )
        write("| ---: | ---: | ---: | ---: | ---: | ---: |")
        quiescent = {size: pool.submit(play, size, 1, 0) for size in QUIESCENT_SIZES}
        for size, part in quiescent.items():
            one = part.result()
            write(
                f"| {size} | {one.last_switch_ms:.0f} | {one.reads} | {one.writes} | {one.watch_events} | "
                f"{one.quiescent_reads_per_s:.0f} |"
            )
    return good


def _spread(results: list[Result]) -> str:
    switched = sorted(r.last_switch_ms for r in results if r.committed) or [0.0]
    some = (switched[len(switched) // 2], switched[int(len(switched) * 0.95)], switched[-1])
    return ", ".join(f"{ms:.0f}" for ms in some)
