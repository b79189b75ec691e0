"""`otterrudder vrrp`: shows the groups of a running server, and handles VRRP files, keys and messages."""

import json
import os
import secrets
import sys
import tomllib
from dataclasses import dataclass
from ipaddress import ip_address
from pathlib import Path
from typing import Any

import click

from otterrudder.admission.factory import parse_request_classes, parse_tenants
from otterrudder.admission.interface import RequestClass, Tenant
from otterrudder.cli.common import exit_bad_input, names_used_in, tables_under
from otterrudder.configuration import CONFIGURATION_VARIABLE, ConfigurationError, read_configuration
from otterrudder.net import control
from otterrudder.vrrp import packet
from otterrudder.vrrp.authentication import TRAILER_FIELDS, TRAILER_SIZE
from otterrudder.vrrp.configuration_reader import VrrpConfigurationError, parse_configuration
from otterrudder.vrrp.keys import MAX_KEY_FILE_MODE, MIN_KEY_BYTES
from otterrudder.vrrp.packet import PacketError

MAX_KEYS = 2  # number of keys after `keygen --add`: the one that signs and the new one
MAX_KEY_NUMBER = 255


@dataclass(frozen=True, slots=True)
class NumberedSecret:
    """An entry of a key file."""

    number: int
    secret: str  # hexadecimal


@dataclass(slots=True)
class KeyFileContent:
    """The contents of a key file, which `keygen` reads, changes and writes."""

    signing_number: int
    keys: list[NumberedSecret]

    @property
    def numbers(self) -> list[int]:
        """The numbers of all keys."""
        return [key.number for key in self.keys]

    def add_key(self) -> None:
        """Adds a new key, and removes all others except the signing key."""
        number = max(self.numbers, default=0) % MAX_KEY_NUMBER + 1
        signing = [key for key in self.keys if key.number == self.signing_number][-1:]
        new = NumberedSecret(number, secrets.token_hex(MIN_KEY_BYTES))
        self.keys = [*signing, new][-MAX_KEYS:]

    def text(self) -> str:
        """Returns the text of the key file."""
        sections = (f'\n[[key]]\nnumber = {key.number}\nsecret = "{key.secret}"\n' for key in self.keys)
        return f"signs = {self.signing_number}\n" + "".join(sections)


@click.group()
def vrrp() -> None:
    """Show the VRRP groups of a running server, and handle VRRP files, keys and messages."""


@vrrp.command()
@click.argument("name", required=False)
@click.option("--json", "as_json", is_flag=True, help="Print JSON, for scripts.")
def show(name: str | None, as_json: bool) -> None:
    """Show groups, states, timers and counters of the server NAME (default NODE_NAME) on this machine."""
    name = name or os.environ.get("NODE_NAME")
    if not name:
        exit_bad_input("the server's name is missing: give NAME or set NODE_NAME")
    try:
        answer = control.query(name, "vrrp")
    except (OSError, ValueError) as error:
        exit_bad_input(f"no server answers at {control.socket_path(name)}: {error}")
    if "error" in answer:
        exit_bad_input(str(answer["error"]))
    groups = answer["vrrp"]
    if as_json:
        click.echo(json.dumps(groups, indent=1))
        return
    assert isinstance(groups, list)
    for group in groups:
        for line in _group_lines(group):
            click.echo(line)


def _group_lines(group: dict[str, Any]) -> list[str]:
    lowered = f", lowered by {', '.join(group['lowered_by'])}" if group["lowered_by"] else ""
    return [
        f"{group['group']} (vrid {group['vrid']}): {group['state']}, gate {group['door']}, priority "
        f"{group['priority']} of {group['base']}{lowered}",
        f"  interval {group['interval_ms']:g} ms, timer in {group['timer_ms']} ms, "
        f"returns {group['returns']}",
        "  " + ", ".join(f"{name} {count}" for name, count in sorted(group["counts"].items())),
    ]


@vrrp.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Check FILE and its key file, and also products and tenants if NODE_CONFIG is set."""
    try:
        values = tomllib.loads(file.read_text("utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        exit_bad_input(f"cannot read {file}: {error}")
    try:
        configuration = parse_configuration(values, file, *_classes_and_tenants(values))
    except (VrrpConfigurationError, ConfigurationError) as error:
        exit_bad_input(error)
    keys = configuration.keys
    click.echo(
        f"{file}: valid: {len(configuration.groups)} groups, keys {sorted(keys.by_number)}, "
        f"signing key {keys.signing_number}"
    )


def _classes_and_tenants(values: dict[str, Any]) -> tuple[list[RequestClass], list[Tenant]]:
    """Returns the request classes and tenants that the file is checked against."""
    if path := os.environ.get(CONFIGURATION_VARIABLE):
        settings = read_configuration(path).settings
        return parse_request_classes(settings), parse_tenants(settings)
    return names_used_in(tables_under(values, "group"))


@vrrp.command()
@click.argument("data")
@click.option("--source", default="0.0.0.0", help="The sender's address, for the checksum.")
@click.option("--destination", default="224.0.0.18", help="The destination address, for the checksum.")
def decode(data: str, source: str, destination: str) -> None:
    """Decode an advertisement, with or without its trailer. DATA is hexadecimal; '-' reads raw bytes from
    standard input."""
    message = sys.stdin.buffer.read() if data == "-" else _parse_hex(data)
    source_address = _parse_address(source)
    destination_address = _parse_address(destination)
    size = _advertisement_size(message, source_address)
    try:
        advertisement = packet.decode(message[:size], source_address, destination_address)
    except PacketError as error:
        exit_bad_input(f"dropped: {error}")
    click.echo(
        f"vrid {advertisement.vrid}, priority {advertisement.priority}, "
        f"interval {advertisement.interval_ms:g} ms, "
        f"addresses {', '.join(map(str, advertisement.addresses))}"
    )
    if len(message) > size:
        click.echo(_trailer_line(message[size:]))


def _advertisement_size(message: bytes, source: packet.Address) -> int:
    """Returns the number of bytes before the trailer, computed from the address count in the header."""
    if len(message) < packet.HEADER_SIZE:
        return len(message)
    address_size = packet.IPV4_SIZE if source.version == 4 else packet.IPV6_SIZE
    return packet.HEADER_SIZE + message[3] * address_size


def _trailer_line(trailer: bytes) -> str:
    if len(trailer) != TRAILER_SIZE:
        return f"{len(trailer)} more bytes, which are not an authentication trailer"
    number, incarnation, counter = TRAILER_FIELDS.unpack_from(trailer)
    return (
        f"signed with key {number}, incarnation {incarnation}, counter {counter} "
        "(this command does not verify the MAC)"
    )


def _parse_hex(text: str) -> bytes:
    try:
        return bytes.fromhex(text)
    except ValueError:
        exit_bad_input("DATA is not hexadecimal")


def _parse_address(text: str) -> packet.Address:
    try:
        return ip_address(text)
    except ValueError as error:
        exit_bad_input(error)


@vrrp.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--add", is_flag=True, help="Add a key to FILE, without signing with it yet.")
@click.option("--sign", type=int, metavar="NUMBER", help="Make this key of FILE the signing key.")
def keygen(file: Path, add: bool, sign: int | None) -> None:
    """Write a new key FILE with mode 0600. --add and --sign are the two steps of a key rotation (see
    docs/vrrp.md)."""
    is_change = add or sign is not None
    if not is_change and file.exists():
        exit_bad_input(f"{file} already exists; use --add to add a key to it")
    content = _read_key_file(file) if is_change else KeyFileContent(1, [])
    if add or not content.keys:
        content.add_key()
    if sign is not None:
        if sign not in content.numbers:
            exit_bad_input(f"{file}: there is no key {sign}")
        content.signing_number = sign
    _write_key_file(file, content)
    click.echo(f"{file}: keys {sorted(content.numbers)}, signing key {content.signing_number}")


def _read_key_file(file: Path) -> KeyFileContent:
    try:
        values = tomllib.loads(file.read_text("utf-8"))
        keys = [NumberedSecret(key["number"], key["secret"]) for key in values["key"]]
        return KeyFileContent(values["signs"], keys)
    except (OSError, ValueError, KeyError, TypeError):
        exit_bad_input(f"{file}: not a valid key file")


def _write_key_file(file: Path, content: KeyFileContent) -> None:
    """Replaces the file atomically. It is never readable by other users."""
    temporary = file.with_name(file.name + ".new")
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
    with open(os.open(temporary, flags, MAX_KEY_FILE_MODE), "w") as out:
        out.write(content.text())
    os.replace(temporary, file)
