"""Who a server or a relay is, as others know it."""

from dataclasses import dataclass

from otterrudder.fleet.records import digest_of

HOLDER_DIGEST_LENGTH = 16  # characters


@dataclass(frozen=True, slots=True)
class ServerIdentity:
    """What a server registers with at a relay."""

    fleet: str
    name: str
    incarnation: str
    fingerprint: str
    zone: str = ""


@dataclass(frozen=True, slots=True)
class CellIdentity:
    """Which relay of which cell a process is.

    `candidates`: the addresses of all relays of the cell, this one among them, as the others know them."""

    fleet: str
    cell: str
    address: str
    candidates: tuple[str, ...]

    @property
    def holder(self) -> str:
        """The name under which the roster knows the relays of the cell.

        A relay with another list is another holder: it would not ask all of them for an endorsement, so it
        must not lead."""
        digest = digest_of(" ".join(sorted(self.candidates)))
        return f"relays {digest[:HOLDER_DIGEST_LENGTH]}"
