"""vrrp: what the groups of a running server do, and the tools round its files."""

import json
import os
import secrets
import sys
import tomllib
from ipaddress import ip_address
from pathlib import Path

import click

from otterrudder.admission.factory import request_classes_of, tenants_of
from otterrudder.admission.interface import RequestClass, Tenant
from otterrudder.cli.common import give_up, named_in, tables_in
from otterrudder.configuration import CONFIGURATION_VARIABLE, BadConfiguration, read_configuration
from otterrudder.net import control
from otterrudder.vrrp import packet
from otterrudder.vrrp.group import BadGroups, parse_groups
from otterrudder.vrrp.packet import BadPacket
from otterrudder.vrrp.seal import KEY_LEAST, MODE_MOST, SIZE, TRAILER

KEYS_KEPT = 2  # keys in a file after `keygen --add`: the one that signs and the one before


@click.group()
def vrrp() -> None:
    """VRRP: what a running server's groups do, and the tools round their files."""


@vrrp.command()
@click.argument("name", required=False)
@click.option("--json", "as_json", is_flag=True, help="As JSON, for scripts.")
def show(name: str | None, as_json: bool) -> None:
    """Groups, states, timers and counters of the server NAME (else NODE_NAME) on this machine."""
    name = name or os.environ.get("NODE_NAME")
    if not name:
        give_up("say the server's name, or set NODE_NAME")
    try:
        told = control.ask(name, "vrrp")
    except (OSError, ValueError) as trouble:
        give_up(f"no server answers at {control.path_of(name)}: {trouble}")
    if "error" in told:
        give_up(str(told["error"]))
    if as_json:
        click.echo(json.dumps(told["vrrp"], indent=1))
        return
    groups = told["vrrp"]
    assert isinstance(groups, list)
    for group in groups:
        lowered = f", lowered by {', '.join(group['lowered_by'])}" if group["lowered_by"] else ""
        click.echo(
            f"{group['group']} (vrid {group['vrid']}): {group['state']}, door {group['door']}, priority "
            f"{group['priority']} of {group['base']}{lowered}"
        )
        click.echo(
            f"  interval {group['interval_ms']:g} ms, timer in {group['timer_ms']} ms, "
            f"returns {group['returns']}"
        )
        click.echo("  " + ", ".join(f"{what} {count}" for what, count in sorted(group["counts"].items())))


@vrrp.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Say what is wrong with FILE and its keys, if anything. Products are checked where NODE_CONFIG is
    set."""
    try:
        told = tomllib.loads(file.read_text("utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as trouble:
        give_up(f"cannot read {file}: {trouble}")
    try:
        groups = parse_groups(told, file, *_known(told))
    except (BadGroups, BadConfiguration) as trouble:
        give_up(trouble)
    click.echo(
        f"{file}: good: {len(groups.groups)} groups, keys {sorted(groups.keys.by_number)}, "
        f"{groups.keys.signs} signs"
    )


def _known(told: dict[str, object]) -> tuple[list[RequestClass], list[Tenant]]:
    if path := os.environ.get(CONFIGURATION_VARIABLE):
        settings = read_configuration(path).settings
        return request_classes_of(settings), tenants_of(settings)
    return named_in(tables_in(told, "group"))


@vrrp.command()
@click.argument("data")
@click.option("--source", default="0.0.0.0", help="The sender's address, for the checksum.")
@click.option("--destination", default="224.0.0.18", help="And the one it was sent to.")
def decode(data: str, source: str, destination: str) -> None:
    """Say in words what an advert says: DATA in hex, sealed or not ('-': bytes of standard input)."""
    raw = sys.stdin.buffer.read() if data == "-" else _hex(data)
    try:
        ends: list[packet.Address] = [ip_address(end) for end in (source, destination)]
    except ValueError as trouble:
        give_up(trouble)
    size = 4 if ends[0].version == 4 else 16
    plain = packet.LEAST + raw[3] * size if len(raw) >= packet.LEAST else len(raw)
    trailer = raw[plain:]
    try:
        advert = packet.decode(raw[:plain], ends[0], ends[1])
    except BadPacket as bad:
        give_up(f"dropped: {bad}")
    click.echo(
        f"vrid {advert.vrid}, priority {advert.priority}, interval {advert.interval_ms:g} ms, "
        f"addresses {', '.join(map(str, advert.addresses))}"
    )
    if len(trailer) == SIZE:
        number, epoch, counter = TRAILER.unpack_from(trailer)
        click.echo(
            f"sealed with key {number}, life {epoch}, message {counter} (the seal is not checked here)"
        )
    elif trailer:
        click.echo(f"{len(trailer)} bytes behind it are no seal")


def _hex(text: str) -> bytes:
    try:
        return bytes.fromhex(text)
    except ValueError:
        give_up("DATA is not hex")


@vrrp.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--add", is_flag=True, help="Add a key to FILE that does not sign yet.")
@click.option("--sign", type=int, metavar="NUMBER", help="Let this key of FILE sign from now on.")
def keygen(file: Path, add: bool, sign: int | None) -> None:
    """Write a new key FILE, mode 0600; --add and --sign are the two steps of a key change (docs/vrrp.md)."""
    keys: list[tuple[int, str]] = []
    signs = 1
    if add or sign is not None:
        try:
            told = tomllib.loads(file.read_text("utf-8"))
            keys, signs = [(key["number"], key["secret"]) for key in told["key"]], told["signs"]
        except (OSError, ValueError, KeyError, TypeError):
            give_up(f"{file}: no key file")
    elif file.exists():
        give_up(f"{file} is there already: --add adds a key to it")
    if add or not keys:
        number = max((number for number, _ in keys), default=0) % 255 + 1
        kept = [key for key in keys if key[0] == signs][-1:]
        keys = [*kept, (number, secrets.token_hex(KEY_LEAST))][-KEYS_KEPT:]
    if sign is not None:
        if sign not in [number for number, _ in keys]:
            give_up(f"{file}: there is no key {sign}")
        signs = sign
    text = f"signs = {signs}\n" + "".join(
        f'\n[[key]]\nnumber = {number}\nsecret = "{secret}"\n' for number, secret in keys
    )
    beside = file.with_name(file.name + ".new")
    with open(os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, MODE_MOST), "w") as out:
        out.write(text)
    os.replace(beside, file)
    click.echo(f"{file}: keys {sorted(number for number, _ in keys)}, {signs} signs")
