"""The run passes over the tests of KNOWN-RED.txt alone, and says how each ended."""

from pathlib import Path

import pytest

TESTS = """
import pytest
def test_red(): assert 0
def test_green(): pass
@pytest.mark.parametrize("n", [1, 2])
def test_half(n): assert n == 1
def test_other(): assert 0
"""
RED, GREEN, HALF = (
    f"test_it.py::test_{name} | pytest, seed 3 | a cause | issue 7\n" for name in ("red", "green", "half")
)
SHOWN = "(pytest, seed 3: a cause, issue 7)"


def run(pytester: pytest.Pytester, listed: str, *args: str) -> tuple[int, str]:
    pytester.makeconftest((Path(__file__).parent / "known_red.py").read_text())
    pytester.makepyfile(test_it=TESTS)
    (pytester.path / "KNOWN-RED.txt").write_text(listed)
    done = pytester.runpytest_subprocess(*args)
    return int(done.ret), done.stdout.str() + done.stderr.str()


@pytest.mark.parametrize("workers", [(), ("-n", "2")], ids=["one process", "two workers"])
def test_listed_ones_run_and_are_shown_and_no_other_failure_is_passed_over(
    pytester: pytest.Pytester, workers: tuple[str, ...]
) -> None:
    code, told = run(pytester, "# a remark\n" + RED + GREEN + HALF, *workers)
    assert code == 1 and "1 failed" in told  # test_other alone
    assert f"known red: test_it.py::test_red: failed {SHOWN}" in told
    assert "known red: test_it.py::test_half: failed" in told
    assert "known red: test_it.py::test_green: PASSED: remove its entry" in told
    code, told = run(pytester, RED + HALF, "--deselect", "test_it.py::test_other", *workers)
    assert code == 0 and f"failed {SHOWN}" in told
    assert run(pytester, "", "-k", "red", *workers)[0] == 1


@pytest.mark.parametrize(
    ("listed", "why"),
    [
        (RED + GREEN + HALF + "test_it.py::test_other | a | b | c\n", "4 tests, 3 at most"),
        ("test_it.py::test_red | a cause | issue 7\n", "KNOWN-RED.txt:1: wanted: test | command and seed"),
        ("test_it.py::test_gone | a | b | c\n", "test_gone is no test"),
        ("test_no.py::test | a | b | c\n", "is no test"),
    ],
)
def test_a_list_that_is_no_good_fails_the_run(pytester: pytest.Pytester, listed: str, why: str) -> None:
    code, told = run(pytester, listed)
    assert code not in (0, 1) and why in told
