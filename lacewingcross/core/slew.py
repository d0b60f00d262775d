"""Limits how fast each host follows a plan."""

import math
from collections import deque
from operator import ne

from .plan import BUCKETS, Plan
from .resources import ShiftCap


class EffectivePlan:
    """The tables in force on this host: the region of each bucket of each client group.

    Guards against sudden moves: a host misses versions of the plan, or receives two of
    them late and close together. Adopting the newest version at once would move in one
    instant what the planner had spread over several windows. So each host counts its
    own moves within a window of its own clock and follows the plan only within the cap.

    Attributes
    ----------
    tables : dict of str to list of str
        For each client group, the region in force of each of its buckets.
    wanted : Plan or None
        The newest plan, which the tables follow.
    """

    __slots__ = ("_behind", "_moves", "tables", "wanted")

    def __init__(self) -> None:
        self.tables: dict[str, list[str]] = {}
        self.wanted: Plan | None = None
        # Time and number of the moved buckets within the window, by client group.
        self._moves: dict[str, deque[tuple[float, int]]] = {}
        # Number of buckets that differ from the plan, by client group; groups without
        # a difference are left out.
        self._behind: dict[str, int] = {}

    def adopt(self, plan: Plan, cap: ShiftCap, now: float) -> None:
        """Set a newer plan as the goal, and follow it as far as the cap allows.

        Client groups that are new in the plan, or no longer in it, change at once.
        """
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
        """Move as many buckets as the cap allows; return how many were moved.

        Called with every tick: client groups that already match the plan cost nothing.
        """
        return sum(
            self._advance_group(group, self.wanted.tables[group], cap, now)
            for group in list(self._behind)
        )

    def _advance_group(
        self, group: str, wanted: list[str], cap: ShiftCap, now: float
    ) -> int:
        table = self.tables[group]
        allowed_moves = self._allowed_moves(group, cap, now)
        moved = 0
        for index, region in enumerate(wanted):
            if moved >= allowed_moves:
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

    def _allowed_moves(self, group: str, cap: ShiftCap, now: float) -> int:
        """Return how many buckets of a client group may move now."""
        moves = self._moves.setdefault(group, deque())
        while moves and now - moves[0][0] > cap.window_s:
            moves.popleft()
        spent = sum(count for _, count in moves)
        return math.floor(cap.fraction * BUCKETS + 1e-9) - spent

    def behind(self) -> int:
        """Return how many buckets still differ from the plan."""
        return sum(self._behind.values())

    def region(self, group: str, bucket: int) -> str | None:
        """Return the region in force of a bucket, or None if the group has no table."""
        table = self.tables.get(group)
        return None if table is None else table[bucket]
