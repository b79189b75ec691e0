"""Effects: the actions that a `Participant` or a `Relay` asks its actor to perform.

A relay's requests to the store and the disk are effects as well; `fleet/effects.py` defines them."""

from dataclasses import dataclass

from otterrudder.fleet.cell.messages import EndorsementRequest, RelayMessage, ServerMessage
from otterrudder.fleet.effects import Effect


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a stream to a relay, and notify the participant when the stream opens and when it ends."""

    connection: int
    relay: str


@dataclass(frozen=True, slots=True)
class Disconnect:
    """End a stream. The participant ignores the notification of its end."""

    connection: int


@dataclass(frozen=True, slots=True)
class SendToRelay:
    """Send a message on the stream with this number."""

    connection: int
    message: ServerMessage


@dataclass(frozen=True, slots=True)
class ValidateText:
    """Validate a policy's text against the server's own configuration, outside the event loop, and notify
    the participant of the result."""

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
    """End a stream after writing the messages that are queued on it."""

    connection: int


@dataclass(frozen=True, slots=True)
class PeerRequest:
    """Send a request to another relay of the cell."""

    peer: str
    message: EndorsementRequest


RelayEffect = Effect | SendToServer | EndSession | PeerRequest
