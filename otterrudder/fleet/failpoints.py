"""Failpoints: named points at which a test may halt a process, to kill it there: "before vote", "after
propose".

Only where the environment of the process names directories to look into; nothing else ever does. The process
claims the file of that name there, if there is one, by giving it its own number, and stops itself (SIGSTOP);
of several that reach a failpoint which is armed for all of them, one halts. It goes on when it gets
SIGCONT."""

import os
import signal

ENVIRONMENT_VARIABLE = "OTTERRUDDER_HALT_AT"
_directories = [path for path in os.environ.get(ENVIRONMENT_VARIABLE, "").split(os.pathsep) if path]


def reach_failpoint(name: str) -> None:
    """Halts here, if the failpoint is armed for this process."""
    for directory in _directories:
        try:
            os.rename(f"{directory}/{name}", f"{directory}/{name}.{os.getpid()}")
        except OSError:
            continue
        os.kill(os.getpid(), signal.SIGSTOP)
