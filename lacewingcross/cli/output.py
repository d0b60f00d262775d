"""Tables and JSON on standard output."""

import json
from collections.abc import Sequence
from typing import Literal

Output = Literal["table", "json"]


def print_json(data: object) -> None:
    """Print data as indented JSON with sorted keys."""
    print(json.dumps(data, indent=2, sort_keys=True))


def print_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows in aligned columns under a header line."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(row[index]) for row in [list(header), *texts])
        for index in range(len(header))
    ]
    for row in [list(header), *texts]:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())


def print_rows(
    header: Sequence[str], rows: Sequence[Sequence[object]], output: str
) -> None:
    """Print rows as a table, or as JSON objects with `header` as their keys."""
    if output == "json":
        print_json([dict(zip(header, row, strict=True)) for row in rows])
    else:
        print_table(header, rows)
