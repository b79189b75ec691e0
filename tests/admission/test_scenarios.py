"""Plays the scenario files of `scenarios/` on the admission controller."""

from pathlib import Path

import pytest
from scenario_player import play

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    play(path)
