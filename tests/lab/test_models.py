"""The lab's models against known results, errors in experiment files, and the `lab` commands."""

import json
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import numpy as np
import pytest
from helpers import ROOT
from hypothesis import given, settings
from hypothesis import strategies as st

from otterrudder.admission.interface import Outcome
from otterrudder.lab.claims import evaluate, interval
from otterrudder.lab.cores import Cores
from otterrudder.lab.downstream import Downstream
from otterrudder.lab.engine import Engine
from otterrudder.lab.plan import ClaimSection, read_experiment
from otterrudder.lab.shapes import LoadPart, demand
from otterrudder.lab.site import InvalidInputError
from otterrudder.lab.streams import RandomStreams


def create_cores(count: int = 2, speed: float = 1.0, crowd_at: float = 99.0) -> tuple[Engine, Cores]:
    engine = Engine()
    return engine, Cores(engine, count, speed, crowd_at, 0.5)


def record_end(engine: Engine, ends: dict[int, float], n: int) -> Callable[[], None]:
    return lambda: ends.__setitem__(n, engine.now)


def test_jobs_share_the_cores_evenly_and_a_job_uses_at_most_one() -> None:
    engine, cpu = create_cores(2)
    ends: dict[int, float] = {}
    for n, work in enumerate((100.0, 100.0, 100.0)):
        cpu.run(work, record_end(engine, ends, n))
    engine.run(10_000.0)
    assert all(end == pytest.approx(150.0) for end in ends.values())  # 3 jobs on 2 cores
    cpu.run(100.0, record_end(engine, ends, 9))
    engine.run(20_000.0)
    assert ends[9] == pytest.approx(10_100.0)  # a single job uses only one of the two cores


def test_faults_cold_start_and_contention_slow_jobs_down() -> None:
    engine, cpu = create_cores(1)
    ends: dict[int, float] = {}
    cpu.run(100.0, record_end(engine, ends, 0))
    engine.at(50.0, cpu.set_factor, 0.0)
    engine.at(250.0, cpu.set_factor, 0.5)
    engine.run(1000.0)
    assert ends[0] == pytest.approx(350.0)
    engine, cpu = create_cores(1, crowd_at=1.0)
    for n in range(2):
        cpu.run(100.0, record_end(engine, ends, n))
    engine.run(1000.0)
    # One excess job per core divides the speed by 1.5, so that 200 ms of work take 300 ms.
    assert ends[1] == pytest.approx(300.0)
    engine, cpu = create_cores(1)
    cpu.start(0.5, 1000.0)
    cpu.run(10.0, record_end(engine, ends, 0))
    engine.run(1000.0)
    assert ends[0] == pytest.approx(20.0)


def test_each_core_reads_one_request_and_a_dead_process_completes_no_job() -> None:
    engine, cpu = create_cores(2)
    ends: dict[int, float] = {}
    for n in range(4):
        cpu.read(10.0, record_end(engine, ends, n))
    engine.run(15.0)
    assert sorted(ends) == [0, 1] and cpu.jobs == 2 and not cpu.unread
    cpu.clear()
    engine.run(1000.0)
    assert sorted(ends) == [0, 1] and cpu.jobs == 0


@settings(max_examples=40, deadline=None)
@given(st.lists(st.tuples(st.floats(0, 200), st.floats(0.1, 80)), min_size=1, max_size=40), st.integers(1, 4))
def test_all_work_is_done_exactly_once(jobs: list[tuple[float, float]], count: int) -> None:
    engine, cpu = create_cores(count)
    ends: dict[int, float] = {}
    for n, (at, work) in enumerate(jobs):
        engine.at(at, cpu.run, work, record_end(engine, ends, n))
    engine.run(100_000.0)
    assert len(ends) == len(jobs) and cpu.jobs == 0
    assert cpu.done_ms == pytest.approx(sum(work for _, work in jobs), rel=1e-6, abs=1e-3)
    assert all(ends[n] >= at + work - 1e-3 for n, (at, work) in enumerate(jobs))


def test_the_downstream_service_rejects_calls_beyond_its_slots_and_queue() -> None:
    engine = Engine()
    service = Downstream(engine, 2, 3, 50.0, 0.5, RandomStreams(1).generator("x"))
    outcomes: list[Outcome] = []
    for _ in range(7):
        service.call(outcomes.append)
    assert service.busy == 2
    engine.run(5000.0)
    assert outcomes.count(Outcome.FULL) == 2 and outcomes.count(Outcome.OK) == 5 and service.busy == 0


def test_shapes_are_summed_and_a_random_walk_depends_on_its_seed() -> None:
    parts = [
        LoadPart(shape="constant", at=0.5),
        LoadPart(shape="ramp", at=1.0, from_s=10, to_s=20),
        LoadPart(shape="step", at=1.0, from_s=20, to_s=30),
        LoadPart(shape="replay", points=[(0, 0), (40, 4)]),
    ]
    shape = demand(parts, RandomStreams(1), 40.0)
    assert [round(shape(s), 3) for s in (0, 15, 25, 35)] == [0.5, 2.5, 4.0, 4.0]
    walk = [LoadPart(shape="walk", amplitude=0.1, period_s=5), LoadPart(shape="constant", at=1.0)]
    same_seed, same_seed_again, other_seed = (demand(walk, RandomStreams(seed), 600.0) for seed in (1, 1, 2))
    values = [same_seed(s) for s in range(600)]
    assert values == [same_seed_again(s) for s in range(600)] != [other_seed(s) for s in range(600)]
    assert np.std(values) == pytest.approx(0.1, rel=0.4)
    square = [LoadPart(shape="square", amplitude=0.2, period_s=10), LoadPart(shape="constant", at=1)]
    swing = demand(square, RandomStreams(1), 9)
    assert (swing(2), swing(7)) == (pytest.approx(1.2), pytest.approx(0.8))


def test_random_number_sources_are_independent() -> None:
    streams = RandomStreams(5)
    before = streams.generator("a").random(3).tolist()
    streams.generator("b").random(1000)
    assert streams.generator("a").random(3).tolist() == before != streams.generator("b").random(3).tolist()


def test_claims_are_evaluated_on_means_and_intervals() -> None:
    mean, half_width = interval([1.0, 2.0, 3.0])
    assert (mean, half_width) == (pytest.approx(2.0), pytest.approx(4.303 / 3**0.5, rel=1e-3))
    runs = read_experiment(ROOT / "experiments/demo.toml", [1, 2, 3]).runs
    gains = {1: 0.1, 2: 0.2, 3: 0.15}
    figures = [(run, {"value": 0.5 + gains[run.seed] * (run.variant == "levels")}) for run in runs]

    def holds(**how: object) -> bool:
        claim = dict(text="t", cases="evening", figure="value", variant="levels") | how
        return evaluate(ClaimSection(**claim), figures).holds

    assert holds(over="none", above=0.0) and not holds(over="none", above=0.1)
    assert holds(over="none", within=0.16) and not holds(over="none", within=0.14)
    assert holds(at_least=0.64) and not holds(at_least=0.66) and not holds(by="run", at_least=0.61)
    assert not holds(cases="other", at_least=0.0) and not holds(figure="none", at_least=0.0)


GOOD = (ROOT / "experiments/demo.toml").read_text()


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("seeds = [7]", "seeds = []", "seeds"),
        ("seeds = [7]", 'seeds = "x"', "seeds"),
        ("seeds = [7]", "seed = [7]", "seed"),
        ('name = "levels"', 'nme = "levels"', "variant"),
        ("sites/intake", "sites/none", "cannot read"),
        (
            'name = "none"',
            'name = "none"\nmodule = { HOLDWAIT = 1 }',
            "variant none: there is no tunable constant 'HOLDWAIT'",
        ),
        ('"../deploy/levels.toml"', '"../deploy/balancer.toml"', "variant levels: balancer.toml"),
        ('shape = "ramp"', 'shape = "slope"', "case[1].load"),
        ("at = 0.7", 'at = "$low"', "the grid has no value 'low'"),
        ("length_s = 240", "length_s = -1", "case"),
        ("length_s = 240", 'length_s = 240\nvariants = ["no"]', "case[1].variants: there is no variant 'no'"),
        (
            "length_s = 240",
            'length_s = 9\ntrouble = [{ kind = "dead", at_s = 1, servers = [9] }]',
            "trouble[1]",
        ),
        ("length_s = 240", "length_s = 240\nsite = { server = { coers = 2 } }", "server"),
        (
            "[[chart]]",
            '[[claim]]\ntext = "t"\ncases = "no*"\nfigure = "value"\nvariant = "none"\nat_most = 1\n\n'
            "[[chart]]",
            "claim[1].cases: 'no*' matches no case of variant none",
        ),
        (
            "[[chart]]",
            '[[claim]]\ntext = "t"\ncases = "*"\nfigure = "value"\nvariant = "none"\n\n[[chart]]',
            "claim[1]: no bound is given (at_least, at_most, above or within)",
        ),
    ],
)
def test_an_error_in_an_experiment_file_names_the_key(
    tmp_path: Path, old: str, new: str, message: str
) -> None:
    assert old in GOOD
    text = GOOD.replace(old, new, 1)
    for here in ("../deploy", "sites"):
        text = text.replace(f'"{here}', f'"{(ROOT / "experiments" / here).resolve()}')
    file = tmp_path / "bad.toml"
    file.write_text(text)
    with pytest.raises(InvalidInputError) as raised:
        read_experiment(file)
    assert message in str(raised.value) and "\n" not in str(raised.value)


def run_lab(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "otterrudder", "lab", *words],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=120,
    )


def test_the_commands_write_results_and_exit_by_the_verdicts(tmp_path: Path) -> None:
    text = GOOD.replace("length_s = 240", "length_s = 30").replace("at = 0.7", "at = 1.5")
    for here in ("../deploy", "sites"):
        text = text.replace(f'"{here}', f'"{(ROOT / "experiments" / here).resolve()}')
    claim = (
        '[[claim]]\ntext = "it is served"\ncases = "*"\nfigure = "value"\nvariant = "none"\n'
        "at_least = {least}\n\n[[chart]]"
    )
    file = tmp_path / "one.toml"
    for least, code in ((0.01, 0), (0.99, 1)):
        file.write_text(text.replace("[[chart]]", claim.format(least=least), 1))
        done = run_lab("run", str(file), "--out", str(tmp_path / "out"), "--seeds", "1,2", "--workers", "2")
        assert done.returncode == code, done.stderr
        assert ("holds" if code == 0 else "FAILS") + "  it is served" in done.stdout
    results = json.loads((tmp_path / "out/results.json").read_text())
    assert results["holds"] is False and results["simulated"] is True and len(results["runs"]) == 4
    assert (tmp_path / "out/evening.svg").read_text().lstrip().startswith("<?xml")
    assert (tmp_path / "out/figures.csv").read_text().count("\n") == 5
    assert "FAILS  it is served" in run_lab("show", str(tmp_path / "out")).stdout
    assert "one.toml" in run_lab("list", str(tmp_path)).stdout
    assert (
        "on processes" in run_lab("list").stdout
    )  # the default folder includes experiments of `lab processes`
    file.write_text("title = 3")
    done = run_lab("run", str(file))
    assert done.returncode == 2 and done.stderr.startswith("otterrudder: one.toml: ")
    assert run_lab("run", str(file), "--seeds", "x").returncode == 2
    assert run_lab("show", str(file)).returncode == 2


def test_serve_does_not_import_the_lab() -> None:
    code = (
        "import sys, otterrudder.cli.serve, otterrudder.net.serve, otterrudder.levels; "
        "print([m for m in sys.modules if m.split('.')[0] in ('numpy', 'matplotlib') or '.lab' in m])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, text=True, capture_output=True, timeout=60)
    assert done.stdout.strip() == "[]", done.stderr
