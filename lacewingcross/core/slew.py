"""Each host's own limit on how fast it follows a plan."""

import math
from collections import deque

from .plan import BUCKETS, Plan
from .resources import ShiftCap


class EffectivePlan:
    """The tables in force on this host.

    Failure: a host skips versions of the plan, or sees two of them late and close
    together. Taking over the newest at once would move in one instant what the
    planner had spread over several windows. So each host counts its own moves over
    its own clock's window and follows the plan only within the cap.
    """

    __slots__ = ("_moves", "tables", "wanted")

    def __init__(self) -> None:
        self.tables: dict[str, list[str]] = {}
        self.wanted: Plan | None = None
        self._moves: dict[str, deque[tuple[float, int]]] = {}

    def adopt(self, plan: Plan, cap: ShiftCap, now: float) -> None:
        """Take a newer plan as the goal; groups not seen before start at once."""
        self.wanted = plan
        for group in [name for name in self.tables if name not in plan.tables]:
            del self.tables[group]
        for group, table in plan.tables.items():
            if group not in self.tables:
                self.tables[group] = list(table)
        self.advance(cap, now)

    def advance(self, cap: ShiftCap, now: float) -> int:
        """Move as many buckets as the cap allows; return how many."""
        if self.wanted is None:
            return 0
        return sum(
            self._advance_group(group, table, cap, now)
            for group, table in self.wanted.tables.items()
        )

    def _advance_group(
        self, group: str, wanted: list[str], cap: ShiftCap, now: float
    ) -> int:
        table = self.tables[group]
        if table == wanted:
            return 0
        budget = self._budget(group, cap, now)
        moved = 0
        for index, region in enumerate(wanted):
            if moved >= budget:
                break
            if table[index] != region:
                table[index] = region
                moved += 1
        if moved:
            self._moves[group].append((now, moved))
        return moved

    def _budget(self, group: str, cap: ShiftCap, now: float) -> int:
        moves = self._moves.setdefault(group, deque())
        while moves and now - moves[0][0] > cap.window_s:
            moves.popleft()
        spent = sum(count for _, count in moves)
        return math.floor(cap.fraction * BUCKETS + 1e-9) - spent

    def behind(self) -> int:
        """Return how many buckets still differ from the plan."""
        if self.wanted is None:
            return 0
        return sum(
            have != want
            for group, table in self.wanted.tables.items()
            for have, want in zip(self.tables[group], table, strict=True)
        )

    def region(self, group: str, bucket: int) -> str | None:
        """Return the region in force for a bucket, or None without a plan."""
        table = self.tables.get(group)
        return None if table is None else table[bucket]
