"""KNOWN-RED.txt: tests of real faults that are not mended yet. They run like all others, and how each ended
is printed; a run passes over just these. One that passes is to be struck. More than LINES_MOST of them, a
line that is not of the form, or a name of no test ends the run."""

from pathlib import Path

import pytest
from _pytest.terminal import TerminalReporter

LINES_MOST = 3  # the users' bound
FILE = "KNOWN-RED.txt"


def known(path: Path) -> dict[str, str]:
    """Cause and issue by test; ValueError names the line at fault."""
    red: dict[str, str] = {}
    for number, text in enumerate(path.read_text().splitlines() if path.exists() else [], 1):
        if not text.strip() or text.startswith("#"):
            continue
        test, *why = (part.strip() for part in text.split("|"))
        if len(why) != 2 or not all((test, *why)):
            raise ValueError(f"{FILE}:{number}: wanted: test | cause | issue")
        red[test] = " | ".join(why)
    if len(red) > LINES_MOST:
        raise ValueError(f"{FILE}: {len(red)} tests, {LINES_MOST} at most")
    return red


def _of(item: pytest.Item) -> str:
    return item.nodeid.partition("[")[0]


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.known_red = known(config.rootpath / FILE)
    except ValueError as trouble:
        raise pytest.UsageError(str(trouble)) from None
    config.red_ends = {}


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    names = {_of(item) for item in items}
    files = {name.partition("::")[0] for name in names}
    for test in config.known_red:
        file = test.partition("::")[0]
        if test not in names and (file in files or not (config.rootpath / file).exists()):
            raise pytest.UsageError(f"{FILE}: {test} is no test")
    for item in items:
        if _of(item) in config.known_red:
            item.add_marker(pytest.mark.xfail(reason=config.known_red[_of(item)], strict=False))


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item: pytest.Item) -> object:
    report = (yield).get_result()
    if _of(item) in item.config.known_red and (report.when == "call" or report.failed):
        ends = item.config.red_ends.setdefault(_of(item), set())
        ends.add("passed" if report.when == "call" and report.passed else "failed")


def pytest_terminal_summary(terminalreporter: TerminalReporter, config: pytest.Config) -> None:
    for test, why in config.known_red.items():
        ends = config.red_ends.get(test)
        how = (
            "not run"
            if not ends
            else "failed"
            if "failed" in ends
            else f"PASSED: strike its line from {FILE}"
        )
        terminalreporter.write_line(f"known red: {test}: {how} ({why})")
