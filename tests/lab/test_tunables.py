"""The constants that an experiment may set, by the names that its TOML uses."""

import pytest

from otterrudder.admission import admission_queues
from otterrudder.files import load_toml
from otterrudder.lab.site import InvalidInputError
from otterrudder.lab.tunables import TUNABLES, tuned

from helpers import ROOT  # isort: skip


@pytest.mark.parametrize("name", TUNABLES)
def test_each_name_stands_for_a_constant(name: str) -> None:
    assert isinstance(TUNABLES[name].value, float)


def test_the_experiments_use_known_names() -> None:
    variants = load_toml(ROOT / "experiments/kit.toml", InvalidInputError)["variant"]
    used = {name for variant in variants for name in variant.get("module", {})}
    assert used and used <= TUNABLES.keys()


def test_constants_have_their_former_values_afterwards() -> None:
    before = admission_queues.QUEUE_WAIT_SHARE
    with pytest.raises(RuntimeError), tuned([("HOLD_WAIT", 3.0)]):
        assert admission_queues.QUEUE_WAIT_SHARE == 3.0
        raise RuntimeError
    assert before == admission_queues.QUEUE_WAIT_SHARE
