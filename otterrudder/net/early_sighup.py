"""Records a SIGHUP that arrives before the server listens for signals.

The default action of SIGHUP ends the process, and a reload may be requested while the server is starting.
`deploy/balancer.toml` starts the process with SIGHUP ignored. `__main__` calls `install_handler` before all
imports that take time, and so before the configuration is read. `serve.py` calls `was_received` once it
listens for signals itself."""

import signal

_received: list[int] = []


def install_handler() -> None:
    """Installs a handler that records SIGHUP instead of ending the process."""
    signal.signal(signal.SIGHUP, lambda number, _: _received.append(number))


def was_received() -> bool:
    """Whether SIGHUP arrived since `install_handler`; the configuration may have changed since it was
    read."""
    return bool(_received)
