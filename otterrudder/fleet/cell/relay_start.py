"""What a process of a relay starts with."""

from dataclasses import dataclass

from otterrudder.fleet.records import MemberStatus
from otterrudder.fleet.state import MemberState


@dataclass(frozen=True, slots=True)
class RelayStart:
    """Of one process, where the cell's identity is the same for all.

    `state`, `has_disk`, `status` and `cluster` are those of a Member. `directory_id`: of the state directory,
    which is the holder of a cell of one relay."""

    incarnation: str
    state: MemberState | None = None
    has_disk: bool = False
    directory_id: str = ""
    status: MemberStatus | None = None
    cluster: int = 0
