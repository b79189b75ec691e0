"""The processes part as a command plays it: read, measured, written. HollowMessage to end by a signal, it
ends its children first."""

import signal
from collections.abc import Callable
from pathlib import Path

import anyio

from otterrudder.files import convert, load_toml
from otterrudder.lab.scale.processes.measure import QUICK, Plan, measure, measure_at_once
from otterrudder.lab.scale.processes.report import Report, make_report, write_report
from otterrudder.lab.scale.processes.rows import Row
from otterrudder.lab.site import InvalidInputError

TABLE = "processes"  # of the experiment's file: what differs from a Plan's own figures
ENDING = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)


class RunInterruptedError(Exception):
    """A signal told it to end; its children are gone."""


def read_plan(file: Path, is_quick: bool) -> Plan:
    """InvalidInputError: the file can't be read, or its table has what a plan has not."""
    if is_quick:
        return QUICK
    told = load_toml(file, InvalidInputError).get(TABLE, {})
    plan: Plan = convert(told, Plan, f"{file.name}: {TABLE}", InvalidInputError)
    return plan


def play(plan: Plan, is_quick: bool, folder: Path, say: Callable[[str], None]) -> Report:
    """Measures, writes and tells the results. RunInterruptedError; NotInTimeError. Quick: both kinds side by
    side."""
    rows = anyio.run(_measure_until_signalled, plan, is_quick, say)
    report = make_report(plan, rows)
    for path in write_report(report, folder):
        say(f"wrote {path}")
    for claim in report.claims:
        say(f"{'holds' if claim.holds else 'FAILS'}  {claim.text}: {claim.figures}")
    return report


async def _measure_until_signalled(plan: Plan, is_quick: bool, say: Callable[[str], None]) -> list[Row]:
    rows: list[Row] = []
    async with anyio.create_task_group() as group:
        group.start_soon(_cancel_at_signal, group.cancel_scope)
        rows += await (measure_at_once if is_quick else measure)(plan, say)
        group.cancel_scope.cancel()
    if not rows:
        raise RunInterruptedError
    return rows


async def _cancel_at_signal(scope: anyio.CancelScope) -> None:
    with anyio.open_signal_receiver(*ENDING) as signals:
        async for _ in signals:
            scope.cancel()
