"""`otterrudder serve` and `otterrudder check`: runs the server, and checks its configuration."""

import os
import sys

import click

from otterrudder import log
from otterrudder.cli.common import exit_bad_input
from otterrudder.configuration import (
    CONFIGURATION_VARIABLE,
    FLEET_VARIABLE,
    LEVELS_VARIABLE,
    VRRP_VARIABLE,
    Configuration,
    ConfigurationError,
    read_configuration,
)
from otterrudder.net import serve as server
from otterrudder.net.controller_setup import unsupported_settings
from otterrudder.net.server_files import ServerFiles

LEVELS_OPTION = click.option(
    "--levels",
    "levels",
    envvar=LEVELS_VARIABLE,
    metavar="FILE",
    help="TOML file with levels of reduced service (or OTTERRUDDER_LEVELS). Default: no levels.",
)

VRRP_OPTION = click.option(
    "--vrrp",
    "vrrp",
    envvar=VRRP_VARIABLE,
    metavar="FILE",
    help="TOML file with VRRP groups (or OTTERRUDDER_VRRP). Default: no VRRP.",
)


FLEET_OPTION = click.option(
    "--fleet",
    "fleet",
    envvar=FLEET_VARIABLE,
    metavar="FILE",
    help="TOML file of the fleet that this server belongs to (or OTTERRUDDER_FLEET). Default: no fleet.",
)


def _read_named_configuration() -> tuple[Configuration, str | None]:
    """Returns the configuration that NODE_CONFIG names, and its path. Exits if it is invalid."""
    path = os.environ.get(CONFIGURATION_VARIABLE)
    try:
        return read_configuration(path), path
    except ConfigurationError as error:
        exit_bad_input(error)


@click.command()
@LEVELS_OPTION
@VRRP_OPTION
@FLEET_OPTION
def serve(levels: str | None, vrrp: str | None, fleet: str | None) -> None:
    """Serve until SIGTERM, then drain and exit. SIGHUP reloads addresses and levels from their files."""
    configuration, path = _read_named_configuration()
    log.configure_logging(configuration.name)
    try:
        sys.exit(server.run(configuration, ServerFiles(path, levels, vrrp, fleet)))
    except ConfigurationError as error:
        exit_bad_input(error)


@click.command()
@LEVELS_OPTION
@VRRP_OPTION
@FLEET_OPTION
def check(levels: str | None, vrrp: str | None, fleet: str | None) -> None:
    """Check the configuration, and the files given by options."""
    configuration, path = _read_named_configuration()
    settings = configuration.settings
    try:
        files = ServerFiles(path, levels, vrrp, fleet)
        table = files.read_levels(settings)
        vrrp_configuration = files.read_vrrp(settings)
        fleet_configuration = files.read_fleet()
    except ConfigurationError as error:
        exit_bad_input(error)
    parts = [f"{len(settings['classes'])} products"]
    if table:
        parts.append(f"{len(table.levels)} levels")
    if vrrp_configuration:
        parts.append(f"{len(vrrp_configuration.groups)} VRRP groups")
    if fleet_configuration:
        parts.append(f"of the fleet {fleet_configuration.name}")
    click.echo(f"{configuration.name}: the configuration is valid: {', '.join(parts)}")
    for line in unsupported_settings(settings):
        click.echo(f"{configuration.name}: {line}")
