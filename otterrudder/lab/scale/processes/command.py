"""Runs the processes part for the command line: reads the plan, measures and writes the results.

If a signal interrupts the run, all child processes are stopped before it ends."""

import signal
from collections.abc import Callable
from pathlib import Path

import anyio

from otterrudder.files import convert, load_toml
from otterrudder.lab.scale.processes.measure import QUICK, Plan, measure, measure_concurrently
from otterrudder.lab.scale.processes.report import Report, make_report, write_report
from otterrudder.lab.scale.processes.rows import Row
from otterrudder.lab.site import InvalidInputError

PLAN_TABLE = "processes"  # table of the experiment file that overrides the defaults of Plan
STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)


class RunInterruptedError(Exception):
    """A signal interrupted the run. All child processes have been stopped."""


def read_plan(file: Path, is_quick: bool) -> Plan:
    """Reads the plan of an experiment file, or returns the plan of a quick run.

    Raises InvalidInputError if the file can't be read or its table has keys that a plan does not have."""
    if is_quick:
        return QUICK
    table = load_toml(file, InvalidInputError).get(PLAN_TABLE, {})
    plan: Plan = convert(table, Plan, f"{file.name}: {PLAN_TABLE}", InvalidInputError)
    return plan


def run(plan: Plan, is_quick: bool, folder: Path, print_line: Callable[[str], None]) -> Report:
    """Measures, writes the results and prints the claims.

    A quick run measures members and cells concurrently. Raises RunInterruptedError if a signal interrupts the
    run, and MeasurementError if servers do not reach an expected state in time."""
    rows = anyio.run(_measure_until_signalled, plan, is_quick, print_line)
    report = make_report(plan, rows)
    for path in write_report(report, folder):
        print_line(f"wrote {path}")
    for claim in report.claims:
        print_line(f"{'holds' if claim.holds else 'FAILS'}  {claim.text}: {claim.figures}")
    return report


async def _measure_until_signalled(
    plan: Plan, is_quick: bool, print_line: Callable[[str], None]
) -> list[Row]:
    rows: list[Row] = []
    async with anyio.create_task_group() as group:
        group.start_soon(_cancel_at_signal, group.cancel_scope)
        rows += await (measure_concurrently if is_quick else measure)(plan, print_line)
        group.cancel_scope.cancel()
    if not rows:
        raise RunInterruptedError
    return rows


async def _cancel_at_signal(scope: anyio.CancelScope) -> None:
    with anyio.open_signal_receiver(*STOP_SIGNALS) as signals:
        async for _ in signals:
            scope.cancel()
