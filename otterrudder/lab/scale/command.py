"""What `lab scale` does: its parts by name, each a module with `perform`, imported when it is asked for."""

from collections.abc import Callable
from dataclasses import dataclass
from importlib import import_module
from importlib.util import find_spec
from pathlib import Path

from otterrudder.lab.site import BadInput

PARTS = {
    "simulated": "otterrudder.lab.scale.simulated",
    "processes": "otterrudder.lab.scale.processes",
}


@dataclass(frozen=True, slots=True)
class Choice:
    """What the command line says."""

    is_quick: bool = False
    seed: int | None = None
    servers: int | None = None
    names: tuple[str, ...] = ()
    minutes: float | None = None
    is_json: bool = False
    folder: Path | None = None


def installed() -> list[str]:
    """The parts that are here."""
    return [name for name, module in PARTS.items() if find_spec(module)]


def perform(part: str, file: Path, choice: Choice, say: Callable[[str], None]) -> list[str]:
    """Plays one part; what does not hold. Raises BadInput."""
    if part not in installed():
        raise BadInput(f"the part {part!r} is not in this program")
    found: list[str] = import_module(PARTS[part]).perform(file, choice, say)
    return found
