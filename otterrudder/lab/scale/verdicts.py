"""Verdicts on the runs of one experiment: counts and laws, never a machine's times."""

from collections import defaultdict

from otterrudder.lab.scale.play import Run

MAX_STORE_GROWTH = (
    0.25  # share by which requests a change may differ between sizes: churn is drawn anew by size
)
MAX_MESSAGE_GROWTH = (
    0.10  # share by which messages a server and second, without load, may differ between sizes
)


def broken(runs: list[Run]) -> list[str]:
    """What does not hold, in a line each."""
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
    """Runs that differ in nothing but servers and seed, by servers."""
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
    return [f"{name} grows with the servers: {by_size}"]
