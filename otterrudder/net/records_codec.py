"""The codec of the records service's protocol: calls out, replies in. No I/O."""

import math

import msgspec

from otterrudder.admission.interface import Outcome
from otterrudder.net import lines
from otterrudder.net.buffer import ProtocolError
from otterrudder.net.lines import Words
from otterrudder.net.messages import CancelCall, SendCall

MIN_TIMEOUT_MS = 1  # the service takes whole ms
REPLY_WORDS = 3  # words of a line that a body follows
MAX_QUOTED = 40  # characters of a wrong reply in an error

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
    """Whether a body follows this line."""
    return len(words) == REPLY_WORDS and words[1] == "DONE"


def decode(words: Words, body: bytes) -> CallReply:
    """What a line says; ProtocolError: it can't be understood."""
    outcome = _OUTCOMES.get(words[1]) if len(words) > 1 else None
    if outcome is None:
        raise ProtocolError(f"unknown reply {' '.join(words)[:MAX_QUOTED]!r}")
    return CallReply(words[0], outcome, body)


def encode_call(call: SendCall) -> list[bytes]:
    """The line and the body of a call."""
    timeout_ms = max(math.ceil(call.timeout_ms), MIN_TIMEOUT_MS)
    return lines.encode_with_body(call.body, "OP", call.request_id, timeout_ms)


def encode_cancel(cancel: CancelCall) -> list[bytes]:
    """The line that gives a call up."""
    return lines.encode("UNOP", cancel.request_id)
