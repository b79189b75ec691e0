"""The command line: serve (the default), check, levels, migrate, vrrp, fleet, lab and version.

The module of a command is imported only when the command is used, so `serve` does not load the libraries of
the lab and works without them."""

import importlib
import sys
from typing import NamedTuple

import click

from otterrudder import __version__


class _LazyCommand(NamedTuple):
    """The module of a command, and its line in the help, which is shown without importing the module."""

    module: str
    help_line: str


COMMANDS = {
    "serve": _LazyCommand("serve", "Serve until SIGTERM, then drain and exit."),
    "check": _LazyCommand("serve", "Check the configuration."),
    "levels": _LazyCommand("levels", "Check, show and replay tables of levels of reduced service."),
    "migrate": _LazyCommand("migrate", "Convert a configuration from the old format to the new one."),
    "vrrp": _LazyCommand("vrrp", "Show VRRP groups; check, decode and create VRRP files and messages."),
    "fleet": _LazyCommand("fleet", "Show and change a fleet's members and policy."),
    "lab": _LazyCommand("lab", "Run experiments in simulated time (needs the extra 'lab')."),
}


class _LazyGroup(click.Group):
    """A command group that imports the module of a command when the command is looked up."""

    def list_commands(self, context: click.Context) -> list[str]:
        return [*COMMANDS, *super().list_commands(context)]

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name not in COMMANDS:
            return super().get_command(context, name)
        module = importlib.import_module(f"otterrudder.cli.{COMMANDS[name].module}")
        command: click.Command = getattr(module, name)
        return command

    def format_commands(self, context: click.Context, formatter: click.HelpFormatter) -> None:
        rows = [(name, command.help_line) for name, command in COMMANDS.items()]
        rows += [(name, command.get_short_help_str()) for name, command in self.commands.items()]
        with formatter.section("Commands"):
            formatter.write_dl(rows)


@click.group(
    cls=_LazyGroup, invoke_without_command=True, context_settings={"help_option_names": ["-h", "--help"]}
)
@click.pass_context
def main(context: click.Context) -> None:
    """A server with session-based admission and scheduling, behind external gateways.

    Without a command it serves. The environment variable NODE_CONFIG names the configuration file (JSON).
    SIGHUP reloads addresses from that file without interrupting service; run check on a new file first."""
    if context.invoked_subcommand is None:
        from otterrudder.cli.serve import serve

        sys.exit(serve.main(args=[], prog_name="otterrudder", standalone_mode=False))


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"otterrudder {__version__}")
