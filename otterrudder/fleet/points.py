"""Named points at which a rig may halt a process, to kill it there: "before vote", "after propose", ...

Only where the environment of the process names one; nothing else ever does. The process stops itself
(SIGSTOP) the first time it gets there, and goes on when it is told to."""

import os
import signal

NAMED = "OTTERRUDDER_HALT_AT"  # the variable
_halts = [os.environ[NAMED]] if os.environ.get(NAMED) else []


def reached(point: str) -> None:
    if _halts and _halts[0] == point:
        _halts.clear()
        os.kill(os.getpid(), signal.SIGSTOP)
