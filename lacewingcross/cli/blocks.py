"""The command that packs a table of client address blocks into shards."""

import json
from collections.abc import Iterator
from ipaddress import IPv4Address
from pathlib import Path

from ..core.blocks import BlockIndex, pack
from ..core.resources import BLOCKS, is_network
from ..errors import UserError

# Limit on the block starts in one shard (one resource of kind BlockTable).
SHARD_BLOCKS = 40_000


def pack_blocks(file: str, *, table: str, to: str) -> None:
    """Pack a list of client address blocks into resources for "apply -f".

    Example: lacewingcross pack-blocks clients.csv --table clients --to clients.json

    Parameters
    ----------
    file : str
        Lines of NETWORK,GROUP such as 10.1.0.0/16,centro; the more specific network
        wins.
    table : str
        Name of the table, which policies give as block_table.
    to : str
        File to write the resources to.
    """
    items = list(shards(list(_read(file)), table))
    Path(to).write_text(json.dumps({"items": items}) + "\n", encoding="utf-8")
    print(f"{to}: {len(items)} shards written")


def shards(pairs: list[tuple[str, str]], table: str) -> Iterator[dict[str, object]]:
    """Yield the resources of a table, each with at most `SHARD_BLOCKS` block starts.

    Parameters
    ----------
    pairs : list of (str, str)
        Network and client group.
    table : str
        Name of the table.
    """
    groups = sorted({group for _, group in pairs})
    group_indexes = {group: position for position, group in enumerate(groups)}
    index = BlockIndex((network, group_indexes[group]) for network, group in pairs)
    spans = list(index.spans())
    for sequence, offset in enumerate(range(0, len(spans), SHARD_BLOCKS)):
        shard_spans = spans[offset : offset + SHARD_BLOCKS]
        spec = {
            "first": str(IPv4Address(shard_spans[0][0])),
            "groups": groups,
            "starts": pack("I", [start for start, _ in shard_spans]),
            "members": pack("H", [member for _, member in shard_spans]),
        }
        yield {"kind": BLOCKS, "name": f"{table}-{sequence:04d}", "spec": spec}


def _read(file: str) -> Iterator[tuple[str, str]]:
    """Yield the network and group of each line that is not empty."""
    try:
        lines = Path(file).read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as exc:
        raise UserError("unreadable", f"{file}: {exc}") from exc
    for line_number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        network, _, group = (field.strip() for field in line.partition(","))
        if not is_network(network) or not group:
            raise UserError(
                "bad-field",
                f"{file}:{line_number}: expected NETWORK,GROUP, got {line!r}",
            )
        yield network, group
