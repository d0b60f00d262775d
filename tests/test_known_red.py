"""Only tests in the list of known faults may fail, and they must fail."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent
SUITE = """
def test_good():
    pass

def test_bad():
    assert False

def test_worse():
    assert False
"""
REASON = "python -m pytest; answers are lost; cause unknown; issue 0"


def run_suite(tmp_path, *lines, args=()):
    """Run a small test suite with the given list of known faults.

    Returns the completed pytest process.
    """
    tests = tmp_path / "tests"
    tests.mkdir()
    (tests / "__init__.py").touch()
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(HERE / name, tests / name)
    (tests / "test_small.py").write_text(SUITE)
    (tests / "test_other.py").write_text("def test_other():\n    pass\n")
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (tmp_path / "KNOWN-RED.txt").write_text("\n".join(lines))
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *args],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=False,
    )


def list_entry(name, file="tests/test_small.py"):
    return f"{file}::{name} {REASON}"


def test_listed_tests_may_fail(tmp_path):
    result = run_suite(tmp_path, list_entry("test_bad"), list_entry("test_worse"))
    assert result.returncode == 0, result.stdout
    assert "2 xfailed" in result.stdout


def test_a_test_that_is_not_listed_may_not_fail(tmp_path):
    result = run_suite(tmp_path, list_entry("test_bad"))
    assert result.returncode == 1
    assert "1 failed" in result.stdout


def test_a_listed_test_that_passes_fails_the_run(tmp_path):
    result = run_suite(
        tmp_path,
        list_entry("test_bad"),
        list_entry("test_worse"),
        list_entry("test_good"),
    )
    assert result.returncode == 1
    assert "XPASS(strict)" in result.stdout


@pytest.mark.parametrize("file", ["tests/test_small.py", "tests/test_gone.py"])
def test_a_listed_test_that_is_gone_fails_the_run(tmp_path, file):
    result = run_suite(tmp_path, list_entry("test_never_was", file))
    assert result.returncode not in (0, 1)
    assert "there is no test" in result.stdout + result.stderr


def test_a_run_of_another_file_ignores_the_list(tmp_path):
    result = run_suite(tmp_path, list_entry("test_bad"), args=("tests/test_other.py",))
    assert result.returncode == 0, result.stdout


def test_a_line_without_a_reason_is_refused(tmp_path):
    result = run_suite(tmp_path, "tests/test_small.py::test_bad")
    assert result.returncode not in (0, 1)


def test_only_a_few_lines_are_allowed(tmp_path):
    result = run_suite(tmp_path, *(list_entry(f"test_{n}") for n in range(4)))
    assert result.returncode not in (0, 1)
