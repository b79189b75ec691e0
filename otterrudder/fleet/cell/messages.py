"""Messages between a server and a relay, and between the relays of one cell; their binary form (msgpack).

A server opens one stream to a relay and sends a `Registration` first, then a `LeaseRenewal` from time to
time. The relay answers each with a `LeaseGrant` or a `LeaseRefusal`, and sends a `PolicyUpdate` or a
`ValidationRequest` on its own. Streams keep the order of messages.

On the wire each message is an array that begins with its tag: fields that a later version appends are
ignored by an earlier one."""

from enum import Enum

import msgspec

PROTOCOL_VERSION = 1
NAME_MOST = 128  # characters of a name, an epoch or a kind
MAX_DETAIL_LENGTH = 500  # characters of an explanation


class InvalidMessageError(Exception):
    """Bytes that are no message of this protocol, or a message with a field out of its bounds."""


class RefusalReason(Enum):
    """Why a relay grants no lease."""

    NOT_LEADER = "not-leader"  # another relay leads the cell, or none does
    NO_AUTHORITY = "no-authority"  # it leads, and can't promise anything at the moment
    FULL = "full"  # it has as many sessions as it may have
    UNANSWERED = "unanswered"  # this kind of server was asked about an open change and has not answered
    WRONG_FLEET = "wrong-fleet"  # the relay is of another fleet
    PROTOCOL = "protocol"  # the message or its version is not known
    LEAVING = "leaving"  # the relay is shutting down


class _Message(msgspec.Struct, frozen=True, array_like=True, omit_defaults=False):
    pass


class Registration(_Message, frozen=True, tag="Register"):
    """The first message of a server: who it is, and what it goes by."""

    sequence: int
    fleet: str
    name: str
    epoch: str  # new with each process
    kind: str  # digest of its configuration and program version
    zone: str = ""
    version: int = 0  # of the policy it goes by
    protocol: int = PROTOCOL_VERSION


class LeaseRenewal(_Message, frozen=True, tag="Renew"):
    """Asks for the lease's span again."""

    sequence: int
    version: int
    standing: str = ""  # for operators


class ValidationResult(_Message, frozen=True, tag="Verdict"):
    """The answer to ValidationRequest: what is wrong with the text for this kind of server, "" if nothing."""

    digest: str
    trouble: str = ""


class LeaseGrant(_Message, frozen=True, tag="Grant"):
    """A lease: until `span_ms` from the sending of the request, no version but `version` binds the server,
    as far
    as it has not been told of a newer one."""

    sequence: int  # of the request that it answers
    version: int
    change: str  # that brought the version
    span_ms: float


class PolicyUpdate(_Message, frozen=True, tag="InForce"):
    """A policy that is in force."""

    version: int
    change: str
    digest: str
    text: str


class ValidationRequest(_Message, frozen=True, tag="AskVerdict"):
    """Asks one server of a kind about the text of an open change."""

    digest: str
    text: str


class LeaseRefusal(_Message, frozen=True, tag="Refuse"):
    """No lease, and why; the server tries another relay."""

    sequence: int
    reason: RefusalReason
    detail: str = ""


class EndorsementRequest(_Message, frozen=True, tag="AskConsent"):
    """From the leading relay of a cell to another one of the cell, while the store does not answer."""

    sequence: int
    fleet: str
    cell: str
    sender: str
    candidates: tuple[str, ...]  # all relays of the cell, sorted


class Endorsement(_Message, frozen=True, tag="Consent"):
    """The sender neither grants leases nor votes for the cell for `span_ms` from now; 0: it does not
    consent."""

    sequence: int
    sender: str
    span_ms: float
    why: str = ""  # of a refusal


# Characters of what servers say: a relay keeps it, or hands it on to the store.
_BOUNDS: dict[type[_Message], dict[str, int]] = {
    Registration: dict.fromkeys(("fleet", "name", "epoch", "kind", "zone"), NAME_MOST),
    LeaseRenewal: {"standing": NAME_MOST},
    ValidationResult: {"digest": NAME_MOST, "trouble": MAX_DETAIL_LENGTH},
}

ServerMessage = Registration | LeaseRenewal | ValidationResult
RelayMessage = LeaseGrant | PolicyUpdate | ValidationRequest | LeaseRefusal
PeerMessage = EndorsementRequest | Endorsement

_ENCODER = msgspec.msgpack.Encoder()
_FROM_SERVER = msgspec.msgpack.Decoder(ServerMessage)
_FROM_RELAY = msgspec.msgpack.Decoder(RelayMessage)
_FROM_PEER = msgspec.msgpack.Decoder(PeerMessage)


def encode(message: ServerMessage | RelayMessage | PeerMessage) -> bytes:
    return _ENCODER.encode(message)


def decode_from_server(data: bytes) -> ServerMessage:
    """Raises InvalidMessageError."""
    try:
        message: ServerMessage = _FROM_SERVER.decode(data)
    except msgspec.MsgspecError as why:
        raise InvalidMessageError(str(why)) from None
    for field, most in _BOUNDS[type(message)].items():
        if len(getattr(message, field)) > most:
            raise InvalidMessageError(f"{field}: more than {most} characters")
    return message


def decode_from_relay(data: bytes) -> RelayMessage:
    """Raises InvalidMessageError."""
    try:
        message: RelayMessage = _FROM_RELAY.decode(data)
    except msgspec.MsgspecError as why:
        raise InvalidMessageError(str(why)) from None
    return message


def decode_from_peer(data: bytes) -> PeerMessage:
    """Raises InvalidMessageError."""
    try:
        message: PeerMessage = _FROM_PEER.decode(data)
    except msgspec.MsgspecError as why:
        raise InvalidMessageError(str(why)) from None
    return message
