"""Checks the claims of an experiment on its runs: no breaches, and costs that do not grow with the fleet.
Measured CPU time is not checked."""

from collections import defaultdict

from otterrudder.lab.scale.play import Run

# Maximum growth of the store requests per change between fleet sizes. It allows for the random churn, which
# differs between sizes.
MAX_STORE_GROWTH = 0.25
# Maximum growth of the messages per second and server without load between fleet sizes.
MAX_MESSAGE_GROWTH = 0.10


def broken(runs: list[Run]) -> list[str]:
    """Returns a line for each claim that does not hold."""
    problems = [
        f"{run.setting.label}: {run.figures['breaches']:.0f} breaches: {'; '.join(run.notes)}"
        for run in runs
        if run.figures["breaches"]
    ]
    for group in _group_runs(runs):
        problems += _growth_problems(group, "reads_a_change", MAX_STORE_GROWTH)
        problems += _growth_problems(group, "writes_a_change", MAX_STORE_GROWTH)
        problems += _growth_problems(group, "server_messages_calm_per_s", MAX_MESSAGE_GROWTH)
    return problems


def _group_runs(runs: list[Run]) -> list[dict[int, list[Run]]]:
    """Groups the runs that differ only in number of servers and seed; each group maps servers to runs."""
    groups: dict[tuple[object, ...], dict[int, list[Run]]] = defaultdict(lambda: defaultdict(list))
    for run in runs:
        setting = run.setting
        groups[setting.case.name, setting.absent, setting.regions][setting.servers].append(run)
    return [group for group in groups.values() if len(group) > 1]


def _growth_problems(group: dict[int, list[Run]], name: str, share: float) -> list[str]:
    means = {size: sum(run.figures[name] for run in runs) / len(runs) for size, runs in group.items()}
    low, high = min(means.values()), max(means.values())
    if high <= low * (1.0 + share):
        return []
    by_size = ", ".join(f"{mean:.2f} at {size}" for size, mean in sorted(means.items()))
    return [f"{name} grows with the number of servers: {by_size}"]
