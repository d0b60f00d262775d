"""The specifications hold, and leaving out any guard gives a counterexample."""

import pytest

from spec.caps import CapModel, Guards
from spec.configuration import lost_answer_misreports, reverts
from spec.keeper import overlaps


def test_caps_hold_with_all_guards():
    model = CapModel(Guards())
    assert model.reaches_full_move()
    assert not model.plan_exceeds_cap()
    assert not model.host_exceeds_cap()


@pytest.mark.parametrize("guard", ["conditional", "ledger", "own_clock"])
def test_plan_exceeds_cap_without(guard):
    assert CapModel(Guards(**{guard: False})).plan_exceeds_cap()


def test_host_exceeds_cap_without_its_own_limit():
    """A host pauses for a whole window and then reads two full moves at once."""
    assert CapModel(Guards(host_limit=False)).host_exceeds_cap()


def test_configuration_never_reverts():
    assert not reverts(only_upwards=True)
    assert reverts(only_upwards=False)


def test_lost_answer_is_reported_as_it_happened():
    assert not lost_answer_misreports(write_id=True, conditional_again=True)
    assert lost_answer_misreports(write_id=False, conditional_again=True)
    assert lost_answer_misreports(write_id=True, conditional_again=False)


def test_keeper_change_never_gives_a_used_slot_away():
    all_guards = {
        "asks_holders": True,
        "waits_for_answers": True,
        "host_checks_lease": True,
    }
    assert not overlaps(**all_guards)
    for guard in all_guards:
        assert overlaps(**{**all_guards, guard: False}), guard
