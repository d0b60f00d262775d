"""Specification of the shift caps: how much traffic may move within a time window.

The model has two planners, a store and a host. Responses of the store can get lost,
planners restart, and the host can skip plan versions. The check is bounded: it covers
every run of up to `STEPS` steps. Each step lets time pass and one actor act. Each guard
can be left out, and the check must then find a counterexample.
"""

from dataclasses import dataclass

import z3

STEPS = 9
WINDOW = 2
CAP = 2
PLANNERS = 2
NOTHING, READ, WRITE, RESTART, ADOPT = range(5)


@dataclass(slots=True, frozen=True)
class Guards:
    """The guards of the protocol that the model includes.

    Attributes
    ----------
    conditional : bool
        A write succeeds only if the stored version is the one that its planner has
        read.
    ledger : bool
        The plan lists the moves, and each planner counts a move from the time at which
        it first read it.
    own_clock : bool
        The age of a move is measured by the reader's clock, not from a time stamp of
        the writer, whose clock may be behind.
    host_limit : bool
        A host adopts the plan only within the cap, as measured by the host's own clock.
    """

    conditional: bool = True
    ledger: bool = True
    own_clock: bool = True
    host_limit: bool = True


class CapModel:
    """All runs of `STEPS` steps, expressed as z3 constraints."""

    def __init__(self, guards: Guards) -> None:
        self.guards = guards
        self.solver = z3.Solver()
        self.time = [z3.Int(f"time_{s}") for s in range(STEPS)]
        self.action = [z3.Int(f"action_{s}") for s in range(STEPS)]
        self.actor = [z3.Int(f"actor_{s}") for s in range(STEPS)]
        self.moved = [z3.Int(f"moved_{s}") for s in range(STEPS)]
        self.adopted = [z3.Int(f"adopted_{s}") for s in range(STEPS)]
        self.skew = z3.Int("skew")
        self._constrain_steps()
        for step in range(STEPS):
            self._constrain_write(step)
            self._constrain_adoption(step)

    def _constrain_steps(self) -> None:
        add = self.solver.add
        add(self.time[0] == 0, self.skew >= 0, self.skew <= 3)
        for step in range(STEPS):
            add(self.action[step] >= NOTHING, self.action[step] <= ADOPT)
            add(self.actor[step] >= 0, self.actor[step] < PLANNERS)
            add(self.moved[step] >= 0, self.adopted[step] >= 0)
            if step:
                gap = self.time[step] - self.time[step - 1]
                add(gap >= 0, gap <= WINDOW + 1)

    def _has_action(self, step: int, action: int) -> z3.BoolRef:
        return self.action[step] == action

    def _planner_has_action(self, step: int, planner: int, action: int) -> z3.BoolRef:
        return z3.And(self._has_action(step, action), self.actor[step] == planner)

    def _last_read_is(self, planner: int, read: int, now: int) -> z3.BoolRef:
        """Return the condition that `planner` last read in `read`, with no restart."""
        later = [
            z3.Not(
                z3.Or(
                    self._planner_has_action(step, planner, READ),
                    self._restarts(step, planner),
                )
            )
            for step in range(read + 1, now)
        ]
        return z3.And(self._planner_has_action(read, planner, READ), *later)

    def _restarts(self, step: int, planner: int) -> z3.BoolRef:
        return self._planner_has_action(step, planner, RESTART)

    def _first_read_cases(self, planner: int, move: int, now: int) -> list[tuple]:
        """Return (condition, time) for each step in which a move can be first read.

        A restarted planner has lost its memory, so the first read after the restart
        counts.
        """
        cases = []
        for read in range(move + 1, now):
            seen_before = z3.Or(
                [
                    z3.And(
                        self._planner_has_action(earlier, planner, READ),
                        *[
                            z3.Not(self._planner_has_action(mid, planner, RESTART))
                            for mid in range(earlier, now)
                        ],
                    )
                    for earlier in range(move + 1, read)
                ]
            )
            restarted = z3.Or(
                [
                    self._planner_has_action(mid, planner, RESTART)
                    for mid in range(read, now)
                ]
            )
            is_first_read = z3.And(
                self._planner_has_action(read, planner, READ),
                z3.Not(seen_before),
                z3.Not(restarted),
            )
            cases.append((is_first_read, self.time[read]))
        return cases

    def _counts_against_cap(self, planner: int, move: int, now: int) -> z3.BoolRef:
        """Return the condition that `planner` counts `move` in step `now`."""
        if not self.guards.ledger:
            # The planner counts only the moves that it wrote since it last started.
            restarted = z3.Or(
                [
                    self._planner_has_action(mid, planner, RESTART)
                    for mid in range(move, now)
                ]
            )
            own = z3.And(self.actor[move] == planner, z3.Not(restarted))
            return z3.And(own, self.time[now] - self.time[move] <= WINDOW)
        if not self.guards.own_clock:
            # The writer's time stamp comes from a clock that is behind.
            stamp = self.time[move] - self.skew
            return self.time[now] - stamp <= WINDOW
        cases = self._first_read_cases(planner, move, now)
        return z3.Or(
            [
                z3.And(is_first_read, self.time[now] - at <= WINDOW)
                for is_first_read, at in cases
            ]
        )

    def _constrain_write(self, step: int) -> None:
        add = self.solver.add
        add(z3.Implies(z3.Not(self._has_action(step, WRITE)), self.moved[step] == 0))
        for planner in range(PLANNERS):
            writes = self._planner_has_action(step, planner, WRITE)
            reads = [self._last_read_is(planner, read, step) for read in range(step)]
            add(z3.Implies(writes, z3.Or(reads)))
            if self.guards.conditional:
                for read in range(step):
                    between = [
                        self._has_action(mid, WRITE) for mid in range(read, step)
                    ]
                    unchanged = z3.Not(z3.Or(between))
                    is_last_read = self._last_read_is(planner, read, step)
                    add(z3.Implies(z3.And(writes, is_last_read), unchanged))
            known = []
            for move in range(step):
                # The planner does not know moves written after its last read.
                seen = z3.Or(
                    [
                        z3.And(self._last_read_is(planner, read, step), read > move)
                        for read in range(step)
                    ]
                )
                counted = z3.And(seen, self._counts_against_cap(planner, move, step))
                known.append(z3.If(counted, self.moved[move], 0))
            add(z3.Implies(writes, self.moved[step] + z3.Sum(known or [0]) <= CAP))

    def _constrain_adoption(self, step: int) -> None:
        """Let the host adopt the newest plan; it may skip any number of versions."""
        add = self.solver.add
        adopts = self._has_action(step, ADOPT)
        add(z3.Implies(z3.Not(adopts), self.adopted[step] == 0))
        written = z3.Sum([self.moved[s] for s in range(step)] or [0])
        before = z3.Sum([self.adopted[s] for s in range(step)] or [0])
        outstanding = written - before
        if not self.guards.host_limit:
            add(z3.Implies(adopts, self.adopted[step] == outstanding))
            return
        recent = [
            z3.If(self.time[step] - self.time[s] <= WINDOW, self.adopted[s], 0)
            for s in range(step)
        ]
        remaining = CAP - z3.Sum(recent or [0])
        add(
            z3.Implies(
                adopts,
                self.adopted[step]
                == z3.If(outstanding < remaining, outstanding, remaining),
            )
        )

    def _exceeds(self, amounts: list) -> z3.BoolRef:
        cases = []
        for first in range(STEPS):
            within = [
                z3.If(self.time[s] - self.time[first] <= WINDOW, amounts[s], 0)
                for s in range(first, STEPS)
            ]
            cases.append(z3.Sum(within) > CAP)
        return z3.Or(cases)

    def plan_exceeds_cap(self) -> bool:
        """Return whether in some run the stored plans move more than the cap."""
        return self._check(self._exceeds(self.moved))

    def host_exceeds_cap(self) -> bool:
        """Return whether in some run the host moves more than the cap."""
        return self._check(self._exceeds(self.adopted))

    def reaches_full_move(self) -> bool:
        """Return whether a run can move twice the cap in all.

        If no run could, the model would be empty and the other checks meaningless.
        """
        return self._check(z3.Sum(self.adopted) >= 2 * CAP)

    def _check(self, claim: z3.BoolRef) -> bool:
        self.solver.push()
        self.solver.add(claim)
        result = self.solver.check()
        self.solver.pop()
        assert result != z3.unknown, self.solver.reason_unknown()
        return result == z3.sat
