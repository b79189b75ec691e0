"""The codec of the runtime's protocol: decodes notices and answers, encodes commands. It performs no I/O.

The words of the protocol appear only in this module. The runtime numbers its notices (`end`, `wants`, `info`)
and replays them on a new link from the number that `sync` names."""

from collections.abc import Callable
from typing import Any

import msgspec

from otterrudder.admission.interface import Outcome
from otterrudder.net import lines
from otterrudder.net.buffer import ProtocolError
from otterrudder.net.lines import Words
from otterrudder.net.messages import (
    CloseLink,
    DeliverReply,
    QueryGauges,
    RuntimeMessage,
    SkipDownstreamCall,
    StartRun,
    StopRun,
)

END = "end"
WANTS = "wants"
INFO = "info"
REMARK = b"info "  # start of a notice whose text has no meaning
NOTICE_WORDS = frozenset({END, WANTS, INFO})
# Number of words in a line.
END_WORDS = 6  # `end` followed by a body
WANTS_WORDS = 4  # `wants` followed by a body
MIN_NACK_WORDS = 2
REPLAYED = "replayed"  # tag of the gauges query whose answer ends the replay; commands are handled in order
MAX_QUOTED = 20  # characters of an unknown word that an error message quotes

_OUTCOMES = {
    "complete": Outcome.OK,
    "error": Outcome.ERROR,
    "cancelled": Outcome.CANCELLED,
    "unknown": Outcome.NEVER_STARTED,
}
_COMMANDS: dict[str, type[RuntimeMessage]] = {
    "start": StartRun,
    "give": DeliverReply,
    "stop": StopRun,
    "omit": SkipDownstreamCall,
    "gauges": QueryGauges,
}


class RunEnded(msgspec.Struct, frozen=True, gc=False):
    """A run has ended; `body` is its response."""

    request_id: str
    outcome: Outcome
    body: bytes


class CallNeeded(msgspec.Struct, frozen=True, gc=False):
    """A run waits for a downstream call."""

    request_id: str
    body: bytes


class Information(msgspec.Struct, frozen=True, gc=False):
    """A notice that needs no action."""


class GaugesReported(msgspec.Struct, frozen=True, gc=False):
    """The answer to a gauges query."""

    tag: int
    values: list[float]


class ReplayFinished(msgspec.Struct, frozen=True, gc=False):
    """All notices missed on earlier links have been received."""


class RuntimeReady(msgspec.Struct, frozen=True, gc=False):
    """The runtime is up."""

    is_warm: bool
    uptime_ms: float


class CommandRefused(msgspec.Struct, frozen=True, gc=False):
    """The runtime did not carry out a command."""

    word: str
    argument: str  # the request id for most commands

    @property
    def command(self) -> type[RuntimeMessage] | None:
        """The type of the refused command; None if the word is unknown."""
        return _COMMANDS.get(self.word)

    @property
    def is_replay_end(self) -> bool:
        """Whether the refused command is the query whose answer ends the replay."""
        return self.command is QueryGauges and self.argument == REPLAYED


RuntimeEvent = (
    RunEnded | CallNeeded | Information | GaugesReported | ReplayFinished | RuntimeReady | CommandRefused
)


def has_body(words: Words) -> bool:
    """Whether a body follows the line with these words."""
    return (words[0] == END and len(words) == END_WORDS) or (words[0] == WANTS and len(words) == WANTS_WORDS)


def notice_number(words: Words) -> int | None:
    """Returns the number of a notice, or None if the line is not a notice. Raises ProtocolError or IndexError
    if the notice has no valid number."""
    return lines.whole_number(words[1]) if words[0] in NOTICE_WORDS else None


def decode(words: Words, body: bytes) -> RuntimeEvent:
    """Decodes a line and its body. Raises ProtocolError, ValueError or IndexError if they are not valid."""
    decoder = _DECODERS.get(words[0])
    if decoder is None:
        raise ProtocolError(f"unknown word {words[0][:MAX_QUOTED]!r}")
    return decoder(words, body)


def _decode_end(words: Words, body: bytes) -> RunEnded:
    outcome = _OUTCOMES.get(words[3])
    if outcome is None:
        raise ProtocolError(f"unknown outcome of a run {words[3][:MAX_QUOTED]!r}")
    return RunEnded(words[2], outcome, body)


def _decode_load(words: Words, _: bytes) -> GaugesReported | ReplayFinished:
    if words[1] == REPLAYED:
        return ReplayFinished()
    return GaugesReported(lines.whole_number(words[1]), [float(value) for value in words[2:]])


def _decode_nack(words: Words, _: bytes) -> CommandRefused:
    has_argument = len(words) > MIN_NACK_WORDS
    return CommandRefused(words[1], words[2] if has_argument else "")


_DECODERS: dict[str, Callable[[Words, bytes], RuntimeEvent]] = {
    END: _decode_end,
    WANTS: lambda words, body: CallNeeded(words[2], body),
    INFO: lambda words, body: Information(),
    "load": _decode_load,
    "ready": lambda words, body: RuntimeReady(words[1] == "hot", float(words[2])),
    "nack": _decode_nack,
}


def encode(message: RuntimeMessage) -> list[bytes]:
    """Encodes a command as the parts of a line."""
    return _ENCODERS[type(message)](message)


def encode_sync(last_notice: int) -> list[bytes]:
    """Encodes the first line on a link, which requests all notices after `last_notice`."""
    return lines.encode("sync", last_notice)


def encode_replay_end() -> list[bytes]:
    """Encodes the gauges query whose answer ends the replay."""
    return lines.encode("gauges", REPLAYED)


def _encode_query(message: QueryGauges | CloseLink) -> list[bytes]:
    return lines.encode("gauges", message.tag)


_ENCODERS: dict[type[RuntimeMessage], Callable[[Any], list[bytes]]] = {
    StartRun: lambda message: lines.encode_with_body(
        message.body, "start", message.request_id, message.method
    ),
    DeliverReply: lambda message: lines.encode_with_body(message.body, "give", message.request_id),
    StopRun: lambda message: lines.encode("stop", message.request_id),
    SkipDownstreamCall: lambda message: lines.encode("omit", message.request_id),
    QueryGauges: _encode_query,
    CloseLink: _encode_query,
}
