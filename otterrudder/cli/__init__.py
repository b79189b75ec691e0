"""The command line: serve (also without a command), check, levels, migrate, vrrp, fleet, lab and version.

Each group has a module of its own, imported when the group is called: `serve` neither pays for the lab's
libraries nor needs them."""

import importlib
import sys
from typing import NamedTuple

import click

from otterrudder import __version__


class _LazyCommand(NamedTuple):
    """The module of a command, and its line in the help, known without importing the module."""

    module: str
    help_line: str


COMMANDS = {
    "serve": _LazyCommand("serve", "Serve until SIGTERM, then drain and exit."),
    "check": _LazyCommand("serve", "Check the configuration."),
    "levels": _LazyCommand("levels", "Tables of reduced service: check, show, replay."),
    "migrate": _LazyCommand("migrate", "Write a configuration of the old shape in the new one."),
    "vrrp": _LazyCommand("vrrp", "VRRP groups: show, check, decode, keygen."),
    "fleet": _LazyCommand("fleet", "A fleet: its members, and its policy."),
    "lab": _LazyCommand("lab", "Experiments in simulated time (needs the extra 'lab')."),
}


class _LazyGroup(click.Group):
    """A group that imports the module of a command when the command is looked up."""

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
    """A server with session-based admission and scheduling, behind other people's gateways.

    Without a command it serves. The environment's NODE_CONFIG names the configuration file (JSON).
    SIGHUP takes new addresses from it while service goes on; run check on a new file first."""
    if context.invoked_subcommand is None:
        from otterrudder.cli.serve import serve

        sys.exit(serve.main(args=[], prog_name="otterrudder", standalone_mode=False))


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"otterrudder {__version__}")
