"""The operators' file of a fleet: TOML to values, checked whole. Form: the commented deploy/fleet.toml.

What would break the fleet's promises together is refused here, in one line, and nowhere else."""

from dataclasses import dataclass
from importlib.util import find_spec
from pathlib import Path
from typing import Literal

import msgspec

from otterrudder.configuration import ConfigurationError, parse_address
from otterrudder.files import convert, load_toml
from otterrudder.fleet.cell.configuration import (
    SERVER_LEASE_MS,
    RelayConfigurationError,
    RelayRole,
    RelayTable,
    check_relays,
    check_server_lease,
    role_of,
)
from otterrudder.fleet.member import POLL_SHARE
from otterrudder.fleet.records import MAX_NAME_LENGTH, Absent
from otterrudder.fleet.state import Rules

VERSION = 1  # of the form
NEEDS = ("aetcd", "grpc")  # what the store's client stands on, the extra `fleet`
STORES_MOST = 9  # members of an engine's cluster
# ms; below it a read that shows the change open has no time to come before the next is due
BOUND_LEAST_MS = 400.0
BOUND_MOST_MS = 60_000.0  # ms; beyond that nobody waits for a change to take hold
LEASE_LEAST_MS = 3000.0  # ms; engines count leases in whole seconds, and two renewals may be lost
LEASE_MOST_MS = 600_000.0
TIMEOUT_MOST_MS = 2000.0  # ms that a request to the store may take


class InvalidFleetError(Exception):
    """What is wrong with a file of a fleet, in one line that names the file and the key."""


@dataclass(frozen=True, slots=True)
class Fleet:
    """A whole file."""

    name: str
    stores: tuple[tuple[str, int], ...]
    rules: Rules
    state_directory: Path | None
    zone: str
    ca: Path | None
    cert: Path | None
    key: Path | None
    store_id: int = 0  # of the only engine that is believed; 0: the first that is heard
    relays: tuple[str, ...] = ()  # a server's: it is of a cell; in the order in which they are tried
    server_lease_ms: float = SERVER_LEASE_MS  # of a server of a cell
    relay: RelayRole | None = None  # the file is a relay's

    @property
    def timeout_ms(self) -> float:
        """For a request: one may be lost between two that are due while a vote is open."""
        return min(self.rules.bound_ms * POLL_SHARE, TIMEOUT_MOST_MS)


class _Tls(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    ca: str
    cert: str | None = None
    key: str | None = None


class _Fleet(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    version: int
    fleet: str
    store: list[str] = []
    absent: Absent = "wait"
    start: Literal["wait", "folder"] = "wait"
    bound_ms: float = 2000.0
    lease_ms: float = 6000.0
    folder: str | None = None
    zone: str = ""
    store_id: str = ""
    tls: _Tls | None = None
    relays: list[str] = []
    server_lease_ms: float = SERVER_LEASE_MS
    relay: RelayTable | None = None


def read_fleet(path: str | Path) -> Fleet:
    """InvalidFleetError: what is wrong, by file name and key, or that the store's client is missing."""
    path = Path(path)
    if missing := [name for name in NEEDS if find_spec(name) is None]:
        raise InvalidFleetError(
            f"{path.name}: a fleet needs {missing[0]}: pip install 'otterrudder[fleet]', or "
            "-r requirements-fleet.txt"
        )
    return _checked(
        convert(load_toml(path, InvalidFleetError), _Fleet, f"{path.name}: ", InvalidFleetError), path
    )


def _checked(told: _Fleet, path: Path) -> Fleet:
    def bad(key: str, what: str) -> InvalidFleetError:
        return InvalidFleetError(f"{path.name}: {key}: {what}")

    if told.version != VERSION:
        raise bad("version", f"this program reads {VERSION}, not {told.version}")
    if not told.fleet or "/" in told.fleet or len(told.fleet) > MAX_NAME_LENGTH:
        raise bad("fleet", f"a name without a slash is wanted, not {told.fleet!r}")
    least_stores = 0 if told.relays else 1  # a server of a cell asks its relay alone
    if not least_stores <= len(told.store) <= STORES_MOST:
        raise bad(
            "store", f"from {least_stores} to {STORES_MOST} addresses are wanted, not {len(told.store)}"
        )
    if not BOUND_LEAST_MS <= told.bound_ms <= BOUND_MOST_MS:
        raise bad("bound_ms", f"{told.bound_ms:g} is not from {BOUND_LEAST_MS:g} to {BOUND_MOST_MS:g}")
    if not LEASE_LEAST_MS <= told.lease_ms <= LEASE_MOST_MS or told.lease_ms % 1000:
        raise bad(
            "lease_ms",
            f"{told.lease_ms:g} is not whole seconds from {LEASE_LEAST_MS:g} to " f"{LEASE_MOST_MS:g}",
        )
    is_of_cell = bool(told.relays or told.relay)
    if is_of_cell:
        try:
            role = _cell_part(told)
        except RelayConfigurationError as trouble:
            raise InvalidFleetError(f"{path.name}: {trouble}") from None
    else:
        role = None
    if told.absent == "wait" and not (told.folder or is_of_cell):
        raise bad(
            "folder",
            'absent = "wait" needs one: a restart that has forgotten its vote could admit '
            "under a policy that is no longer in force",
        )
    if told.start == "folder" and told.absent != "wait":
        raise bad(
            "start",
            f'"folder" goes with absent = "wait" only: under "{told.absent}" a change may '
            "have been made without this server",
        )
    try:
        store_id = int(told.store_id or "0", 16)
    except ValueError:
        store_id = -1
    if not 0 <= store_id < 2**64:
        raise bad("store_id", f"the engine's cluster id in hex is wanted, not {told.store_id!r}")
    lasting = told.relay.state_directory if told.relay else told.folder
    folder = (path.parent / lasting) if lasting else None
    tls = told.tls
    if tls and (tls.cert is None) != (tls.key is None):
        raise bad("tls", "cert and key go together")
    if tls and not tls.cert and told.relay:
        raise bad("tls", "a relay shows its servers a certificate: cert and key are wanted")
    beside = path.parent
    try:
        stores = tuple(parse_address(text, "store") for text in told.store)
    except ConfigurationError as trouble:
        raise InvalidFleetError(f"{path.name}: {trouble}") from None
    return Fleet(
        told.fleet,
        stores,
        Rules(
            told.absent,
            told.bound_ms,
            told.lease_ms,
            told.start == "folder",
            is_shared=role is not None and role.is_shared,
        ),
        folder,
        told.zone,
        beside / tls.ca if tls else None,
        beside / tls.cert if tls and tls.cert else None,
        beside / tls.key if tls and tls.key else None,
        store_id,
        tuple(told.relays),
        told.server_lease_ms,
        role,
    )


def _cell_part(told: _Fleet) -> RelayRole | None:
    """The relay's role, None in a server's file; RelayConfigurationError names the key."""
    if told.relays and told.relay:
        raise RelayConfigurationError(
            "relays: a server's file has them, and this one has a relay's table [relay]"
        )
    if told.folder:
        raise RelayConfigurationError(
            "folder: a relay's is in its table [relay]"
            if told.relay
            else "folder: a server with relays keeps nothing that must outlive it"
        )
    if told.start == "folder" and not (told.relay and told.relay.state_directory):
        raise RelayConfigurationError(
            'start: "folder" needs one: a server with relays, or several relays of a cell, have none'
        )
    check_server_lease(told.server_lease_ms, told.bound_ms)
    check_relays("relays", told.relays)
    return role_of(told.relay, told.absent) if told.relay else None
