"""The admission controller in scenarios, each a file of `scenarios/`."""

from pathlib import Path

import pytest
from scenario_player import play

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    play(path)
