"""Parses one `[[level]]` of a table and compares it with the level before it."""

import math
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from otterrudder.admission.interface import (
    Idempotency,
    RequestClass,
    Restriction,
    RestrictionKind,
    ServiceLevel,
    Tenant,
)
from otterrudder.levels.errors import LevelTableError, check_number, check_range, indexes_of
from otterrudder.levels.facts import FACTS
from otterrudder.levels.schema import CutSection, LevelSection, convert_section
from otterrudder.levels.selector import Level, Threshold

MIN_SPAN_S = 1.0  # of a condition's window: a shorter one holds too few ticks to be full
MAX_SPAN_S = 600.0  # of a window, stay or trial: more is most likely a wrong unit
MIN_STAY_S = 0.1
NO_WAY_OUT = "the level could never be left"
_SEVERITY = {kind: severity for severity, kind in enumerate(RestrictionKind, 1)}  # the enum: mildest first


@dataclass(frozen=True, slots=True)
class Condition:
    """`entry` or `exit` of a level: thresholds by fact, over one window."""

    thresholds: Mapping[str, float]
    span_s: float
    needs_all: bool

    def as_thresholds(self) -> tuple[Threshold, ...]:
        """The thresholds in the order of the file."""
        return tuple(Threshold(fact, float(value)) for fact, value in self.thresholds.items())


@dataclass(frozen=True, slots=True)
class _Case:
    """Requests of one tenant just below a rank, for comparing two levels."""

    tenant: int
    rank: float
    text: str


class LevelParser:
    """One level of a table, checked. LevelTableError names the key at fault."""

    def __init__(
        self,
        number: int,
        values: dict[str, Any],
        request_classes: Sequence[RequestClass],
        tenants: Sequence[Tenant],
    ) -> None:
        """`number`: of the level in the file, from 1."""
        self.place = f"level[{number}]"
        self.request_classes = request_classes
        self.tenants = tenants
        self.section = convert_section(values, LevelSection, self.place)
        self.stay_s = check_range(
            self.section.least_stay_s, MIN_STAY_S, MAX_SPAN_S, f"{self.place}.least_stay_s"
        )
        self.trial_s = check_range(self.section.trial_s, self.stay_s, MAX_SPAN_S, f"{self.place}.trial_s")
        self.entry = self._parse_entry()
        self.exit = self._parse_exit()
        self._check_hysteresis()
        self.restrictions = self._parse_cuts()

    def level(self) -> Level:
        """The level for the selector."""
        section = self.section
        service_level = ServiceLevel(
            section.name,
            self.restrictions,
            section.held == "answer",
            section.stay_away,
            self.stay_s * 1000,
        )
        return Level(
            section.name,
            self.entry.as_thresholds(),
            self.entry.span_s * 1000,
            self.exit.as_thresholds(),
            self.exit.span_s * 1000,
            self.stay_s * 1000,
            self.trial_s * 1000,
            service_level,
            self.entry.needs_all,
        )

    def check_above(self, lower: "LevelParser") -> None:
        """Checks that this level restricts no less than `lower` does, and is entered above its exit."""
        for class_index, request_class in enumerate(self.request_classes):
            for case in self._cases(class_index, lower):
                if self._severity(class_index, case) < lower._severity(class_index, case):
                    raise LevelTableError(
                        f"{self.place}.cut: {request_class.name}{case.text} is cut less than by {lower.place}"
                    )
        for fact, value in self.entry.thresholds.items():
            lower_exit = lower.exit.thresholds.get(fact, -math.inf)
            if value <= lower_exit:
                raise LevelTableError(
                    f"{self.place}.entry.{fact}: {value:g} is not above the exit of "
                    f"{lower.place}, {lower_exit:g}"
                )

    def _parse_entry(self) -> Condition:
        place = f"{self.place}.entry"
        values = dict(self.section.entry)
        span_s = _take_span(values, place)
        need = values.pop("need", "any")
        if need not in ("any", "all"):
            raise LevelTableError(f"{place}.need: {need!r} is neither 'any' nor 'all'")
        for fact, value in values.items():
            minimum, maximum = _check_fact(fact, value, place)
            if not minimum < value <= maximum:
                raise LevelTableError(
                    f"{place}.{fact}: {value:g} is not above {minimum:g} and up to {maximum:g}"
                )
        if not values:
            raise LevelTableError(f"{place}: it names no fact")
        return Condition(values, span_s, need == "all")

    def _parse_exit(self) -> Condition:
        place = f"{self.place}.exit"
        values = dict(self.section.exit)
        span_s = _take_span(values, place)
        for fact, value in values.items():
            minimum, _ = _check_fact(fact, value, place)
            if not value > minimum:
                raise LevelTableError(f"{place}.{fact}: {value:g} is the least it can be: {NO_WAY_OUT}")
        if not values:
            raise LevelTableError(f"{place}: it names no fact: {NO_WAY_OUT}")
        return Condition(values, span_s, needs_all=True)

    def _check_hysteresis(self) -> None:
        """A level is entered sooner, and at higher values, than it is left."""
        if self.entry.span_s >= self.exit.span_s:
            raise LevelTableError(
                f"{self.place}.exit.for_s: {self.exit.span_s:g} is not longer than its entry's, "
                f"{self.entry.span_s:g}: a level is entered sooner than it is left"
            )
        for fact, value in self.exit.thresholds.items():
            entry = self.entry.thresholds.get(fact, math.inf)
            if value >= entry:
                raise LevelTableError(
                    f"{self.place}.exit.{fact}: {value:g} is not below its entry, {entry:g}"
                )

    def _parse_cuts(self) -> tuple[tuple[Restriction, ...], ...]:
        """The restrictions by request class, the strongest first."""
        by_class: list[list[Restriction]] = [[] for _ in self.request_classes]
        for number, values in enumerate(self.section.cut, 1):
            place = f"{self.place}.cut[{number}]"
            cut = convert_section(values, CutSection, place)
            restriction = self._restriction(cut, place)
            for class_index in self._classes_of(cut, place):
                by_class[class_index].append(restriction)
        if not self.section.cut:
            raise LevelTableError(f"{self.place}.cut: a level that cuts nothing does nothing")
        return tuple(tuple(sorted(found, key=_severity_of, reverse=True)) for found in by_class)

    def _restriction(self, cut: CutSection, place: str) -> Restriction:
        kind = RestrictionKind(cut.do)
        if (cut.share is not None) != (kind is RestrictionKind.SHARE):
            raise LevelTableError(f'{place}.share: it goes with do = "share", and that needs it')
        share = 0.0
        if cut.share is not None:
            share = check_range(cut.share, 0.01, 0.99, f"{place}.share")
        rank = math.inf
        if cut.rank_below is not None:
            rank = check_range(cut.rank_below, 0.001, 1.0, f"{place}.rank_below")
        tenants = None
        if cut.tenants is not None:
            names = [tenant.name for tenant in self.tenants]
            tenants = frozenset(indexes_of(cut.tenants, names, f"{place}.tenants"))
        return Restriction(kind, share, rank, tenants)

    def _classes_of(self, cut: CutSection, place: str) -> list[int]:
        """The indexes of the request classes that a cut names; a call must be optional to be omitted."""
        names = [request_class.name for request_class in self.request_classes]
        indexes = indexes_of(cut.products, names, f"{place}.products")
        if RestrictionKind(cut.do) is not RestrictionKind.OMIT:
            return indexes
        for index in indexes:
            request_class = self.request_classes[index]
            if not (request_class.may_call and request_class.skip_weight_factor):
                raise LevelTableError(
                    f"{place}.products: {request_class.name} has no call that may be omitted"
                )
            if request_class.idempotency is not Idempotency.SAFE:
                raise LevelTableError(
                    f"{place}.products: {request_class.name} has an effect: its call is not omitted"
                )
        return indexes

    def _severity(self, class_index: int, case: _Case) -> tuple[int, float]:
        """How much is restricted of the case's requests; see `_severity_of`."""
        for restriction in self.restrictions[class_index]:
            is_of_tenant = restriction.tenants is None or case.tenant in restriction.tenants
            if case.rank < restriction.criticality_below and is_of_tenant:
                return _severity_of(restriction)
        return 0, 0.0

    def _cases(self, class_index: int, lower: "LevelParser") -> Iterator[_Case]:
        """Every tenant and rank at which the two levels may differ."""
        parsers = (self, lower)
        ranks = {
            restriction.criticality_below
            for parser in parsers
            for restriction in parser.restrictions[class_index]
        }
        for tenant in range(max(len(self.tenants), 1)):
            for rank in sorted(ranks | {math.inf}):
                text = f" of {self.tenants[tenant].name}" if self.tenants else ""
                text += f" below rank {rank:g}" if rank < math.inf else ""
                yield _Case(tenant, math.nextafter(rank, -math.inf), text)


def _severity_of(restriction: Restriction) -> tuple[int, float]:
    """The kind's severity, then the share that is not admitted."""
    return _SEVERITY[restriction.kind], 1.0 - restriction.admitted_share


def _take_span(values: dict[str, Any], place: str) -> float:
    """Removes `for_s` from a condition; its seconds."""
    span_s = check_number(values.pop("for_s", None), f"{place}.for_s")
    return check_range(span_s, MIN_SPAN_S, MAX_SPAN_S, f"{place}.for_s")


def _check_fact(fact: str, value: Any, place: str) -> tuple[float, float]:
    """The range of a known fact, once its threshold is known to be a number."""
    if fact not in FACTS:
        raise LevelTableError(f"{place}.{fact}: no such fact; there are {', '.join(FACTS)}")
    check_number(value, f"{place}.{fact}")
    return FACTS[fact]
