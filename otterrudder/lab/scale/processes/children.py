"""Processes of the lab that end with their input: started, read line by line, ended by their own ids.

Each is in a process group of its own, so that a terminal's Ctrl-C reaches the lab alone, which ends them in
order; if the lab itself is killed, their input ends and so do they."""

import contextlib
import sys
from collections.abc import AsyncIterator, Sequence
from pathlib import Path
from subprocess import PIPE

import anyio
import anyio.abc
from anyio.streams.buffered import BufferedByteReceiveStream

from otterrudder.lab.processes.rig import ROOT

LINE_MOST = 4 * 2**20  # bytes of a line
END_S = 5.0  # s that a child may take to end after its input has


class Child:
    """One process of `python -m MODULE`."""

    def __init__(self, process: anyio.abc.Process) -> None:
        assert process.stdin and process.stdout
        self.process = process
        self._input = process.stdin
        self._output = BufferedByteReceiveStream(process.stdout)

    @property
    def pid(self) -> int:
        return self.process.pid

    async def read_line(self) -> bytes:
        """The next line of its output; EndOfStream: there is none any more."""
        return await self._output.receive_until(b"\n", LINE_MOST)

    async def ask(self, line: bytes) -> bytes:
        """The line that answers this one."""
        await self._input.send(line + b"\n")
        return await self.read_line()

    async def end(self) -> None:
        """By the end of its input, or by a kill."""
        with anyio.move_on_after(END_S, shield=True):
            with contextlib.suppress(OSError, anyio.BrokenResourceError):
                await self._input.aclose()
            await self.process.wait()
        if self.process.returncode is None:
            self.process.kill()
        with anyio.CancelScope(shield=True):
            await self.process.wait()


@contextlib.asynccontextmanager
async def running(module: str, words: Sequence[str], log: Path) -> AsyncIterator[Child]:
    """A child of that module; gone at the end. What it says on standard error goes to the file `log`."""
    with log.open("ab") as errors:
        process = await anyio.open_process(
            [sys.executable, "-m", module, *words],
            cwd=ROOT,
            stdin=PIPE,
            stdout=PIPE,
            stderr=errors,
            start_new_session=True,
        )
    child = Child(process)
    try:
        yield child
    finally:
        await child.end()
