"""fleet relay: the process that leads a cell, and what a running one says of itself.

Exit codes: 0 as asked, 1 it can't start, 2 bad input."""

import json
import sys

import click

from otterrudder.cli.common import give_up
from otterrudder.durable import DirectoryInUseError
from otterrudder.fleet.cell.configuration import RelayRole
from otterrudder.fleet.configuration import Fleet, InvalidFleetError, read_fleet
from otterrudder.log import configure_logging, log
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
    from otterrudder.fleet.cell.descriptors import DescriptorLimitError
    from otterrudder.net import relay as process

    configure_logging(process.control_name(role))
    try:
        process.run(fleet, role)
    except (DirectoryInUseError, DescriptorLimitError) as trouble:
        give_up(trouble)
    except OSError as trouble:
        log.error("cannot start", why=str(trouble))
        sys.exit(CANNOT_START)


@relay.command()
@FILE
def status(file: str | None) -> None:
    """What the relay of FILE on this machine says of itself, as JSON."""
    from otterrudder.net.relay import control_name

    _, role = _read(file)
    name = control_name(role)
    try:
        told = control.query(name, "relay")
    except (OSError, ValueError) as why:
        give_up(f"no relay answers at {control.socket_path(name)}: {why}")
    click.echo(json.dumps(told.get("relay", told), indent=1))


def _read(file: str | None) -> tuple[Fleet, RelayRole]:
    if not file:
        raise click.UsageError("Missing option '--fleet'.")
    try:
        fleet = read_fleet(file)
    except InvalidFleetError as trouble:
        give_up(trouble)
    if not fleet.relay:
        give_up(f"{file}: relay: the file has no such table, so it is no relay's")
    return fleet, fleet.relay
