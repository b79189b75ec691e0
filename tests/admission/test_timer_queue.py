"""Tests of the order in which timers run."""

from otterrudder.admission.timer_queue import MIN_COMPACTED_TIMERS, TimerQueue


def test_only_due_timers_run_in_order_of_due_time() -> None:
    timers = TimerQueue()
    ran: list[str] = []
    for name, due_at in (("late", 30.0), ("second", 20.0), ("first", 10.0), ("third", 20.0)):
        timers.schedule(due_at, lambda name=name: ran.append(name))
    timers.run_due(5.0)
    assert ran == []
    timers.run_due(20.0)
    assert ran == ["first", "second", "third"]
    timers.run_due(30.0)
    assert ran == ["first", "second", "third", "late"]


def test_a_due_timer_scheduled_by_another_timer_runs_at_once() -> None:
    timers = TimerQueue()
    ran: list[str] = []

    def first() -> None:
        ran.append("first")
        timers.schedule(1.0, lambda: ran.append("second"))

    timers.schedule(1.0, first)
    timers.run_due(1.0)
    assert ran == ["first", "second"]


def test_a_cancelled_timer_does_not_run() -> None:
    timers = TimerQueue()
    ran: list[str] = []
    handles = {name: timers.schedule(10.0, lambda name=name: ran.append(name)) for name in ("a", "b", "c")}
    handles["b"].cancel()
    handles["b"].cancel()
    timers.run_due(10.0)
    handles["a"].cancel()  # it has run
    assert ran == ["a", "c"] and len(timers) == 0


def test_cancelled_timers_are_removed_long_before_they_are_due() -> None:
    timers = TimerQueue()
    ran: list[int] = []
    for number in range(10_000):
        timers.schedule(86_400e3 + number, lambda: None).cancel()
        if number % 1000 == 0:
            timers.schedule(20.0 - number / 1000, lambda number=number: ran.append(number))
    assert len(timers) <= 2 * MIN_COMPACTED_TIMERS
    timers.run_due(20.0)
    assert ran == list(range(9000, -1, -1000))
