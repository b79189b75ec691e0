"""Case 3: turned-away requests of another client, with a `ttl` out of range, fill the server's memory."""

import asyncio
import base64
import json
import sys
import time
from collections import Counter
from pathlib import Path
from secrets import token_hex

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import rig

FOLDER = Path(__file__).resolve().parent
WORK_MS = {"addr-lookup": 150.0, "form-check": 200.0, "form-submit": 150.0}
PLAY_S = 95.0
LONG_TTL_MS = 86_400_000  # a client of this class waits for 2,900 ms at most
CLASS_TTL_MS = 2900
MEMORY_MB = 128  # the pages name 32 to 192 MB
CONNECTIONS = 3
OPEN_AT_ONCE = 30  # requests open on a connection; 32 are allowed
LOOK_EVERY_S = 0.25


def resident_mb(pid: int) -> float:
    """Returns the memory of a process in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise rig.CannotRunError("the server's memory is not known")


class BadClient:
    """A client that sends requests which the runtime does not know, and sends each again as soon as it is
    turned away. It reads what it is sent, and connects again when the server closes its connection."""

    def __init__(self, case: rig.Case, ttl: int) -> None:
        self.case = case
        self.ttl = ttl
        self.answers: Counter[str] = Counter()

    async def run(self) -> None:
        """Runs until it is cancelled."""
        while True:
            try:
                await self._serve_connection()
            except ConnectionError:
                self.answers["reset"] += 1

    async def _serve_connection(self) -> None:
        reader, writer = await asyncio.open_connection(*self.case.address)
        try:
            lines = {rpc_id: self._line(rpc_id) for rpc_id in range(1, OPEN_AT_ONCE + 1)}
            writer.write(b"".join(lines.values()))
            while text := await reader.readline():
                answer = json.loads(text)
                if rpc_id := answer.get("id"):
                    self.answers[str(answer.get("error", {}).get("code", "served"))] += 1
                    writer.write(lines[rpc_id])
        finally:
            writer.close()

    def _line(self, rpc_id: int) -> bytes:
        now = int(time.time() * 1000)
        params = dict(call=token_hex(8), recv=now, src=9, org=self.case.platform.tenant, ttl=self.ttl)
        params |= dict(heap=0.5, crit=0.5, blob=base64.b64encode(b"x").decode())
        message = dict(jsonrpc="2.0", id=rpc_id, method="addr-lookup", params=params)
        return json.dumps(message).encode() + b"\n"


async def play(case: rig.Case) -> bool:
    """Plays a gateway's light traffic beside the bad client, and kills the server at its limit, as the
    platform does."""
    process = case.server.process
    assert process
    limit_mb: float = case.server.document["limits"]["memory_mb"]
    gateway = await case.gateway("gateway")
    bad_client = BadClient(case, LONG_TTL_MS if case.has_trouble else CLASS_TTL_MS)
    tasks = [asyncio.create_task(bad_client.run()) for _ in range(CONNECTIONS)]
    until = time.monotonic() + PLAY_S
    most_mb = 0.0
    number = 0
    try:
        while time.monotonic() < until and most_mb <= limit_mb:
            if number % 4 == 0:
                gateway.new_try("form-check", b"form %d" % number, 6500)
                gateway.flush()
            await asyncio.sleep(LOOK_EVERY_S)
            most_mb = max(most_mb, resident_mb(process.pid))
            if number % 8 == 0:
                answers = dict(bad_client.answers)
                case.record.write(f"server   has {most_mb:.1f} of {limit_mb} MiB; answers: {answers}")
            number += 1
    finally:
        for task in tasks:
            task.cancel()
    case.record.write(f"the server took {most_mb:.1f} MiB; the limit is {limit_mb}")
    if most_mb > limit_mb:
        await case.server.kill("over its memory limit")
        return False
    return True


if __name__ == "__main__":
    rig.main(FOLDER, rig.austin_settings(), WORK_MS, play, MEMORY_MB)
