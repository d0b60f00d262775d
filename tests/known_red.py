"""The list of tests that fail for a known fault that is not mended yet.

Each line of ``KNOWN-RED.txt`` starts with the id of a test, as pytest prints it; the
rest of the line says what was seen, how to see it again, the cause and the open issue.
A listed test is expected to fail. One that passes fails the run, and so does a line
whose test is gone: no line may outlive its fault.
"""

from pathlib import Path

import pytest

LIST = "KNOWN-RED.txt"
# Faults that may wait at any time. More of them, and the suite would be red by habit.
MAX_LINES = 3


def read_list(root):
    """Return the reason of each listed test by its id."""
    path = Path(root) / LIST
    if not path.exists():
        return {}
    lines = path.read_text(encoding="utf-8").splitlines()
    listed = dict(_split(line) for line in lines if line.strip())
    if len(listed) > MAX_LINES:
        raise pytest.UsageError(f"{LIST}: at most {MAX_LINES} lines, {len(listed)}")
    return listed


def _split(line):
    test_id, _, reason = line.partition(" ")
    if not reason.strip():
        raise pytest.UsageError(f"{LIST}: expected a reason behind {test_id}")
    return test_id, reason.strip()


def expect_listed(items, listed):
    """Expect just the listed tests to fail.

    A test whose file was not collected is left alone: a run of a single file says
    nothing of the others.
    """
    found = {item.nodeid: item for item in items}
    files = {test_id.partition("::")[0] for test_id in found}
    for test_id, reason in listed.items():
        if test_id in found:
            mark = pytest.mark.xfail(reason=reason, strict=True)
            found[test_id].add_marker(mark)
        elif test_id.partition("::")[0] in files:
            raise pytest.UsageError(f"{LIST}: there is no test {test_id}")


def missing_files(root, listed):
    """Return the listed tests whose file does not exist."""
    return [test for test in listed if not (Path(root) / test.split("::")[0]).exists()]
