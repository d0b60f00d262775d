"""Endings of attempts: "not run" is proved, and nothing unrepeatable runs twice."""

import itertools

import pytest

from lacewingcross.core.attempts import Attempt, Ending, RetryBudget, Verdict, decide

MAX_ATTEMPTS = 3


def _possible(ending, sent):
    """Return whether an attempt can end so, given whether its bytes were written."""
    if not sent:
        return ending in (Ending.CONNECT_FAILED, Ending.CANCELLED, Ending.TIMED_OUT)
    return ending is not Ending.CONNECT_FAILED


def _may_run(ending, sent):
    """Return whether the server may have run the request.

    The result does not depend on the code under test.
    """
    return sent and ending is not Ending.SERVER_NOT_RUN


def _run_path(repeatable, replayable, path):
    """Return (verdict, number of attempts that may have run) for a path of endings.

    The result is None for a path that cannot occur or does not end the request, and the
    number is None if the request ends before the path does.
    """
    ran = 0
    for number, (ending, sent) in enumerate(path, 1):
        if not _possible(ending, sent):
            return None
        attempt = Attempt(number, "s")
        if sent:
            attempt.first_byte_written()
        attempt.end(ending)
        ran += _may_run(ending, sent)
        verdict = decide(
            attempt,
            ending,
            repeatable=repeatable,
            body_replayable=replayable,
            time_left=number < MAX_ATTEMPTS,
            budget_left=True,
        )
        if verdict is not Verdict.RETRY:
            return verdict, ran if number == len(path) else None
    return None


@pytest.mark.parametrize("replayable", [True, False])
def test_all_paths_of_a_request_that_may_not_be_repeated(replayable):
    steps = list(itertools.product(Ending, (True, False)))
    seen = set()
    for length in range(1, MAX_ATTEMPTS + 1):
        for path in itertools.product(steps, repeat=length):
            result = _run_path(False, replayable, path)
            if result is None or result[1] is None:
                continue
            verdict, ran = result
            seen.add(verdict)
            assert ran <= 1, path
            if verdict is Verdict.REFUSE:
                assert ran == 0, path
    assert Verdict.REFUSE in seen
    assert Verdict.UNKNOWN in seen


def test_answer_that_has_begun_is_never_followed_by_another():
    for ending in Ending:
        attempt = Attempt(1, "s")
        attempt.first_byte_written()
        attempt.head_forwarded = True
        attempt.end(ending)
        verdict = decide(
            attempt,
            ending,
            repeatable=True,
            body_replayable=True,
            time_left=True,
            budget_left=True,
        )
        assert verdict in (Verdict.ABORT, Verdict.DONE)


def test_budget_earns_a_tenth():
    budget = RetryBudget(requests_per_retry=10, reserve=1)
    budget.spend()
    assert not budget.available()
    for _ in range(10):
        budget.earn()
    assert budget.available()
