"""fleet relay: the process that leads a cell, and what a running one says of itself.

Exit codes: 0 as asked, 1 it can't start, 2 bad input."""

import json
import signal
import sys
from collections.abc import AsyncIterator, Callable

import anyio
import click

from otterrudder.cli.common import give_up
from otterrudder.durable import Busy
from otterrudder.fleet.cell.configuration import RelayRole
from otterrudder.fleet.configuration import BadFleet, Fleet, read_fleet
from otterrudder.log import log, set_up
from otterrudder.net import control

FILE = click.option(
    "--fleet",
    "file",
    envvar="OTTERRUDDER_FLEET",
    metavar="FILE",
    help="TOML file of the relay, with a table [relay] (or OTTERRUDDER_FLEET).",
)
CANNOT_START = 1


@click.group(invoke_without_command=True)
@FILE
@click.pass_context
def relay(context: click.Context, file: str | None) -> None:
    """Lead a cell, or stand by to: serve until SIGTERM, then send the servers to another relay and end."""
    if context.invoked_subcommand is not None:
        return
    fleet, role = _read(file)
    set_up(_control_name(role))
    try:
        anyio.run(_serve, fleet, role)
    except OSError as trouble:
        log.error("cannot start", why=str(trouble))
        sys.exit(CANNOT_START)


@relay.command()
@FILE
def status(file: str | None) -> None:
    """What the relay of FILE on this machine says of itself, as JSON."""
    _, role = _read(file)
    name = _control_name(role)
    try:
        told = control.ask(name, "relay")
    except (OSError, ValueError) as why:
        give_up(f"no relay answers at {control.path_of(name)}: {why}")
    click.echo(json.dumps(told.get("relay", told), indent=1))


def _read(file: str | None) -> tuple[Fleet, RelayRole]:
    if not file:
        raise click.UsageError("Missing option '--fleet'.")
    try:
        fleet = read_fleet(file)
    except BadFleet as trouble:
        give_up(trouble)
    if not fleet.relay:
        give_up(f"{file}: relay: the file has no such table, so it is no relay's")
    return fleet, fleet.relay


def _control_name(role: RelayRole) -> str:
    return f"relay-{role.address}"


async def _serve(fleet: Fleet, role: RelayRole) -> None:
    from otterrudder.fleet.agent import open_folder
    from otterrudder.fleet.cell.service import RelayService, TooFewDescriptors, check_descriptors
    from otterrudder.fleet.client import Client

    try:
        check_descriptors(role.sessions_most)
        store = Client(fleet)
        folder, record = open_folder(fleet, role.cell)
    except (Busy, TooFewDescriptors) as trouble:
        give_up(trouble)
    service = RelayService(fleet, role, store, folder, record)
    service.listen()
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as group:
            group.start_soon(_stop_at_signal, signals, service.stop)
            group.start_soon(control.Control(_control_name(role), {"relay": service.shown}).run)
            await service.run()
            group.cancel_scope.cancel()


async def _stop_at_signal(signals: AsyncIterator[signal.Signals], stop: Callable[[], None]) -> None:
    async for number in signals:
        log.info("told to stop", by=number.name)
        stop()
