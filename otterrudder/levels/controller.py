"""The level controller of one server: the level selector, its mode, and the fields of the log lines.

The request core owns it and calls it once a tick. A `LevelUpdate` carries the service level for the admission
controller and the log line for operators. In shadow mode the selector runs as usual, but the admission
controller stays at full service: transitions are only logged."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from otterrudder.admission.interface import ServiceLevel
from otterrudder.levels.selector import FULL_SERVICE, LevelSelector, Transition
from otterrudder.levels.table import LevelTable


@dataclass(frozen=True, slots=True)
class LevelUpdate:
    """The result of a tick: the service level to set, if it changes, and a line for the log."""

    service_level: ServiceLevel | None
    text: str
    facts: dict[str, object]


class LevelController:
    """One server's level selector and its mode, enforced or shadow."""

    def __init__(
        self, table: LevelTable, spread: float, selector_class: type[LevelSelector] = LevelSelector
    ) -> None:
        """`spread`: 0 to 1, this instance's own, see LevelSelector; `selector_class`: for baselines of the
        lab."""
        self._selector = selector_class(table.levels, table.damping, spread=spread, start=table.start)
        self.is_shadow = table.is_shadow

    @property
    def service_level(self) -> ServiceLevel:
        """What the admission controller has to enforce now; full service in shadow mode."""
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
        """Plays the tick at `now` ms with the facts that are known then."""
        return self._update(self._selector.step(now, facts))

    def replace_table(self, table: LevelTable, now: float) -> LevelUpdate:
        """Takes another table; the level in force stays where the new table has it."""
        self.is_shadow = table.is_shadow
        update = self._update(self._selector.replace_levels(table.levels, table.damping, now))
        if update is None:
            update = LevelUpdate(None, "levels taken", dict(service=self.name, shadow=self.is_shadow))
        return replace(update, service_level=self.service_level)  # always set: the mode may have changed

    def log_fields(self, now: float) -> dict[str, object]:
        """Fields for the server's periodic log line."""
        seconds = round(self._selector.time_in_level(now) / 1000, 1)
        fields: dict[str, object] = dict(service=self.name, service_s=seconds)
        if self.is_shadow:
            fields["service_shadow"] = True
        return fields

    def _update(self, transition: Transition | None) -> LevelUpdate | None:
        if transition is None:
            return None
        text = "less service" if transition.is_reduction else "more service"
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
