"""The command that shows what backend servers ask of a host."""

from .metrics_page import fetch_page, figures_by_name
from .output import Output, print_rows

HEADER = ("server", "limit a second", "of it here", "leaves", "rests, s")
COLUMN_PREFIXES = (
    "servers.limit.",
    "servers.limit-here.",
    "servers.leaving.",
    "servers.rest-s.",
)

Row = tuple[str, float, float, float, float]


def servers(*, url: str, output: Output = "table") -> None:
    """Show the backend servers that ask for something in their answers, at one host.

    `of it here` is the host's own share of the limit; `leaves` is by a server's word.

    Example: lacewingcross servers --url http://10.1.0.34:9464/metrics

    Parameters
    ----------
    url : str
        The host's metrics page.
    output
        Form of the output.
    """
    print_rows(HEADER, rows_of(fetch_page(url)), output)


def rows_of(page: str) -> list[Row]:
    """Return a row for each server in a metrics page that asks for something."""
    return [
        (name, *figures) for name, figures in figures_by_name(page, COLUMN_PREFIXES)
    ]
