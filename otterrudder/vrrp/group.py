"""The operators' file of groups: TOML to values, checked whole. Form: the commented deploy/vrrp.toml."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from ipaddress import IPv4Address, IPv6Address, ip_address
from pathlib import Path
from typing import Any

import msgspec

from otterrudder.admission.interface import RequestClass, RequestScope, Tenant
from otterrudder.files import convert, load_toml
from otterrudder.vrrp.gate import HoldDown
from otterrudder.vrrp.packet import ADDRESSES_MOST, CENTISECOND_MS, INTERVAL_MOST, Address
from otterrudder.vrrp.seal import BadKeys, Keys, read_keys
from otterrudder.vrrp.track import FACTS, Weight

VERSION = 1  # of the form
GROUPS_MOST = 32  # in a process: each has a timer and a door
PEERS_MOST = 16  # of a group
PORT_MOST = 65535


class BadGroups(Exception):
    """What is wrong with a file of groups, in one line that names the file and the key."""


@dataclass(frozen=True, slots=True)
class Peer:
    """Another router of a group: its primary address, and where its UDP is."""

    address: Address
    udp: tuple[str, int]


@dataclass(frozen=True, slots=True)
class Group:
    name: str
    vrid: int
    address: Address  # one's own primary address
    destination: Address  # of the adverts, in the checksum's pseudo-header
    virtual: frozenset[Address]
    priority: int
    interval_ms: float
    learns_interval: bool
    preempts: bool
    preempt_delay_ms: float
    accepts: bool
    part: RequestScope
    peers: tuple[Peer, ...]
    tracks: tuple[Weight, ...]


@dataclass(frozen=True, slots=True)
class Groups:
    """A whole file."""

    listen: tuple[str, int]
    checks_hops: bool
    hand_over_ms: float
    hold_down: HoldDown
    groups: tuple[Group, ...]
    keys: Keys


class _Strict(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    pass


class _Peer(_Strict, kw_only=True):
    address: str
    udp: str


class _Group(_Strict, kw_only=True):
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


class _File(_Strict, kw_only=True):
    version: int
    listen: str
    keys: str
    check_hops: bool = True
    hand_over_ms: float = 3000.0
    hold_down: dict[str, Any] = {}
    group: list[dict[str, Any]]


def read_groups(path: str | Path, products: Sequence[RequestClass], tenants: Sequence[Tenant]) -> Groups:
    """The groups in a file, with their keys; BadGroups says what is wrong."""
    path = Path(path)
    return parse_groups(load_toml(path, BadGroups), path, products, tenants)


def parse_groups(
    told: Any, path: Path, products: Sequence[RequestClass], tenants: Sequence[Tenant]
) -> Groups:
    where = path.name
    whole = convert(told, _File, where, BadGroups)
    if whole.version != VERSION:
        raise BadGroups(f"{where}: version: this program reads {VERSION}, not {whole.version}")
    if not 1 <= len(whole.group) <= GROUPS_MOST:
        raise BadGroups(f"{where}: group: from 1 to {GROUPS_MOST} are wanted, not {len(whole.group)}")
    hold_down: HoldDown = convert(whole.hold_down, HoldDown, f"{where}: hold_down", BadGroups)
    for name, least in (("first_ms", 0.0), ("most_ms", 0.0), ("forget_ms", 1.0)):  # it is divided by the last
        _within(getattr(hold_down, name), least, 3.6e6, f"{where}: hold_down.{name}")
    groups: list[Group] = []
    for n, part in enumerate(whole.group, 1):
        groups.append(_group(part, f"{where}: group[{n}]", products, tenants))
    _check_apart(groups, where)
    try:
        keys = read_keys(path.parent / whole.keys)
    except BadKeys as trouble:
        raise BadGroups(str(trouble)) from None
    hand_over = _within(whole.hand_over_ms, 0.0, 600_000.0, f"{where}: hand_over_ms")
    return Groups(
        udp_address(whole.listen, f"{where}: listen"),
        whole.check_hops,
        hand_over,
        hold_down,
        tuple(groups),
        keys,
    )


def _group(told: Any, where: str, products: Sequence[RequestClass], tenants: Sequence[Tenant]) -> Group:
    group = convert(told, _Group, where, BadGroups)
    address = _address(group.address, f"{where}.address")
    virtual = frozenset(_address(text, f"{where}.virtual") for text in group.virtual)
    if not 1 <= len(group.virtual) <= ADDRESSES_MOST or len(virtual) != len(group.virtual):
        raise BadGroups(f"{where}.virtual: from 1 to {ADDRESSES_MOST} different addresses are wanted")
    all_call = "224.0.0.18" if address.version == 4 else "ff02::12"
    destination = _address(group.destination or all_call, f"{where}.destination")
    if not 1 <= group.vrid <= 255:
        raise BadGroups(f"{where}.vrid: {group.vrid} is not from 1 to 255")
    if not 1 <= group.priority <= 255:
        raise BadGroups(f"{where}.priority: {group.priority} is not from 1 to 255")
    if (group.priority == 255) != (address in virtual):
        raise BadGroups(f"{where}.priority: 255 is for the owner, whose own address is a virtual one")
    most = INTERVAL_MOST * CENTISECOND_MS
    interval = _within(group.interval_ms, CENTISECOND_MS, most, f"{where}.interval_ms")
    if interval % CENTISECOND_MS:
        raise BadGroups(f"{where}.interval_ms: {interval:g} is no whole number of centiseconds")
    peers = tuple(_peer(part, f"{where}.peer[{n}]") for n, part in enumerate(group.peer, 1))
    if not 1 <= len(peers) <= PEERS_MOST:
        raise BadGroups(f"{where}.peer: from 1 to {PEERS_MOST} are wanted, not {len(peers)}")
    addresses = [address, destination, *virtual, *(peer.address for peer in peers)]
    if len({found.version for found in addresses}) > 1:
        raise BadGroups(f"{where}: IPv4 and IPv6 in one group: each family has its own")
    if len({peer.address for peer in peers} | {address}) <= len(peers):
        raise BadGroups(f"{where}.peer: an address stands twice, or is one's own")
    tracks = tuple(_weight(part, f"{where}.track[{n}]") for n, part in enumerate(group.track, 1))
    if len({track.fact for track in tracks}) < len(tracks):
        raise BadGroups(f"{where}.track: a fact stands twice")
    delay = _within(group.preempt_delay_ms, 0.0, 3.6e6, f"{where}.preempt_delay_ms")
    part = RequestScope(
        _numbers(group.products, [p.name for p in products], f"{where}.products"),
        _numbers(group.tenants, [t.name for t in tenants], f"{where}.tenants"),
    )
    return Group(
        group.name,
        group.vrid,
        address,
        destination,
        virtual,
        group.priority,
        interval,
        group.learns_interval,
        group.preempt,
        delay,
        group.accept,
        part,
        peers,
        tracks,
    )


def _peer(told: Any, where: str) -> Peer:
    peer = convert(told, _Peer, where, BadGroups)
    return Peer(_address(peer.address, f"{where}.address"), udp_address(peer.udp, f"{where}.udp"))


def _weight(told: Any, where: str) -> Weight:
    track: Weight = convert(told, Weight, where, BadGroups)
    if track.fact not in FACTS:
        raise BadGroups(f"{where}.fact: no such fact; there are {', '.join(sorted(FACTS))}")
    if not 1 <= track.lowers <= 253:
        raise BadGroups(f"{where}.lowers: {track.lowers} is not from 1 to 253")
    for name in ("fall_ms", "rise_ms", "forget_ms"):
        _within(getattr(track, name), 0.0, 3.6e6, f"{where}.{name}")
    return track


def _check_apart(groups: list[Group], where: str) -> None:
    """Names, numbers and parts of groups don't meet: a request belongs to one group at the most."""
    for n, group in enumerate(groups, 1):
        for k, other in enumerate(groups[: n - 1], 1):
            if group.name == other.name:
                raise BadGroups(f"{where}: group[{n}].name: {group.name!r} is group[{k}]'s")
            if (group.vrid, group.address.version) == (other.vrid, other.address.version):
                raise BadGroups(f"{where}: group[{n}].vrid: {group.vrid} is group[{k}]'s")
            mine, its = group.part, other.part
            if _meet(mine.request_classes, its.request_classes) and _meet(mine.tenants, its.tenants):
                why = f"serves what group[{k}] serves: tell products or tenants apart"
                raise BadGroups(f"{where}: group[{n}]: {why}")


def _meet(one: frozenset[int] | None, other: frozenset[int] | None) -> bool:
    return one is None or other is None or bool(one & other)


def _within(value: float, least: float, most: float, key: str) -> float:
    if not least <= value <= most or math.isnan(value):
        raise BadGroups(f"{key}: {value:g} is not from {least:g} to {most:g}")
    return value


def _address(text: str, key: str) -> IPv4Address | IPv6Address:
    try:
        return ip_address(text)
    except ValueError:
        raise BadGroups(f"{key}: {text!r} is no IP address") from None


def udp_address(text: str, key: str) -> tuple[str, int]:
    """Host and port of `host:port` or `[host]:port`; the host is an IP address."""
    host, _, port = text.rpartition(":")
    bare = host.removeprefix("[").removesuffix("]")
    if not port.isdigit() or not 0 < int(port) <= PORT_MOST:
        raise BadGroups(f"{key}: {text!r} is no address and port")
    _address(bare, key)
    return bare, int(port)


def _numbers(names: list[str] | None, known: list[str], key: str) -> frozenset[int] | None:
    if names is None:
        return None
    for name in names:
        if name not in known:
            there = f"; there are {', '.join(known)}" if known else ""
            raise BadGroups(f"{key}: there is no {name!r}{there}")
    if not names:
        raise BadGroups(f"{key}: it is empty: leave it out for all")
    return frozenset(known.index(name) for name in names)
