"""Limits how fast each host follows a plan."""

import math
from collections import deque
from operator import ne

from .plan import BUCKETS, Plan
from .resources import ShiftCap


class EffectivePlan:
    """The tables in force on this host.

    Guards against sudden moves: a host misses versions of the plan, or receives two of
    them late and close together. Adopting the newest at once would move in one instant
    what the planner had spread over several windows. So each host counts its own moves
    within a window of its own clock and follows the plan only within the cap.
    """

    __slots__ = ("_behind", "_moves", "tables", "wanted")

    def __init__(self) -> None:
        self.tables: dict[str, list[str]] = {}
        self.wanted: Plan | None = None
        self._moves: dict[str, deque[tuple[float, int]]] = {}
        self._behind: dict[str, int] = {}

    def adopt(self, plan: Plan, cap: ShiftCap, now: float) -> None:
        """Set a newer plan as the goal; new groups take effect at once."""
        self.wanted = plan
        for group in [name for name in self.tables if name not in plan.tables]:
            del self.tables[group]
        self._behind = {}
        for group, table in plan.tables.items():
            current = self.tables.setdefault(group, list(table))
            if current != table:
                different = map(ne, current, table)
                self._behind[group] = sum(different)
        self.advance(cap, now)

    def advance(self, cap: ShiftCap, now: float) -> int:
        """Move as many buckets as the cap allows; return how many.

        Called with every tick: groups that already match their plan cost nothing.
        """
        return sum(
            self._advance_group(group, self.wanted.tables[group], cap, now)
            for group in list(self._behind)
        )

    def _advance_group(
        self, group: str, wanted: list[str], cap: ShiftCap, now: float
    ) -> int:
        table = self.tables[group]
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
            self._behind[group] -= moved
        if not self._behind[group]:
            del self._behind[group]
        return moved

    def _budget(self, group: str, cap: ShiftCap, now: float) -> int:
        moves = self._moves.setdefault(group, deque())
        while moves and now - moves[0][0] > cap.window_s:
            moves.popleft()
        spent = sum(count for _, count in moves)
        return math.floor(cap.fraction * BUCKETS + 1e-9) - spent

    def behind(self) -> int:
        """Return how many buckets still differ from the plan."""
        return sum(self._behind.values())

    def region(self, group: str, bucket: int) -> str | None:
        """Return the region in force for a bucket, or None without a plan."""
        table = self.tables.get(group)
        return None if table is None else table[bucket]
