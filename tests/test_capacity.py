"""The capacity page must show the measured figures."""

from bench.capacity import PAGE, fill, load


def test_tables_of_the_page_are_those_of_the_measured_file():
    text = PAGE.read_text()
    assert fill(text, load()) == text
