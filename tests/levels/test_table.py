"""The table of levels: its restrictions reach the admission controller, and its errors name the key."""

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
DECLINE = '{ do = "decline", products = ["addr-lookup"] }'


def table(*cuts: str, top: str = "version = 1\n") -> str:
    return top + "".join(LEVEL.format(name=f"l{n}", entry=0.2 * n, cut=cut) for n, cut in enumerate(cuts, 1))


def test_deployed_table_is_valid_and_has_its_restrictions() -> None:
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


def test_strongest_restriction_comes_first() -> None:
    cuts = SHARE + ', { do = "decline", products = ["addr-lookup"], rank_below = 0.3, tenants = ["south"] }'
    levels = parse_table(table(cuts), PRODUCTS, TENANTS).levels
    restrictions = levels[0].service_level.restrictions[0]
    assert [(item.kind, item.criticality_below, item.tenants) for item in restrictions] == [
        (RestrictionKind.REJECT, 0.3, frozenset({1})),
        (RestrictionKind.SHARE, float("inf"), None),
    ]


VALID = table(SHARE, DECLINE)
RANKED = '{ do = "decline", products = ["addr-lookup"], rank_below = 0.5 }'


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("version = 1\nlevel = 3", "level: Expected `array`"),
        ("version = 1", "missing required field `level`"),
        ("version = 1\nlevel = []", "level: a table has 1 to 16 levels"),
        ("version = [", "not TOML"),
        (VALID.replace("version = 1", "version = 2"), "version: this program reads 1, not 2"),
        (VALID.replace("version = 1", "version = 1\nmodes = 1"), "unknown field `modes`"),
        (VALID.replace("version = 1", 'version = 1\nmode = "off"'), "mode: Invalid enum value 'off'"),
        (VALID.replace("version = 1", 'version = 1\nstart = "l9"'), "start: there is no level named 'l9'"),
        (VALID.replace("version = 1", "version = 1\ndamping = { times = 0.5 }"), "damping.times: 0.5 is not"),
        (VALID.replace("version = 1", "version = 1\ndamping = { twice = 2 }"), "damping: Object contains"),
        (VALID.replace("least_stay_s", "least_stay"), "level[1]: Object contains unknown field `least_stay`"),
        (VALID.replace("least_stay_s = 5", "least_stay_s = -5"), "level[1].least_stay_s: -5 is"),
        (VALID.replace("least_stay_s = 5", 'least_stay_s = "x"'), "level[1].least_stay_s: Expected `float`"),
        (VALID.replace("l2", "l1"), "level[2].name: 'l1' is already used"),
        (VALID.replace('"l1"', '"full"'), "level[1].name: 'full' is already used"),
        (VALID.replace("pressure = 0.2", "pressur = 0.2"), "level[1].entry.pressur: unknown fact"),
        (
            VALID.replace("pressure = 0.2", "pressure = true"),
            "level[1].entry.pressure: True is not a finite number",
        ),
        (VALID.replace("pressure = 0.2", "pressure = 1.2"), "level[1].entry.pressure: 1.2 is not above"),
        (VALID.replace("pressure = 0.1", "pressure = 0.3"), "level[1].exit.pressure: 0.3 is not below"),
        (
            VALID.replace("pressure = 0.1", "stretch = 1.0"),
            "level[1].exit.stretch: 1 is not above the fact's minimum",
        ),
        (
            VALID.replace(", pressure = 0.1, demand = 0.9", ""),
            "level[1].exit: the condition names no fact: the l",
        ),
        (VALID.replace("for_s = 4, ", ""), "level[1].exit.for_s: a number is required"),
        (
            VALID.replace("for_s = 4", "for_s = 1"),
            "level[1].exit.for_s: 1 is not longer than for_s of its entry",
        ),
        (VALID.replace("for_s = 1", 'for_s = 1, need = "most"'), "level[1].entry.need: 'most' is neither"),
        (VALID.replace("addr-lookup", "addr-look", 1), "level[1].cut[1].products: unknown name 'addr-look'"),
        (VALID.replace("share = 0.5, ", ""), "level[1].cut[1].share: required with"),
        (VALID.replace('do = "share"', 'do = "some"'), "level[1].cut[1].do: Invalid enum value 'some'"),
        (table('{ do = "omit", products = ["addr-lookup"] }'), "addr-lookup has no optional call"),
        (table('{ do = "omit", products = ["form-submit"] }'), "form-submit has side effects"),
        (
            table('{ do = "decline", products = ["addr-lookup"], tenants = ["west"] }'),
            "cut[1].tenants: unknown name 'west'",
        ),
        (table(""), "level[1].cut: the level has no restrictions"),
        (table(DECLINE, SHARE), "level[2].cut: addr-lookup of north is restricted less than in level[1]"),
        (table(DECLINE, RANKED), "level[2].cut: addr-lookup of north is restricted less"),
        (
            VALID.replace("pressure = 0.4", "pressure = 0.1"),
            "level[2].exit.pressure: 0.1 is not below the entry threshold",
        ),
        (
            VALID.replace("pressure = 0.4", "demand = 0.9").replace(
                "0.9 }\ncut = [" + DECLINE, "0.8 }\ncut = [" + DECLINE
            ),
            "level[2].entry.demand: 0.9 is not above the exit threshold of level[1], 0.9",
        ),
    ],
)
def test_error_of_an_invalid_table_names_the_key(text: str, message: str) -> None:
    with pytest.raises(LevelTableError) as raised:
        parse_table(text, PRODUCTS, TENANTS)
    assert message in str(raised.value) and "\n" not in str(raised.value)


class FakeAdmissionController:
    """An AdmissionController that records the service levels it is given and reports scripted facts."""

    def __init__(self) -> None:
        self.levels_set: list[str] = []
        self.facts = {"pressure": 0.0, "demand": 0.0, "busy": 1.0}

    def set_service_level(self, service_level) -> None:
        self.levels_set.append(service_level.name)

    def advance_to(self, now: float) -> None: ...

    def tick(self, **gauges: float) -> None: ...

    def take_commands(self) -> list:
        return []

    def begin_graceful_shutdown(self, left_ms: float) -> None: ...

    def load_report(self) -> dict[str, float]:
        return dict(self.facts)


@pytest.mark.parametrize("mode", ["enforce", "shadow"])
def test_core_sets_and_logs_levels_until_the_drain_begins(mode: str) -> None:
    text = table(SHARE, DECLINE, top=f'version = 1\nmode = "{mode}"\n')
    controller = FakeAdmissionController()
    core = RequestCore(
        lambda *_: controller, PRODUCTS, [], LevelController(parse_table(text, PRODUCTS, TENANTS), 0.0)
    )
    core.handle_runtime_ready(True, 0.0)
    log_entries, now = [], 0.0

    def run_ticks(seconds: float) -> None:
        nonlocal now
        for _ in range(int(seconds * 25)):
            now += 40.0
            core.advance_to(now, now)
            core.tick(2.0)
            log_entries.extend(
                message for _, message in core.take_messages() if isinstance(message, LogEntry)
            )

    run_ticks(3)
    controller.facts |= {"pressure": 0.9, "demand": 2.0}
    run_ticks(8)
    expected_levels = ["full", "l1", "l2"] if mode == "enforce" else ["full"]
    assert controller.levels_set == expected_levels and [
        entry.fields["entered"] for entry in log_entries
    ] == ["l1", "l2"]
    text, fields = log_entries[0].text, log_entries[0].fields
    assert text == "service reduced" and fields["pressure_bound"] == 0.2 and fields["why"] == "entry"
    assert fields["pressure"] > 0.2 and fields.get("shadow", False) == (mode == "shadow")
    core.replace_level_table(parse_table(table(SHARE), PRODUCTS, TENANTS))
    run_ticks(1)
    assert controller.levels_set[-1] == "l1" and log_entries[-1].fields["why"] == "table"
    shadow = 'version = 1\nmode = "shadow"\n'
    core.replace_level_table(parse_table(table(SHARE, top=shadow), PRODUCTS, TENANTS))
    assert controller.levels_set[-1] == "full"  # shadow mode enforces full service at any level
    core.begin_graceful_shutdown(5000.0)
    controller.facts |= {"pressure": 0.0, "demand": 0.0}
    levels_before_drain = list(controller.levels_set)
    run_ticks(60)
    core.replace_level_table(parse_table(VALID, PRODUCTS, TENANTS))
    assert controller.levels_set == levels_before_drain


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "otterrudder", "levels", *arguments],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=60,
    )


def test_commands_check_show_and_replay_a_table(tmp_path: Path) -> None:
    file, facts = tmp_path / "t.toml", tmp_path / "facts.csv"
    file.write_text(table(SHARE, DECLINE))
    assert "valid: 2 levels, enforced" in run_command("check", str(file)).stdout
    assert "addr-lookup: admits 50%" in run_command("show", str(file)).stdout
    result = run_command(
        "show", str(ROOT / "deploy/levels.toml")
    )  # each kind of restriction has a description
    assert (
        result.returncode == 0 and "form-check: runs only if a slot is free" in result.stdout
    ), result.stderr
    with facts.open("w", newline="") as out:
        rows = csv.writer(out)
        rows.writerow(["at_ms", "pressure", "demand"])
        for n in range(1500):
            rows.writerow([n * 40, 0.3 if 250 < n < 500 else 0.0, 0.5])
    result = run_command("replay", str(file), str(facts))
    assert "full -> l1  entry: pressure" in result.stdout and "l1 -> full  exit" in result.stdout
    assert result.stdout.splitlines()[-1].startswith("2 transitions in 60 s")
    facts.write_text("at_ms,pressure\n1,x\n")
    assert (
        result := run_command("replay", str(file), str(facts))
    ).returncode == 2 and "line 2" in result.stderr
    file.write_text(VALID.replace("pressure = 0.2", "pressur = 0.2"))
    result = run_command("check", str(file))
    assert result.returncode == 2 and result.stderr.startswith("otterrudder: t.toml: level[1].entry.pressur")
