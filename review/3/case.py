"""Bad clients send requests with a `ttl` that is out of range; the memory of the server is watched.

With TROUBLE=0 (`case.has_trouble` is false) the disruption is left out.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import rig  # noqa: E402

WORK_MS = {"addr-lookup": 200.0, "form-check": 400.0, "form-submit": 300.0}
TTL_MS = 80_000_000  # a caller of this site waits 2,900 ms for this class at most
BAD_CLIENTS = 4
RUN_S = 85.0
QUIET_RUN_S = 20.0  # without the bad clients


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGESIZE") / 1e6


async def send_requests(case: rig.Case, tries: list[rig.Try]) -> None:
    """Sends the ordinary requests of a gateway, which keep the cores busy."""
    gateway = await case.gateway("gateway")
    for number in range(10_000):
        tries.append(gateway.new_try("addr-lookup", b"address %d" % number, 2500))
        tries.append(gateway.new_try("form-check", b"draft %d" % number, 6000))
        if number % 4 == 0:
            tries.append(gateway.new_try("form-submit", b"return %d" % number, 4000, key=f"{number:032x}"))
        gateway.flush()
        await asyncio.sleep(0.2)


async def watch_memory(case: rig.Case, limit_mb: float, run_s: float) -> bool:
    """Plays the platform, which kills a server that goes over its limit. Returns whether it stayed below."""
    assert case.server.process
    pid, end, next_line = case.server.process.pid, time.monotonic() + run_s, 0.0
    while time.monotonic() < end:
        used_mb = resident_mb(pid)
        if time.monotonic() > next_line:
            next_line = time.monotonic() + 2.0
            case.record.write(f"platform the server uses {used_mb:.1f} MB of {limit_mb:g}")
        if used_mb > limit_mb:
            case.record.write(f"platform the server uses {used_mb:.1f} MB, over its limit of {limit_mb:g}")
            return False
        await asyncio.sleep(0.1)
    return True


async def play(case: rig.Case) -> bool:
    """Returns whether the server stayed below its memory limit."""
    run_s = RUN_S if case.has_trouble else QUIET_RUN_S
    command = [sys.executable, str(FOLDER / "bad_client.py"), str(case.address[1]), str(TTL_MS), str(run_s)]
    bad_clients = []
    if case.has_trouble:
        case.record.write(f"bad      {BAD_CLIENTS} bad clients begin, with ttl={TTL_MS}")
        bad_clients = [
            await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.DEVNULL)
            for _ in range(BAD_CLIENTS)
        ]
    tries: list[rig.Try] = []
    sender = asyncio.create_task(send_requests(case, tries))
    try:
        is_held = await watch_memory(case, case.server.document["limits"]["memory_mb"], run_s)
        if not is_held:
            await case.server.kill("as the platform does with a server over its memory limit")
            await asyncio.sleep(0.5)
    finally:
        sender.cancel()
        for bad_client in bad_clients:
            if bad_client.returncode is None:
                bad_client.kill()
            await bad_client.wait()
    lost = sum(not one.is_over for one in tries)
    case.record.write(f"end      the gateway sent {len(tries)} requests; {lost} have no answer at the end")
    return is_held


if __name__ == "__main__":
    rig.main(FOLDER, rig.austin_settings(), WORK_MS, play)
