"""Each field that a server may send has a reader in the code and a test."""

from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PAGE = ROOT / "docs" / "design" / "server-signals.md"


def fields():
    """Return the rows of the table on the page: field, name in code, reader, test."""
    table = PAGE.read_text(encoding="utf-8").split("\n\n")[3]
    rows = [line.strip("| ").split(" | ") for line in table.splitlines()[2:]]
    return [(row[0], row[1].strip("`"), row[2].strip("`"), row[4]) for row in rows]


@pytest.mark.parametrize(("field", "name", "reader", "test"), fields())
def test_a_field_of_servers_has_a_reader_and_a_test(field, name, reader, test):
    assert name in (ROOT / "lacewingcross" / reader).read_text(encoding="utf-8")
    assert (ROOT / "tests" / test.strip("` ")).exists()


def test_each_response_header_in_the_code_is_on_the_page():
    source = (ROOT / "lacewingcross" / "platform" / "headers.py").read_text()
    names = {line.partition(" = ")[0] for line in source.splitlines() if " = b" in line}
    request_headers = {
        "AFFINITY_KEY",
        "REMAINING_MS",
        "EXPECTED_INCARNATION",
        "ACCOUNT",
    }
    assert names - request_headers == names & {name for _, name, _, _ in fields()}
