"""Starts child processes of the lab, exchanges lines with them, and stops each by its id on every exit path.

Each child runs in a session of its own. So Ctrl-C in a terminal signals only the lab, which then stops its
children in order. If the lab itself is killed, the children that run modules of the lab exit at the end of
their input."""

import contextlib
import sys
from collections.abc import AsyncIterator, Sequence
from pathlib import Path
from subprocess import PIPE

import anyio
import anyio.abc
from anyio.streams.buffered import BufferedByteReceiveStream

from otterrudder.lab.processes.launch import ROOT, child_environment

MAX_LINE_BYTES = 4 * 2**20  # maximum length of a line of output
STOP_TIMEOUT_S = 5.0  # a child that runs longer after the end of its input is killed


class Child:
    """A running child process. It reads its input and writes its output line by line."""

    def __init__(self, process: anyio.abc.Process, stops_by_signal: bool) -> None:
        assert process.stdin and process.stdout
        self.process, self.stops_by_signal = process, stops_by_signal
        self._input = process.stdin
        self._output = BufferedByteReceiveStream(process.stdout)

    @property
    def pid(self) -> int:
        """The id of the process."""
        return self.process.pid

    async def read_line(self) -> bytes:
        """Returns the next line of the output. Raises EndOfStream at its end."""
        return await self._output.receive_until(b"\n", MAX_LINE_BYTES)

    async def send_line(self, line: bytes) -> None:
        """Writes a line to the input."""
        await self._input.send(line + b"\n")

    async def request(self, line: bytes) -> bytes:
        """Writes a line to the input and returns the next line of the output."""
        await self.send_line(line)
        return await self.read_line()

    async def stop(self) -> None:
        """Closes the input, sends SIGTERM if `stops_by_signal`, and kills the process after a timeout."""
        with anyio.move_on_after(STOP_TIMEOUT_S, shield=True):
            with contextlib.suppress(OSError, anyio.BrokenResourceError):
                await self._input.aclose()
            if self.stops_by_signal:
                with contextlib.suppress(ProcessLookupError):
                    self.process.terminate()
            await self.process.wait()
        if self.process.returncode is None:
            self.process.kill()
        with anyio.CancelScope(shield=True):
            await self.process.wait()


@contextlib.asynccontextmanager
async def running_child(
    arguments: Sequence[str], log: Path, *, folder: Path | None = None, stops_by_signal: bool = False
) -> AsyncIterator[Child]:
    """Runs `python -m` with the given arguments for the duration of the block, with standard error to `log`.

    `folder`: the directory for its temporary files. `stops_by_signal`: whether the process is stopped by
    SIGTERM because it does not exit at the end of its input."""
    variables = {"TMPDIR": str(folder)} if folder else {}
    with log.open("ab") as errors:
        process = await anyio.open_process(
            [sys.executable, "-m", *arguments],
            cwd=ROOT,
            env=child_environment(variables),
            stdin=PIPE,
            stdout=PIPE,
            stderr=errors,
            start_new_session=True,
        )
    child = Child(process, stops_by_signal)
    try:
        yield child
    finally:
        await child.stop()
