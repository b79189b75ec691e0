"""The shared keys of a VRRP group and their TOML file.

A router may accept several keys and signs with one of them, so keys can be rotated without interruption:
first every router accepts the new key, then every router signs with it, then the old key is removed or
expires at a configured time. Secrets never appear in an error, a log line or a repr."""

import math
import os
import stat
import tomllib
from collections.abc import Container, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from otterrudder.files import convert

MIN_KEY_BYTES = 32  # the size of a SHA-256 hash
MAX_KEY_FILE_MODE = 0o600  # only the owner may read a key file


class KeyFileError(Exception):
    """A key file is invalid. The message is one line and contains no secret."""


@dataclass(frozen=True, slots=True)
class Key:
    """A shared key."""

    number: int  # 1 to 255, identifies the key on the wire
    secret: bytes = field(repr=False)
    until_ms: float = math.inf  # Unix ms after which the key is not accepted


@dataclass(frozen=True, slots=True)
class KeyRing:
    """The accepted keys by number, and the number of the key that signs."""

    by_number: Mapping[int, Key] = field(repr=False)
    signing_number: int = 0

    def __repr__(self) -> str:
        return f"KeyRing(numbers={sorted(self.by_number)}, signing_number={self.signing_number})"

    @property
    def signing_key(self) -> Key:
        """The key that signs."""
        return self.by_number[self.signing_number]


class _KeySection(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """`[[key]]`."""

    number: int
    secret: str  # hexadecimal
    until: float | None = None  # Unix seconds


class _KeyFile(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    signs: int
    key: list[dict[str, Any]]


def read_keys(path: str | Path) -> KeyRing:
    """Reads the keys in a TOML file. Raises KeyFileError, also if others than the owner may read the file."""
    name = Path(path).name
    try:
        with open(path, "rb") as file:
            mode = stat.S_IMODE(os.fstat(file.fileno()).st_mode)
            if mode & ~MAX_KEY_FILE_MODE:
                raise KeyFileError(
                    f"{name}: mode {mode:04o} gives access to other users; set {MAX_KEY_FILE_MODE:04o}"
                )
            values = tomllib.loads(file.read().decode("utf-8"))
    except OSError as error:
        raise KeyFileError(f"cannot read {path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError):  # the error may quote a secret
        raise KeyFileError(f"{name}: not TOML") from None
    return parse_keys(values, name)


def parse_keys(values: Any, name: str) -> KeyRing:
    """Parses the keys in decoded TOML. `name` is the file name in error messages."""
    file = convert(values, _KeyFile, name, KeyFileError)
    by_number: dict[int, Key] = {}
    for position, section in enumerate(file.key, 1):
        key = _parse_key(section, f"{name}: key[{position}]", by_number)
        by_number[key.number] = key
    if file.signs not in by_number:
        raise KeyFileError(f"{name}: signs: there is no key {file.signs}")
    return KeyRing(by_number, file.signs)


def _parse_key(values: Any, location: str, used_numbers: Container[int]) -> Key:
    section = convert(values, _KeySection, location, KeyFileError)
    if not 1 <= section.number <= 255 or section.number in used_numbers:
        raise KeyFileError(f"{location}.number: {section.number} is already used or not between 1 and 255")
    try:
        secret = bytes.fromhex(section.secret)
    except ValueError:
        raise KeyFileError(f"{location}.secret: the value is not hexadecimal") from None
    if len(secret) < MIN_KEY_BYTES:
        raise KeyFileError(
            f"{location}.secret: {len(secret)} bytes are too few, at least {MIN_KEY_BYTES} required"
        )
    return Key(section.number, secret, math.inf if section.until is None else section.until * 1000)
