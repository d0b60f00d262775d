"""A host's metrics page: fetched, and read as rows of a table."""

import asyncio
from collections.abc import Iterator, Sequence
from urllib.parse import urlsplit

from ..checks import is_address
from ..errors import UserError
from ..http1_client import HttpClient, HttpError

# A metrics page comes within milliseconds; a host that needs longer is not there.
PAGE_TIMEOUT_S = 5.0


def fetch_page(url: str) -> str:
    """Return a host's metrics page.

    Raises
    ------
    UserError
        With code ``bad-address`` or ``unavailable``.
    """
    return asyncio.run(_fetch(url))


async def _fetch(url: str) -> str:
    parts = urlsplit(url)
    if parts.scheme != "http" or not is_address(parts.netloc):
        raise UserError("bad-address", f"expected http://IP:PORT/PATH, {url}")
    http = HttpClient(parts.netloc)
    try:
        async with asyncio.timeout(PAGE_TIMEOUT_S):
            response = await http.request("GET", parts.path or "/")
    except (HttpError, OSError, TimeoutError) as exc:
        raise UserError("unavailable", f"no metrics page at {url}: {exc!r}") from exc
    finally:
        http.close()
    return response.body.decode()


def figures_by_name(
    page: str, prefixes: Sequence[str]
) -> Iterator[tuple[str, list[float]]]:
    """Yield what some counters or gauges say, in the order of what they are of.

    Parameters
    ----------
    page : str
        Lines of a name and a figure.
    columns : sequence of str
        How names begin; the rest of a name says what its figure is of.

    Yields
    ------
    name : str
        What figures are of.
    figures : list of float
        One for each column, 0 where there is none.
    """
    figures = dict(line.rsplit(" ", 1) for line in page.splitlines() if " " in line)
    names = {
        name.removeprefix(prefix)
        for name in figures
        for prefix in prefixes
        if name.startswith(prefix)
    }
    for name in sorted(names):
        yield name, [float(figures.get(prefix + name, 0)) for prefix in prefixes]
