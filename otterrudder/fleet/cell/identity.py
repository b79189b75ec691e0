"""The identity of a server or a relay towards the other processes of a fleet."""

from dataclasses import dataclass

from otterrudder.fleet.records import digest_of

HOLDER_DIGEST_LENGTH = 16  # characters


@dataclass(frozen=True, slots=True)
class ServerIdentity:
    """The identity with which a server registers at a relay."""

    fleet: str
    name: str
    incarnation: str
    fingerprint: str
    zone: str = ""


@dataclass(frozen=True, slots=True)
class CellIdentity:
    """The identity of a relay.

    `candidates`: the addresses at which all relays of the cell, including this one, reach each other."""

    fleet: str
    cell: str
    address: str
    candidates: tuple[str, ...]

    @property
    def holder(self) -> str:
        """The name that identifies the relays of the cell in the roster.

        A relay with a different list of candidates is a different holder: it would not ask all relays of the
        cell for an endorsement, so it must not lead."""
        digest = digest_of(" ".join(sorted(self.candidates)))
        return f"relays {digest[:HOLDER_DIGEST_LENGTH]}"
