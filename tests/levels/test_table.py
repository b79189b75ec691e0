"""The table of levels: what it says is what the module is told, and what is wrong with it is named."""

import csv
import subprocess
import sys
from pathlib import Path

import pytest
from helpers import ROOT

from otterrudder.admission.interface import Idempotency, RequestClass, RestrictionKind, Tenant
from otterrudder.levels import LevelController, LevelTableError, parse_table, read_table
from otterrudder.net.core import RequestCore
from otterrudder.net.messages import LogEntry

PRODUCTS = [
    RequestClass("addr-lookup", Idempotency.SAFE, 1, 1200, 2900),
    RequestClass("form-check", Idempotency.SAFE, 2, 2700, 6500, may_call=True, skip_weight_factor=0.5),
    RequestClass(
        "form-submit", Idempotency.IDEMPOTENT, 5, 2000, 4700, 14214, may_call=True, skip_weight_factor=0.5
    ),
]
TENANTS = [Tenant("north", 0.6), Tenant("south", 0.4)]
LEVEL = """
[[level]]
name = "{name}"
least_stay_s = 5
entry = {{ for_s = 1, pressure = {entry} }}
exit = {{ for_s = 4, pressure = 0.1, demand = 0.9 }}
cut = [{cut}]
"""
SHARE = '{ do = "share", share = 0.5, products = ["addr-lookup"] }'
NONE = '{ do = "decline", products = ["addr-lookup"] }'


def table(*cuts: str, top: str = "version = 1\n") -> str:
    return top + "".join(LEVEL.format(name=f"l{n}", entry=0.2 * n, cut=cut) for n, cut in enumerate(cuts, 1))


def test_the_example_is_valid_and_has_its_restrictions() -> None:
    parsed = read_table(ROOT / "deploy/levels.toml", PRODUCTS, TENANTS)
    names = [level.name for level in parsed.levels]
    assert names == ["checks-when-free", "lookups-when-free", "submits-only"]
    first, second, third = (level.service_level.restrictions for level in parsed.levels)
    assert (first[0], first[1][0].kind, first[2]) == ((), RestrictionKind.SPARE, ())
    assert (second[0][0].kind, second[1][0].kind) == (
        RestrictionKind.SPARE,
        RestrictionKind.REJECT,
    ) and third[0][0].kind is RestrictionKind.REJECT
    assert not third[2] and parsed.levels[0].min_stay_ms == 8000.0 and not parsed.is_shadow


def test_the_strongest_cut_that_fits_comes_first() -> None:
    cuts = SHARE + ', { do = "decline", products = ["addr-lookup"], rank_below = 0.3, tenants = ["south"] }'
    trims = parse_table(table(cuts), PRODUCTS, TENANTS).levels[0].service_level.restrictions[0]
    assert [(trim.kind, trim.criticality_below, trim.tenants) for trim in trims] == [
        (RestrictionKind.REJECT, 0.3, frozenset({1})),
        (RestrictionKind.SHARE, float("inf"), None),
    ]


GOOD = table(SHARE, NONE)
RANKED = '{ do = "decline", products = ["addr-lookup"], rank_below = 0.5 }'


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("version = 1\nlevel = 3", "level: Expected `array`"),
        ("version = 1", "missing required field `level`"),
        ("version = 1\nlevel = []", "level: from 1 to 16 levels"),
        ("version = [", "not TOML"),
        (GOOD.replace("version = 1", "version = 2"), "version: this program reads 1, not 2"),
        (GOOD.replace("version = 1", "version = 1\nmodes = 1"), "unknown field `modes`"),
        (GOOD.replace("version = 1", 'version = 1\nmode = "off"'), "mode: Invalid enum value 'off'"),
        (GOOD.replace("version = 1", 'version = 1\nstart = "l9"'), "start: no level is named 'l9'"),
        (GOOD.replace("version = 1", "version = 1\ndamping = { times = 0.5 }"), "damping.times: 0.5 is not"),
        (GOOD.replace("version = 1", "version = 1\ndamping = { twice = 2 }"), "damping: Object contains"),
        (GOOD.replace("least_stay_s", "least_stay"), "level[1]: Object contains unknown field `least_stay`"),
        (GOOD.replace("least_stay_s = 5", "least_stay_s = -5"), "level[1].least_stay_s: -5 is"),
        (GOOD.replace("least_stay_s = 5", 'least_stay_s = "x"'), "level[1].least_stay_s: Expected `float`"),
        (GOOD.replace("l2", "l1"), "level[2].name: 'l1' is taken"),
        (GOOD.replace('"l1"', '"full"'), "level[1].name: 'full' is taken"),
        (GOOD.replace("pressure = 0.2", "pressur = 0.2"), "level[1].entry.pressur: no such fact"),
        (GOOD.replace("pressure = 0.2", "pressure = true"), "level[1].entry.pressure: a number is wanted"),
        (GOOD.replace("pressure = 0.2", "pressure = 1.2"), "level[1].entry.pressure: 1.2 is not above"),
        (GOOD.replace("pressure = 0.1", "pressure = 0.3"), "level[1].exit.pressure: 0.3 is not below"),
        (GOOD.replace("pressure = 0.1", "stretch = 1.0"), "level[1].exit.stretch: 1 is the least"),
        (GOOD.replace(", pressure = 0.1, demand = 0.9", ""), "level[1].exit: it names no fact: the l"),
        (GOOD.replace("for_s = 4, ", ""), "level[1].exit.for_s: a number is wanted"),
        (GOOD.replace("for_s = 4", "for_s = 1"), "level[1].exit.for_s: 1 is not longer than its entry's"),
        (GOOD.replace("for_s = 1", 'for_s = 1, need = "most"'), "level[1].entry.need: 'most' is neither"),
        (GOOD.replace("addr-lookup", "addr-look", 1), "level[1].cut[1].products: there is no 'addr-look'"),
        (GOOD.replace("share = 0.5, ", ""), "level[1].cut[1].share: it goes with"),
        (GOOD.replace('do = "share"', 'do = "some"'), "level[1].cut[1].do: Invalid enum value 'some'"),
        (table('{ do = "omit", products = ["addr-lookup"] }'), "addr-lookup has no call that may be omitted"),
        (table('{ do = "omit", products = ["form-submit"] }'), "form-submit has an effect"),
        (
            table('{ do = "decline", products = ["addr-lookup"], tenants = ["west"] }'),
            "cut[1].tenants: there",
        ),
        (table(""), "level[1].cut: a level that cuts nothing"),
        (table(NONE, SHARE), "level[2].cut: addr-lookup of north is cut less than by level[1]"),
        (table(NONE, RANKED), "level[2].cut: addr-lookup of north is cut less"),
        (
            GOOD.replace("pressure = 0.4", "pressure = 0.1"),
            "level[2].exit.pressure: 0.1 is not below its entry",
        ),
        (
            GOOD.replace("pressure = 0.4", "demand = 0.9").replace(
                "0.9 }\ncut = [" + NONE, "0.8 }\ncut = [" + NONE
            ),
            "level[2].entry.demand: 0.9 is not above the exit of level[1], 0.9",
        ),
    ],
)
def test_a_bad_table_is_named_by_its_key(text: str, says: str) -> None:
    with pytest.raises(LevelTableError) as raised:
        parse_table(text, PRODUCTS, TENANTS)
    assert says in str(raised.value) and "\n" not in str(raised.value)


class Module:
    """A stand-in of the AdmissionController: what it is told, and facts as scripted."""

    def __init__(self) -> None:
        self.told: list[str] = []
        self.known = {"pressure": 0.0, "demand": 0.0, "busy": 1.0}

    def set_service_level(self, relief) -> None:
        self.told.append(relief.name)

    def advance_to(self, now: float) -> None: ...

    def tick(self, **gauges: float) -> None: ...

    def take_commands(self) -> list:
        return []

    def begin_graceful_shutdown(self, left_ms: float) -> None: ...

    def load_report(self) -> dict[str, float]:
        return dict(self.known)


@pytest.mark.parametrize("mode", ["enforce", "shadow"])
def test_the_core_sets_levels_and_logs_them_and_a_drain_freezes_the_selector(mode: str) -> None:
    text = table(SHARE, NONE, top=f'version = 1\nmode = "{mode}"\n')
    module = Module()
    core = RequestCore(
        lambda *_: module, PRODUCTS, [], LevelController(parse_table(text, PRODUCTS, TENANTS), 0.0)
    )
    core.handle_runtime_ready(True, 0.0)
    logged, now = [], 0.0

    def rings(seconds: float) -> None:
        nonlocal now
        for _ in range(int(seconds * 25)):
            now += 40.0
            core.advance_to(now, now)
            core.tick(2.0)
            logged.extend(message for _, message in core.take_messages() if isinstance(message, LogEntry))

    rings(3)
    module.known |= {"pressure": 0.9, "demand": 2.0}
    rings(8)
    enforced = ["full", "l1", "l2"] if mode == "enforce" else ["full"]
    assert module.told == enforced and [entry.fields["entered"] for entry in logged] == ["l1", "l2"]
    text, facts = logged[0].text, logged[0].fields
    assert text == "less service" and facts["pressure_bound"] == 0.2 and facts["why"] == "entry"
    assert facts["pressure"] > 0.2 and facts.get("shadow", False) == (mode == "shadow")
    core.replace_level_table(parse_table(table(SHARE), PRODUCTS, TENANTS))
    rings(1)
    assert module.told[-1] == "l1" and logged[-1].fields["why"] == "table"
    shadow = 'version = 1\nmode = "shadow"\n'
    core.replace_level_table(parse_table(table(SHARE, top=shadow), PRODUCTS, TENANTS))
    assert module.told[-1] == "full"  # a shadow enforces nothing, whatever was in force
    core.begin_graceful_shutdown(5000.0)
    module.known |= {"pressure": 0.0, "demand": 0.0}
    before = list(module.told)
    rings(60)
    core.replace_level_table(parse_table(GOOD, PRODUCTS, TENANTS))
    assert module.told == before


def cli(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "otterrudder", "levels", *words],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=60,
    )


def test_the_commands_describe_a_table(tmp_path: Path) -> None:
    file, facts = tmp_path / "t.toml", tmp_path / "facts.csv"
    file.write_text(table(SHARE, NONE))
    assert "good: 2 levels, enforced" in cli("check", str(file)).stdout
    assert "addr-lookup: admits 50%" in cli("show", str(file)).stdout
    done = cli("show", str(ROOT / "deploy/levels.toml"))  # each cut has its words
    assert done.returncode == 0 and "form-check: runs where a slot is free" in done.stdout, done.stderr
    with facts.open("w", newline="") as out:
        rows = csv.writer(out)
        rows.writerow(["at_ms", "pressure", "demand"])
        for n in range(1500):
            rows.writerow([n * 40, 0.3 if 250 < n < 500 else 0.0, 0.5])
    done = cli("replay", str(file), str(facts))
    assert "full -> l1  entry: pressure" in done.stdout and "l1 -> full  exit" in done.stdout
    assert done.stdout.splitlines()[-1].startswith("2 transitions in 60 s")
    facts.write_text("at_ms,pressure\n1,x\n")
    assert (done := cli("replay", str(file), str(facts))).returncode == 2 and "line 2" in done.stderr
    file.write_text(GOOD.replace("pressure = 0.2", "pressur = 0.2"))
    done = cli("check", str(file))
    assert done.returncode == 2 and done.stderr.startswith("otterrudder: t.toml: level[1].entry.pressur")
