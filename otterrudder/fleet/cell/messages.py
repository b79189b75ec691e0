"""Messages between a server and a relay, and between the relays of one cell; their binary form (msgpack).

A server opens one stream to a relay and sends a `Registration` first, then a `LeaseRenewal` from time to
time. The relay answers each with a `LeaseGrant` or a `LeaseRefusal`, and sends a `PolicyUpdate` or a
`ValidationRequest` on its own. Streams keep the order of messages.

On the wire each message is an array that begins with its tag: fields that a later version appends are
ignored by an earlier one."""

from enum import Enum
from typing import TypeVar

import msgspec

PROTOCOL_VERSION = 1
MAX_NAME_LENGTH = 128  # characters of a name, an epoch or a fingerprint
MAX_DETAIL_LENGTH = 500  # characters of an explanation


class InvalidMessageError(Exception):
    """Bytes that are no message of this protocol, or a message with a field out of its bounds."""


class RefusalReason(Enum):
    """Why a relay grants no lease."""

    NOT_LEADER = "not-leader"  # another relay leads the cell, or none does
    NO_AUTHORITY = "no-authority"  # it leads, and may grant nothing at the moment
    FULL = "full"  # it has as many sessions as it may have
    UNANSWERED = "unanswered"  # such a server was asked about an open change and has not answered
    WRONG_FLEET = "wrong-fleet"  # the relay is of another fleet
    PROTOCOL = "protocol"  # the message or its version is not known
    SHUTTING_DOWN = "leaving"  # the relay is shutting down


class _Message(msgspec.Struct, frozen=True, array_like=True, omit_defaults=False):
    pass


# From a server to its relay.


class Registration(_Message, frozen=True, tag="Register"):
    """The first message of a server: who it is, and which version it goes by."""

    sequence: int
    fleet: str
    name: str
    incarnation: str  # new with each process
    fingerprint: str  # digest of its configuration and program version
    zone: str = ""
    version: int = 0  # of the policy that it goes by
    protocol: int = PROTOCOL_VERSION


class LeaseRenewal(_Message, frozen=True, tag="Renew"):
    """Asks for the lease's span again."""

    sequence: int
    version: int
    admission_status: str = ""  # for operators


class ValidationResult(_Message, frozen=True, tag="Verdict"):
    """The answer to a ValidationRequest: why servers with this fingerprint reject the text, "" if they
    accept it."""

    digest: str
    rejection: str = ""


# From a relay to a server.


class LeaseGrant(_Message, frozen=True, tag="Grant"):
    """A lease: until `span_ms` from the sending of the request, no version but `version` binds the server,
    unless a newer one was announced to it."""

    sequence: int  # of the request that it answers
    version: int
    change: str  # that brought the version
    span_ms: float


class LeaseRefusal(_Message, frozen=True, tag="Refuse"):
    """No lease, and why; the server tries another relay."""

    sequence: int
    reason: RefusalReason
    detail: str = ""


class PolicyUpdate(_Message, frozen=True, tag="InForce"):
    """A policy that is in force."""

    version: int
    change: str
    digest: str
    text: str


class ValidationRequest(_Message, frozen=True, tag="AskVerdict"):
    """Asks one server of those with one fingerprint about the text of an open change."""

    digest: str
    text: str


# Between the relays of one cell.


class EndorsementRequest(_Message, frozen=True, tag="AskConsent"):
    """From the leading relay of a cell to another one of the cell, while the store does not answer."""

    sequence: int
    fleet: str
    cell: str
    sender: str
    candidates: tuple[str, ...]  # all relays of the cell, sorted


class Endorsement(_Message, frozen=True, tag="Consent"):
    """The sender neither grants leases nor votes for the cell for `span_ms` from now; 0: it refuses."""

    sequence: int
    sender: str
    span_ms: float
    reason: str = ""  # of a refusal


# Characters of what a server sends, since a relay keeps it or hands it on to the store.
_MAX_LENGTHS: dict[type[_Message], dict[str, int]] = {
    Registration: dict.fromkeys(("fleet", "name", "incarnation", "fingerprint", "zone"), MAX_NAME_LENGTH),
    LeaseRenewal: {"admission_status": MAX_NAME_LENGTH},
    ValidationResult: {"digest": MAX_NAME_LENGTH, "rejection": MAX_DETAIL_LENGTH},
}

ServerMessage = Registration | LeaseRenewal | ValidationResult
RelayMessage = LeaseGrant | PolicyUpdate | ValidationRequest | LeaseRefusal
PeerMessage = EndorsementRequest | Endorsement

_ENCODER = msgspec.msgpack.Encoder()
_SERVER_DECODER = msgspec.msgpack.Decoder(ServerMessage)
_RELAY_DECODER = msgspec.msgpack.Decoder(RelayMessage)
_PEER_DECODER = msgspec.msgpack.Decoder(PeerMessage)

_T = TypeVar("_T")


def encode(message: ServerMessage | RelayMessage | PeerMessage) -> bytes:
    """A message as it stands on the wire."""
    return _ENCODER.encode(message)


def decode_from_server(data: bytes) -> ServerMessage:
    """A message of a server, within its bounds; InvalidMessageError."""
    message = _decode(_SERVER_DECODER, data)
    for field, max_length in _MAX_LENGTHS[type(message)].items():
        if len(getattr(message, field)) > max_length:
            raise InvalidMessageError(f"{field}: more than {max_length} characters")
    return message


def decode_from_relay(data: bytes) -> RelayMessage:
    """A message of a relay to a server; InvalidMessageError."""
    return _decode(_RELAY_DECODER, data)


def decode_from_peer(data: bytes) -> PeerMessage:
    """A message between relays of a cell; InvalidMessageError."""
    return _decode(_PEER_DECODER, data)


def _decode(decoder: msgspec.msgpack.Decoder[_T], data: bytes) -> _T:
    try:
        return decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise InvalidMessageError(str(error)) from None
