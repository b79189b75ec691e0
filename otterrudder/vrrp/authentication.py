"""Authentication of advertisements over UDP: each message ends in a trailer with a MAC.

    advertisement | key number (1 byte) | incarnation (8) | counter (8) | MAC (16)

The MAC is HMAC-SHA256 over the sender's name and all bytes before it, truncated.

Replay protection: for each sender the receiver keeps the incarnation (the Unix ms of the process's start) and
a window of counters within it. A lower incarnation than the last one received, a counter below the window, or
one that was received before is a replay. A receiver that starts anew has no memory; a message of an earlier
incarnation is then accepted only until the sender itself is heard. Incarnations come from clocks that may be
set back: a router that restarts with a lower one is rejected until its clock has passed the old one."""

import hmac
import struct
from dataclasses import dataclass

from otterrudder.vrrp.keys import MIN_KEY_BYTES, Key, KeyRing
from otterrudder.vrrp.packet import DropReason, PacketError

MAC_SIZE = 16  # bytes: half of SHA-256's
TRAILER_FIELDS = struct.Struct(">BQQ")  # key number, incarnation, counter
TRAILER_SIZE = TRAILER_FIELDS.size + MAC_SIZE
REPLAY_WINDOW = 64  # counters below the highest that may still arrive: UDP reorders little
MAX_SENDERS = 64  # whose counters are kept; peers are configured, so there are fewer

_UNKNOWN_KEY = Key(0, bytes(MIN_KEY_BYTES))  # so that an unknown number takes as long as a known one


@dataclass(slots=True)
class _ReplayState:
    """What was received of one sender."""

    incarnation: int
    highest: int
    received: int  # a bit for each counter: bit 0 is the highest, bit 1 the one below


class Authenticator:
    """Signs what this router sends and verifies what it receives. Times are Unix ms."""

    def __init__(self, keys: KeyRing, incarnation: int) -> None:
        """`incarnation`: of this process, higher than any before it: the Unix ms of its start."""
        self.keys = keys
        self.incarnation = incarnation
        self.counter = 0
        self._replay_states: dict[tuple[str, int], _ReplayState] = {}

    def sign(self, message: bytes, sender: str) -> bytes:
        """`message` with its trailer, from `sender` as its peers name it.

        The name is under the MAC, so that a message cannot be passed off as another router's. Each call takes
        a new counter."""
        self.counter += 1
        key = self.keys.signing_key
        signed = message + TRAILER_FIELDS.pack(key.number, self.incarnation, self.counter)
        return signed + _mac(key, sender, signed)

    def verify(self, data: bytes, sender: str, vrid: int, now_unix_ms: float) -> bytes:
        """The message in `data` from `sender`, or PacketError. `vrid` keeps the groups of a sender apart.

        The MAC is compared first and in constant time: a message without a valid one changes no state."""
        if len(data) <= TRAILER_SIZE:
            raise PacketError(DropReason.SHORT)
        message = data[:-TRAILER_SIZE]
        number, incarnation, counter = TRAILER_FIELDS.unpack_from(data, len(message))
        key = self.keys.by_number.get(number)
        expected = _mac(key or _UNKNOWN_KEY, sender, data[:-MAC_SIZE])
        is_genuine = hmac.compare_digest(expected, data[-MAC_SIZE:])
        if not is_genuine or key is None or now_unix_ms > key.until_ms:
            raise PacketError(DropReason.AUTHENTICATION)
        self._check_replay((sender, vrid), incarnation, counter)
        return message

    def _check_replay(self, sender: tuple[str, int], incarnation: int, counter: int) -> None:
        """Notes a counter, or raises PacketError if it is a replay."""
        state = self._replay_states.get(sender)
        if state is None and len(self._replay_states) >= MAX_SENDERS:
            raise PacketError(DropReason.SENDER)
        if state is None or incarnation > state.incarnation:
            self._replay_states[sender] = _ReplayState(incarnation, counter, 1)
            return
        ahead = counter - state.highest
        is_received = ahead <= 0 and ahead > -REPLAY_WINDOW and state.received >> -ahead & 1
        if incarnation < state.incarnation or ahead <= -REPLAY_WINDOW or is_received:
            raise PacketError(DropReason.REPLAY)
        if ahead <= 0:
            state.received |= 1 << -ahead
            return
        window = (1 << REPLAY_WINDOW) - 1
        state.received = (state.received << ahead | 1) & window if ahead < REPLAY_WINDOW else 1
        state.highest = counter


def _mac(key: Key, sender: str, data: bytes) -> bytes:
    return hmac.digest(key.secret, sender.encode() + b"\0" + data, "sha256")[:MAC_SIZE]
