"""Tests of the order in which timers run."""

from otterrudder.admission.timer_queue import TimerQueue


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
