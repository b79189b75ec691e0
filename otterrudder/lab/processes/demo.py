"""For a newcomer: a change of policy across six processes, while one is killed between its promise and its
vote, and returns."""

import tempfile
from collections.abc import Callable
from pathlib import Path

import anyio

from otterrudder.lab.processes.plan import Fault, Played, Round, conclude, play
from otterrudder.lab.processes.rig import Rig

SERVERS = 6
ROUNDS = [Round(1, "look", (), 0.3), Round(2, "pay", (Fault("kill at point", 3, "after save"),), 1.5)]


async def _play(folder: Path, say: Callable[[str], None]) -> Played:
    rig = Rig(folder, SERVERS)
    say(f"{SERVERS} servers, a store, gateways; policy 1 declines 'look', policy 2 declines 'pay'")
    async with rig.running():
        start = rig.marks[0][0]
        played = await play(rig, ROUNDS[:1])
        say("policy 1 is in force on all; now policy 2: n3 is killed when it has promised and not yet voted")
        later = await play(rig, ROUNDS[1:])
    played.rounds += later.rounds
    played.odd, played.undecided = played.odd + later.odd, played.undecided + later.undecided
    for at, server, what in rig.marks:
        if server in (-1, 3):
            say(f"{(at - start) / 1000:6.1f} s  {'the fleet' if server < 0 else 'n3'}: {what}")
    for version in rig.versions[1:]:
        at = (version.by - start) / 1000
        say(f"{at:6.1f} s  version {version.version} in force: no '{version.declines}'")
    return conclude(rig, played)


def show(say: Callable[[str], None]) -> bool:
    """Whether all that is promised held."""
    with tempfile.TemporaryDirectory() as folder:
        played = anyio.run(_play, Path(folder), say)
    figures = played.verdict.figures
    say(
        f"{figures['txns']:.0f} txns, {figures['settled']:.0f} settled; under a wrong version "
        f"{figures['wrong_version']:.0f}; servers that went by another policy {played.odd}"
    )
    for breach in played.verdict.breaches:
        say(breach)
    return not played.verdict.breaches and not played.odd and not played.undecided
