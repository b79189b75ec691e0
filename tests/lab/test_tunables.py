"""The constants that an experiment file may set by name."""

import pytest

from otterrudder.admission import admission_queues
from otterrudder.files import load_toml
from otterrudder.lab.site import InvalidInputError
from otterrudder.lab.tunables import TUNABLES, tuned

from helpers import ROOT  # isort: skip


@pytest.mark.parametrize("name", TUNABLES)
def test_each_tunable_is_a_float_constant(name: str) -> None:
    assert isinstance(TUNABLES[name].value, float)


def test_experiment_files_use_known_tunables() -> None:
    variants = load_toml(ROOT / "experiments/kit.toml", InvalidInputError)["variant"]
    used = {name for variant in variants for name in variant.get("module", {})}
    assert used and used <= TUNABLES.keys()


def test_constants_are_restored_after_an_exception() -> None:
    before = admission_queues.QUEUE_WAIT_SHARE
    with pytest.raises(RuntimeError), tuned([("HOLD_WAIT", 3.0)]):
        assert admission_queues.QUEUE_WAIT_SHARE == 3.0
        raise RuntimeError
    assert before == admission_queues.QUEUE_WAIT_SHARE
