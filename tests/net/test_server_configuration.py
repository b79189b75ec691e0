"""Errors in the configuration file are reported with the file and the field."""

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
def test_invalid_configuration_prints_one_line_and_exits_with_error(tmp_path: Path, text: str | None) -> None:
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
def test_field_of_wrong_type_is_named_and_server_does_not_listen(
    tmp_path: Path, field: str, value: object
) -> None:
    document: dict = {name: "127.0.0.1:1" for name in ("listen", "runtime", "registry", "records")}
    document |= {
        "name": "n3",
        "seed": "8c1f30d27a5be964",
        "stop_ms": 1500,
        "settings": SETTINGS,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
    }
    document = json.loads(json.dumps(document))
    *parents, last = field.split(".")
    parent = document
    for key in parents:
        parent = parent[int(key)] if key.isdigit() else parent[key]
    parent[last] = value
    path = tmp_path / "config.json"
    path.write_text(json.dumps(document))
    done = subprocess.run(
        ["/bin/sh", "-c", RUN],
        cwd=ROOT,
        capture_output=True,
        timeout=60,
        env=os.environ | {"NODE_CONFIG": str(path)},
    )
    text, field_name = done.stderr.decode(), re.sub(r"\.(\d+)", r"[\1]", field)
    assert done.returncode == 2 and text.count("\n") == 1 and "listening" not in text, text
    assert str(path) in text and field_name in text, text


def test_check_version_and_help_print_their_output(server: ServerProcess) -> None:
    for word, output in (
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
        assert done.returncode == 0 and output in done.stdout
