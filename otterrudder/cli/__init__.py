"""The command line: serve (also the bare command) and check, levels, migrate, vrrp, fleet, lab, version;
a file for each group.

A group's module is imported when it is called for: `serve` pays nothing for the lab's libraries, nor needs
them."""

import importlib
import sys

import click

from otterrudder import __version__

# Each command, the file that holds it, and its line in the help: told without the file being imported.
COMMANDS = {
    "serve": ("serve", "Serve until SIGTERM, then drain and end."),
    "check": ("serve", "Say what is wrong with the configuration, if anything."),
    "levels": ("levels", "Tables of reduced service: check and show them."),
    "migrate": ("migrate", "A configuration of the old shape made into one of the new."),
    "vrrp": ("vrrp", "VRRP groups: show, check, decode, keygen."),
    "fleet": ("fleet", "A fleet: its members, and a change of policy everywhere or nowhere."),
    "lab": ("lab", "Experiments in simulated time (needs the extra 'lab')."),
}


class _Group(click.Group):
    def list_commands(self, context: click.Context) -> list[str]:
        return [*COMMANDS, *super().list_commands(context)]

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name not in COMMANDS:
            return super().get_command(context, name)
        module = importlib.import_module(f"otterrudder.cli.{COMMANDS[name][0]}")
        command: click.Command = getattr(module, name)
        return command

    def format_commands(self, context: click.Context, formatter: click.HelpFormatter) -> None:
        told = [(name, line) for name, (_, line) in COMMANDS.items()]
        told += [(name, command.get_short_help_str()) for name, command in self.commands.items()]
        with formatter.section("Commands"):
            formatter.write_dl(told)


@click.group(
    cls=_Group, invoke_without_command=True, context_settings={"help_option_names": ["-h", "--help"]}
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
