"""The planner of a service: moves buckets of callers between regions.

A step moves no more buckets of a client group than the shift cap allows within its
window, and no more than the receiving regions have room for.
"""

import math
from collections import Counter
from dataclasses import dataclass, field
from operator import ne

from . import messages as msg
from .plan import (
    BUCKETS,
    Move,
    Plan,
    apportion,
    fresh_table,
    move_towards,
)
from .resources import BackendPool, ClientGroup, ShiftCap, SteeringPolicy

# Age after which the load report of a region is no longer used.
MAX_REPORT_AGE_S = 4.0
# Weight of the latest load report in the decaying mean of a region's demand.
DEMAND_MEAN_GAIN = 0.3
# Utilisation above which buckets move away from a region.
HOT_UTILISATION = 0.95
# Utilisation below which a region may receive buckets of a hot region.
COOL_UTILISATION = 0.7
# Maximum utilisation at which a region may receive buckets by a change of policy.
RETURN_UTILISATION = 0.6
# Fraction of a region's limit up to which a step may fill the region.
MAX_FILL_FRACTION = 0.85
# Time after a step from which load reports are taken to show it.
SETTLE_S = 1.0
# Time for which a region has to report no usable server until it is considered lost.
REGION_LOST_S = 2.0
# Maximum number of buckets of a client group that a step moves away from a hot region.
HEADROOM_STEP_BUCKETS = 20
# Once this many moves of the ledger count against the shift cap, no further bucket is
# moved.
MAX_LEDGER_MOVES = 500


@dataclass(slots=True)
class RegionView:
    """The last load report of one region.

    Attributes
    ----------
    load : RegionLoad
        The report.
    received_at : float
        When it was received, in seconds on this host's monotonic clock.
    mean_demand : float
        Decaying mean of the demand in slots. A single reading of a pool of a few slots
        jumps between idle and full, and on its own would shift traffic needlessly.
    zero_since : float or None
        Since when the reported limit is zero, on the same clock; None while the limit
        is above zero.
    """

    load: msg.RegionLoad
    received_at: float
    mean_demand: float
    zero_since: float | None = None

    def demand(self) -> float:
        """Return the slots in use or requested: the larger of mean and latest value."""
        return max(self.mean_demand, _demand(self.load))

    def utilisation(self) -> float:
        """Return the mean demand divided by the reported limit.

        A limit below 1 counts as 1.
        """
        return self.mean_demand / max(1.0, self.load.limit)


def _demand(load: msg.RegionLoad) -> float:
    return float(load.in_flight + load.queued)


@dataclass(slots=True)
class PlannerInput:
    """What a step depends on besides the plan.

    `drained` holds the regions that operators drain, `lost` the regions without a
    usable backend server. `cap` limits how many buckets of a client group may move.
    """

    policy: SteeringPolicy
    pool: BackendPool
    cap: ShiftCap
    drained: frozenset[str]
    lost: frozenset[str]


@dataclass(slots=True)
class Step:
    """A new plan to be written, and the cause of the change."""

    plan: Plan
    cause: str


@dataclass(slots=True)
class Planner:
    """Planning state of one service on one host.

    Every host keeps this state and updates it with every plan that it receives, but
    only the host that owns the service writes plans. A host that takes over the service
    has therefore usually seen each move when it was made.

    Parameters
    ----------
    service : str
        The service planned for.
    tag : str
        Prefix of move ids, unique over hosts and incarnations.

    Attributes
    ----------
    regions : dict of str to RegionView
        The last load report of each region.
    hold_reason : str
        Why the last step held back a move: ``stale``, ``receiver-busy``,
        ``no-headroom`` or ``ledger-full``. Empty if it held back none, or if only the
        cap or the room of the receiving regions held it back.
    """

    service: str
    tag: str
    regions: dict[str, RegionView] = field(default_factory=dict)
    hold_reason: str = ""
    _first_seen_at: dict[str, float] = field(default_factory=dict)
    _move_count: int = 0
    _changed_at: float = -math.inf

    def on_plan(self, plan: Plan, now: float) -> None:
        """Record when each move was first seen, on this host's own clock.

        A move counts against the cap until a full window has passed since this host
        first saw it. The clocks of other hosts are not used: a planner that has just
        started counts every move of the ledger as made now, and the conditional update
        of a planner that was paused fails.
        """
        ledger_ids = {move.move_id for move in plan.ledger}
        for move_id in ledger_ids:
            if move_id not in self._first_seen_at:
                self._first_seen_at[move_id] = now
                self._changed_at = now
        self._first_seen_at = {
            key: seen_at
            for key, seen_at in self._first_seen_at.items()
            if key in ledger_ids
        }

    def on_load(self, load: msg.RegionLoad, now: float) -> None:
        """Record a keeper's load report.

        If the last report of the region is older than `MAX_REPORT_AGE_S`, the mean
        demand and `zero_since` start again from this report.
        """
        known = self.regions.get(load.region)
        mean_demand = _demand(load)
        zero_since = now if load.limit <= 0 else None
        if known is not None and now - known.received_at <= MAX_REPORT_AGE_S:
            mean_demand = known.mean_demand + DEMAND_MEAN_GAIN * (
                mean_demand - known.mean_demand
            )
            if zero_since is not None and known.zero_since is not None:
                zero_since = known.zero_since
        self.regions[load.region] = RegionView(load, now, mean_demand, zero_since)

    def lost(self, now: float) -> frozenset[str]:
        """Return the regions without a usable server for `REGION_LOST_S`, by reports.

        A region without fresh reports is not considered lost: missing reports prove
        nothing, and no traffic is moved because of them.
        """
        return frozenset(
            region
            for region, view in self.regions.items()
            if view.zero_since is not None
            and now - view.received_at <= MAX_REPORT_AGE_S
            and now - view.zero_since >= REGION_LOST_S
        )

    def counted_moves(self, plan: Plan, cap: ShiftCap, now: float) -> tuple[Move, ...]:
        """Return the moves of the ledger that still count against the cap."""
        return tuple(
            move
            for move in plan.ledger
            if now - self._first_seen_at.get(move.move_id, now) <= cap.window_s
        )

    def budget(self, moves: tuple[Move, ...], cap: ShiftCap, group: str) -> int:
        """Return how many buckets of `group` may still move in this window.

        `moves` are the moves that count against the cap.
        """
        spent = sum(move.moved.get(group, 0) for move in moves)
        return max(0, math.floor(cap.fraction * BUCKETS + 1e-9) - spent)

    def step(self, plan: Plan | None, inputs: PlannerInput, now: float) -> Step | None:
        """Return the next plan, or None if nothing should change or may move now.

        `hold_reason` is updated, except by a first plan.
        """
        if plan is None:
            return self._first_plan(inputs)
        self.hold_reason = ""
        moves = self.counted_moves(plan, inputs.cap, now)
        room = self._room_in_buckets(plan, inputs, now)
        tables: dict[str, list[str]] = {}
        moved: dict[str, int] = {}
        causes: set[str] = set()
        for group in inputs.policy.groups:
            table = plan.tables.get(group.name)
            if table is None:
                tables[group.name] = self._initial_table(group, inputs)
                causes.add("new-group")
                continue
            budget = self.budget(moves, inputs.cap, group.name)
            new_table, cause = self._next_table(group, table, inputs, room, budget, now)
            tables[group.name] = new_table
            count = sum(map(ne, table, new_table))
            if count:
                moved[group.name] = count
                causes.add(cause)
        if not moved and set(tables) == set(plan.tables):
            return None
        return self._build_step(tables, moves, moved, ",".join(sorted(causes)))

    def _next_table(
        self,
        group: ClientGroup,
        table: list[str],
        inputs: PlannerInput,
        room: dict[str, float],
        budget: int,
        now: float,
    ) -> tuple[list[str], str]:
        """Return a group's next table and the cause; subtract its gains from `room`.

        `room` holds how many buckets each region can take, and `budget` is how many
        buckets of the group may move.
        """
        current = Counter(table)
        target, cause = self._target(group, current, inputs, now)
        if target == current:
            return table, ""
        target = self._limit_gains(table, target, room)
        new_table, _ = move_towards(table, target, budget)
        self._subtract_gains(table, new_table, room)
        return new_table, cause

    def _build_step(
        self,
        tables: dict[str, list[str]],
        moves: tuple[Move, ...],
        moved: dict[str, int],
        cause: str,
    ) -> Step | None:
        """Return a step to the new tables, or None if the ledger has no room.

        A step that moves no bucket, since it only adds or removes client groups, needs
        no room in the ledger.
        """
        if not moved:
            return Step(Plan(self.service, tables, moves), cause)
        if len(moves) >= MAX_LEDGER_MOVES:
            self.hold_reason = "ledger-full"
            return None
        self._move_count += 1
        move = Move(f"{self.tag}.{self._move_count}", moved, cause)
        return Step(Plan(self.service, tables, (*moves, move)), cause)

    def _first_plan(self, inputs: PlannerInput) -> Step:
        tables = {
            group.name: self._initial_table(group, inputs)
            for group in inputs.policy.groups
        }
        return Step(Plan(self.service, tables), "first")

    def _initial_table(self, group: ClientGroup, inputs: PlannerInput) -> list[str]:
        """Return a group's first table.

        It does not avoid drained and lost regions; later steps empty these.
        """
        return fresh_table(self._base_counts(group, inputs, frozenset()))

    def _base_counts(
        self, group: ClientGroup, inputs: PlannerInput, avoid: frozenset[str]
    ) -> Counter[str]:
        """Return the wanted number of buckets in each region, outside of `avoid`.

        The buckets are split by the group's weights. If no region with a weight is
        left, all buckets go to the first failover region that is left, else they are
        split by the limits of the regions that are left. If no region with a limit is
        left either, all buckets go to the first region by name of the group's weights,
        even if it is in `avoid`.
        """
        usable = [reg for reg in inputs.pool.regions() if reg not in avoid]
        weights = {
            region: weight
            for region, weight in group.weights.items()
            if region in usable and weight > 0
        }
        counts = apportion(weights)
        if counts:
            return counts
        for region in inputs.policy.failover:
            if region in usable:
                return Counter({region: BUCKETS})
        limits = {region: inputs.pool.limit(region) for region in usable}
        counts = apportion(limits)
        if counts:
            return counts
        fallback = next(iter(sorted(group.weights)))
        return Counter({fallback: BUCKETS})

    def _target(
        self,
        group: ClientGroup,
        current: Counter[str],
        inputs: PlannerInput,
        now: float,
    ) -> tuple[Counter[str], str]:
        """Return the wanted number of buckets in each region, and the cause.

        The first rule that applies decides: drained and lost regions are emptied, a hot
        region is relieved, or the buckets follow the policy if the receiving regions
        have room.
        """
        avoid = inputs.drained | inputs.lost
        base = self._base_counts(group, inputs, avoid)
        if avoid & set(current):
            cause = "drain" if inputs.drained & set(current) else "failover"
            return self._empty_regions(current, base, avoid), cause
        hot = self._hottest_region(current, now)
        if hot is not None:
            return self._relieve_hot(current, hot, inputs, now), "headroom"
        if base != current and self._receivers_have_room(current, base, now):
            return base, "policy"
        return current, ""

    def _empty_regions(
        self, current: Counter[str], base: Counter[str], avoid: frozenset[str]
    ) -> Counter[str]:
        """Return the counts with the avoided regions emptied.

        Their buckets are distributed among regions in proportion to `base`, the counts
        that the policy gives without the avoided regions. The remainder of the division
        goes to the region with the largest count in `base`. The buckets in other
        regions stay where they are.
        """
        leaving_buckets = sum(current[region] for region in avoid)
        target = Counter({reg: num for reg, num in current.items() if reg not in avoid})
        gains = apportion(base)
        for region, count in gains.items():
            target[region] += leaving_buckets * count // BUCKETS
        missing_buckets = BUCKETS - sum(target.values())
        if missing_buckets and gains:
            target[max(gains, key=lambda key: (gains[key], key))] += missing_buckets
        return target

    def _fresh_view(self, region: str, now: float) -> RegionView | None:
        view = self.regions.get(region)
        if view is None or now - view.received_at > MAX_REPORT_AGE_S:
            return None
        return view

    def _hottest_region(self, current: Counter[str], now: float) -> str | None:
        """Return the region with the highest utilisation above `HOT_UTILISATION`.

        The result is None if there is none. Only fresh reports of regions that have
        buckets of the group count.
        """
        hottest = None
        utilisation = HOT_UTILISATION
        for region in current:
            view = self._fresh_view(region, now)
            if view is not None and view.utilisation() > utilisation:
                hottest = region
                utilisation = view.utilisation()
        return hottest

    def _relieve_hot(
        self, current: Counter[str], hot: str, inputs: PlannerInput, now: float
    ) -> Counter[str]:
        """Return the counts after a small step from the hot region to the coolest one.

        Only regions with a fresh report that operators do not drain are considered. If
        none of these is below `COOL_UTILISATION`, the counts stay and `hold_reason` is
        set.
        """
        coolest = None
        utilisation = COOL_UTILISATION
        for region in inputs.pool.regions():
            view = self._fresh_view(region, now)
            if region == hot or region in inputs.drained or view is None:
                continue
            if view.utilisation() < utilisation:
                coolest = region
                utilisation = view.utilisation()
        if coolest is None:
            self.hold_reason = "no-headroom"
            return current
        step_buckets = min(HEADROOM_STEP_BUCKETS, current[hot])
        target = Counter(current)
        target[hot] -= step_buckets
        target[coolest] += step_buckets
        return target

    def _receivers_have_room(
        self, current: Counter[str], base: Counter[str], now: float
    ) -> bool:
        """Return whether every region that would gain buckets is known to have room.

        If not, `hold_reason` is set.
        """
        for region, count in base.items():
            if count <= current[region]:
                continue
            view = self._fresh_view(region, now)
            if view is None or view.utilisation() > RETURN_UTILISATION:
                self.hold_reason = "stale" if view is None else "receiver-busy"
                return False
        return True

    def _room_in_buckets(
        self, plan: Plan, inputs: PlannerInput, now: float
    ) -> dict[str, float]:
        """Return how many buckets each region can take up to `MAX_FILL_FRACTION`.

        The number is negative for a region that is fuller, and infinite if no demand is
        reported anywhere. Guards against a step into
        room that is already taken, because the load reports are stale or do not show an
        earlier step yet; the region would be overloaded. A region without a fresh
        report, or whose report was received less than `SETTLE_S` after this host first
        saw the last move, is given no buckets.
        """
        buckets = plan.region_buckets()
        demand = 0.0
        counted_buckets = 0
        for region, count in buckets.items():
            view = self._fresh_view(region, now)
            if view is not None and region not in inputs.lost:
                demand += view.demand()
                counted_buckets += count
        demand_per_bucket = demand / counted_buckets if counted_buckets else 0.0
        room: dict[str, float] = {}
        for region in inputs.pool.regions():
            view = self._fresh_view(region, now)
            if view is None or view.received_at < self._changed_at + SETTLE_S:
                room[region] = 0.0
                continue
            spare_slots = MAX_FILL_FRACTION * view.load.limit - view.demand()
            room[region] = (
                spare_slots / demand_per_bucket if demand_per_bucket > 0 else math.inf
            )
        return room

    def _limit_gains(
        self, table: list[str], target: Counter[str], room: dict[str, float]
    ) -> Counter[str]:
        """Limit the buckets that each region gains to its room."""
        current = Counter(table)
        limited = Counter()
        for region in set(current) | set(target):
            gain = target[region] - current[region]
            if gain > 0:
                allowed = room.get(region, 0.0)
                gain = gain if allowed >= gain else max(0, int(allowed))
                limited[region] = current[region] + gain
            else:
                limited[region] = target[region]
        return limited

    def _subtract_gains(
        self, before: list[str], after: list[str], room: dict[str, float]
    ) -> None:
        gained = Counter(after)
        gained.subtract(Counter(before))
        for region, count in gained.items():
            if count > 0 and region in room:
                room[region] -= count
