"""The level selector under arbitrary facts, and under facts that make a simple selector oscillate."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from otterrudder.admission.interface import ServiceLevel
from otterrudder.levels import Damping, Level, LevelSelector, Reason, Threshold
from otterrudder.levels.window import BUCKETS, SlidingWindow

TICK_MS = 40.0


def create_level(n: int, stay: float = 2000.0, trial: float = 30_000.0) -> Level:
    return Level(
        f"l{n}",
        (Threshold("pressure", 0.2 + 0.2 * n),),
        1000.0,
        (Threshold("pressure", 0.1 * n), Threshold("demand", 0.8)),
        3000.0,
        stay,
        trial,
        ServiceLevel(f"l{n}"),
    )


def create_selector(count: int = 3, **options: object) -> LevelSelector:
    levels = tuple(create_level(n) for n in range(1, count + 1))
    return LevelSelector(levels, Damping(2.0, 8.0, 60_000.0), **options)


def play(selector: LevelSelector, periods: list[tuple[float, dict]], at: float = 0.0) -> list:
    """Returns the transitions over periods, each given as its duration in ms and the facts."""
    transitions = []
    for duration, facts in periods:
        end = at + duration
        while at < end:
            transitions.append(selector.step(at, facts))
            at += TICK_MS
    return [transition for transition in transitions if transition]


LOW_LOAD, OVERLOAD = {"pressure": 0.0, "demand": 0.1}, {"pressure": 1.0, "demand": 2.0}
FACTS = st.fixed_dictionaries(
    {},
    optional={
        "pressure": st.floats(0, 1) | st.just(math.nan),
        "demand": st.floats(0, 3),
        "busy": st.floats(0, 1),
    },
)


@settings(max_examples=120, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from([40.0, 400.0, 4000.0, 20_000.0]), FACTS), max_size=25),
    st.floats(0, 1),
    st.integers(0, 3),
)
def test_levels_change_one_at_a_time_after_the_minimum_stay_and_low_load_restores_full_service(
    periods: list, spread: float, start: int
) -> None:
    selector = create_selector(spread=spread, start=["full", "l1", "l2", "l3"][start])
    levels = {level.name: level for level in selector.levels}
    positions = {"full": 0, "l1": 1, "l2": 2, "l3": 3}
    transitions = play(selector, periods)
    for transition in transitions:
        assert abs(positions[transition.entered] - positions[transition.previous]) == 1
        assert transition.is_reduction == (positions[transition.entered] > positions[transition.previous])
    for before, after in zip(transitions, transitions[1:], strict=False):
        assert before.entered == after.previous
        stay = levels[before.entered].min_stay_ms if before.entered != "full" else levels["l1"].min_stay_ms
        assert after.at - before.at >= stay
        if not after.is_reduction:
            assert after.at - before.at >= before.min_stay_ms >= stay  # includes damping
    recovery_ms = (
        3 * (levels["l1"].exit_ms + levels["l1"].min_stay_ms) * selector.damping.max_factor * 1.5 + 10_000
    )
    recovery = play(selector, [(recovery_ms, LOW_LOAD)], at=1e7)
    assert selector.name == "full" and not [transition for transition in recovery if transition.is_reduction]


@given(st.lists(st.tuples(st.floats(0.1, 500.0), st.floats(0, 10)), min_size=1, max_size=200))
def test_window_has_the_mean_of_its_samples(samples: list[tuple[float, float]]) -> None:
    window, now, added = SlidingWindow(1600.0), 0.0, []
    for gap, value in samples:
        now += gap
        window.add(now, value)
        added.append((now, value))
    bucket = int(now / 100.0)
    in_window = [value for at, value in added if int(at / 100.0) > bucket - BUCKETS]
    assert window.mean() == pytest.approx(sum(in_window) / len(in_window))
    assert max(in_window) + 1e-9 >= window.max_bucket_mean() >= window.mean() - 1e-9
    assert not window.is_full(now) or now - added[0][0] >= 1600.0
    window.clear()
    assert not window.is_full(now + 1e6) and window.mean() == 0.0


def test_missing_history_counts_neither_as_low_load_nor_as_overload() -> None:
    assert not play(create_selector(), [(900.0, OVERLOAD)])
    started_at_l2 = create_selector(start="l2")
    assert not play(started_at_l2, [(2900.0, LOW_LOAD)]) and started_at_l2.name == "l2"
    assert play(started_at_l2, [(60_000.0, {})], at=3000.0) == []  # no facts are known: the level stays
    assert not play(create_selector(), [(60_000.0, {"pressure": math.nan})])


def test_level_is_entered_faster_than_it_is_left() -> None:
    selector = create_selector(1)
    transitions = play(selector, [(10_000.0, OVERLOAD), (30_000.0, LOW_LOAD)])
    assert [transition.reason for transition in transitions] == [Reason.ENTRY, Reason.EXIT]
    assert transitions[0].at <= 1100.0 and 2700.0 < transitions[1].at - 10_000.0 <= 3500.0
    assert [reading.fact for reading in transitions[0].readings] == ["pressure"]
    assert {reading.fact for reading in transitions[1].readings} == {"pressure", "demand"}


def test_reduced_pressure_from_rejections_does_not_count_as_recovery() -> None:
    # The level itself lowers the pressure while the demand stays high, so only a trial leaves the level.
    selector = create_selector(1)
    shedding = {"pressure": 0.0, "demand": 1.3}
    transitions = play(selector, [(5000.0, OVERLOAD), (60_000.0, shedding)])
    assert [transition.reason for transition in transitions] == [Reason.ENTRY, Reason.TRIAL]
    assert transitions[1].at - transitions[0].at >= 30_000.0


def test_early_returns_are_damped_up_to_a_maximum_and_later_forgotten() -> None:
    selector = create_selector(1)
    transitions = play(selector, [(4000.0, OVERLOAD), (60_000.0, LOW_LOAD)] * 6)
    factors = [transition.damping_factor for transition in transitions if transition.is_reduction]
    assert factors[:4] == [1.0, 2.0, 4.0, 8.0] and max(factors) == 8.0
    last = play(selector, [(600_000.0, LOW_LOAD), (2000.0, OVERLOAD)], at=1e6)[-1]
    assert last.is_reduction and last.damping_factor == 1.0


@pytest.mark.parametrize("period_s", [2.0, 7.0, 20.0, 60.0, 180.0])
@pytest.mark.parametrize("boundary", [0.4, 0.6, 0.8])
def test_oscillating_pressure_changes_the_level_at_most_once_a_minute(
    period_s: float, boundary: float
) -> None:
    selector, transition_count, at = create_selector(), 0, 0.0
    while at < 600_000.0:
        pressure = boundary + 0.15 * math.sin(2 * math.pi * at / 1000 / period_s)
        transition_count += selector.step(at, {"pressure": pressure, "demand": 0.5 + pressure}) is not None
        at += TICK_MS
    assert transition_count <= 10


def test_servers_of_a_fleet_leave_a_level_at_different_times() -> None:
    exit_times = [
        play(create_selector(1, spread=spread), [(4000.0, OVERLOAD), (40_000.0, LOW_LOAD)])[-1].at
        for spread in (0.0, 0.3, 0.6, 0.9)
    ]
    assert len(set(exit_times)) == 4 and max(exit_times) - min(exit_times) > 500.0


def test_new_table_retains_the_level_in_force_if_it_has_that_level() -> None:
    selector = create_selector()
    play(selector, [(6500.0, OVERLOAD)])
    assert selector.name == "l3"
    assert (
        selector.replace_levels(selector.levels, Damping(), 7000.0) is None
        and selector.time_in_level(7000.0) < 3000.0
    )
    assert play(selector, [(900.0, OVERLOAD)], at=7000.0) == []  # the windows were cleared
    transition = selector.replace_levels((create_level(9), create_level(2)), Damping(), 8000.0)
    assert transition and (transition.previous, transition.entered, transition.reason) == (
        "l3",
        "l2",
        Reason.TABLE,
    )
    transition = selector.replace_levels((create_level(7),), Damping(), 9000.0)
    assert transition and transition.entered == "l7"
    assert [later.entered for later in play(selector, [(60_000.0, LOW_LOAD)], at=9000.0)] == ["full"]


def test_needs_all_requires_all_entry_thresholds() -> None:
    level = Level(
        "l1",
        (Threshold("pressure", 0.5), Threshold("busy", 0.9)),
        1000.0,
        (Threshold("pressure", 0.1),),
        3000.0,
        1000.0,
        9000.0,
        ServiceLevel("l1"),
        needs_all=True,
    )
    selector = LevelSelector((level,), Damping())
    assert not play(selector, [(5000.0, {"pressure": 0.9})])
    assert not play(selector, [(5000.0, {"pressure": 0.9, "busy": 0.5})], at=5000.0)
    assert play(selector, [(5000.0, {"pressure": 0.9, "busy": 1.0})], at=10_000.0)
