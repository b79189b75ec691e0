"""What the pure parts of a cell want done: effects that a `Participant` or a `Relay` hands to its actor.

A relay's requests to the store and the disk are effects as well; they are in `fleet/effects.py`."""

from dataclasses import dataclass

from otterrudder.fleet.cell.messages import EndorsementRequest, RelayMessage, ServerMessage
from otterrudder.fleet.effects import Effect


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a stream to a relay. The participant is to be notified of its opening or of its end."""

    connection: int
    relay: str


@dataclass(frozen=True, slots=True)
class Disconnect:
    """End a stream, without a notification."""

    connection: int


@dataclass(frozen=True, slots=True)
class SendToRelay:
    """Send a message on the stream with this number."""

    connection: int
    message: ServerMessage


@dataclass(frozen=True, slots=True)
class ValidateText:
    """Validate a policy's text against the server's own configuration, off the event loop.

    The participant is to be notified of the result."""

    digest: str
    text: str


ParticipantEffect = Connect | Disconnect | SendToRelay | ValidateText


@dataclass(frozen=True, slots=True)
class SendToServer:
    """Send a message on the stream with this number."""

    connection: int
    message: RelayMessage


@dataclass(frozen=True, slots=True)
class EndSession:
    """End a stream, after the messages that were sent on it."""

    connection: int


@dataclass(frozen=True, slots=True)
class PeerRequest:
    """Send a request to another relay of the cell."""

    peer: str
    message: EndorsementRequest


RelayEffect = Effect | SendToServer | EndSession | PeerRequest
