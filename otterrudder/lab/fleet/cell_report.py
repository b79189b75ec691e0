"""The search of cells on all cores, and its tables: what `lab cell-search` prints."""

from collections.abc import Callable, Sequence
from concurrent.futures import Future, ProcessPoolExecutor

from otterrudder.lab.fleet.cell_model import CellStage, all_variants
from otterrudder.lab.fleet.cell_search import hunt, search, walk
from otterrudder.lab.fleet.cell_seeded_faults import FAULTS
from otterrudder.lab.fleet.explore import Found

CHUNK = 50  # walks that are handed out at a time
DEPTH_HARM = 2  # harm in a search by breadth


def _walk(name: str, seed: str, walks: int) -> Found:
    return walk(dict(all_variants())[name], seed, walks)


def _search(name: str, stage: str, depth: int) -> Found:
    return search(dict(all_variants())[name], depth, DEPTH_HARM, CellStage[stage])


def _hunt(name: str) -> Found:
    return hunt(FAULTS[name])


def variant_names() -> list[str]:
    return [name for name, _ in all_variants()]


def cells_searched(
    walks: int,
    seed: int,
    depth: int,
    workers: int | None,
    say: Callable[[str], None],
    variants: Sequence[str] = (),
) -> bool:
    """Whether no promise broke and each fault was found. `walks`: by variant; `depth`: of the search by
    breadth from each stage; `variants`: these alone, or all."""
    names = variants or variant_names()
    with ProcessPoolExecutor(workers) as pool:
        drawn = {name: _drawn(pool, name, seed, walks) for name in names}
        deep = {
            (name, stage.name): pool.submit(_search, name, stage.name, depth)
            for name in (names if depth else ())
            for stage in CellStage
        }
        hunted = {name: pool.submit(_hunt, name) for name in FAULTS}
        is_sound = _say_worlds(drawn, deep, say)
        return _say_faults(hunted, say) and is_sound


def _drawn(pool: ProcessPoolExecutor, name: str, seed: int, walks: int) -> list[Future[Found]]:
    sizes = [min(CHUNK, walks - done) for done in range(0, walks, CHUNK)]
    return [pool.submit(_walk, name, f"{seed}/{n}", size) for n, size in enumerate(sizes)]


def _say_worlds(
    drawn: dict[str, list[Future[Found]]],
    deep: dict[tuple[str, str], Future[Found]],
    say: Callable[[str], None],
) -> bool:
    is_sound = True
    say("| variant | worlds | broken |")
    say("| --- | ---: | --- |")
    for name, parts in drawn.items():
        found = [part.result() for part in parts]
        broken = next((one for one in found if one.violation), None)
        is_sound = is_sound and not broken
        say(f"| {name}, drawn | {sum(one.states for one in found)} | {_told(broken)} |")
    for (name, stage), part in deep.items():
        one = part.result()
        is_sound = is_sound and not one.violation
        say(f"| {name}, from {stage.lower()} to depth {one.depth} | {one.states} | {_told(one)} |")
    return is_sound


def _told(found: Found | None) -> str:
    return f"{found.violation}: {found.trail}" if found and found.violation else "none"


def _say_faults(hunted: dict[str, Future[Found]], say: Callable[[str], None]) -> bool:
    are_found = True
    say("")
    say("| fault put in | found after worlds | as |")
    say("| --- | ---: | --- |")
    for name, part in hunted.items():
        one = part.result()
        are_found = are_found and bool(one.violation)
        say(f"| {name} | {one.states} | {one.violation or 'NOT FOUND'} |")
    return are_found
