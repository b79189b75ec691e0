"""Failpoints: named points, such as "before vote" or "after propose", at which a test can stop a process, for
example to kill it there.

Failpoints are only active if an environment variable names directories. A failpoint is armed by a file of its
name in one of them. A process that reaches it renames the file, appending its process ID, and stops itself
with SIGSTOP, so that only one of several processes stops. It continues when it receives SIGCONT."""

import os
import signal

ENVIRONMENT_VARIABLE = "OTTERRUDDER_HALT_AT"
_directories = [path for path in os.environ.get(ENVIRONMENT_VARIABLE, "").split(os.pathsep) if path]


def reach_failpoint(name: str) -> None:
    """Stops the process if the failpoint is armed."""
    for directory in _directories:
        try:
            os.rename(f"{directory}/{name}", f"{directory}/{name}.{os.getpid()}")
        except OSError:
            continue
        os.kill(os.getpid(), signal.SIGSTOP)
