"""Runs the simulated part of `lab scale`."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from otterrudder.lab.scale.experiment import read_scale
from otterrudder.lab.scale.play import play, settings_of
from otterrudder.lab.scale.report import as_json, table, write
from otterrudder.lab.scale.verdicts import broken
from otterrudder.lab.site import InvalidInputError


@dataclass(frozen=True, slots=True)
class Choice:
    """Options of the command line. None means the value of the experiment file."""

    is_quick: bool
    seed: int | None
    servers: int | None
    names: tuple[str, ...]
    minutes: float | None
    is_json: bool
    folder: Path


def perform(file: Path, choice: Choice, echo: Callable[[str], None]) -> list[str]:
    """Runs the selected settings, and prints and writes their results.

    Returns a description of each claim that does not hold. Raises InvalidInputError if the experiment file is
    invalid or no case is selected."""
    experiment = read_scale(file)
    settings = settings_of(
        experiment,
        is_quick=choice.is_quick,
        seed=choice.seed,
        servers=choice.servers,
        names=choice.names,
        minutes=choice.minutes,
    )
    if not settings:
        raise InvalidInputError(
            f"{file.name}: .case: no case to run matches the selection: {', '.join(choice.names) or 'none'}"
        )
    runs = []
    for setting in settings:
        runs.append(play(experiment, setting))
        if not choice.is_json:
            echo(f"{len(runs)}/{len(settings)} {setting.label} (simulated)")
    written = write(experiment, runs, choice.folder)
    for line in [as_json(experiment, runs)] if choice.is_json else table(runs):
        echo(line)
    if not choice.is_json:
        echo(f"wrote {', '.join(map(str, written))}")
    return broken(runs)
