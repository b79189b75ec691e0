"""The shared keys of a VRRP group and their TOML file.

Several keys may be accepted at a time while one signs. So keys change in service: first every router accepts
the new key, then each signs with it, then the old one is removed, or expires at a stated time. A secret is
never shown: not in an error, a log line or a repr."""

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

MIN_KEY_BYTES = 32  # the size of the hash
MAX_KEY_FILE_MODE = 0o600  # nobody but its owner reads a key file


class KeyFileError(Exception):
    """What is wrong with a key file, in one line without any of its secrets."""


@dataclass(frozen=True, slots=True)
class Key:
    """A shared key and its number on the wire."""

    number: int  # 1 to 255
    secret: bytes = field(repr=False)
    until_ms: float = math.inf  # Unix ms; not accepted after that


@dataclass(frozen=True, slots=True)
class KeyRing:
    """All keys that are accepted, and the number of the one that signs."""

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
    secret: str  # hex
    until: float | None = None  # Unix s


class _KeyFile(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    signs: int
    key: list[dict[str, Any]]


def read_keys(path: str | Path) -> KeyRing:
    """The keys in a TOML file that only its owner can read; KeyFileError without any secret."""
    name = Path(path).name
    try:
        with open(path, "rb") as file:
            mode = stat.S_IMODE(os.fstat(file.fileno()).st_mode)
            if mode & ~MAX_KEY_FILE_MODE:
                raise KeyFileError(
                    f"{name}: mode {mode:04o}: others could read it; {MAX_KEY_FILE_MODE:04o} is wanted"
                )
            values = tomllib.loads(file.read().decode("utf-8"))
    except OSError as error:
        raise KeyFileError(f"cannot read {path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError):  # their messages may quote a line, and so a secret
        raise KeyFileError(f"{name}: not TOML") from None
    return parse_keys(values, name)


def parse_keys(values: Any, name: str) -> KeyRing:
    """The keys in decoded TOML; `name`: of the file, for errors."""
    file = convert(values, _KeyFile, name, KeyFileError)
    by_number: dict[int, Key] = {}
    for position, section in enumerate(file.key, 1):
        key = _parse_key(section, f"{name}: key[{position}]", by_number)
        by_number[key.number] = key
    if file.signs not in by_number:
        raise KeyFileError(f"{name}: signs: there is no key {file.signs}")
    return KeyRing(by_number, file.signs)


def _parse_key(values: Any, place: str, taken: Container[int]) -> Key:
    section = convert(values, _KeySection, place, KeyFileError)
    if not 1 <= section.number <= 255 or section.number in taken:
        raise KeyFileError(f"{place}.number: {section.number} is taken or not from 1 to 255")
    try:
        secret = bytes.fromhex(section.secret)
    except ValueError:
        raise KeyFileError(f"{place}.secret: it is not hex") from None
    if len(secret) < MIN_KEY_BYTES:
        raise KeyFileError(f"{place}.secret: {len(secret)} bytes, {MIN_KEY_BYTES} or more are wanted")
    return Key(section.number, secret, math.inf if section.until is None else section.until * 1000)
