"""The selector under any facts, and under the ones that make a naive one swing."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from otterrudder.admission.interface import ServiceLevel
from otterrudder.levels import Damping, Level, LevelSelector, Reason, Threshold
from otterrudder.levels.window import BUCKETS, SlidingWindow

TICK = 40.0


def level(n: int, stay: float = 2000.0, trial: float = 30_000.0) -> Level:
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


def selector(count: int = 3, **more: object) -> LevelSelector:
    return LevelSelector(tuple(level(n) for n in range(1, count + 1)), Damping(2.0, 8.0, 60_000.0), **more)


def play(on: LevelSelector, facts: list[tuple[float, dict]], at: float = 0.0) -> list:
    """The moves over (ms, facts) stretches."""
    moves = []
    for span, known in facts:
        ends = at + span
        while at < ends:
            moves.append(on.step(at, known))
            at += TICK
    return [move for move in moves if move]


LOW_LOAD, OVERLOAD = {"pressure": 0.0, "demand": 0.1}, {"pressure": 1.0, "demand": 2.0}
SEEN = st.fixed_dictionaries(
    {},
    optional={
        "pressure": st.floats(0, 1) | st.just(math.nan),
        "demand": st.floats(0, 3),
        "busy": st.floats(0, 1),
    },
)


@settings(max_examples=120, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from([40.0, 400.0, 4000.0, 20_000.0]), SEEN), max_size=25),
    st.floats(0, 1),
    st.integers(0, 3),
)
def test_any_facts_change_it_one_level_at_a_time_within_its_stays_and_low_load_restores_full_service(
    facts: list, spread: float, start: int
) -> None:
    on = selector(spread=spread, start=["full", "l1", "l2", "l3"][start])
    levels = {level.name: level for level in on.levels}
    heights = {"full": 0, "l1": 1, "l2": 2, "l3": 3}
    moves = play(on, facts)
    for move in moves:
        assert abs(heights[move.entered] - heights[move.previous]) == 1
        assert move.is_reduction == (heights[move.entered] > heights[move.previous])
    for before, after in zip(moves, moves[1:], strict=False):
        assert before.entered == after.previous
        stay = levels[before.entered].min_stay_ms if before.entered != "full" else levels["l1"].min_stay_ms
        assert after.at - before.at >= stay
        if not after.is_reduction:
            assert after.at - before.at >= before.min_stay_ms >= stay  # the damped one
    longest = 3 * (levels["l1"].exit_ms + levels["l1"].min_stay_ms) * on.damping.max_factor * 1.5 + 10_000
    home = play(on, [(longest, LOW_LOAD)], at=1e7)
    assert on.name == "full" and not [move for move in home if move.is_reduction]


@given(st.lists(st.tuples(st.floats(0.1, 500.0), st.floats(0, 10)), min_size=1, max_size=200))
def test_a_window_has_the_mean_of_its_samples(samples: list[tuple[float, float]]) -> None:
    window, now, seen = SlidingWindow(1600.0), 0.0, []
    for gap, value in samples:
        now += gap
        window.add(now, value)
        seen.append((now, value))
    bucket = int(now / 100.0)
    held = [value for at, value in seen if int(at / 100.0) > bucket - BUCKETS]
    assert window.mean() == pytest.approx(sum(held) / len(held))
    assert max(held) + 1e-9 >= window.max_bucket_mean() >= window.mean() - 1e-9
    assert not window.is_full(now) or now - seen[0][0] >= 1600.0
    window.clear()
    assert not window.is_full(now + 1e6) and window.mean() == 0.0


def test_missing_history_is_neither_low_load_nor_overload() -> None:
    assert not play(selector(), [(900.0, OVERLOAD)])
    cold = selector(start="l2")
    assert not play(cold, [(2900.0, LOW_LOAD)]) and cold.name == "l2"
    assert play(cold, [(60_000.0, {})], at=3000.0) == []  # nothing known: stays, however long
    assert not play(selector(), [(60_000.0, {"pressure": math.nan})])


def test_in_is_quicker_than_out() -> None:
    on = selector(1)
    moves = play(on, [(10_000.0, OVERLOAD), (30_000.0, LOW_LOAD)])
    assert [move.reason for move in moves] == [Reason.ENTRY, Reason.EXIT]
    assert moves[0].at <= 1100.0 and 2700.0 < moves[1].at - 10_000.0 <= 3500.0
    assert [reading.fact for reading in moves[0].readings] == ["pressure"]
    assert {reading.fact for reading in moves[1].readings} == {"pressure", "demand"}


def test_shedding_does_not_read_as_recovery() -> None:
    # Pressure falls because of the level; what is asked for has not fallen: only a late trial leaves.
    on = selector(1)
    shed = {"pressure": 0.0, "demand": 1.3}
    moves = play(on, [(5000.0, OVERLOAD), (60_000.0, shed)])
    assert [move.reason for move in moves] == [Reason.ENTRY, Reason.TRIAL]
    assert moves[1].at - moves[0].at >= 30_000.0


def test_a_return_soon_after_leaving_is_damped_up_to_a_bound_and_forgotten() -> None:
    on = selector(1)
    moves = play(on, [(4000.0, OVERLOAD), (60_000.0, LOW_LOAD)] * 6)
    factors = [move.damping_factor for move in moves if move.is_reduction]
    assert factors[:4] == [1.0, 2.0, 4.0, 8.0] and max(factors) == 8.0
    last = play(on, [(600_000.0, LOW_LOAD), (2000.0, OVERLOAD)], at=1e6)[-1]
    assert last.is_reduction and last.damping_factor == 1.0


@pytest.mark.parametrize("period_s", [2.0, 7.0, 20.0, 60.0, 180.0])
@pytest.mark.parametrize("boundary", [0.4, 0.6, 0.8])
def test_oscillation_changes_the_level_once_a_minute_at_the_most(period_s: float, boundary: float) -> None:
    on, moves, at = selector(), 0, 0.0
    while at < 600_000.0:
        swing = boundary + 0.15 * math.sin(2 * math.pi * at / 1000 / period_s)
        moves += on.step(at, {"pressure": swing, "demand": 0.5 + swing}) is not None
        at += TICK
    assert moves <= 10


def test_a_fleet_does_not_leave_in_step() -> None:
    left = [
        play(selector(1, spread=spread), [(4000.0, OVERLOAD), (40_000.0, LOW_LOAD)])[-1].at
        for spread in (0.0, 0.3, 0.6, 0.9)
    ]
    assert len(set(left)) == 4 and max(left) - min(left) > 500.0


def test_another_table_retains_the_level_in_force_if_it_has_it() -> None:
    on = selector()
    play(on, [(6500.0, OVERLOAD)])
    assert on.name == "l3"
    assert on.replace_levels(on.levels, Damping(), 7000.0) is None and on.time_in_level(7000.0) < 3000.0
    assert play(on, [(900.0, OVERLOAD)], at=7000.0) == []  # windows began anew
    move = on.replace_levels((level(9), level(2)), Damping(), 8000.0)
    assert move and (move.previous, move.entered, move.reason) == ("l3", "l2", Reason.TABLE)
    move = on.replace_levels((level(7),), Damping(), 9000.0)
    assert move and move.entered == "l7"
    assert [m.entered for m in play(on, [(60_000.0, LOW_LOAD)], at=9000.0)] == ["full"]


def test_needs_all_requires_every_condition() -> None:
    both = Level(
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
    on = LevelSelector((both,), Damping())
    assert not play(on, [(5000.0, {"pressure": 0.9})])
    assert not play(on, [(5000.0, {"pressure": 0.9, "busy": 0.5})], at=5000.0)
    assert play(on, [(5000.0, {"pressure": 0.9, "busy": 1.0})], at=10_000.0)
