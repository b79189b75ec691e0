"""Tests of the capacity benchmarks: laws are recovered from generated figures, and every row runs. Measured
times are not checked."""

import json
import math
import random
from typing import Any

import pytest
from click.testing import CliRunner

from benchmarks.capacity import size
from benchmarks.capacity.__main__ import main
from benchmarks.capacity.laws import TooFewSizesError, fit
from benchmarks.capacity.rows import ROWS
from benchmarks.capacity.slope import Limit, Series, Slope
from benchmarks.capacity.sockets import highest_rate_in_limit, max_cpu_us, replayed_p99_ms

pytestmark = pytest.mark.exclusive

SIZES = (10.0, 100.0, 1_000.0, 10_000.0, 100_000.0)
COUNTS = {  # expected figures at the users' size
    "policy/text": size.TENANTS * len("[tenants.tenant-100000]\nper_s = 5.0\n"),
    "listing/bytes": size.SERVERS * 2 * (len("BEAT n00000 ready") + 28),
    "store/events": size.SERVERS * 3,
    "decisions/memory": 250.0,
}
NOISE = 0.02  # maximum relative error


def noisy(figure: float, rng: random.Random) -> float:
    return figure * (1 + rng.uniform(-NOISE, NOISE))


@pytest.mark.parametrize("seed", range(20))
def test_fit_recovers_a_linear_law(seed: int) -> None:
    rng = random.Random(seed)
    fitted = fit(SIZES, [noisy(5.0 + 0.02 * n, rng) for n in SIZES])
    assert fitted.taken.kind == "linear"
    assert fitted.taken.second == pytest.approx(0.02, rel=3 * NOISE)
    assert fitted.taken.at(1e6) == pytest.approx(20_005.0, rel=3 * NOISE)
    assert fitted.taken.rms <= NOISE and fitted.taken.worst <= 2 * NOISE
    assert fitted.other and fitted.other.kind == "power" and fitted.other.rms > fitted.taken.rms


@pytest.mark.parametrize("seed", range(20))
def test_fit_recovers_a_power_law(seed: int) -> None:
    rng = random.Random(seed)
    fitted = fit(SIZES, [noisy(0.3 * n**1.7, rng) for n in SIZES])
    assert fitted.taken.kind == "power"
    assert fitted.taken.second == pytest.approx(1.7, abs=NOISE)
    assert fitted.taken.first == pytest.approx(0.3, rel=5 * NOISE)
    assert fitted.taken.rms <= NOISE
    assert fitted.other and fitted.other.kind == "linear" and fitted.other.rms > fitted.taken.rms


def test_the_residual_is_relative() -> None:
    sizes, figures = (1.0, 2.0, 3.0, 4.0), (1.0, 1.0, 1.0, 1.5)
    assert fit(sizes, (2.0, 4.0, 6.0, 8.0)).taken.rms == pytest.approx(0.0, abs=1e-9)
    law = fit(sizes, figures).taken
    residuals = [abs(law.at(n) - y) / y for n, y in zip(sizes, figures, strict=True)]
    assert law.worst == pytest.approx(max(residuals))
    assert law.rms == pytest.approx(math.sqrt(sum(r * r for r in residuals) / 4))


def test_no_power_law_is_fitted_if_a_figure_is_zero() -> None:
    fitted = fit(SIZES, (0.0, 0.0, 1.0, 10.0, 100.0))
    assert fitted.taken.kind == "linear" and fitted.other is None


@pytest.mark.parametrize(
    "sizes, figures",
    [
        ((1.0, 2.0, 3.0), (1.0, 2.0, 3.0)),
        ((1.0, 2.0, 3.0, 3.0), (1.0, 2.0, 3.0, 3.0)),
        ((1.0, 2.0, 3.0, 4.0), (1.0, 2.0, 3.0)),
    ],
)
def test_fewer_than_four_sizes_are_refused(sizes: tuple[float, ...], figures: tuple[float, ...]) -> None:
    with pytest.raises(TooFewSizesError):
        fit(sizes, figures)


def slope_of(figures: list[float], target: float, limit: Limit | None = None) -> Slope:
    series = Series("row", "things", (1.0, 2.0, 3.0, 4.0), target)
    series.add("name", "what", "method", figures, limit)
    return series.slopes[0]


def test_verdicts() -> None:
    linear = [1.0, 2.0, 3.0, 4.0]
    assert slope_of(linear, 40.0).verdict == "no limit named"
    assert slope_of(linear, 40.0, Limit(20.0, "")).verdict == "does not carry, by a factor of 2"
    assert slope_of(linear, 40.0, Limit(400.0, "")).verdict == "carries, with 10 times to spare"
    assert slope_of(linear, 40.0, Limit(42.0, "")).verdict == "carries, with nothing to spare"
    assert slope_of(linear, 40.0).stretch == 10.0


def test_measured_figures_are_not_extrapolated_and_costs_do_not_fall_beyond_them() -> None:
    bent = [1.0, 2.0, 3.0, 5.0]
    assert slope_of(bent, 4.0).at_target == 5.0
    assert slope_of([4.0, 3.0, 2.0, 1.0], 100.0).at_target == 1.0


def test_highest_rate_in_limit_ends_at_the_first_rate_above_the_limit() -> None:
    assert highest_rate_in_limit([50.0, 100.0, 150.0], [1.0, 1.6, 1.0]) == 50.0
    assert highest_rate_in_limit([50.0], [1.6]) == 0.0


def test_replayed_latency_includes_cpu_time_and_queueing() -> None:
    unloaded_ms = replayed_p99_ms(0.01, 1000.0, 300)  # requests do not overlap
    assert unloaded_ms == pytest.approx(1.0)
    assert replayed_p99_ms(800.0, 1000.0, 3000) > 2 * unloaded_ms
    max_cpu = max_cpu_us(451.0, 500)
    assert replayed_p99_ms(451.0, max_cpu, 500) <= size.ADDED_MS < replayed_p99_ms(451.0, max_cpu + 10, 500)


def check_counts(measurements: list[dict[str, Any]]) -> None:
    """Checks the figures that do not depend on a clock."""
    for measurement in measurements:
        if measurement["name"] in COUNTS:
            assert measurement["at_target"] == pytest.approx(
                COUNTS[measurement["name"]], rel=0.2
            ), measurement["name"]


@pytest.mark.parametrize("row", ROWS)
def test_each_row_runs(row: str) -> None:
    result = CliRunner().invoke(main, ["--row", row, "--quick", "--json"])
    assert result.exit_code == 0, result.output
    measurements = [json.loads(line) for line in result.output.splitlines()]
    assert measurements
    check_counts(measurements)
    for measurement in measurements:
        assert measurement["name"].startswith(f"{row}/")
        assert len(set(measurement["sizes"])) >= 4 and len(measurement["figures"]) == len(
            measurement["sizes"]
        )
        assert all(math.isfinite(figure) for figure in measurement["figures"])
        assert measurement["fit"]["taken"]["kind"] in ("linear", "power") and measurement["verdict"]


def test_text_output_names_law_residual_stretch_and_verdict() -> None:
    result = CliRunner().invoke(main, ["--row", "store", "--quick"])
    assert result.exit_code == 0
    for word in ("played", "law", "residual rms", "stretched", "limit", "verdict"):
        assert word in result.output
