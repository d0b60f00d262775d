"""What one host concludes from its own attempts at a server."""

from lacewingcross.core.passive_health import FailureShare, PassiveHealth

PATIENCE_S = 0.4


def test_a_server_that_cannot_be_reached_is_left_alone_for_longer_each_time():
    evidence = PassiveHealth()
    evidence.sent(1, 0.0, PATIENCE_S)
    evidence.unreachable(1, 0.0)
    assert not evidence.usable(0.4)
    assert evidence.usable(0.6)
    evidence.sent(2, 0.6, PATIENCE_S)
    evidence.unreachable(2, 0.6)
    assert not evidence.usable(1.5)
    assert evidence.usable(1.7)


def test_after_a_pause_one_request_goes_first():
    # The pause of a crashed server is over. If all its keys were sent at once, all of
    # them would be lost if it is still down.
    evidence = PassiveHealth()
    evidence.unreachable(1, 0.0)
    assert evidence.usable(1.0)
    evidence.sent(2, 1.0, PATIENCE_S)
    assert not evidence.usable(1.01)
    evidence.answered(2, 1.1, good=True)
    evidence.sent(3, 1.2, PATIENCE_S)
    assert evidence.usable(1.2)


def test_a_server_that_has_gone_dark_is_passed_over_until_it_answers():
    # A server loses power: connections stay open and nothing ever comes back.
    evidence = PassiveHealth()
    evidence.sent(1, 0.0, PATIENCE_S)
    assert evidence.usable(0.3)
    assert not evidence.usable(0.5)
    evidence.answered(1, 0.6, good=True)
    assert evidence.usable(0.6)


def test_a_busy_server_that_still_answers_is_not_silent():
    evidence = PassiveHealth()
    evidence.sent(1, 0.0, PATIENCE_S)
    evidence.sent(2, 0.0, PATIENCE_S)
    evidence.answered(1, 0.35, good=True)
    assert evidence.usable(0.5)


def test_a_server_that_fails_half_its_requests_is_passed_over():
    evidence = PassiveHealth()
    for number in range(20):
        evidence.sent(number, 0.0, PATIENCE_S)
        if number % 2:
            evidence.failed(number, 0.0)
        else:
            evidence.answered(number, 0.05, good=True)
    assert not evidence.usable(0.1)
    assert evidence.usable(0.1, desperate=True)


def test_a_full_server_that_sheds_is_not_held_against_it():
    evidence = PassiveHealth()
    for number in range(20):
        evidence.sent(number, 0.0, PATIENCE_S)
        evidence.shed(number, 0.0, full=True)
    assert evidence.usable(0.1)


def test_a_request_given_up_at_a_dark_server_takes_it_out():
    # A server loses power with its connections open. Each read sent there would wait
    # for as long as its caller is prepared to wait.
    evidence = PassiveHealth()
    evidence.sent(1, 0.0, PATIENCE_S)
    evidence.timed_out(1, 0.4)
    assert not evidence.usable(0.8)
    assert evidence.usable(1.0)


def test_a_request_given_up_at_a_busy_server_does_not():
    evidence = PassiveHealth()
    evidence.sent(1, 0.0, PATIENCE_S)
    evidence.sent(2, 0.0, PATIENCE_S)
    evidence.answered(2, 0.9, good=True)
    evidence.timed_out(1, 1.0)
    assert evidence.usable(1.0)


def test_patience_is_that_of_each_request():
    # A history takes 1.6 s on a cold server and a level 80 ms. With the silence timeout
    # of the level, the server would count as silent while it runs the history.
    evidence = PassiveHealth()
    evidence.sent(1, 0.0, 4.0)
    assert evidence.usable(1.0)
    evidence.sent(2, 1.0, PATIENCE_S)
    assert not evidence.usable(1.5)


def test_failures_at_all_servers_of_a_service_are_told_from_those_of_a_few():
    # For eight seconds every server sheds half of its requests. If each were skipped in
    # turn, every key would wander over all servers and be cold on each of them.
    few = FailureShare()
    for number in range(400):
        few.note(number % 7 == 0 and number % 2 == 0)
    assert not few.general()
    alike = FailureShare()
    for number in range(100):
        alike.note(number % 2 == 0)
    assert alike.general()
