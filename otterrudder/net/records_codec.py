"""The codec of the records service's protocol: encodes calls and decodes replies. It performs no I/O."""

import math

import msgspec

from otterrudder.admission.interface import Outcome
from otterrudder.net import lines
from otterrudder.net.buffer import ProtocolError
from otterrudder.net.lines import Words
from otterrudder.net.messages import CancelCall, SendCall

MIN_TIMEOUT_MS = 1  # the protocol has whole ms
REPLY_WORDS = 3  # number of words in a line that is followed by a body
MAX_QUOTED = 40  # characters of an unknown reply that an error message quotes

_OUTCOMES = {
    "DONE": Outcome.OK,
    "WAIT": Outcome.FULL,
    "ERROR": Outcome.ERROR,
    "PAST": Outcome.TIMEOUT,
    "EMPTY": Outcome.NEVER_STARTED,
}


class CallReply(msgspec.Struct, frozen=True, gc=False):
    """The end of a downstream call."""

    request_id: str
    outcome: Outcome
    body: bytes


def has_body(words: Words) -> bool:
    """Whether a body follows the line with these words."""
    return len(words) == REPLY_WORDS and words[1] == "DONE"


def decode(words: Words, body: bytes) -> CallReply:
    """Decodes a line and its body. Raises ProtocolError if the line is not valid."""
    outcome = _OUTCOMES.get(words[1]) if len(words) > 1 else None
    if outcome is None:
        raise ProtocolError(f"unknown reply {' '.join(words)[:MAX_QUOTED]!r}")
    return CallReply(words[0], outcome, body)


def encode_call(call: SendCall) -> list[bytes]:
    """Encodes a call as a line and a body."""
    timeout_ms = max(math.ceil(call.timeout_ms), MIN_TIMEOUT_MS)
    return lines.encode_with_body(call.body, "OP", call.request_id, timeout_ms)


def encode_cancel(cancel: CancelCall) -> list[bytes]:
    """Encodes the cancellation of a call."""
    return lines.encode("UNOP", cancel.request_id)
