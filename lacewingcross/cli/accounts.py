"""The command that shows what a host admitted of each client account."""

import asyncio

from .messages import metrics_page
from .output import Output, print_json, print_table

HEAD = ("account", "admitted", "refused", "unpaid", "kept here")
ADMITTED = "accounts.admitted."
REFUSED = "accounts.refused."
UNPAID = "accounts.unpaid."
KEPT = "accounts.kept."
COLUMNS = (ADMITTED, REFUSED, UNPAID, KEPT)

Row = tuple[str, float, float, float, float]


def accounts(*, url: str, output: Output = "table") -> None:
    """Show the requests of each client account with a quota at one host.

    `unpaid` are requests that run and no keeper has paid for, `kept here` the part of
    the account's quota that this host keeps for all.

    Example: lacewingcross accounts --url http://10.1.0.34:9464/metrics

    Parameters
    ----------
    url : str
        The host's metrics page.
    output
        Form of the output.
    """
    rows = rows_of(asyncio.run(metrics_page(url)))
    if output == "json":
        print_json([dict(zip(HEAD, row, strict=True)) for row in rows])
    else:
        print_table(HEAD, rows)


def rows_of(page: str) -> list[Row]:
    """Return a row for each account in a metrics page, the most refused first."""
    figures = dict(line.rsplit(" ", 1) for line in page.splitlines() if " " in line)
    names = {
        name.removeprefix(column)
        for name in figures
        for column in COLUMNS
        if name.startswith(column)
    }
    rows = [
        (name, *(float(figures.get(column + name, 0)) for column in COLUMNS))
        for name in names
    ]
    return sorted(rows, key=lambda row: (-row[2], row[0]))
