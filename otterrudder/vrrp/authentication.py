"""Who may speak: each message over UDP ends in a trailer with a key's number, the sender's life and count,
and a MAC.

    advert | key (1 byte) | epoch (8) | counter (8) | HMAC-SHA256 over all before it, cut to 16 bytes

Several keys may be accepted at a time and one signs, so that keys change in service: first every speaker
accepts the new key, then each signs with it, then the old one goes (or lapses by itself at a stated time). A
key is never shown: not in an error, a log line or a repr.

Replay: for each sender a life (`epoch`, the Unix ms of its start) and within it a window of counters. A
lower life than the last one heard, a counter below the window or one seen before is a replay. What a
receiver that starts anew has no memory of is bounded by `epoch`: a life that began long before is heard only
while it still speaks. Epochs come from clocks that may be set back: a speaker whose new life does not exceed
the last one uses the last one plus one, if it knows it; else it is out until its clock passes."""

import hmac
import os
import stat
import struct
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from otterrudder.files import convert
from otterrudder.vrrp.packet import BadPacket, Flaw

MAC = 16  # bytes of the MAC: half of SHA-256's, as is usual on small messages
TRAILER = struct.Struct(">BQQ")
SIZE = TRAILER.size + MAC  # bytes behind the advert
KEY_LEAST = 32  # bytes of a key: as many as the hash has
WINDOW = 64  # counters below the highest that may still come: UDP reorders little
SENDERS_MOST = 64  # senders remembered; peers are stated, so there are fewer
MODE_MOST = 0o600  # of a key file: nobody but its owner reads it


class BadKeys(Exception):
    """What is wrong with a key file, in one line without any of its secrets."""


@dataclass(frozen=True, slots=True)
class Key:
    number: int  # 1 to 255, as on the wire
    secret: bytes = field(repr=False)
    until_ms: float = float("inf")  # Unix; past that it is not accepted


@dataclass(frozen=True, slots=True)
class Keys:
    """All keys that are accepted, and the one that signs."""

    by_number: Mapping[int, Key] = field(repr=False)
    signs: int = 0

    def __repr__(self) -> str:
        return f"Keys(numbers={sorted(self.by_number)}, signs={self.signs})"


class _KeyPart(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    number: int
    secret: str  # hex
    until: float | None = None  # Unix s


class _KeyFile(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    signs: int
    key: list[dict[str, Any]]


def read_keys(path: str | Path) -> Keys:
    """The keys in a TOML file that only its owner can read; BadKeys says what is wrong, never with a
    secret."""
    name = Path(path).name
    try:
        with open(path, "rb") as file:
            mode = stat.S_IMODE(os.fstat(file.fileno()).st_mode)
            if mode & ~MODE_MOST:
                raise BadKeys(f"{name}: mode {mode:04o}: others could read it; {MODE_MOST:04o} is wanted")
            told = tomllib.loads(file.read().decode("utf-8"))
    except OSError as trouble:
        raise BadKeys(f"cannot read {path}: {trouble.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError):  # its words may quote a line, and so a key
        raise BadKeys(f"{name}: not TOML") from None
    return parse_keys(told, name)


def parse_keys(told: Any, name: str) -> Keys:
    """The keys in a decoded table."""
    whole = convert(told, _KeyFile, name, BadKeys)
    found: dict[int, Key] = {}
    for n, part in enumerate(whole.key, 1):
        where = f"{name}: key[{n}]"
        key = convert(part, _KeyPart, where, BadKeys)
        if not 1 <= key.number <= 255 or key.number in found:
            raise BadKeys(f"{where}.number: {key.number} is taken or not from 1 to 255")
        try:
            secret = bytes.fromhex(key.secret)
        except ValueError:
            raise BadKeys(f"{where}.secret: it is not hex") from None
        if len(secret) < KEY_LEAST:
            raise BadKeys(f"{where}.secret: {len(secret)} bytes, {KEY_LEAST} or more are wanted")
        found[key.number] = Key(key.number, secret, float("inf") if key.until is None else key.until * 1000)
    if whole.signs not in found:
        raise BadKeys(f"{name}: signs: there is no key {whole.signs}")
    return Keys(found, whole.signs)


@dataclass(slots=True)
class _Heard:
    """What was heard of one sender."""

    epoch: int
    highest: int
    seen: int  # a bit for each counter below the highest


class Seal:
    """Signs what this speaker sends and opens what it hears. Times are Unix ms."""

    def __init__(self, keys: Keys, epoch: int) -> None:
        """`epoch`: this life of the process, higher than any before it: the Unix ms of its start."""
        self.keys, self.epoch, self.counter = keys, epoch, 0
        self._heard: dict[tuple[str, int], _Heard] = {}

    def close(self, message: bytes, sender: str) -> bytes:
        """`message` with its trailer, from `sender` as its peers name it: the name is under the MAC, so that
        a message can't be passed off as another's. Each call counts: the same message twice is two
        messages."""
        self.counter += 1
        key = self.keys.by_number[self.keys.signs]
        whole = message + TRAILER.pack(key.number, self.epoch, self.counter)
        return whole + _mac(key, sender, whole)

    def open(self, data: bytes, sender: str, vrid: int, now_unix_ms: float) -> bytes:
        """The message in `data` from `sender`, or BadPacket. `vrid` sets groups of one sender apart.

        The MAC is compared first and in constant time: nothing of an unsealed message changes any state."""
        if len(data) <= SIZE:
            raise BadPacket(Flaw.SHORT)
        message = data[:-SIZE]
        number, epoch, counter = TRAILER.unpack_from(data, len(message))
        key = self.keys.by_number.get(number)
        wanted = _mac(key or _NOBODY, sender, data[:-MAC])
        if not hmac.compare_digest(wanted, data[-MAC:]) or key is None or now_unix_ms > key.until_ms:
            raise BadPacket(Flaw.SEAL)
        self._note(sender, vrid, epoch, counter)
        return message

    def _note(self, sender: str, vrid: int, epoch: int, counter: int) -> None:
        heard = self._heard.get((sender, vrid))
        if heard is None and len(self._heard) >= SENDERS_MOST:
            raise BadPacket(Flaw.SENDER)
        if heard is None or epoch > heard.epoch:
            self._heard[sender, vrid] = _Heard(epoch, counter, 1)
            return
        ahead = counter - heard.highest
        if epoch < heard.epoch or ahead <= -WINDOW or ahead <= 0 and heard.seen >> -ahead & 1:
            raise BadPacket(Flaw.REPLAY)
        if ahead > 0:
            heard.seen = (heard.seen << ahead | 1) & (1 << WINDOW) - 1 if ahead < WINDOW else 1
            heard.highest = counter
        else:
            heard.seen |= 1 << -ahead


_NOBODY = Key(0, bytes(KEY_LEAST))  # an unknown number costs what a known one does


def _mac(key: Key, sender: str, data: bytes) -> bytes:
    return hmac.digest(key.secret, sender.encode() + b"\0" + data, "sha256")[:MAC]
