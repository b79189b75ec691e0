"""A policy: one TOML text, the same for all servers, parsed whole and checked by each against its own
configuration. Form: the commented deploy/policy.toml.

A key that this program does not know is an error that names it: a server with an older program says no to a
change, it does not pass over what it can't enforce."""

import tomllib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from otterrudder.files import convert
from otterrudder.interface import Product, Tenant
from otterrudder.levels.table import BadTable, Table, build

VERSION = 1  # of the form


class BadPolicy(Exception):
    """What is wrong with a policy, in one line that names the key."""


@dataclass(frozen=True, slots=True)
class Content:
    """What a policy says, ready for a server."""

    levels: Table | None


class _Policy(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    version: int
    levels: dict[str, Any] | None = None


def parse(text: str, products: Sequence[Product], tenants: Sequence[Tenant]) -> Content:
    """BadPolicy says what is wrong, by the key."""
    try:
        whole = tomllib.loads(text)
    except tomllib.TOMLDecodeError as why:
        raise BadPolicy(f"not TOML: {why}") from None
    told: _Policy = convert(whole, _Policy, "policy", BadPolicy)
    if told.version != VERSION:
        raise BadPolicy(f"version: this program reads {VERSION}, not {told.version}")
    if told.levels is None:
        return Content(None)
    try:
        return Content(build(told.levels, products, tenants))
    except BadTable as trouble:
        raise BadPolicy(f"levels.{trouble}") from None


def trouble_in(text: str, products: Sequence[Product], tenants: Sequence[Tenant]) -> str:
    """What is wrong with a policy for this server; "": nothing."""
    try:
        parse(text, products, tenants)
    except BadPolicy as trouble:
        return str(trouble)
    return ""
