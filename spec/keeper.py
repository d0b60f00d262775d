"""Keeper change: a predecessor's permits, a successor, a host that pauses.

Bounded check over the moments at which things happen: one slot, one host that holds
or is about to use a permit of the first keeper, a second keeper that starts. The claim:
the successor never grants the slot while the host, if it answers the query, still uses
it; and a paused host never starts on a permit whose lease may be over.
"""

import z3

LEASE = 10
RECOVERY = 2
START_PART = 5


def overlaps(
    *, asks_holders: bool, waits_for_answers: bool, host_checks_lease: bool
) -> bool:
    """Tell whether two requests can run in one slot.

    The host answers the query with what it holds at that moment, or not at all: then
    the successor goes on after `RECOVERY`, and the host counts as paused until it
    wakes, which is the case the lease covers.
    """
    granted, started, ended = z3.Ints("granted started ended")
    successor, answered, regranted = z3.Ints("successor answered regranted")
    answers = z3.Bool("answers")
    paused_since, woke = z3.Ints("paused_since woke")
    solver = z3.Solver()
    solver.add(granted >= 0, started >= granted, ended > started)
    # The predecessor dies at or after the grant; its lease was known to the host.
    solver.add(successor >= granted)
    solver.add(answered >= successor, answered <= successor + RECOVERY)
    # A host that answers is not paused around the answer; one that does not answer is
    # paused from before the query until it wakes.
    silent = z3.And(paused_since <= successor, woke > successor + RECOVERY)
    solver.add(z3.Or(answers, silent))
    if host_checks_lease:
        solver.add(started <= granted + START_PART)
    # A silent host starts nothing while it is paused.
    solver.add(
        z3.Implies(z3.Not(answers), z3.Or(started < paused_since, started >= woke))
    )
    holds = z3.And(granted <= answered, ended > answered)
    told = z3.And(answers, holds) if asks_holders else z3.BoolVal(False)
    if waits_for_answers:
        earliest = z3.If(answers, answered, successor + LEASE)
    else:
        earliest = successor
    solver.add(regranted >= earliest)
    # Told of the permit, the successor grants the slot only after its end.
    solver.add(z3.Implies(told, regranted >= ended))
    running = z3.And(started <= regranted, ended > regranted)
    starts_late = z3.And(started > regranted, z3.Not(answers))
    # A request that already runs when its host freezes is the backend server's to
    # shed against; here only answering hosts and late starts are claimed.
    solver.add(z3.Or(z3.And(answers, running, granted <= answered), starts_late))
    return solver.check() == z3.sat
