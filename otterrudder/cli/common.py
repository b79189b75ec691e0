"""What the groups of commands share: how a bad input ends one."""

import sys
from collections.abc import Iterable
from typing import NoReturn

import click

from otterrudder.admission.interface import Idempotency, RequestClass, Tenant

BAD_INPUT = 2  # the exit code for input that can't be used; 1 is for a result that is not what was wanted


def give_up(why: object) -> NoReturn:
    """One line on standard error, and the end."""
    click.echo(f"otterrudder: {why}", err=True)
    sys.exit(BAD_INPUT)


def tables_in(told: object, key: str) -> list[dict[str, object]]:
    """The tables that an unchecked table lists under a key."""
    listed = told.get(key) if isinstance(told, dict) else None
    return [part for part in listed if isinstance(part, dict)] if isinstance(listed, list) else []


def named_in(parts: Iterable[dict[str, object]]) -> tuple[list[RequestClass], list[Tenant]]:
    """Without a configuration every name that a file's own tables use is taken for good."""
    found: dict[str, set[str]] = {"products": set(), "tenants": set()}
    for part in parts:
        for key, names in found.items():
            told = part.get(key)
            names |= {name for name in told if isinstance(name, str)} if isinstance(told, list) else set()
    products = [
        RequestClass(name, Idempotency.SAFE, 1.0, 1000.0, 1000.0, may_call=True, skip_weight_factor=1.0)
        for name in sorted(found["products"])
    ]
    return products, [Tenant(name, 1.0) for name in sorted(found["tenants"])]
