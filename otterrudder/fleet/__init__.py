"""A fleet is a group of servers that agree, through an external store, on their membership and on the policy
in force.

`store` defines the interface to the store, `records` the data that is stored there, `member` the state
machine of one server, `change` a policy change from its proposal to its end, and `queue` the changes that
wait for their turn. All of these are pure, except the store interface. `agent` runs a member in a server and
carries out its effects through `executor`. A server without a fleet file runs without any of this."""

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
