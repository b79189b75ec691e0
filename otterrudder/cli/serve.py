"""serve and check: the server and its configuration."""

import os
import sys

import click

from otterrudder import log
from otterrudder.cli.common import give_up
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

LEVELS = click.option(
    "--levels",
    "levels",
    envvar=LEVELS_VARIABLE,
    metavar="FILE",
    help="TOML table of levels of reduced service (or OTTERRUDDER_LEVELS). Absent: off.",
)

VRRP = click.option(
    "--vrrp",
    "vrrp",
    envvar=VRRP_VARIABLE,
    metavar="FILE",
    help="TOML file of VRRP groups (or OTTERRUDDER_VRRP). Absent: off.",
)


FLEET = click.option(
    "--fleet",
    "fleet",
    envvar=FLEET_VARIABLE,
    metavar="FILE",
    help="TOML file of the fleet that this server is of (or OTTERRUDDER_FLEET). Absent: off.",
)


def named_configuration() -> tuple[Configuration, str | None]:
    """The configuration that NODE_CONFIG names, and its path; ends the process if it is no good."""
    path = os.environ.get(CONFIGURATION_VARIABLE)
    try:
        return read_configuration(path), path
    except ConfigurationError as trouble:
        give_up(trouble)


@click.command()
@LEVELS
@VRRP
@FLEET
def serve(levels: str | None, vrrp: str | None, fleet: str | None) -> None:
    """Serve until SIGTERM, then drain and end. SIGHUP takes new addresses and levels from their files."""
    configuration, path = named_configuration()
    log.configure_logging(configuration.name)
    try:
        sys.exit(server.run(configuration, server.Files(path, levels, vrrp, fleet)))
    except ConfigurationError as trouble:
        give_up(trouble)


@click.command()
@LEVELS
@VRRP
@FLEET
def check(levels: str | None, vrrp: str | None, fleet: str | None) -> None:
    """Say what is wrong with the configuration (and the other files, if given), if anything."""
    configuration, path = named_configuration()
    try:
        files = server.Files(path, levels, vrrp, fleet)
        table, groups = files.read_levels(configuration.settings), files.read_vrrp(configuration.settings)
        of = files.read_fleet()
    except ConfigurationError as trouble:
        give_up(trouble)
    click.echo(
        f"{configuration.name}: the configuration is good: {len(configuration.settings['classes'])} products"
        + (f", {len(table.levels)} levels" if table else "")
        + (f", {len(groups.groups)} VRRP groups" if groups else "")
        + (f", of the fleet {of.name}" if of else "")
    )
    for line in server.unsupported_settings(configuration.settings):
        click.echo(f"{configuration.name}: {line}")
