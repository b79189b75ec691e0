"""Helpers for child processes: the project's root directory, their environment, and whether a process is
stopped."""

import os
from pathlib import Path

from otterrudder.configuration import CONFIGURATION_VARIABLE
from otterrudder.fleet.failpoints import ENVIRONMENT_VARIABLE as FAILPOINTS_VARIABLE

ROOT = Path(__file__).parents[3]


def child_environment(variables: dict[str, str], *failpoint_directories: Path) -> dict[str, str]:
    """Returns this process's environment with these variables and failpoint directories."""
    not_inherited = (CONFIGURATION_VARIABLE, FAILPOINTS_VARIABLE)
    environment = {name: value for name, value in os.environ.items() if name not in not_inherited}
    environment |= variables
    if failpoint_directories:
        environment[FAILPOINTS_VARIABLE] = os.pathsep.join(map(str, failpoint_directories))
    return environment


def is_stopped(pid: int) -> bool:
    """Whether a process exists and is stopped by a signal."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return False
    state = stat.rpartition(")")[2].split()[0]
    return state == "T"
