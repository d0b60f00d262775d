"""The command that shows how many requests of each client account a host admitted."""

from .metrics_page import fetch_page, figures_by_name
from .output import Output, print_rows

HEADER = ("account", "admitted", "refused", "unpaid", "kept here")
ADMITTED = "accounts.admitted."
REFUSED = "accounts.refused."
UNPAID = "accounts.unpaid."
KEPT = "accounts.kept."
COLUMN_PREFIXES = (ADMITTED, REFUSED, UNPAID, KEPT)

Row = tuple[str, float, float, float, float]


def accounts(*, url: str, output: Output = "table") -> None:
    """Show the requests of each client account with a quota at one host.

    `unpaid` is the number of requests run that no quota keeper has acknowledged as
    paid. `kept here` is the share of the account's quota that this host keeps for all
    hosts.

    Example: lacewingcross accounts --url http://10.1.0.34:9464/metrics

    Parameters
    ----------
    url : str
        Address of the host's metrics page.
    output
        Form of the output.
    """
    print_rows(HEADER, rows_of(fetch_page(url)), output)


def rows_of(page: str) -> list[Row]:
    """Return a row for each account in a metrics page, by falling refusals."""
    rows = [
        (name, *figures) for name, figures in figures_by_name(page, COLUMN_PREFIXES)
    ]
    return sorted(rows, key=lambda row: -row[2])
