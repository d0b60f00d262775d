"""The command that shows what backend servers request of a host in their answers."""

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
    """Show the limits, back-offs and departures that servers announce to one host.

    `limit a second` is the rate limit that a backend server names, `of it here` the
    host's own share of that limit. `leaves` is 1 for a server that announces that it
    is shutting down. `rests, s` is the remaining time of a back-off that the server
    requested, in seconds.

    Example: lacewingcross servers --url http://10.1.0.34:9464/metrics

    Parameters
    ----------
    url : str
        Address of the host's metrics page.
    output
        Form of the output.
    """
    print_rows(HEADER, rows_of(fetch_page(url)), output)


def rows_of(page: str) -> list[Row]:
    """Return a row for each server in a metrics page that has one of these metrics."""
    return [
        (name, *figures) for name, figures in figures_by_name(page, COLUMN_PREFIXES)
    ]
