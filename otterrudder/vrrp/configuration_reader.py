"""Reads and checks the operators' VRRP file. deploy/vrrp.toml documents the format.

The fields of the msgspec structs are the keys of the file."""

import math
from collections.abc import Sequence
from ipaddress import ip_address
from pathlib import Path
from typing import Any

import msgspec

from otterrudder.admission.interface import RequestClass, RequestScope, Tenant
from otterrudder.files import convert, load_toml
from otterrudder.vrrp.admission_gate import HoldDown
from otterrudder.vrrp.configuration import Group, Peer, SocketAddress, VrrpConfiguration
from otterrudder.vrrp.keys import KeyFileError, KeyRing, read_keys
from otterrudder.vrrp.packet import (
    CENTISECOND_MS,
    MAX_ADDRESSES,
    MAX_INTERVAL_CS,
    OWNER_PRIORITY,
    Address,
)
from otterrudder.vrrp.tracking import FACTS, TrackedObject

FORMAT_VERSION = 1  # version of the file format; files of other versions are rejected
MAX_GROUPS = 32  # maximum number of groups of a process; each group has a timer and a gate
MAX_PEERS = 16  # maximum number of peers of a group
MAX_PORT = 65535
MAX_DELAY_MS = 3.6e6  # maximum of a configured delay: one hour
MAX_HAND_OVER_MS = 600_000.0
MAX_LOWERED_BY = 253  # difference between the highest priority without ownership (254) and the lowest (1)
MULTICAST_ADDRESSES = {4: "224.0.0.18", 6: "ff02::12"}  # VRRP's multicast addresses by IP version


class VrrpConfigurationError(Exception):
    """A VRRP file is invalid. The message is one line that names the file and the key."""


class _PeerSection(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """`[[group.peer]]`."""

    address: str
    udp: str


class _GroupSection(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """`[[group]]`."""

    name: str
    vrid: int
    address: str
    virtual: list[str]
    priority: int = 100
    interval_ms: float = 1000.0
    learns_interval: bool = True
    preempt: bool = True
    preempt_delay_ms: float = 0.0
    accept: bool = False
    destination: str = ""
    products: list[str] | None = None
    tenants: list[str] | None = None
    peer: list[dict[str, Any]]
    track: list[dict[str, Any]] = []


class _File(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The top level of the file. Nested tables are converted one by one, so that an error names the table."""

    version: int
    listen: str
    keys: str
    check_hops: bool = True
    hand_over_ms: float = 3000.0
    hold_down: dict[str, Any] = {}
    group: list[dict[str, Any]]


def read_configuration(
    path: str | Path, request_classes: Sequence[RequestClass], tenants: Sequence[Tenant]
) -> VrrpConfiguration:
    """Reads a VRRP file and its key file. Raises VrrpConfigurationError that names the invalid key."""
    path = Path(path)
    return parse_configuration(load_toml(path, VrrpConfigurationError), path, request_classes, tenants)


def parse_configuration(
    values: Any, path: Path, request_classes: Sequence[RequestClass], tenants: Sequence[Tenant]
) -> VrrpConfiguration:
    """Parses decoded TOML, and reads the key file relative to the folder of `path`."""
    name = path.name
    file = convert(values, _File, name, VrrpConfigurationError)
    if file.version != FORMAT_VERSION:
        raise VrrpConfigurationError(
            f"{name}: version: this program reads {FORMAT_VERSION}, not {file.version}"
        )
    if not 1 <= len(file.group) <= MAX_GROUPS:
        raise VrrpConfigurationError(
            f"{name}: group: a file has 1 to {MAX_GROUPS} groups, not {len(file.group)}"
        )
    hold_down = _parse_hold_down(file.hold_down, f"{name}: hold_down")
    groups = tuple(
        _GroupParser(section, f"{name}: group[{number}]", request_classes, tenants).group()
        for number, section in enumerate(file.group, 1)
    )
    _check_groups_are_distinct(groups, name)
    return VrrpConfiguration(
        keys=_read_keys(path.parent / file.keys),
        hand_over_ms=_check_range(file.hand_over_ms, 0.0, MAX_HAND_OVER_MS, f"{name}: hand_over_ms"),
        listen=parse_socket_address(file.listen, f"{name}: listen"),
        checks_hops=file.check_hops,
        hold_down=hold_down,
        groups=groups,
    )


def parse_socket_address(text: str, key: str) -> SocketAddress:
    """Parses `host:port` or `[host]:port`, where the host is an IP address."""
    bracketed_host, _, port = text.rpartition(":")
    host = bracketed_host.removeprefix("[").removesuffix("]")
    if not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise VrrpConfigurationError(f"{key}: {text!r} is not an address and port")
    _parse_address(host, key)
    return host, int(port)


def _read_keys(path: Path) -> KeyRing:
    try:
        return read_keys(path)
    except KeyFileError as error:
        raise VrrpConfigurationError(str(error)) from None


def _parse_hold_down(values: Any, location: str) -> HoldDown:
    hold_down = convert(values, HoldDown, location, VrrpConfigurationError)
    _check_range(hold_down.first_ms, 0.0, MAX_DELAY_MS, f"{location}.first_ms")
    _check_range(hold_down.max_ms, 0.0, MAX_DELAY_MS, f"{location}.most_ms")
    # `forget_ms` is used as a divisor, so it must not be 0.
    _check_range(hold_down.forget_ms, 1.0, MAX_DELAY_MS, f"{location}.forget_ms")
    return hold_down


class _GroupParser:
    """Parses and checks a `[[group]]`."""

    def __init__(
        self, values: Any, location: str, request_classes: Sequence[RequestClass], tenants: Sequence[Tenant]
    ) -> None:
        self.location = location
        self.request_class_names = [request_class.name for request_class in request_classes]
        self.tenant_names = [tenant.name for tenant in tenants]
        self.section = convert(values, _GroupSection, location, VrrpConfigurationError)

    def group(self) -> Group:
        """Returns the group. Raises VrrpConfigurationError if it is invalid."""
        section = self.section
        address = _parse_address(section.address, f"{self.location}.address")
        virtual_addresses = self._virtual_addresses()
        destination = _parse_address(
            section.destination or MULTICAST_ADDRESSES[address.version], f"{self.location}.destination"
        )
        self._check_numbers(is_owner=address in virtual_addresses)
        interval_ms = self._interval_ms()
        peers = self._peers()
        self._check_families([address, destination, *virtual_addresses, *(peer.address for peer in peers)])
        self._check_peer_addresses(address, peers)
        return Group(
            name=section.name,
            vrid=section.vrid,
            address=address,
            destination=destination,
            virtual_addresses=virtual_addresses,
            priority=section.priority,
            interval_ms=interval_ms,
            learns_interval=section.learns_interval,
            preempts=section.preempt,
            accepts=section.accept,
            peers=peers,
            tracked_objects=self._tracked_objects(),
            preempt_delay_ms=_check_range(
                section.preempt_delay_ms, 0.0, MAX_DELAY_MS, f"{self.location}.preempt_delay_ms"
            ),
            scope=self._scope(),
        )

    def _virtual_addresses(self) -> frozenset[Address]:
        texts = self.section.virtual
        addresses = frozenset(_parse_address(text, f"{self.location}.virtual") for text in texts)
        if not 1 <= len(texts) <= MAX_ADDRESSES or len(addresses) != len(texts):
            raise VrrpConfigurationError(
                f"{self.location}.virtual: the list must have 1 to {MAX_ADDRESSES} different addresses"
            )
        return addresses

    def _check_numbers(self, is_owner: bool) -> None:
        vrid = self.section.vrid
        priority = self.section.priority
        if not 1 <= vrid <= 255:
            raise VrrpConfigurationError(f"{self.location}.vrid: {vrid} is not between 1 and 255")
        if not 1 <= priority <= 255:
            raise VrrpConfigurationError(f"{self.location}.priority: {priority} is not between 1 and 255")
        if (priority == OWNER_PRIORITY) != is_owner:
            raise VrrpConfigurationError(
                f"{self.location}.priority: 255 is reserved for, and required of, the owner of a virtual "
                "address"
            )

    def _interval_ms(self) -> float:
        key = f"{self.location}.interval_ms"
        maximum = MAX_INTERVAL_CS * CENTISECOND_MS
        interval_ms = _check_range(self.section.interval_ms, CENTISECOND_MS, maximum, key)
        if interval_ms % CENTISECOND_MS:
            raise VrrpConfigurationError(f"{key}: {interval_ms:g} is not a whole number of centiseconds")
        return interval_ms

    def _peers(self) -> tuple[Peer, ...]:
        peers = tuple(
            _parse_peer(values, f"{self.location}.peer[{number}]")
            for number, values in enumerate(self.section.peer, 1)
        )
        if not 1 <= len(peers) <= MAX_PEERS:
            raise VrrpConfigurationError(
                f"{self.location}.peer: a group has 1 to {MAX_PEERS} peers, not {len(peers)}"
            )
        return peers

    def _check_families(self, addresses: list[Address]) -> None:
        if len({address.version for address in addresses}) > 1:
            raise VrrpConfigurationError(
                f"{self.location}: the group mixes IPv4 and IPv6; each needs a group of its own"
            )

    def _check_peer_addresses(self, address: Address, peers: tuple[Peer, ...]) -> None:
        if len({peer.address for peer in peers} | {address}) <= len(peers):
            raise VrrpConfigurationError(
                f"{self.location}.peer: an address is used twice, or is this router's own"
            )

    def _tracked_objects(self) -> tuple[TrackedObject, ...]:
        tracked_objects = tuple(
            _parse_tracked_object(values, f"{self.location}.track[{number}]")
            for number, values in enumerate(self.section.track, 1)
        )
        if len({item.fact for item in tracked_objects}) < len(tracked_objects):
            raise VrrpConfigurationError(f"{self.location}.track: a fact is tracked twice")
        return tracked_objects

    def _scope(self) -> RequestScope:
        return RequestScope(
            _indexes_of(self.section.products, self.request_class_names, f"{self.location}.products"),
            _indexes_of(self.section.tenants, self.tenant_names, f"{self.location}.tenants"),
        )


def _parse_peer(values: Any, location: str) -> Peer:
    section = convert(values, _PeerSection, location, VrrpConfigurationError)
    address = _parse_address(section.address, f"{location}.address")
    return Peer(address, parse_socket_address(section.udp, f"{location}.udp"))


def _parse_tracked_object(values: Any, location: str) -> TrackedObject:
    tracked = convert(values, TrackedObject, location, VrrpConfigurationError)
    if tracked.fact not in FACTS:
        raise VrrpConfigurationError(
            f"{location}.fact: unknown fact; the facts are {', '.join(sorted(FACTS))}"
        )
    if not 1 <= tracked.lowers <= MAX_LOWERED_BY:
        raise VrrpConfigurationError(
            f"{location}.lowers: {tracked.lowers} is not between 1 and {MAX_LOWERED_BY}"
        )
    for name in ("fall_ms", "rise_ms", "forget_ms"):
        _check_range(getattr(tracked, name), 0.0, MAX_DELAY_MS, f"{location}.{name}")
    return tracked


def _check_groups_are_distinct(groups: Sequence[Group], name: str) -> None:
    """Checks that names, and VRIDs per IP version, differ and that a request belongs to at most one group."""
    for number, group in enumerate(groups, 1):
        location = f"{name}: group[{number}]"
        for other_number, other in enumerate(groups[: number - 1], 1):
            if group.name == other.name:
                raise VrrpConfigurationError(
                    f"{location}.name: {group.name!r} is already used by group[{other_number}]"
                )
            if (group.vrid, group.address.version) == (other.vrid, other.address.version):
                raise VrrpConfigurationError(
                    f"{location}.vrid: {group.vrid} is already used by group[{other_number}]"
                )
            if _scopes_overlap(group.scope, other.scope):
                raise VrrpConfigurationError(
                    f"{location}: its requests overlap with those of group[{other_number}]; set different "
                    "products or tenants"
                )


def _scopes_overlap(one: RequestScope, other: RequestScope) -> bool:
    return _overlap(one.request_classes, other.request_classes) and _overlap(one.tenants, other.tenants)


def _overlap(one: frozenset[int] | None, other: frozenset[int] | None) -> bool:
    """Whether two sets of indexes have a common element; None is the set of all indexes."""
    return one is None or other is None or bool(one & other)


def _check_range(value: float, minimum: float, maximum: float, key: str) -> float:
    if not minimum <= value <= maximum or math.isnan(value):
        raise VrrpConfigurationError(f"{key}: {value:g} is not between {minimum:g} and {maximum:g}")
    return value


def _parse_address(text: str, key: str) -> Address:
    try:
        return ip_address(text)
    except ValueError:
        raise VrrpConfigurationError(f"{key}: {text!r} is not an IP address") from None


def _indexes_of(names: list[str] | None, known: list[str], key: str) -> frozenset[int] | None:
    """Returns the positions of `names` in `known`; None means all, if the key is absent."""
    if names is None:
        return None
    for name in names:
        if name not in known:
            choices = f"; known names: {', '.join(known)}" if known else ""
            raise VrrpConfigurationError(f"{key}: unknown name {name!r}{choices}")
    if not names:
        raise VrrpConfigurationError(f"{key}: the list is empty; omit the key to include all")
    return frozenset(known.index(name) for name in names)
