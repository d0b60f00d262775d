"""Tables and JSON on standard output."""

import json
from collections.abc import Sequence
from typing import Literal

Output = Literal["table", "json"]


def print_json(data: object) -> None:
    """Print JSON, indented."""
    print(json.dumps(data, indent=2, sort_keys=True))


def print_table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows in aligned columns under `head`."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(row[index]) for row in [list(head), *texts])
        for index in range(len(head))
    ]
    for row in [list(head), *texts]:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())


def print_rows(
    head: Sequence[str], rows: Sequence[Sequence[object]], output: str
) -> None:
    """Print rows as a table, or as JSON objects with the words of `head` as names."""
    if output == "json":
        print_json([dict(zip(head, row, strict=True)) for row in rows])
    else:
        print_table(head, rows)
