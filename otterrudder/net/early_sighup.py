"""SIGHUP before the server listens for signals.

By default it would end the process, and a reload is as likely in those moments as in any other.
`deploy/balancer.toml` has it ignored until `hold` is called, ahead of the configuration's reading: by
`__main__`, ahead of every import that takes time. `serve.py` asks `has_come` once it listens itself."""

import signal

_received: list[int] = []


def hold() -> None:
    """From now on SIGHUP is remembered, and ends nothing."""
    signal.signal(signal.SIGHUP, lambda number, _: _received.append(number))


def has_come() -> bool:
    """Whether one came since `hold`: the file may have changed since it was read."""
    return bool(_received)
