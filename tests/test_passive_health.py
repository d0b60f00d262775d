"""What one host concludes from its own attempts at a server."""

from lacewingcross.core.passive_health import FailureShare, PassiveHealth

SILENCE_TIMEOUT_S = 0.4


def test_an_unreachable_server_is_skipped_for_longer_each_time():
    health = PassiveHealth()
    health.sent(1, 0.0, SILENCE_TIMEOUT_S)
    health.unreachable(1, 0.0)
    assert not health.usable(0.4)
    assert health.usable(0.6)
    health.sent(2, 0.6, SILENCE_TIMEOUT_S)
    health.unreachable(2, 0.6)
    assert not health.usable(1.5)
    assert health.usable(1.7)


def test_after_a_pause_one_request_goes_first():
    # The pause of a crashed server is over. If the requests of all its keys were sent
    # at once and the server was still down, all of these requests would be lost.
    health = PassiveHealth()
    health.unreachable(1, 0.0)
    assert health.usable(1.0)
    health.sent(2, 1.0, SILENCE_TIMEOUT_S)
    assert not health.usable(1.01)
    health.answered(2, 1.1, good=True)
    health.sent(3, 1.2, SILENCE_TIMEOUT_S)
    assert health.usable(1.2)


def test_a_silent_server_is_skipped_until_it_answers():
    # A server loses power: connections stay open and nothing ever comes back.
    health = PassiveHealth()
    health.sent(1, 0.0, SILENCE_TIMEOUT_S)
    assert health.usable(0.3)
    assert not health.usable(0.5)
    health.answered(1, 0.6, good=True)
    assert health.usable(0.6)


def test_a_busy_server_that_still_answers_is_not_silent():
    health = PassiveHealth()
    health.sent(1, 0.0, SILENCE_TIMEOUT_S)
    health.sent(2, 0.0, SILENCE_TIMEOUT_S)
    health.answered(1, 0.35, good=True)
    assert health.usable(0.5)


def test_a_server_that_fails_half_its_requests_is_skipped():
    health = PassiveHealth()
    for number in range(20):
        health.sent(number, 0.0, SILENCE_TIMEOUT_S)
        if number % 2:
            health.failed(number, 0.0)
        else:
            health.answered(number, 0.05, good=True)
    assert not health.usable(0.1)
    assert health.usable(0.1, last_resort=True)


def test_shedding_by_a_full_server_does_not_count_as_failure():
    health = PassiveHealth()
    for number in range(20):
        health.sent(number, 0.0, SILENCE_TIMEOUT_S)
        health.shed(number, 0.0, full=True)
    assert health.usable(0.1)


def test_a_silent_server_is_skipped_after_a_timeout():
    # A server loses power with its connections open. Each read sent there would wait
    # for as long as its caller is prepared to wait.
    health = PassiveHealth()
    health.sent(1, 0.0, SILENCE_TIMEOUT_S)
    health.timed_out(1, 0.4)
    assert not health.usable(0.8)
    assert health.usable(1.0)


def test_a_busy_server_is_not_skipped_after_a_timeout():
    health = PassiveHealth()
    health.sent(1, 0.0, SILENCE_TIMEOUT_S)
    health.sent(2, 0.0, SILENCE_TIMEOUT_S)
    health.answered(2, 0.9, good=True)
    health.timed_out(1, 1.0)
    assert health.usable(1.0)


def test_the_silence_timeout_is_that_of_each_request():
    # A history request takes 1.6 s on a cold server, and a level request 80 ms. With
    # the silence timeout of the level request, the server would count as silent while
    # it runs the history request.
    health = PassiveHealth()
    health.sent(1, 0.0, 4.0)
    assert health.usable(1.0)
    health.sent(2, 1.0, SILENCE_TIMEOUT_S)
    assert not health.usable(1.5)


def test_failures_of_a_whole_service_are_distinguished_from_those_of_a_few_servers():
    # For eight seconds every server sheds half of its requests. If each were skipped in
    # turn, the requests of each key would go to one server after another, and the key
    # would be cold on all of them.
    partial = FailureShare()
    for number in range(400):
        partial.add(number % 7 == 0 and number % 2 == 0)
    assert not partial.all_taken_to_fail()
    common = FailureShare()
    for number in range(100):
        common.add(number % 2 == 0)
    assert common.all_taken_to_fail()
