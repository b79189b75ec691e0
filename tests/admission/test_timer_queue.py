"""Timers run in the order in which they are due."""

from otterrudder.admission.timer_queue import TimerQueue


def test_due_timers_run_in_order_and_later_ones_wait() -> None:
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


def test_a_timer_that_is_scheduled_as_due_runs_at_once() -> None:
    timers = TimerQueue()
    ran: list[str] = []

    def first() -> None:
        ran.append("first")
        timers.schedule(1.0, lambda: ran.append("second"))

    timers.schedule(1.0, first)
    timers.run_due(1.0)
    assert ran == ["first", "second"]
