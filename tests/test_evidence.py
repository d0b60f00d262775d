"""What one host concludes from its own attempts at a server."""

from lacewingcross.core.evidence import Evidence

USUAL_S = 0.1
PATIENCE_S = 0.4


def test_a_server_that_cannot_be_reached_is_left_alone_for_longer_each_time():
    evidence = Evidence()
    evidence.sent(1, 0.0)
    evidence.unreachable(1, 0.0)
    assert not evidence.usable(0.4, PATIENCE_S)
    assert evidence.usable(0.6, PATIENCE_S)
    evidence.sent(2, 0.6)
    evidence.unreachable(2, 0.6)
    assert not evidence.usable(1.5, PATIENCE_S)
    assert evidence.usable(1.7, PATIENCE_S)


def test_after_a_pause_one_request_goes_first():
    # A crashed server's pause is over. Sending all its keys at once would lose them
    # all together if it is still down.
    evidence = Evidence()
    evidence.unreachable(1, 0.0)
    assert evidence.usable(1.0, PATIENCE_S)
    evidence.sent(2, 1.0)
    assert not evidence.usable(1.01, PATIENCE_S)
    evidence.answered(2, 1.1, USUAL_S, good=True)
    evidence.sent(3, 1.2)
    assert evidence.usable(1.2, PATIENCE_S)


def test_a_server_that_has_gone_dark_is_passed_over_until_it_answers():
    # A server loses power: connections stay open and nothing ever comes back.
    evidence = Evidence()
    evidence.sent(1, 0.0)
    assert evidence.usable(0.3, PATIENCE_S)
    assert not evidence.usable(0.5, PATIENCE_S)
    evidence.answered(1, 0.6, USUAL_S, good=True)
    assert evidence.usable(0.6, PATIENCE_S)


def test_a_busy_server_that_still_answers_is_not_silent():
    evidence = Evidence()
    evidence.sent(1, 0.0)
    evidence.sent(2, 0.0)
    evidence.answered(1, 0.35, USUAL_S, good=True)
    assert evidence.usable(0.5, PATIENCE_S)


def test_a_server_that_fails_half_its_requests_is_passed_over():
    evidence = Evidence()
    for number in range(20):
        evidence.sent(number, 0.0)
        if number % 2:
            evidence.failed(number, 0.0)
        else:
            evidence.answered(number, 0.05, USUAL_S, good=True)
    assert not evidence.usable(0.1, PATIENCE_S)
    assert evidence.usable(0.1, PATIENCE_S, desperate=True)


def test_a_full_server_that_sheds_is_not_held_against_it():
    evidence = Evidence()
    for number in range(20):
        evidence.sent(number, 0.0)
        evidence.shed(number, 0.0, full=True)
    assert evidence.usable(0.1, PATIENCE_S)


def test_a_server_five_times_slower_than_its_service_is_passed_over():
    evidence = Evidence()
    for number in range(20):
        at = float(number)
        evidence.sent(number, at)
        evidence.answered(number, at + 0.6, USUAL_S, good=True)
        if not evidence.usable(at + 0.6, PATIENCE_S):
            return
    raise AssertionError("never passed over")


def test_a_request_given_up_at_a_dark_server_takes_it_out():
    # A server loses power with its connections open. Each read sent there would wait
    # for as long as the patience of its caller allows.
    evidence = Evidence()
    evidence.sent(1, 0.0)
    evidence.timed_out(1, 0.4)
    assert not evidence.usable(0.8, PATIENCE_S)
    assert evidence.usable(1.0, PATIENCE_S)


def test_a_request_given_up_at_a_busy_server_does_not():
    evidence = Evidence()
    evidence.sent(1, 0.0)
    evidence.sent(2, 0.0)
    evidence.answered(2, 0.9, USUAL_S, good=True)
    evidence.timed_out(1, 1.0)
    assert evidence.usable(1.0, PATIENCE_S)
