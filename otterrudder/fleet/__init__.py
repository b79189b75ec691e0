"""A fleet of servers that agree on who is of it and which policy is in force, by way of a store that exists.

`store` is the port to the engine, `records` what is kept there, `member` one server's part, `change` a change
of policy from its proposal to its end, `queue` the changes that wait; all pure but the port. `agent` runs a
member in a server, by its `executor`. Off where no fleet file is named."""

from otterrudder.fleet.change import (
    ChangeCoordinator,
    ChangeRejectedError,
    find_change,
    finish_change,
    propose,
)
from otterrudder.fleet.member import Member
from otterrudder.fleet.records import FleetSnapshot, Keys, digest_of
from otterrudder.fleet.state import AdmissionStatus, MemberState, Policy, Rules
from otterrudder.fleet.store import Store, StoreUnavailableError

__all__ = [
    "Keys",
    "Member",
    "Policy",
    "MemberState",
    "ChangeRejectedError",
    "Rules",
    "ChangeCoordinator",
    "AdmissionStatus",
    "Store",
    "StoreUnavailableError",
    "FleetSnapshot",
    "digest_of",
    "find_change",
    "propose",
    "finish_change",
]
