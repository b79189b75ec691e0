"""Case 1: a keyed request runs twice when the try that holds its key is taken back while another waits."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
import rig

FOLDER = Path(__file__).resolve().parent
KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
WORK_MS = {"wallet-read": 200.0, "inventory-save": 1200.0, "spend": 300.0}
BETWEEN_TRIES_S = 0.45


async def play(case: rig.Case) -> bool:
    """Keeps both cores busy, and sends three tries of one `spend`: the first one and two retries."""
    first = await case.gateway("G1")
    second = await case.gateway("G2")
    tries = [first.new_try("inventory-save", b"save %d" % n, 5900) for n in range(2)]
    first.flush()
    await asyncio.sleep(0.05)
    body = b"one sword"
    first_try = first.new_try("spend", body, 4700, KEY)
    first.flush()
    await asyncio.sleep(BETWEEN_TRIES_S)
    retries = [second.new_try("spend", body, 4200, KEY, is_retry=True)]
    second.flush()
    await asyncio.sleep(BETWEEN_TRIES_S)
    if case.has_trouble:
        first.interrupt(first_try)
    retries.append(first.new_try("spend", body, 3700, KEY, is_retry=True))
    first.flush()
    await rig.wait_until_answered([*tries, first_try, *retries], 0.5)
    await asyncio.sleep(1.0)
    runs = case.platform.runs_of(KEY)
    case.record.write(f"the key {KEY} was run {runs} times; the rule allows 1")
    for one in (first_try, *retries):
        case.record.write(f"try {one.call}: {one.outcome()}, {one.runs} runs")
    return runs <= 1


if __name__ == "__main__":
    rig.main(FOLDER, rig.kostka_settings(), WORK_MS, play)
