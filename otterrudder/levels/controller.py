"""What a server holds of its levels: the ladder, whether it is enforced or only watched, and the words for
the log.

The core owns it and hands it the facts of each tick; what comes back is what the module is to be told and
what the operators are. A shadow ladder climbs as it would and the module is never told a level: it only goes
on counting what is asked for."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from otterrudder.admission.interface import ServiceLevel
from otterrudder.levels.selector import FULL, Ladder, Move
from otterrudder.levels.table import Table


@dataclass(frozen=True, slots=True)
class LevelUpdate:
    """What a tick brought: the level the module is to be told, if it changes, and a line for the log."""

    relief: ServiceLevel | None
    text: str
    facts: dict[str, object]


class LevelController:
    """One server's ladder and its mode: hears the facts of each tick, answers with what follows from them."""

    def __init__(self, table: Table, spread: float, kind: type[Ladder] = Ladder) -> None:
        """`spread`: 0 to 1, this instance's own, see Ladder; `kind`: a baseline's, in the lab."""
        self._ladder = kind(table.rungs, table.damping, spread=spread, start=table.start)
        self.is_shadow = table.is_shadow

    @property
    def relief(self) -> ServiceLevel:
        """What is to be enforced now; full service in shadow."""
        return ServiceLevel(FULL) if self.is_shadow else self._ladder.relief

    @property
    def name(self) -> str:
        return self._ladder.name

    def step(self, now: float, facts: Mapping[str, float]) -> LevelUpdate | None:
        """The tick at `now` ms, with what is known then."""
        return self._update(self._ladder.step(now, facts), now)

    def take(self, table: Table, now: float) -> LevelUpdate:
        """Another table; what is in force stays as far as the table has it."""
        self.is_shadow = table.is_shadow
        update = self._update(self._ladder.replace(table.rungs, table.damping, now), now)
        if update is None:
            update = LevelUpdate(None, "levels taken", dict(service=self.name, shadow=self.is_shadow))
        return replace(update, relief=self.relief)  # told in any case: the mode may have changed

    def log_fields(self, now: float) -> dict[str, object]:
        """For the line on how the server does."""
        told: dict[str, object] = dict(service=self.name, service_s=round(self._ladder.stayed(now) / 1000, 1))
        return told | (dict(service_shadow=True) if self.is_shadow else {})

    def _update(self, move: Move | None, now: float) -> LevelUpdate | None:
        if move is None:
            return None
        told: dict[str, object] = dict(left=move.left, entered=move.entered, why=move.reason.value)
        for reading in move.readings:
            told[reading.fact] = round(reading.value, 3)
            told[f"{reading.fact}_bound"] = reading.bound
        told |= dict(least_stay_s=round(move.stay_ms / 1000, 1), damped=round(move.damped, 2))
        told |= dict(shadow=True) if self.is_shadow else {}
        text = "less service" if move.up else "more service"
        return LevelUpdate(None if self.is_shadow else move.relief, text, told)
