"""Independent copies of the parts of a model state, and hashable values for their comparison."""

from collections import OrderedDict
from typing import Any, TypeVar

from otterrudder.fleet.cell.cell_validation import CellValidation
from otterrudder.fleet.cell.endorsement import EndorsementCollector, EndorsementGiver
from otterrudder.fleet.cell.participant import Participant
from otterrudder.fleet.cell.relay import Relay
from otterrudder.fleet.cell.relay_selector import RelaySelector
from otterrudder.fleet.cell.server_lease import PendingRequests, ServerLease
from otterrudder.fleet.cell.sessions import Session, SessionTable
from otterrudder.fleet.cell.text_validation import TextValidation
from otterrudder.fleet.cell.validation_poll import PendingRequest, ValidationCache, ValidationPoll
from otterrudder.fleet.change import ChangeCoordinator
from otterrudder.fleet.member import Member
from otterrudder.fleet.member.local_state import LocalState
from otterrudder.fleet.member.policy_state import PolicyState
from otterrudder.fleet.member.read_schedule import ReadSchedule
from otterrudder.fleet.member.registration import Registration
from otterrudder.fleet.member.status_reporter import StatusReporter
from otterrudder.fleet.member.store_trust import StoreTrust
from otterrudder.fleet.member.voting import Voting
from otterrudder.fleet.records import FleetSnapshot

_MEMBER_PARTS = (
    LocalState,
    PolicyState,
    ReadSchedule,
    Registration,
    StatusReporter,
    StoreTrust,
    Voting,
)
# Types whose instances change after their creation. All other values are immutable, and copies share them.
_MUTABLE = (
    Member,
    *_MEMBER_PARTS,
    ChangeCoordinator,
    Relay,
    SessionTable,
    Session,
    CellValidation,
    Participant,
    ServerLease,
    PendingRequests,
    RelaySelector,
    TextValidation,
    EndorsementCollector,
    EndorsementGiver,
    ValidationCache,
    ValidationPoll,
    PendingRequest,
)

_PLAIN = frozenset({str, int, float, bool, type(None), tuple, frozenset})
_ATTRIBUTES: dict[type, tuple[str, ...]] = {}

_T = TypeVar("_T")


def clone(value: _T) -> _T:
    """Returns an independent copy. Parts that are shared within the value are shared within the copy."""
    copy: _T = _clone(value, {})
    return copy


def freeze(value: Any) -> Any:
    """Returns a hashable value that is equal for two states that behave the same from here on."""
    if isinstance(value, FleetSnapshot):
        return ("view", value.raw.revision)
    if names := _attributes(type(value)):
        parts = tuple(freeze(getattr(value, name)) for name in names)
        return (type(value).__name__, parts, freeze(getattr(value, "__dict__", None)))
    if isinstance(value, dict):
        return tuple((key, freeze(item)) for key, item in value.items())
    if isinstance(value, list | tuple):
        return tuple(freeze(item) for item in value)
    return frozenset(value) if isinstance(value, set) else value


def _clone(value: Any, copies: dict[int, Any]) -> Any:
    if names := _attributes(type(value)):
        if (existing := copies.get(id(value))) is not None:
            return existing
        copy = copies[id(value)] = object.__new__(type(value))
        for name in names:
            item = getattr(value, name)
            setattr(copy, name, item if type(item) in _PLAIN else _clone(item, copies))
        if hasattr(value, "__dict__"):  # attributes that a mutant has added
            copy.__dict__.update(value.__dict__)
        return copy
    if isinstance(value, dict):
        items = ((key, _clone(item, copies)) for key, item in value.items())
        return OrderedDict(items) if isinstance(value, OrderedDict) else dict(items)
    if isinstance(value, list):
        return [_clone(item, copies) for item in value]
    return set(value) if isinstance(value, set) else value


def _attributes(kind: type) -> tuple[str, ...]:
    """Returns the names of the attributes of a mutable type, or () for an immutable type."""
    if (names := _ATTRIBUTES.get(kind)) is None:
        bases = kind.__mro__ if issubclass(kind, _MUTABLE) else ()
        slots = [name for base in bases for name in getattr(base, "__slots__", ())]
        names = _ATTRIBUTES[kind] = tuple(dict.fromkeys(slots))
    return names
