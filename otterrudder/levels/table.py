"""The operators' table of levels: TOML text to rungs, checked whole, with errors that name the key.

`read` takes a file, `parse` its text; both want to know the products and tenants of the settings. Form: the
commented deploy/levels.toml. Each level states all it does, and may do no less, for any request, than the one
before it."""

import math
import tomllib
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Literal

import msgspec

from otterrudder.admission.interface import (
    Idempotency,
    RequestClass,
    Restriction,
    RestrictionKind,
    ServiceLevel,
    Tenant,
)
from otterrudder.levels.ladder import FULL, Bound, Damping, Rung

VERSION = 1  # of the form; another one is refused, not guessed at
LEVELS_MOST = 16  # levels in a table: more than anybody can tell apart at night
SPAN_LEAST_S = 1.0  # s; a shorter window holds too few ticks to be full
SPAN_MOST_S = 600.0  # s; a window, stay or trial beyond ten minutes is a mistake of unit
NO_WAY_OUT = "the level could never be left"
# What a condition may go by: the least and the most that it can be, as the module or its server tells it.
FACTS: dict[str, tuple[float, float]] = {
    "pressure": (0.0, 1.0),  # how hard callers are asked to hold back
    "waits": (0.0, 1.0),  # mean part of its SLA time that a request waits here
    "given_up": (0.0, 1.0),  # share of recent runs that settled too late or not at all
    "stretch": (1.0, math.inf),  # recent latency over the lowest
    "busy": (0.0, math.inf),  # share of the cores in use
    "memory": (0.0, math.inf),  # share of the memory in use
    "demand": (0.0, math.inf),  # work asked for over what the limit takes, declined or not
    "retries": (0.0, 1.0),  # share of marked further tries among arrivals
    "late_ms": (0.0, math.inf),  # ms by which the last tick of the process itself came late
}
_STRENGTH = {cut: n for n, cut in enumerate(RestrictionKind, 1)}  # the order of the enum: the mildest first


class BadTable(Exception):
    """What is wrong with a table, in one line that names the key."""


@dataclass(frozen=True, slots=True)
class Table:
    """A whole table, ready for a ladder."""

    rungs: tuple[Rung, ...]
    damping: Damping
    is_shadow: bool
    start: str


class _Strict(msgspec.Struct, forbid_unknown_fields=True):
    pass


class _Damping(_Strict):
    times: float = 2.0
    most: float = 8.0
    forget_s: float = 120.0


class _Cut(_Strict):
    do: Literal["omit", "spare", "share", "established", "decline"]
    products: list[str]
    share: float | None = None
    tenants: list[str] | None = None
    rank_below: float | None = None


class _Level(_Strict):
    name: str
    least_stay_s: float
    entry: dict[str, Any]
    exit: dict[str, Any]
    cut: list[dict[str, Any]]
    held: Literal["answer", "keep"] = "keep"
    stay_away: bool = False
    trial_s: float = 120.0


class _Table(_Strict):
    version: int
    level: list[dict[str, Any]]
    mode: Literal["enforce", "shadow"] = "enforce"
    start: str = FULL
    damping: dict[str, Any] = {}


def read(path: str | Path, products: Sequence[RequestClass], tenants: Sequence[Tenant]) -> Table:
    """The table in the file at `path`; BadTable says what is wrong with it, by the file's name and the
    key."""
    try:
        return parse(Path(path).read_text("utf-8"), products, tenants)
    except (OSError, UnicodeDecodeError) as trouble:
        raise BadTable(f"cannot read {path}: {trouble}") from None
    except BadTable as trouble:
        raise BadTable(f"{Path(path).name}: {trouble}") from None


def parse(text: str, products: Sequence[RequestClass], tenants: Sequence[Tenant]) -> Table:
    """The table in `text`; BadTable names the key at fault. Levels are counted from 1."""
    try:
        whole = tomllib.loads(text)
    except tomllib.TOMLDecodeError as trouble:
        raise BadTable(f"not TOML: {trouble}") from None
    return build(whole, products, tenants)


def build(whole: Mapping[str, Any], products: Sequence[RequestClass], tenants: Sequence[Tenant]) -> Table:
    """The table in a TOML table that was read already; BadTable as `parse`."""
    told = _convert(whole, _Table, "")
    if told.version != VERSION:
        raise BadTable(f"version: this program reads {VERSION}, not {told.version}")
    if not 1 <= len(told.level) <= LEVELS_MOST:
        raise BadTable(f"level: from 1 to {LEVELS_MOST} levels are wanted, not {len(told.level)}")
    damping = _damping(_convert(told.damping, _Damping, "damping"))
    makers = [_Maker(n, level, products, tenants) for n, level in enumerate(told.level, 1)]
    rungs = tuple(maker.rung() for maker in makers)
    _check_names(rungs, told.start)
    for lower, upper in zip(makers, makers[1:], strict=False):
        upper.check_above(lower)
    return Table(rungs, damping, told.mode == "shadow", told.start)


def _convert(told: Any, kind: type[Any], where: str) -> Any:
    """`told` as `kind`, or BadTable with msgspec's words behind the place."""
    try:
        return msgspec.convert(told, kind)
    except msgspec.ValidationError as trouble:
        what, _, at = str(trouble).partition(" - at `")
        key = ".".join(filter(None, (where, at.rstrip("`").lstrip("$").lstrip("."))))
        raise BadTable(f"{key}: {what}" if key else what) from None


def _damping(told: _Damping) -> Damping:
    for name, least, most in (("times", 1.0, 10.0), ("most", 1.0, 64.0), ("forget_s", 1.0, 24 * 3600.0)):
        _within(getattr(told, name), least, most, f"damping.{name}")
    return Damping(told.times, told.most, told.forget_s * 1000)


def _within(value: float, least: float, most: float, key: str) -> float:
    if not least <= value <= most:  # NaN is neither
        raise BadTable(f"{key}: {value:g} is not from {least:g} to {most:g}")
    return value


def _check_names(rungs: tuple[Rung, ...], start: str) -> None:
    seen: set[str] = set()
    for n, rung in enumerate(rungs, 1):
        if not rung.name or rung.name == FULL or rung.name in seen:
            why = "is taken" if rung.name else "is empty"
            raise BadTable(f"level[{n}].name: {rung.name!r} {why}")
        seen.add(rung.name)
    if start not in seen and start != FULL:
        raise BadTable(f"start: no level is named {start!r}")


class _Maker:
    """One level on its way from text to rung."""

    def __init__(
        self, n: int, told: dict[str, Any], products: Sequence[RequestClass], tenants: Sequence[Tenant]
    ) -> None:
        self.where = f"level[{n}]"
        self.products, self.tenants = products, tenants
        self.told: _Level = _convert(told, _Level, self.where)
        self.trims: list[list[tuple[int, Restriction]]] = [[] for _ in products]  # with the number of the cut

    def rung(self) -> Rung:
        told, where = self.told, self.where
        stay = _within(told.least_stay_s, 0.1, SPAN_MOST_S, f"{where}.least_stay_s")
        trial = _within(told.trial_s, stay, SPAN_MOST_S, f"{where}.trial_s")
        self.entry, entry_s, needs_all = self._bounds(told.entry, "entry")
        self.exit, exit_s, _ = self._bounds(told.exit, "exit")
        if entry_s >= exit_s:
            raise BadTable(
                f"{where}.exit.for_s: {exit_s:g} is not longer than its entry's, {entry_s:g}: "
                "a level is entered sooner than it is left"
            )
        for fact, value in self.exit.items():
            if fact in self.entry and value >= self.entry[fact]:
                raise BadTable(f"{where}.exit.{fact}: {value:g} is not below its entry, {self.entry[fact]:g}")
        for n, cut in enumerate(told.cut, 1):
            self._cut(_convert(cut, _Cut, f"{where}.cut[{n}]"), n)
        if not told.cut:
            raise BadTable(f"{where}.cut: a level that cuts nothing does nothing")
        trims = tuple(tuple(trim for _, trim in self._strongest_first(fits)) for fits in self.trims)
        relief = ServiceLevel(told.name, trims, told.held == "answer", told.stay_away, stay * 1000)
        return Rung(
            told.name,
            _as_bounds(self.entry),
            entry_s * 1000,
            _as_bounds(self.exit),
            exit_s * 1000,
            stay * 1000,
            trial * 1000,
            relief,
            needs_all,
        )

    def check_above(self, lower: "_Maker") -> None:
        """Nothing is let in here that the level before cuts more; nor does it start where that one ends."""
        for product, spec in enumerate(self.products):
            for tenant, rank, shown in self._cells(product, lower):
                below, here = (m.strength(product, tenant, rank) for m in (lower, self))
                if here < below:
                    raise BadTable(f"{self.where}.cut: {spec.name}{shown} is cut less than by {lower.where}")
        for fact, value in self.entry.items():
            if value <= lower.exit.get(fact, -math.inf):
                raise BadTable(
                    f"{self.where}.entry.{fact}: {value:g} is not above the exit of "
                    f"{lower.where}, {lower.exit[fact]:g}"
                )

    def strength(self, product: int, tenant: int, rank: float) -> tuple[int, float]:
        """How much is cut of what one tenant sends of a product at a rank: the kind, then the share not let
        in."""
        for _, trim in self._strongest_first(self.trims[product]):
            if rank < trim.criticality_below and (trim.tenants is None or tenant in trim.tenants):
                return _strength(trim)
        return 0, 0.0

    def _cells(self, product: int, lower: "_Maker") -> Iterator[tuple[int, float, str]]:
        """Every tenant and rank at which the two levels may differ, with words for it."""
        ranks = {trim.criticality_below for maker in (self, lower) for _, trim in maker.trims[product]} | {
            math.inf
        }
        for tenant in range(max(len(self.tenants), 1)):
            for rank in sorted(ranks):
                shown = f" of {self.tenants[tenant].name}" if self.tenants else ""
                shown += f" below rank {rank:g}" if rank < math.inf else ""
                yield tenant, math.nextafter(rank, -math.inf), shown

    @staticmethod
    def _strongest_first(fits: list[tuple[int, Restriction]]) -> list[tuple[int, Restriction]]:
        return sorted(fits, key=lambda fit: _strength(fit[1]), reverse=True)

    def _bounds(self, told: Mapping[str, Any], which: str) -> tuple[dict[str, float], float, bool]:
        """The facts and thresholds of a condition, its window in s, and whether all are needed."""
        where, rest = f"{self.where}.{which}", dict(told)
        span = _number(rest.pop("for_s", None), f"{where}.for_s")
        _within(span, SPAN_LEAST_S, SPAN_MOST_S, f"{where}.for_s")
        need = rest.pop("need", "any") if which == "entry" else "all"
        if need not in ("any", "all"):
            raise BadTable(f"{where}.need: {need!r} is neither 'any' nor 'all'")
        for fact, value in rest.items():
            if fact not in FACTS:
                raise BadTable(f"{where}.{fact}: no such fact; there are {', '.join(FACTS)}")
            least, most = FACTS[fact]
            _number(value, f"{where}.{fact}")
            if which == "exit" and not value > least:
                raise BadTable(f"{where}.{fact}: {value:g} is the least it can be: {NO_WAY_OUT}")
            if which == "entry" and not least < value <= most:
                raise BadTable(f"{where}.{fact}: {value:g} is not above {least:g} and up to {most:g}")
        if not rest:
            raise BadTable(f"{where}: it names no fact" + f": {NO_WAY_OUT}" * (which == "exit"))
        return rest, span, need == "all"

    def _cut(self, told: _Cut, n: int) -> None:
        where, cut = f"{self.where}.cut[{n}]", RestrictionKind(told.do)
        if (told.share is not None) != (cut is RestrictionKind.SHARE):
            raise BadTable(f'{where}.share: it goes with do = "share", and that needs it')
        share = _within(told.share, 0.01, 0.99, f"{where}.share") if told.share is not None else 0.0
        rank = math.inf
        if told.rank_below is not None:
            rank = _within(told.rank_below, 0.001, 1.0, f"{where}.rank_below")
        tenants = None
        if told.tenants is not None:
            tenants = frozenset(_numbers(told.tenants, [t.name for t in self.tenants], f"{where}.tenants"))
        for product in _numbers(told.products, [p.name for p in self.products], f"{where}.products"):
            spec = self.products[product]
            if cut is RestrictionKind.OMIT and not (spec.may_call and spec.skip_weight_factor):
                raise BadTable(f"{where}.products: {spec.name} has no call that may be omitted")
            if spec.idempotency is not Idempotency.SAFE and cut is RestrictionKind.OMIT:
                raise BadTable(f"{where}.products: {spec.name} has an effect: its call is not omitted")
            self.trims[product].append((n, Restriction(cut, share, rank, tenants)))


def _strength(trim: Restriction) -> tuple[int, float]:
    return _STRENGTH[trim.kind], 1.0 - trim.admitted_share


def _as_bounds(facts: Mapping[str, float]) -> tuple[Bound, ...]:
    return tuple(Bound(fact, float(value)) for fact, value in facts.items())


def _number(value: Any, key: str) -> float:
    if type(value) not in (int, float) or not math.isfinite(value):
        raise BadTable(f"{key}: a number is wanted" + (f", not {value!r}" if value is not None else ""))
    return float(value)


def _numbers(names: Sequence[str], known: Sequence[str], key: str) -> list[int]:
    if not names or len(set(names)) != len(names):
        raise BadTable(f"{key}: it is empty or names one twice")
    for name in names:
        if name not in known:
            there = f"; there are {', '.join(known)}" if known else ""
            raise BadTable(f"{key}: there is no {name!r}{there}")
    return [known.index(name) for name in names]
