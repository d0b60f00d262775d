"""Specification of a keeper change: two requests never run in one slot.

A keeper grants hosts the permits to use the slots of backend servers. The model has one
slot, one host that holds or is about to use a permit of the first keeper, and a second
keeper that starts as its successor. The host may pause. The check is bounded to these
few actors and covers all times at which the events can happen.

Two properties are checked. The successor never grants the slot while a host that
answers the successor's query still uses it. A paused host never starts a request on a
permit whose lease may be over.
"""

import z3

LEASE = 10
RECOVERY = 2
START_LIMIT = 5


def overlaps(
    *, asks_holders: bool, waits_for_answers: bool, host_checks_lease: bool
) -> bool:
    """Return whether two requests can run in one slot.

    The host either answers the query with the permits that it holds at that moment, or
    does not answer. In the second case the successor goes on after `RECOVERY`, and the
    host counts as paused until it wakes; the lease covers this case.

    Parameters
    ----------
    asks_holders : bool
        The successor asks the hosts which permits they hold.
    waits_for_answers : bool
        The successor grants nothing before the host has answered or the lease is over.
    host_checks_lease : bool
        The host starts a request only within the first `START_LIMIT` of the lease.
    """
    granted, started, ended = z3.Ints("granted started ended")
    successor, answered, regranted = z3.Ints("successor answered regranted")
    answers = z3.Bool("answers")
    paused_since, woke = z3.Ints("paused_since woke")
    solver = z3.Solver()
    solver.add(granted >= 0, started >= granted, ended > started)
    # The predecessor crashes at or after the grant; the host knows the permit's lease.
    solver.add(successor >= granted)
    solver.add(answered >= successor, answered <= successor + RECOVERY)
    # A host that answers is not paused at that time. A host that does not answer is
    # paused from before the query until it wakes.
    silent = z3.And(paused_since <= successor, woke > successor + RECOVERY)
    solver.add(z3.Or(answers, silent))
    if host_checks_lease:
        solver.add(started <= granted + START_LIMIT)
    # A silent host starts no request while it is paused.
    solver.add(
        z3.Implies(z3.Not(answers), z3.Or(started < paused_since, started >= woke))
    )
    holds = z3.And(granted <= answered, ended > answered)
    permit_known = z3.And(answers, holds) if asks_holders else z3.BoolVal(False)
    if waits_for_answers:
        earliest = z3.If(answers, answered, successor + LEASE)
    else:
        earliest = successor
    solver.add(regranted >= earliest)
    # A successor that knows of the permit grants the slot only after the request ended.
    solver.add(z3.Implies(permit_known, regranted >= ended))
    running = z3.And(started <= regranted, ended > regranted)
    starts_late = z3.And(started > regranted, z3.Not(answers))
    # The properties cover only hosts that answer and requests that start late. If a
    # request already runs when its host pauses, the backend server has to shed load.
    solver.add(z3.Or(z3.And(answers, running, granted <= answered), starts_late))
    return solver.check() == z3.sat
