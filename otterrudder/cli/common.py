"""What the groups of commands share: how a bad input ends one."""

import sys
from typing import NoReturn

import click

BAD_INPUT = 2  # the exit code for input that can't be used; 1 is for a result that is not what was wanted


def give_up(why: object) -> NoReturn:
    """One line on standard error, and the end."""
    click.echo(f"otterrudder: {why}", err=True)
    sys.exit(BAD_INPUT)
