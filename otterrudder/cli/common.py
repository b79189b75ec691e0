"""What the command groups share: how bad input ends a command, and names taken from an unchecked file."""

import sys
from collections.abc import Iterable
from typing import NoReturn

import click

from otterrudder.admission.interface import Idempotency, RequestClass, Tenant

BAD_INPUT = 2  # exit code for unusable input; 1 is for a result other than the expected one


def exit_bad_input(reason: object) -> NoReturn:
    """Prints one line on standard error and exits with BAD_INPUT."""
    click.echo(f"otterrudder: {reason}", err=True)
    sys.exit(BAD_INPUT)


def tables_under(values: object, key: str) -> list[dict[str, object]]:
    """The array of tables under a key of an unchecked table; what is no table is left out."""
    items = values.get(key) if isinstance(values, dict) else None
    return [item for item in items if isinstance(item, dict)] if isinstance(items, list) else []


def names_used_in(tables: Iterable[dict[str, object]]) -> tuple[list[RequestClass], list[Tenant]]:
    """The request classes and tenants that a file's own tables name, for a check without a configuration."""
    class_names: set[str] = set()
    tenant_names: set[str] = set()
    for table in tables:
        class_names |= _strings_under(table, "products")
        tenant_names |= _strings_under(table, "tenants")
    request_classes = [
        RequestClass(name, Idempotency.SAFE, 1.0, 1000.0, 1000.0, may_call=True, skip_weight_factor=1.0)
        for name in sorted(class_names)
    ]
    return request_classes, [Tenant(name, 1.0) for name in sorted(tenant_names)]


def _strings_under(table: dict[str, object], key: str) -> set[str]:
    items = table.get(key)
    return {item for item in items if isinstance(item, str)} if isinstance(items, list) else set()
