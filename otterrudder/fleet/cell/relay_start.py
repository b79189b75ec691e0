"""The state with which a relay process starts."""

from dataclasses import dataclass

from otterrudder.fleet.records import MemberStatus
from otterrudder.fleet.state import MemberState


@dataclass(frozen=True, slots=True)
class RelayStart:
    """The start values of one relay process; `CellIdentity` has the values that its restarts share.

    `state`, `has_disk`, `status` and `cluster` are passed to the relay's `Member`. `directory_id` identifies
    the state directory; it is the holder of a cell that has one relay."""

    incarnation: str
    state: MemberState | None = None
    has_disk: bool = False
    directory_id: str = ""
    status: MemberStatus | None = None
    cluster: int = 0
