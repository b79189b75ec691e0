"""Messages between a server and a relay, and between the relays of one cell, and their encoding (msgpack).

A server opens one stream to a relay. It first sends a `Registration`, then a `LeaseRenewal` several times
per lease span. The relay answers each of them with a `LeaseGrant` or a `LeaseRefusal`, and sends a
`PolicyUpdate` or a `ValidationRequest` without being asked. Streams preserve the order of messages.

On the wire each message is an array that begins with the message's tag. An earlier version ignores the
fields that a later version appends."""

from enum import Enum
from typing import TypeVar

import msgspec

PROTOCOL_VERSION = 1
MAX_NAME_LENGTH = 128  # maximum characters in a name, an incarnation or a fingerprint
MAX_DETAIL_LENGTH = 500  # maximum characters in an explanation


class InvalidMessageError(Exception):
    """The bytes are not a message of this protocol, or a field is longer than allowed."""


class RefusalReason(Enum):
    """The reasons for which a relay refuses a lease."""

    NOT_LEADER = "not-leader"  # another relay leads the cell, or none does
    NO_AUTHORITY = "no-authority"  # the relay leads the cell, but may not grant leases at present
    FULL = "full"  # the relay has reached its maximum number of sessions
    UNANSWERED = "unanswered"  # servers with this fingerprint have not answered a validation request
    WRONG_FLEET = "wrong-fleet"  # the relay belongs to another fleet
    PROTOCOL = "protocol"  # unsupported protocol version, or a message before the registration
    SHUTTING_DOWN = "leaving"  # the relay is shutting down


class _Message(msgspec.Struct, frozen=True, array_like=True, omit_defaults=False):
    pass


# Messages from a server to its relay.


class Registration(_Message, frozen=True, tag="Register"):
    """The first message on a server's stream: the server's identity and the policy version that it uses."""

    sequence: int
    fleet: str
    name: str
    incarnation: str  # identifies the server's process
    fingerprint: str  # digest of the server's configuration and program version
    zone: str = ""
    version: int = 0  # policy version that the server uses
    protocol: int = PROTOCOL_VERSION


class LeaseRenewal(_Message, frozen=True, tag="Renew"):
    """Asks the relay to extend the server's lease."""

    sequence: int
    version: int  # policy version that the server uses
    admission_status: str = ""  # admission status of the server, for operators


class ValidationResult(_Message, frozen=True, tag="Verdict"):
    """The answer to a ValidationRequest.

    `rejection`: why servers with this fingerprint reject the text, "" if they accept it."""

    digest: str
    rejection: str = ""


# Messages from a relay to a server.


class LeaseGrant(_Message, frozen=True, tag="Grant"):
    """Grants a lease: for `span_ms`, counted from the sending of the request, no version other than `version`
    is binding for the server, unless a newer version has been announced to it."""

    sequence: int  # sequence number of the request that this message answers
    version: int
    change: str  # ID of the change that created the version
    span_ms: float


class LeaseRefusal(_Message, frozen=True, tag="Refuse"):
    """Refuses a lease. The server tries another relay, unless the reason is `UNANSWERED`."""

    sequence: int
    reason: RefusalReason
    detail: str = ""


class PolicyUpdate(_Message, frozen=True, tag="InForce"):
    """Announces the policy that is in force."""

    version: int
    change: str
    digest: str
    text: str


class ValidationRequest(_Message, frozen=True, tag="AskVerdict"):
    """Asks a server, on behalf of all servers with its fingerprint, to validate an open change's text."""

    digest: str
    text: str


# Messages between the relays of one cell.


class EndorsementRequest(_Message, frozen=True, tag="AskConsent"):
    """Asks another relay of the cell to endorse the leader's lease while the store does not answer."""

    sequence: int
    fleet: str
    cell: str
    sender: str
    candidates: tuple[str, ...]  # addresses of all relays of the cell, sorted


class Endorsement(_Message, frozen=True, tag="Consent"):
    """The answer to an EndorsementRequest: the sender neither grants leases nor votes for the cell for
    `span_ms` after it sends the message. A span of 0 is a refusal."""

    sequence: int
    sender: str
    span_ms: float
    reason: str = ""  # reason of a refusal


# Maximum characters of the fields that a server sends. They are limited because a relay keeps the values in
# memory or writes them to the store.
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
    """Encodes a message for the wire."""
    return _ENCODER.encode(message)


def decode_from_server(data: bytes) -> ServerMessage:
    """Decodes a message from a server; raises InvalidMessageError if it is invalid or a field too long."""
    message = _decode(_SERVER_DECODER, data)
    for field, max_length in _MAX_LENGTHS[type(message)].items():
        if len(getattr(message, field)) > max_length:
            raise InvalidMessageError(f"{field}: longer than {max_length} characters")
    return message


def decode_from_relay(data: bytes) -> RelayMessage:
    """Decodes a message from a relay to a server; raises InvalidMessageError if it is invalid."""
    return _decode(_RELAY_DECODER, data)


def decode_from_peer(data: bytes) -> PeerMessage:
    """Decodes a message between relays of a cell; raises InvalidMessageError if it is invalid."""
    return _decode(_PEER_DECODER, data)


def _decode(decoder: msgspec.msgpack.Decoder[_T], data: bytes) -> _T:
    try:
        return decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise InvalidMessageError(str(error)) from None
