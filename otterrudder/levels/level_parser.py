"""Parses one `[[level]]` of a table and checks that it is stricter than the level before it."""

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

MIN_WINDOW_S = 1.0  # a shorter window has too few ticks to become full
MAX_DURATION_S = 600.0  # maximum of a window, stay or trial; a longer one is probably in a wrong unit
MIN_STAY_S = 0.1
NEVER_LEFT = "the level could never be left"
_SEVERITY = {kind: severity for severity, kind in enumerate(RestrictionKind, 1)}  # the mildest kind is first


@dataclass(frozen=True, slots=True)
class Condition:
    """`entry` or `exit` of a level: thresholds by fact, over one window."""

    thresholds: Mapping[str, float]
    window_s: float
    needs_all: bool  # whether all thresholds must be reached; otherwise one is enough

    def as_thresholds(self) -> tuple[Threshold, ...]:
        """Returns the thresholds in the order of the file."""
        return tuple(Threshold(fact, float(value)) for fact, value in self.thresholds.items())


@dataclass(frozen=True, slots=True)
class _ComparedRequests:
    """The requests of one tenant just below a rank, for which two levels are compared."""

    tenant: int
    rank: float
    description: str


class LevelParser:
    """Parses and checks one level of a table. Raises LevelTableError that names the invalid key."""

    def __init__(
        self,
        number: int,
        values: dict[str, Any],
        request_classes: Sequence[RequestClass],
        tenants: Sequence[Tenant],
    ) -> None:
        """`number` is the position of the level in the file, from 1."""
        self.location = f"level[{number}]"
        self.request_classes = request_classes
        self.tenants = tenants
        self.section = convert_section(values, LevelSection, self.location)
        self.stay_s = check_range(
            self.section.least_stay_s, MIN_STAY_S, MAX_DURATION_S, f"{self.location}.least_stay_s"
        )
        self.trial_s = check_range(
            self.section.trial_s, self.stay_s, MAX_DURATION_S, f"{self.location}.trial_s"
        )
        self.entry = self._parse_entry()
        self.exit = self._parse_exit()
        self._check_hysteresis()
        self.restrictions = self._parse_cuts()

    def level(self) -> Level:
        """Returns the level for the selector."""
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
            self.entry.window_s * 1000,
            self.exit.as_thresholds(),
            self.exit.window_s * 1000,
            self.stay_s * 1000,
            self.trial_s * 1000,
            service_level,
            self.entry.needs_all,
        )

    def check_stricter_than(self, milder: "LevelParser") -> None:
        """Checks this level against the level before it.

        This level must restrict every request at least as much as `milder` does, and its entry thresholds
        must be above the exit thresholds of `milder`. Raises LevelTableError otherwise."""
        for class_index, request_class in enumerate(self.request_classes):
            for requests in self._compared_requests(class_index, milder):
                if self._severity(class_index, requests) < milder._severity(class_index, requests):
                    raise LevelTableError(
                        f"{self.location}.cut: {request_class.name}{requests.description} is restricted less "
                        f"than in {milder.location}"
                    )
        for fact, value in self.entry.thresholds.items():
            milder_exit = milder.exit.thresholds.get(fact, -math.inf)
            if value <= milder_exit:
                raise LevelTableError(
                    f"{self.location}.entry.{fact}: {value:g} is not above the exit threshold of "
                    f"{milder.location}, {milder_exit:g}"
                )

    def _parse_entry(self) -> Condition:
        location = f"{self.location}.entry"
        values = dict(self.section.entry)
        window_s = _pop_window(values, location)
        need = values.pop("need", "any")
        if need not in ("any", "all"):
            raise LevelTableError(f"{location}.need: {need!r} is neither 'any' nor 'all'")
        for fact, value in values.items():
            minimum, maximum = _check_fact(fact, value, location)
            if not minimum < value <= maximum:
                raise LevelTableError(
                    f"{location}.{fact}: {value:g} is not above {minimum:g} and at most {maximum:g}"
                )
        if not values:
            raise LevelTableError(f"{location}: the condition names no fact")
        return Condition(values, window_s, need == "all")

    def _parse_exit(self) -> Condition:
        location = f"{self.location}.exit"
        values = dict(self.section.exit)
        window_s = _pop_window(values, location)
        for fact, value in values.items():
            minimum, _ = _check_fact(fact, value, location)
            if not value > minimum:
                raise LevelTableError(
                    f"{location}.{fact}: {value:g} is not above the fact's minimum: {NEVER_LEFT}"
                )
        if not values:
            raise LevelTableError(f"{location}: the condition names no fact: {NEVER_LEFT}")
        return Condition(values, window_s, needs_all=True)

    def _check_hysteresis(self) -> None:
        """Checks that the exit window is longer, and the exit thresholds lower, than those of the entry."""
        if self.entry.window_s >= self.exit.window_s:
            raise LevelTableError(
                f"{self.location}.exit.for_s: {self.exit.window_s:g} is not longer than for_s of its entry, "
                f"{self.entry.window_s:g}"
            )
        for fact, value in self.exit.thresholds.items():
            entry = self.entry.thresholds.get(fact, math.inf)
            if value >= entry:
                raise LevelTableError(
                    f"{self.location}.exit.{fact}: {value:g} is not below the entry threshold, {entry:g}"
                )

    def _parse_cuts(self) -> tuple[tuple[Restriction, ...], ...]:
        """Returns the restrictions of each request class, the strongest first."""
        by_class: list[list[Restriction]] = [[] for _ in self.request_classes]
        for number, values in enumerate(self.section.cut, 1):
            location = f"{self.location}.cut[{number}]"
            cut = convert_section(values, CutSection, location)
            restriction = self._parse_restriction(cut, location)
            for class_index in self._classes_of(cut, location):
                by_class[class_index].append(restriction)
        if not self.section.cut:
            raise LevelTableError(f"{self.location}.cut: the level has no restrictions")
        return tuple(tuple(sorted(restrictions, key=_severity_of, reverse=True)) for restrictions in by_class)

    def _parse_restriction(self, cut: CutSection, location: str) -> Restriction:
        kind = RestrictionKind(cut.do)
        if (cut.share is not None) != (kind is RestrictionKind.SHARE):
            raise LevelTableError(f'{location}.share: required with do = "share", and not allowed otherwise')
        share = 0.0
        if cut.share is not None:
            share = check_range(cut.share, 0.01, 0.99, f"{location}.share")
        rank = math.inf
        if cut.rank_below is not None:
            rank = check_range(cut.rank_below, 0.001, 1.0, f"{location}.rank_below")
        tenants = None
        if cut.tenants is not None:
            names = [tenant.name for tenant in self.tenants]
            tenants = frozenset(indexes_of(cut.tenants, names, f"{location}.tenants"))
        return Restriction(kind, share, rank, tenants)

    def _classes_of(self, cut: CutSection, location: str) -> list[int]:
        """Returns the indexes of the request classes that a cut names.

        Raises LevelTableError if the cut omits a call that is not optional."""
        names = [request_class.name for request_class in self.request_classes]
        indexes = indexes_of(cut.products, names, f"{location}.products")
        if RestrictionKind(cut.do) is not RestrictionKind.OMIT:
            return indexes
        for index in indexes:
            request_class = self.request_classes[index]
            if not (request_class.may_call and request_class.skip_weight_factor):
                raise LevelTableError(f"{location}.products: {request_class.name} has no optional call")
            if request_class.idempotency is not Idempotency.SAFE:
                raise LevelTableError(
                    f"{location}.products: {request_class.name} has side effects, so its call is not omitted"
                )
        return indexes

    def _severity(self, class_index: int, requests: _ComparedRequests) -> tuple[int, float]:
        """Returns how severely this level restricts `requests`, in the order of `_severity_of`."""
        for restriction in self.restrictions[class_index]:
            applies_to_tenant = restriction.tenants is None or requests.tenant in restriction.tenants
            if requests.rank < restriction.criticality_below and applies_to_tenant:
                return _severity_of(restriction)
        return 0, 0.0

    def _compared_requests(self, class_index: int, milder: "LevelParser") -> Iterator[_ComparedRequests]:
        """Yields each combination of tenant and rank for which the two levels may differ."""
        parsers = (self, milder)
        ranks = {
            restriction.criticality_below
            for parser in parsers
            for restriction in parser.restrictions[class_index]
        }
        for tenant in range(max(len(self.tenants), 1)):
            for rank in sorted(ranks | {math.inf}):
                description = f" of {self.tenants[tenant].name}" if self.tenants else ""
                description += f" below rank {rank:g}" if rank < math.inf else ""
                yield _ComparedRequests(tenant, math.nextafter(rank, -math.inf), description)


def _severity_of(restriction: Restriction) -> tuple[int, float]:
    """Returns the sort key of a restriction: the severity of its kind, then the share that it rejects."""
    return _SEVERITY[restriction.kind], 1.0 - restriction.admitted_share


def _pop_window(values: dict[str, Any], location: str) -> float:
    """Removes `for_s` from the keys of a condition and returns it, in s."""
    window_s = check_number(values.pop("for_s", None), f"{location}.for_s")
    return check_range(window_s, MIN_WINDOW_S, MAX_DURATION_S, f"{location}.for_s")


def _check_fact(fact: str, value: Any, location: str) -> tuple[float, float]:
    """Returns the range of a fact. Raises LevelTableError if the fact is unknown or `value` not a number."""
    if fact not in FACTS:
        raise LevelTableError(f"{location}.{fact}: unknown fact; the facts are {', '.join(FACTS)}")
    check_number(value, f"{location}.{fact}")
    return FACTS[fact]
