"""Named points at which a rig may halt a process, to kill it there: "before vote", "after propose", ...

Only where the environment of the process names folders to look into; nothing else ever does. The process
claims the file of that name there, if there is one, by giving it its own number, and stops itself (SIGSTOP);
of several that come to a point which is armed for all of them, one halts. It goes on when it is told to."""

import os
import signal

NAMED = "OTTERRUDDER_HALT_AT"  # the variable
_folders = [folder for folder in os.environ.get(NAMED, "").split(os.pathsep) if folder]


def reach_failpoint(point: str) -> None:
    for folder in _folders:
        try:
            os.rename(f"{folder}/{point}", f"{folder}/{point}.{os.getpid()}")
        except OSError:
            continue
        os.kill(os.getpid(), signal.SIGSTOP)
