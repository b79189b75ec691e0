"""The command line: serve (also the bare command), check, version."""

import os
import sys

import click

from otterrudder import __version__
from otterrudder.net import log, serve


@click.group(invoke_without_command=True, context_settings={"help_option_names": ["-h", "--help"]})
@click.pass_context
def main(context: click.Context) -> None:
    """A server with session-based admission and scheduling, behind other people's gateways.

    Without a command it serves. The environment's NODE_CONFIG names the configuration file (JSON).
    SIGHUP takes new addresses from it while service goes on; run check on a new file first."""
    if context.invoked_subcommand is None:
        context.invoke(serve_command)


def _configuration() -> dict:
    try:
        return serve.read_configuration(os.environ.get("NODE_CONFIG"))
    except serve.BadConfiguration as trouble:
        click.echo(f"otterrudder: {trouble}", err=True)
        sys.exit(2)


@main.command("serve")
def serve_command() -> None:
    """Serve until SIGTERM, then drain and end. SIGHUP takes new addresses from the configuration file."""
    told = _configuration()
    log.set_up(told["name"])
    sys.exit(serve.run(told))


@main.command()
def check() -> None:
    """Say what is wrong with the configuration, if anything."""
    told = _configuration()
    click.echo(f"{told['name']}: the configuration is good: {len(told['settings']['classes'])} products")


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"otterrudder {__version__}")


if __name__ == "__main__":
    main(prog_name="otterrudder")
