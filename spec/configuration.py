"""Specification of configuration versions: a host never returns to an older version.

The proof is inductive. The state consists of the version in force at a host and the
highest version ever accepted. There are two kinds of steps: an entry arrives from the
platform or a peer, with any version accepted so far, or an operator's write is
accepted. Every step, from any state, preserves the invariant.
"""

import z3


def reverts(*, only_upwards: bool) -> bool:
    """Return whether one step from a valid state can lower the version in force.

    Parameters
    ----------
    only_upwards : bool
        The host ignores an entry that is not newer than the version in force.
    """
    before, after = z3.Ints("before after")
    accepted, accepted_after = z3.Ints("accepted accepted_after")
    arriving = z3.Int("arriving")
    in_force = z3.If(arriving > before, arriving, before) if only_upwards else arriving
    valid = z3.And(before >= 0, before <= accepted)
    arrives = z3.And(
        arriving >= 0,
        arriving <= accepted,
        after == in_force,
        accepted_after == accepted,
    )
    accepts = z3.And(after == before, accepted_after > accepted)
    solver = z3.Solver()
    solver.add(valid, z3.Or(arrives, accepts))
    solver.add(z3.Or(after < before, after > accepted_after))
    return solver.check() == z3.sat


def lost_answer_misreports(*, write_id: bool, conditional_again: bool) -> bool:
    """Return whether a writer can report a wrong result after a response was lost.

    The writer sends one write on version v, which may take effect late. It then sends
    the same write again, and reads the object back on a conflict.

    Parameters
    ----------
    write_id : bool
        Writes carry an id. Without it, a writer cannot distinguish its own write from
        that of another writer.
    conditional_again : bool
        The repeated write is conditional on the version. An unconditional repeat can
        take effect twice.
    """
    first_accepted, other_accepted, reported_ok, effects = z3.Ints(
        "first other ok effects"
    )
    solver = z3.Solver()
    solver.add(
        first_accepted >= 0,
        first_accepted <= 1,
        other_accepted >= 0,
        other_accepted <= 1,
    )
    # The store accepts the write of only one of two writers on the same version.
    solver.add(first_accepted + other_accepted <= 1)
    repeat_effects = (
        z3.If(first_accepted + other_accepted == 0, 1, 0) if conditional_again else 1
    )
    solver.add(effects == first_accepted + repeat_effects)
    took_effect = effects >= 1
    recognized_own = took_effect if write_id else z3.Bool("guess")
    solver.add(reported_ok == z3.If(z3.Or(repeat_effects == 1, recognized_own), 1, 0))
    wrong = z3.Or(
        z3.And(reported_ok == 1, effects == 0),
        z3.And(reported_ok == 0, effects >= 1),
        effects > 1,
        z3.And(other_accepted == 1, effects >= 1),
    )
    solver.add(wrong)
    return solver.check() == z3.sat
