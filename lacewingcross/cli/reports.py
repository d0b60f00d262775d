"""The command that renders bench results."""

from pathlib import Path

from ..report import render
from ..settings import read_json


def report(file: str, *, to: str = "report.html") -> None:
    """Render a bench result as an HTML page with plots.

    Example: lacewingcross report bench/results/scenarios.json --to report.html

    Parameters
    ----------
    file : str
        JSON file written by the bench.
    to : str
        Where the page goes.
    """
    page = render(read_json(file))
    Path(to).write_text(page, encoding="utf-8")
    print(f"{to}: written")
