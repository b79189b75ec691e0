"""SIGHUP before the server hears signals: by default it would end the process, and a reload is as likely in
those moments as in any other. `deploy/balancer.toml` has it ignored until here, ahead of the file's reading.

Called by `__main__` ahead of every import that takes time; asked by serve.py once it hears signals itself."""

import signal

_held: list[int] = []


def hold() -> None:
    """From now on SIGHUP is remembered, and ends nothing."""
    signal.signal(signal.SIGHUP, lambda number, _: _held.append(number))


def has_come() -> bool:
    """Whether one came since `hold`: the file may have changed since it was read."""
    return bool(_held)
