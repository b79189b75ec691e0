"""Three tries of one keyed request on a busy server: the first one is taken back while it is queued.

With TROUBLE=0 (`case.has_trouble` is false) the disruption is left out.
"""

import asyncio
import sys
from pathlib import Path
from secrets import token_hex

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import rig

ROUNDS = 4
WORK_MS = {"wallet-read": 300.0, "inventory-save": 500.0, "spend": 300.0}


async def play_round(case: rig.Case) -> bool:
    """Plays one keyed request. Returns whether it was run once at most."""
    other = await case.gateway("other")
    first = await case.gateway("gateway1")
    second = await case.gateway("gateway2")
    # Ordinary work keeps the cores busy, so that the keyed request has to queue.
    tries = [other.new_try("inventory-save", b"snapshot %d" % number, 5900) for number in range(4)]
    other.flush()
    await asyncio.sleep(0.1)
    key, body = token_hex(16), b"purchase " + token_hex(4).encode()
    try_a = first.new_try("spend", body, 4000, key)
    first.flush()
    await asyncio.sleep(0.1)
    # The client asks again by itself, through another gateway.
    tries.append(second.new_try("spend", body, 4000, key, is_retry=True))
    second.flush()
    await asyncio.sleep(0.1)
    # The first gateway stops waiting for its try, and tries once more.
    if case.has_trouble:
        first.interrupt(try_a)
    else:
        tries.append(try_a)
    tries.append(first.new_try("spend", body, 4000, key, is_retry=True))
    first.flush()
    await rig.wait_until_answered(tries)
    await asyncio.sleep(1.0)
    runs = case.platform.runs_of(key)
    outcomes = [one.outcome() for one in case.platform.tries.values() if one.key == key]
    case.record.write(f"round    the keyed request was run {runs} times; its tries: {outcomes}")
    for gateway in (other, first, second):
        gateway.close()
    return runs <= 1


async def play(case: rig.Case) -> bool:
    """Returns whether the rule held in all rounds."""
    results = [await play_round(case) for _ in range(ROUNDS)]
    return all(results)


if __name__ == "__main__":
    rig.main(Path(__file__).resolve().parent, rig.kostka_settings(), WORK_MS, play)
