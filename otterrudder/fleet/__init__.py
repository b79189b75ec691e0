"""A fleet of servers that agree: who is of it, and which policy is in force, by way of a store that exists.

`store` is the port to the engine, `records` what is kept there, `member` one server's part, `change` a change
of policy from its proposal to its end; all pure but the port. Off where no file of a fleet is named."""

from otterrudder.fleet.change import Refused, Settler, fate, propose, settle
from otterrudder.fleet.member import Member
from otterrudder.fleet.records import Keys, View, digest_of
from otterrudder.fleet.state import Policy, Record, Rules, Standing
from otterrudder.fleet.store import Store, StoreAway

__all__ = [
    "Keys",
    "Member",
    "Policy",
    "Record",
    "Refused",
    "Rules",
    "Settler",
    "Standing",
    "Store",
    "StoreAway",
    "View",
    "digest_of",
    "fate",
    "propose",
    "settle",
]
