"""Reads the operators' VRRP file: TOML to values, checked whole. Form: the commented deploy/vrrp.toml.

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

FORMAT_VERSION = 1  # of the format
MAX_GROUPS = 32  # of a process: each has a timer and a gate
MAX_PEERS = 16  # of a group
MAX_PORT = 65535
MAX_DELAY_MS = 3.6e6  # of any configured delay: an hour
MAX_HAND_OVER_MS = 600_000.0
MAX_LOWERED_BY = 253  # from the highest priority of a router that is no owner to the lowest
MULTICAST_ADDRESSES = {4: "224.0.0.18", 6: "ff02::12"}  # VRRP's, by IP version


class VrrpConfigurationError(Exception):
    """What is wrong with a VRRP file, in one line that names the file and the key."""


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
    """The whole file. The tables in it are converted one by one, so that an error names its place."""

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
    """The configuration in a file, with its keys; VrrpConfigurationError names the key at fault."""
    path = Path(path)
    return parse_configuration(load_toml(path, VrrpConfigurationError), path, request_classes, tenants)


def parse_configuration(
    values: Any, path: Path, request_classes: Sequence[RequestClass], tenants: Sequence[Tenant]
) -> VrrpConfiguration:
    """The configuration in decoded TOML; the key file is read beside `path`."""
    name = path.name
    file = convert(values, _File, name, VrrpConfigurationError)
    if file.version != FORMAT_VERSION:
        raise VrrpConfigurationError(
            f"{name}: version: this program reads {FORMAT_VERSION}, not {file.version}"
        )
    if not 1 <= len(file.group) <= MAX_GROUPS:
        raise VrrpConfigurationError(
            f"{name}: group: from 1 to {MAX_GROUPS} are wanted, not {len(file.group)}"
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
    """Host and port of `host:port` or `[host]:port`; the host is an IP address."""
    bracketed_host, _, port = text.rpartition(":")
    host = bracketed_host.removeprefix("[").removesuffix("]")
    if not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise VrrpConfigurationError(f"{key}: {text!r} is no address and port")
    _parse_address(host, key)
    return host, int(port)


def _read_keys(path: Path) -> KeyRing:
    try:
        return read_keys(path)
    except KeyFileError as error:
        raise VrrpConfigurationError(str(error)) from None


def _parse_hold_down(values: Any, place: str) -> HoldDown:
    hold_down = convert(values, HoldDown, place, VrrpConfigurationError)
    _check_range(hold_down.first_ms, 0.0, MAX_DELAY_MS, f"{place}.first_ms")
    _check_range(hold_down.max_ms, 0.0, MAX_DELAY_MS, f"{place}.most_ms")
    _check_range(hold_down.forget_ms, 1.0, MAX_DELAY_MS, f"{place}.forget_ms")  # it is a divisor
    return hold_down


class _GroupParser:
    """Parses and checks one `[[group]]`."""

    def __init__(
        self, values: Any, place: str, request_classes: Sequence[RequestClass], tenants: Sequence[Tenant]
    ) -> None:
        self.place = place
        self.request_class_names = [request_class.name for request_class in request_classes]
        self.tenant_names = [tenant.name for tenant in tenants]
        self.section = convert(values, _GroupSection, place, VrrpConfigurationError)

    def group(self) -> Group:
        """The group, or VrrpConfigurationError."""
        section = self.section
        address = _parse_address(section.address, f"{self.place}.address")
        virtual = self._virtual()
        destination = _parse_address(
            section.destination or MULTICAST_ADDRESSES[address.version], f"{self.place}.destination"
        )
        self._check_numbers(is_owner=address in virtual)
        interval_ms = self._interval_ms()
        peers = self._peers()
        self._check_families([address, destination, *virtual, *(peer.address for peer in peers)])
        self._check_peer_addresses(address, peers)
        return Group(
            name=section.name,
            vrid=section.vrid,
            address=address,
            destination=destination,
            virtual_addresses=virtual,
            priority=section.priority,
            interval_ms=interval_ms,
            learns_interval=section.learns_interval,
            preempts=section.preempt,
            accepts=section.accept,
            peers=peers,
            tracked_objects=self._tracked(),
            preempt_delay_ms=_check_range(
                section.preempt_delay_ms, 0.0, MAX_DELAY_MS, f"{self.place}.preempt_delay_ms"
            ),
            scope=self._scope(),
        )

    def _virtual(self) -> frozenset[Address]:
        texts = self.section.virtual
        virtual = frozenset(_parse_address(text, f"{self.place}.virtual") for text in texts)
        if not 1 <= len(texts) <= MAX_ADDRESSES or len(virtual) != len(texts):
            raise VrrpConfigurationError(
                f"{self.place}.virtual: from 1 to {MAX_ADDRESSES} different addresses are wanted"
            )
        return virtual

    def _check_numbers(self, is_owner: bool) -> None:
        vrid = self.section.vrid
        priority = self.section.priority
        if not 1 <= vrid <= 255:
            raise VrrpConfigurationError(f"{self.place}.vrid: {vrid} is not from 1 to 255")
        if not 1 <= priority <= 255:
            raise VrrpConfigurationError(f"{self.place}.priority: {priority} is not from 1 to 255")
        if (priority == OWNER_PRIORITY) != is_owner:
            raise VrrpConfigurationError(
                f"{self.place}.priority: 255 is for the owner, whose own address is a virtual one"
            )

    def _interval_ms(self) -> float:
        key = f"{self.place}.interval_ms"
        maximum = MAX_INTERVAL_CS * CENTISECOND_MS
        interval_ms = _check_range(self.section.interval_ms, CENTISECOND_MS, maximum, key)
        if interval_ms % CENTISECOND_MS:
            raise VrrpConfigurationError(f"{key}: {interval_ms:g} is no whole number of centiseconds")
        return interval_ms

    def _peers(self) -> tuple[Peer, ...]:
        peers = tuple(
            _parse_peer(values, f"{self.place}.peer[{number}]")
            for number, values in enumerate(self.section.peer, 1)
        )
        if not 1 <= len(peers) <= MAX_PEERS:
            raise VrrpConfigurationError(
                f"{self.place}.peer: from 1 to {MAX_PEERS} are wanted, not {len(peers)}"
            )
        return peers

    def _check_families(self, addresses: list[Address]) -> None:
        if len({address.version for address in addresses}) > 1:
            raise VrrpConfigurationError(f"{self.place}: IPv4 and IPv6 in one group: each family has its own")

    def _check_peer_addresses(self, address: Address, peers: tuple[Peer, ...]) -> None:
        if len({peer.address for peer in peers} | {address}) <= len(peers):
            raise VrrpConfigurationError(f"{self.place}.peer: an address stands twice, or is one's own")

    def _tracked(self) -> tuple[TrackedObject, ...]:
        tracked = tuple(
            _parse_tracked(values, f"{self.place}.track[{number}]")
            for number, values in enumerate(self.section.track, 1)
        )
        if len({item.fact for item in tracked}) < len(tracked):
            raise VrrpConfigurationError(f"{self.place}.track: a fact stands twice")
        return tracked

    def _scope(self) -> RequestScope:
        return RequestScope(
            _indexes_of(self.section.products, self.request_class_names, f"{self.place}.products"),
            _indexes_of(self.section.tenants, self.tenant_names, f"{self.place}.tenants"),
        )


def _parse_peer(values: Any, place: str) -> Peer:
    section = convert(values, _PeerSection, place, VrrpConfigurationError)
    address = _parse_address(section.address, f"{place}.address")
    return Peer(address, parse_socket_address(section.udp, f"{place}.udp"))


def _parse_tracked(values: Any, place: str) -> TrackedObject:
    tracked = convert(values, TrackedObject, place, VrrpConfigurationError)
    if tracked.fact not in FACTS:
        raise VrrpConfigurationError(f"{place}.fact: no such fact; there are {', '.join(sorted(FACTS))}")
    if not 1 <= tracked.lowers <= MAX_LOWERED_BY:
        raise VrrpConfigurationError(f"{place}.lowers: {tracked.lowers} is not from 1 to {MAX_LOWERED_BY}")
    for name in ("fall_ms", "rise_ms", "forget_ms"):
        _check_range(getattr(tracked, name), 0.0, MAX_DELAY_MS, f"{place}.{name}")
    return tracked


def _check_groups_are_distinct(groups: Sequence[Group], name: str) -> None:
    """Names, VRIDs and scopes must not overlap: a request belongs to at most one group."""
    for number, group in enumerate(groups, 1):
        place = f"{name}: group[{number}]"
        for other_number, other in enumerate(groups[: number - 1], 1):
            if group.name == other.name:
                raise VrrpConfigurationError(f"{place}.name: {group.name!r} is group[{other_number}]'s")
            if (group.vrid, group.address.version) == (other.vrid, other.address.version):
                raise VrrpConfigurationError(f"{place}.vrid: {group.vrid} is group[{other_number}]'s")
            if _scopes_overlap(group.scope, other.scope):
                raise VrrpConfigurationError(
                    f"{place}: serves what group[{other_number}] serves: tell products or tenants apart"
                )


def _scopes_overlap(one: RequestScope, other: RequestScope) -> bool:
    return _overlap(one.request_classes, other.request_classes) and _overlap(one.tenants, other.tenants)


def _overlap(one: frozenset[int] | None, other: frozenset[int] | None) -> bool:
    """Whether two sets of indexes have one in common; None is the set of all."""
    return one is None or other is None or bool(one & other)


def _check_range(value: float, minimum: float, maximum: float, key: str) -> float:
    if not minimum <= value <= maximum or math.isnan(value):
        raise VrrpConfigurationError(f"{key}: {value:g} is not from {minimum:g} to {maximum:g}")
    return value


def _parse_address(text: str, key: str) -> Address:
    try:
        return ip_address(text)
    except ValueError:
        raise VrrpConfigurationError(f"{key}: {text!r} is no IP address") from None


def _indexes_of(names: list[str] | None, known: list[str], key: str) -> frozenset[int] | None:
    """The positions of `names` in `known`; None, for all, where the key is absent."""
    if names is None:
        return None
    for name in names:
        if name not in known:
            choices = f"; there are {', '.join(known)}" if known else ""
            raise VrrpConfigurationError(f"{key}: there is no {name!r}{choices}")
    if not names:
        raise VrrpConfigurationError(f"{key}: it is empty: leave it out for all")
    return frozenset(known.index(name) for name in names)
