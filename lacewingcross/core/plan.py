"""The plan of a service: the region of each bucket of each client group.

Callers are hashed into `BUCKETS` buckets. A move changes the region of some buckets;
the shift cap limits how many may move within a time window, and the ledger records the
moves that may still count.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..checks import Reader
from ..errors import ResourceError
from .rendezvous import hash64

BUCKETS = 1000


def bucket_of(service: str, caller: str) -> int:
    """Return the index of a caller's bucket, the same on every host."""
    return hash64(service, caller) % BUCKETS


@dataclass(slots=True, frozen=True)
class Move:
    """An entry of the ledger: how many buckets of each group were moved, and why.

    `moved` holds the number of moved buckets by group.
    """

    move_id: str
    moved: dict[str, int]
    cause: str = ""


@dataclass(slots=True)
class Plan:
    """A whole plan; stored plans are replaced by conditional updates only.

    Attributes
    ----------
    service : str
        The service whose callers are steered.
    tables : dict of str to list of str
        For each group, the region of each of its `BUCKETS` buckets.
    ledger : tuple of Move
        Moves that may still count against the shift cap, the oldest first.
    """

    service: str
    tables: dict[str, list[str]]
    ledger: tuple[Move, ...] = field(default_factory=tuple)

    def counts(self, group: str) -> Counter[str]:
        """Return the number of buckets of `group` in each region."""
        return Counter(self.tables.get(group, ()))

    def region_buckets(self) -> Counter[str]:
        """Return the number of buckets in each region, over all groups."""
        total: Counter[str] = Counter()
        for table in self.tables.values():
            total.update(table)
        return total


def encode_plan(plan: Plan) -> dict[str, object]:
    """Return the plan as JSON data, each table as runs of [region, count]."""
    return {
        "groups": {name: _encode_runs(table) for name, table in plan.tables.items()},
        "ledger": [
            {"id": move.move_id, "moved": move.moved, "cause": move.cause}
            for move in plan.ledger
        ],
    }


def _encode_runs(table: list[str]) -> list[list[object]]:
    runs: list[list[object]] = []
    for region in table:
        if runs and runs[-1][0] == region:
            runs[-1][1] += 1
        else:
            runs.append([region, 1])
    return runs


def decode_plan(service: str, data: object) -> Plan:
    """Check and return a stored plan.

    Raises
    ------
    ResourceError
        If the data is not a plan.
    """
    reader = Reader(data, f"Plan/{service}", ResourceError)
    groups = reader.raw("groups", {})
    if not isinstance(groups, dict):
        raise reader.fail("groups", "an object of runs", groups)
    tables = {name: _decode_runs(reader, runs) for name, runs in groups.items()}
    ledger = tuple(_read_move(child) for child in reader.children("ledger", []))
    reader.finish()
    return Plan(service, tables, ledger)


def _decode_runs(reader: Reader, runs: object) -> list[str]:
    table: list[str] = []
    try:
        for region, length in runs:
            table.extend([str(region)] * int(length))
    except (TypeError, ValueError, MemoryError, OverflowError):
        raise reader.fail("groups", "runs of [region, count]", runs) from None
    if len(table) != BUCKETS:
        raise reader.fail("groups", f"{BUCKETS} buckets a group", len(table))
    return table


def _read_move(reader: Reader) -> Move:
    moved = {key: int(num) for key, num in reader.weights("moved").items()}
    move = Move(reader.text("id"), moved, reader.text("cause", ""))
    reader.finish()
    return move


def apportion(weights: Mapping[str, float]) -> Counter[str]:
    """Split `BUCKETS` in proportion to `weights` by the largest remainder method.

    Parameters
    ----------
    weights : mapping of str to float
        Weights; a key with a weight that is not above zero gets no bucket.

    Returns
    -------
    counts : Counter
        Number of buckets by the keys of `weights`. The numbers add up to `BUCKETS`;
        empty when no weight is above zero.
    """
    total = sum(weight for weight in weights.values() if weight > 0)
    if total <= 0:
        return Counter()
    exact = {
        key: BUCKETS * weight / total for key, weight in weights.items() if weight > 0
    }
    counts = Counter({key: int(value) for key, value in exact.items()})
    by_remainder = sorted(exact, key=lambda key: (counts[key] - exact[key], key))
    for key in by_remainder[: BUCKETS - sum(counts.values())]:
        counts[key] += 1
    return counts


def fresh_table(counts: Mapping[str, int]) -> list[str]:
    """Return a table with `counts` buckets for each region, sorted by region."""
    return [region for region in sorted(counts) for _ in range(counts[region])]


def move_towards(
    table: list[str], target: Mapping[str, int], budget: int
) -> tuple[list[str], int]:
    """Return a table with at most `budget` buckets moved, closer to `target`.

    Parameters
    ----------
    table : list of str
        The region of each bucket.
    target : mapping of str to int
        Wanted number of buckets in each region.
    budget : int
        Maximum number of buckets to move.

    Returns
    -------
    table : list of str
        A new table. Buckets move only from a region above its target to one below
        its target, so no more buckets move than necessary.
    moved : int
        The number of buckets that moved.
    """
    current = Counter(table)
    deficit = {
        region: count - current[region]
        for region, count in target.items()
        if count > current[region]
    }
    surplus = {
        region: current[region] - target.get(region, 0)
        for region in current
        if current[region] > target.get(region, 0)
    }
    result = list(table)
    moved = 0
    for index in range(len(result) - 1, -1, -1):
        if moved >= budget or not deficit:
            break
        region = result[index]
        if surplus.get(region, 0) <= 0:
            continue
        receiver = max(deficit, key=lambda key: (deficit[key], key))
        result[index] = receiver
        surplus[region] -= 1
        deficit[receiver] -= 1
        if not deficit[receiver]:
            del deficit[receiver]
        moved += 1
    return result, moved
