"""Functions shared by the command groups: exiting on bad input, and reading names from an unchecked file."""

import sys
from collections.abc import Iterable
from typing import NoReturn

import click

from otterrudder.admission.interface import Idempotency, RequestClass, Tenant

BAD_INPUT = 2  # exit code for invalid input; 1 means that the result is not the expected one


def exit_bad_input(reason: object) -> NoReturn:
    """Prints `reason` on standard error and exits with BAD_INPUT."""
    click.echo(f"otterrudder: {reason}", err=True)
    sys.exit(BAD_INPUT)


def tables_under(values: object, key: str) -> list[dict[str, object]]:
    """Returns the tables in the array under a key of an unchecked table, ignoring all other items."""
    items = values.get(key) if isinstance(values, dict) else None
    return [item for item in items if isinstance(item, dict)] if isinstance(items, list) else []


def names_used_in(tables: Iterable[dict[str, object]]) -> tuple[list[RequestClass], list[Tenant]]:
    """Returns request classes and tenants with the names that `tables` use.

    They stand in for those of the configuration when a file is checked without one."""
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
