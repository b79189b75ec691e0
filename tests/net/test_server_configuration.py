"""The configuration file as the program reads it: errors name the file and the field."""

import json
import os
import re
import subprocess
from pathlib import Path

import pytest
from helpers import ROOT, RUN, SETTINGS
from server_process import ServerProcess

pytestmark = pytest.mark.exclusive


@pytest.mark.parametrize("text", [None, "{", "[]", "{}", '{"name":"n","listen":"x"}'])
def test_a_bad_configuration_is_one_line_and_not_0(tmp_path: Path, text: str | None) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    for command in (RUN, RUN + " check"):
        done = subprocess.run(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            capture_output=True,
            timeout=60,
            env=os.environ | {"NODE_CONFIG": str(path)},
        )
        assert done.returncode not in (0, None) and done.stderr.count(b"\n") == 1, done.stderr


MISTYPED = [
    ("stop_ms", "x"),
    ("seed", "zz"),
    ("listen", 7),
    ("limits.sockets", None),
    ("settings.classes", {}),
    ("settings.classes.0.windowUs", "a"),
    ("settings.classes.0.effect", 3),
    ("settings.classes.0.name", []),
    ("settings.realms.1.name", 4),
    ("settings.familyInfo.cores", "six"),
    ("settings.familyInfo.gauges", 7),
    ("settings.familyInfo.memoryKb", []),
    ("settings.familyInfo.classCalls", True),
    ("settings.rules.drainGraceUs", []),
    ("settings.rules.coldUs", -1),
    ("settings.tickUs", {}),
    ("settings.limits.maxRetryAfterUs", "q"),
    ("settings.me", "one"),
    ("runtime", "nowhere"),
]


@pytest.mark.parametrize(("field", "value"), MISTYPED, ids=[field for field, _ in MISTYPED])
def test_a_mistyped_field_is_named_and_nothing_listens(tmp_path: Path, field: str, value: object) -> None:
    told = {name: "127.0.0.1:1" for name in ("listen", "runtime", "registry", "records")}
    told |= {
        "name": "n3",
        "seed": "8c1f30d27a5be964",
        "stop_ms": 1500,
        "settings": SETTINGS,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
    }
    told = json.loads(json.dumps(told))
    *way, last = field.split(".")
    at = told
    for step in way:
        at = at[int(step)] if step.isdigit() else at[step]
    at[last] = value
    path = tmp_path / "config.json"
    path.write_text(json.dumps(told))
    done = subprocess.run(
        ["/bin/sh", "-c", RUN],
        cwd=ROOT,
        capture_output=True,
        timeout=60,
        env=os.environ | {"NODE_CONFIG": str(path)},
    )
    text, named = done.stderr.decode(), re.sub(r"\.(\d+)", r"[\1]", field)
    assert done.returncode == 2 and text.count("\n") == 1 and "listening" not in text, text
    assert str(path) in text and named in text, text


def test_check_and_version_print_what_they_found(server: ServerProcess) -> None:
    for word, told in (
        ("check", b"n3: the configuration is valid"),
        ("version", b"otterrudder "),
        ("--help", b"NODE_CONFIG"),
    ):
        done = subprocess.run(
            ["/bin/sh", "-c", f"{RUN} {word}"],
            cwd=ROOT,
            capture_output=True,
            timeout=60,
            env=os.environ | {"NODE_CONFIG": str(server.configuration)},
        )
        assert done.returncode == 0 and told in done.stdout
