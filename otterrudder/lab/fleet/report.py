"""Runs the searches and simulations of the fleet on all cores and prints their tables, for `lab fleet-search`
and `lab fleet-simulation`."""

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

from otterrudder.lab.fleet.explore import SearchResult
from otterrudder.lab.fleet.model_stages import Stage
from otterrudder.lab.fleet.search import find_fault, search, walk
from otterrudder.lab.fleet.seeded_faults import SEEDED_FAULTS, VARIANTS
from otterrudder.lab.fleet.simulation import Result, play

WALK_LENGTH = 60  # events of a random walk
MAX_FAULTS = 6  # maximum number of faults of a random walk
WALKS_PER_TASK = 50  # random walks per task of the process pool
SEARCH_MAX_FAULTS = 2  # maximum number of faults in a breadth-first search
QUIESCENT_SIZES = (10, 50, 200, 1000)  # numbers of servers for the cost of a change without faults
FAULTS_PER_PLAN = 8


def _walk(name: str, members: int, seed: int, walks: int) -> SearchResult:
    return walk(replace(VARIANTS[name], members=members), seed, walks, WALK_LENGTH, MAX_FAULTS)


def _search(name: str, members: int, stage: str, depth: int) -> SearchResult:
    return search(replace(VARIANTS[name], members=members), depth, SEARCH_MAX_FAULTS, stage=Stage[stage])


def _find_fault(name: str) -> SearchResult:
    return find_fault(SEEDED_FAULTS[name])


def run_model_search(
    walks: int, seed: int, depth: int, workers: int | None, write: Callable[[str], None]
) -> bool:
    """Runs the search; returns whether no guarantee was violated and each seeded fault was found.

    `walks` is the number of random walks per variant and number of members. `depth` is the depth of the
    breadth-first search with two members; it is one less with three members and two less with four."""
    is_sound = True
    with ProcessPoolExecutor(workers) as pool:
        walked = {
            (name, members): [
                pool.submit(_walk, name, members, seed * 1000 + n, min(WALKS_PER_TASK, walks))
                for n in range(max(walks // WALKS_PER_TASK, 1))
            ]
            for name in VARIANTS
            for members in (2, 3, 4)
        }
        searched = {
            (name, members, stage.name): pool.submit(_search, name, members, stage.name, search_depth)
            for members in (2, 3, 4)
            if (search_depth := depth + 2 - members) > 0
            for name in VARIANTS
            for stage in Stage
        }
        fault_searches = {name: pool.submit(_find_fault, name) for name in SEEDED_FAULTS}
        write("| variant | members | states by random walks | violation |")
        write("| --- | ---: | ---: | --- |")
        for (name, members), tasks in walked.items():
            results = [task.result() for task in tasks]
            violating = next((result for result in results if result.violation), None)
            is_sound = is_sound and not violating
            write(
                f"| {name} | {members} | {sum(result.states for result in results)} | "
                f"{f'{violating.violation}: {violating.trail}' if violating else 'none'} |"
            )
        for (name, members, stage_name), task in searched.items():
            result = task.result()
            is_sound = is_sound and not result.violation
            write(
                f"| {name}, from {stage_name.lower()} | {members} | "
                f"{result.states}, all to depth {result.depth} "
                f"| {f'{result.violation}: {result.trail}' if result.violation else 'none'} |"
            )
        write("")
        write("| seeded fault | found after states | as |")
        write("| --- | ---: | --- |")
        for name, task in fault_searches.items():
            result = task.result()
            is_sound = is_sound and bool(result.violation)
            write(f"| {name} | {result.states} | {result.violation or 'NOT FOUND'} |")
    return is_sound


def run_simulations(servers: int, plans: int, workers: int | None, write: Callable[[str], None]) -> bool:
    """Runs simulations; returns whether no server exceeded the bound and all agreed at the end."""
    is_sound = True
    write(
        "| rule | plans | committed | past the bound | not agreed | longest use of the old version, ms | "
        "last switch, ms: median, 95%, maximum | suspended |"
    )
    write("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
    with ProcessPoolExecutor(workers) as pool:
        for absent in ("wait", "leave-out"):
            tasks = [pool.submit(play, servers, seed, FAULTS_PER_PLAN, absent) for seed in range(plans)]
            results = [task.result() for task in tasks]
            breaches, disagreed = sum(r.breaches for r in results), sum(not r.agreed for r in results)
            is_sound = is_sound and not breaches and not disagreed
            write(
                f"| {absent} | {plans} | {sum(r.committed for r in results)} | {breaches} | {disagreed} | "
                f"{max(r.max_old_version_ms for r in results):.0f} | {_switch_quantiles(results)} | "
                f"{sum(r.suspended_share for r in results) / plans:.2%} |"
            )
        write("")
        write(
            "| servers, no fault | last switch, ms | reads per change | writes | watch events | "
            "reads per second, quiescent |"
        )
        write("| ---: | ---: | ---: | ---: | ---: | ---: |")
        quiescent = {size: pool.submit(play, size, 1, 0) for size in QUIESCENT_SIZES}
        for size, task in quiescent.items():
            result = task.result()
            write(
                f"| {size} | {result.last_switch_ms:.0f} | {result.reads} | {result.writes} | "
                f"{result.watch_events} | {result.quiescent_reads_per_s:.0f} |"
            )
    return is_sound


def _switch_quantiles(results: list[Result]) -> str:
    switched = sorted(r.last_switch_ms for r in results if r.committed) or [0.0]
    quantiles = (switched[len(switched) // 2], switched[int(len(switched) * 0.95)], switched[-1])
    return ", ".join(f"{ms:.0f}" for ms in quantiles)
