"""Processes of the lab: started, read line by line, ended by their own ids on every way out.

Each is in a session of its own, so that a terminal's Ctrl-C reaches the lab alone, which ends them in order.
If the lab itself is killed, those of the lab's own modules end with their input."""

import contextlib
import sys
from collections.abc import AsyncIterator, Sequence
from pathlib import Path
from subprocess import PIPE

import anyio
import anyio.abc
from anyio.streams.buffered import BufferedByteReceiveStream

from otterrudder.lab.processes.launch import ROOT, child_environment

MAX_LINE_BYTES = 4 * 2**20  # bytes of a line
END_S = 5.0  # s that a child may take to end after its input has


class Child:
    """One process."""

    def __init__(self, process: anyio.abc.Process, ends_by_signal: bool) -> None:
        assert process.stdin and process.stdout
        self.process, self.ends_by_signal = process, ends_by_signal
        self._input = process.stdin
        self._output = BufferedByteReceiveStream(process.stdout)

    @property
    def pid(self) -> int:
        """The process's id."""
        return self.process.pid

    async def read_line(self) -> bytes:
        """The next line of its output; EndOfStream: there is none any more."""
        return await self._output.receive_until(b"\n", MAX_LINE_BYTES)

    async def tell(self, line: bytes) -> None:
        """Sends a line."""
        await self._input.send(line + b"\n")

    async def ask(self, line: bytes) -> bytes:
        """The line that answers this one."""
        await self.tell(line)
        return await self.read_line()

    async def end(self) -> None:
        """By the end of its input and SIGTERM, or by a kill."""
        with anyio.move_on_after(END_S, shield=True):
            with contextlib.suppress(OSError, anyio.BrokenResourceError):
                await self._input.aclose()
            if self.ends_by_signal:
                with contextlib.suppress(ProcessLookupError):
                    self.process.terminate()
            await self.process.wait()
        if self.process.returncode is None:
            self.process.kill()
        with anyio.CancelScope(shield=True):
            await self.process.wait()


@contextlib.asynccontextmanager
async def running(
    words: Sequence[str], log: Path, *, folder: Path | None = None, ends_by_signal: bool = False
) -> AsyncIterator[Child]:
    """A child by `python -m WORDS`; gone at the end. What it says on standard error goes to the file `log`.
    `folder`: for its temporary files; `ends_by_signal`: it does not end with its input."""
    told = {"TMPDIR": str(folder)} if folder else {}
    with log.open("ab") as errors:
        process = await anyio.open_process(
            [sys.executable, "-m", *words],
            cwd=ROOT,
            env=child_environment(told),
            stdin=PIPE,
            stdout=PIPE,
            stderr=errors,
            start_new_session=True,
        )
    child = Child(process, ends_by_signal)
    try:
        yield child
    finally:
        await child.end()
