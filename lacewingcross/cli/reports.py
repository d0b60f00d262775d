"""The command that renders benchmark results."""

from pathlib import Path

from ..report import render
from ..settings import read_json


def report(file: str, *, to: str = "report.html") -> None:
    """Render a benchmark result as an HTML page with plots.

    Example: lacewingcross report bench/results/scenarios.json --to report.html

    Parameters
    ----------
    file : str
        JSON file written by the benchmark.
    to : str
        File to write the page to.
    """
    page = render(read_json(file))
    Path(to).write_text(page, encoding="utf-8")
    print(f"{to}: written")
