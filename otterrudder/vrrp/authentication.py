"""Authentication of advertisements over UDP: each message ends with a trailer that contains a MAC.

    advertisement | key number (1 byte) | incarnation (8 bytes) | counter (8 bytes) | MAC (16 bytes)

The MAC is a truncated HMAC-SHA256 over the sender's name and all bytes before the MAC.

Replay protection: for each sender the receiver keeps the incarnation (the start time of the sender's process
in Unix ms) and a window of received counters. A message is a replay if its incarnation is lower than the last
one received, or its counter is below the window or was received before. A receiver that restarts has lost
this state: it accepts a message of an earlier incarnation until it receives one of the present incarnation.
Incarnations come from clocks that may be set back: a router that restarts with a lower incarnation is
rejected until its clock has passed the previous one."""

import hmac
import struct
from dataclasses import dataclass

from otterrudder.vrrp.keys import MIN_KEY_BYTES, Key, KeyRing
from otterrudder.vrrp.packet import DropReason, PacketError

MAC_SIZE = 16  # bytes; half of a SHA-256 hash
TRAILER_FIELDS = struct.Struct(">BQQ")  # key number, incarnation, counter
TRAILER_SIZE = TRAILER_FIELDS.size + MAC_SIZE
REPLAY_WINDOW = 64  # counters below the highest one that are still accepted, because UDP may reorder messages
MAX_SENDERS = 64  # maximum number of senders with replay state; the configured peers are fewer

# Stands in for an unknown key, so that a message with an unknown key number takes as long to verify.
_UNKNOWN_KEY = Key(0, bytes(MIN_KEY_BYTES))


@dataclass(slots=True)
class _ReplayState:
    """The counters that were received from one sender."""

    incarnation: int
    highest: int  # the highest counter
    received: int  # bit mask of received counters; bit 0 is the highest counter, bit 1 the one below it


class Authenticator:
    """Signs the messages that this router sends and verifies those it receives. Times are Unix ms."""

    def __init__(self, keys: KeyRing, incarnation: int) -> None:
        """`incarnation` is the start time of this process, which must be higher than any earlier one."""
        self.keys = keys
        self.incarnation = incarnation
        self.counter = 0
        self._replay_states: dict[tuple[str, int], _ReplayState] = {}

    def sign(self, message: bytes, sender: str) -> bytes:
        """Returns `message` with its trailer. `sender` is the name by which the peers know this router.

        The MAC includes the name, so that a message cannot be attributed to another router. Each call uses a
        new counter."""
        self.counter += 1
        key = self.keys.signing_key
        signed = message + TRAILER_FIELDS.pack(key.number, self.incarnation, self.counter)
        return signed + _mac(key, sender, signed)

    def verify(self, data: bytes, sender: str, vrid: int, now_unix_ms: float) -> bytes:
        """Returns the message in `data` from `sender`. Raises PacketError if it must be dropped.

        Replay state is kept for each combination of `sender` and `vrid`. The MAC is checked first and in
        constant time, so a message without a valid MAC changes no state."""
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
        """Records a counter. Raises PacketError if the message is a replay."""
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
