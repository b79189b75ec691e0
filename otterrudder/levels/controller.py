"""The level controller of one server: the level selector, its mode, and the log fields.

The request core owns the controller and calls it once per tick. A `LevelUpdate` carries the service level for
the admission controller and the log line for operators. In shadow mode the selector runs as usual, but the
admission controller stays at full service: transitions are only logged."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from otterrudder.admission.interface import ServiceLevel
from otterrudder.levels.selector import FULL_SERVICE, LevelSelector, Transition
from otterrudder.levels.table import LevelTable


@dataclass(frozen=True, slots=True)
class LevelUpdate:
    """A change of the service level: the level to set and the log line that reports it."""

    service_level: ServiceLevel | None  # None: the admission controller keeps its present level
    text: str  # the log message
    facts: dict[str, object]  # the fields of the log line


class LevelController:
    """The level selector of one server and its mode, enforced or shadow."""

    def __init__(
        self, table: LevelTable, spread: float, selector_class: type[LevelSelector] = LevelSelector
    ) -> None:
        """`spread` is from 0 to 1 and differs between instances, see LevelSelector. `selector_class` lets the
        lab compare the selector with baselines."""
        self._selector = selector_class(table.levels, table.damping, spread=spread, start=table.start)
        self.is_shadow = table.is_shadow

    @property
    def service_level(self) -> ServiceLevel:
        """The service level that the admission controller has to enforce; full service in shadow mode."""
        return ServiceLevel(FULL_SERVICE) if self.is_shadow else self._selector.service_level

    @property
    def name(self) -> str:
        """The name of the level in force, also in shadow mode."""
        return self._selector.name

    @property
    def is_full_service(self) -> bool:
        """Whether no level of reduced service is in force."""
        return self.name == FULL_SERVICE

    def step(self, now: float, facts: Mapping[str, float]) -> LevelUpdate | None:
        """Evaluates the facts known at `now` ms. Returns the update if the level changes."""
        return self._update(self._selector.step(now, facts))

    def replace_table(self, table: LevelTable, now: float) -> LevelUpdate:
        """Replaces the table. The level in force stays if the new table has a level of the same name."""
        self.is_shadow = table.is_shadow
        update = self._update(self._selector.replace_levels(table.levels, table.damping, now))
        if update is None:
            update = LevelUpdate(None, "level table replaced", dict(service=self.name, shadow=self.is_shadow))
        # Always set the service level, because the mode may have changed.
        return replace(update, service_level=self.service_level)

    def log_fields(self, now: float) -> dict[str, object]:
        """Returns the fields that the level adds to the server's periodic log line."""
        seconds = round(self._selector.time_in_level(now) / 1000, 1)
        fields: dict[str, object] = dict(service=self.name, service_s=seconds)
        if self.is_shadow:
            fields["service_shadow"] = True
        return fields

    def _update(self, transition: Transition | None) -> LevelUpdate | None:
        if transition is None:
            return None
        text = "service reduced" if transition.is_reduction else "service restored"
        service_level = None if self.is_shadow else transition.service_level
        return LevelUpdate(service_level, text, self._transition_fields(transition))

    def _transition_fields(self, transition: Transition) -> dict[str, object]:
        fields: dict[str, object] = dict(
            left=transition.previous, entered=transition.entered, why=transition.reason.value
        )
        for reading in transition.readings:
            fields[reading.fact] = round(reading.value, 3)
            fields[f"{reading.fact}_bound"] = reading.threshold
        fields["least_stay_s"] = round(transition.min_stay_ms / 1000, 1)
        fields["damped"] = round(transition.damping_factor, 2)
        if self.is_shadow:
            fields["shadow"] = True
        return fields
