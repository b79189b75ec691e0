"""`otterrudder fleet relay`: runs a relay, which can lead a cell, and shows the status of a running relay.

Exit codes: 0 success, 1 the relay cannot start, 2 bad input."""

import json
import sys

import click

from otterrudder.cli.common import exit_bad_input
from otterrudder.configuration import FLEET_VARIABLE
from otterrudder.durable import DirectoryInUseError
from otterrudder.fleet.cell.configuration import RelayRole
from otterrudder.fleet.configuration import Fleet, InvalidFleetError, read_fleet
from otterrudder.log import configure_logging, log
from otterrudder.net import control

CANNOT_START = 1
RELAY_FILE_OPTION = click.option(
    "--fleet",
    "file",
    envvar=FLEET_VARIABLE,
    metavar="FILE",
    help="TOML file with a table [relay] (or OTTERRUDDER_FLEET).",
)


@click.group(invoke_without_command=True)
@RELAY_FILE_OPTION
@click.pass_context
def relay(context: click.Context, file: str | None) -> None:
    """Run a relay until SIGTERM, then redirect its servers to another relay and exit.

    A relay leads its cell or is on standby."""
    if context.invoked_subcommand is not None:
        return
    fleet, role = _read(file)
    from otterrudder.fleet.cell.descriptors import DescriptorLimitError
    from otterrudder.net import relay as process

    configure_logging(process.control_name(role))
    try:
        process.run(fleet, role)
    except (DirectoryInUseError, DescriptorLimitError) as error:
        exit_bad_input(error)
    except OSError as error:
        log.error("cannot start", why=str(error))
        sys.exit(CANNOT_START)


@relay.command()
@RELAY_FILE_OPTION
def status(file: str | None) -> None:
    """Show the status of the relay on this machine that uses FILE, as JSON."""
    from otterrudder.net.relay import control_name

    _, role = _read(file)
    name = control_name(role)
    try:
        response = control.query(name, "relay")
    except (OSError, ValueError) as error:
        exit_bad_input(f"no relay answers at {control.socket_path(name)}: {error}")
    click.echo(json.dumps(response.get("relay", response), indent=1))


def _read(file: str | None) -> tuple[Fleet, RelayRole]:
    if not file:
        raise click.UsageError("Missing option '--fleet'.")
    try:
        fleet = read_fleet(file)
    except InvalidFleetError as error:
        exit_bad_input(error)
    if not fleet.relay:
        exit_bad_input(f"{file}: relay: the file has no such table, so it does not describe a relay")
    return fleet, fleet.relay
