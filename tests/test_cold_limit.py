"""Cold servers: the bound over all hosts, kept without any messages."""

from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingcross.core.cold_limit import ColdSends, cold_send_limit


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    hosts=st.integers(1, 9),
    sends=st.lists(st.tuples(st.integers(0, 8), st.floats(0, 0.1)), max_size=400),
)
def test_no_second_carries_more_than_the_bound(hosts, sends):
    # A region's servers return cold together. Every host, also a partitioned one, sends
    # as much as it may. A server that gets more than the bound would break again.
    limit = cold_send_limit(14.0, 1.5, 5.0, 1.0 / hosts)
    shares = [ColdSends() for _ in range(hosts)]
    now = 0.0
    sent = []
    for index, pause in sends:
        now += pause
        share = shares[index % hosts]
        if share.has_room(limit, now):
            share.count(now)
            sent.append(now)
    for start in sent:
        within = [at for at in sent if start <= at <= start + 1.0]
        assert len(within) <= 14.0 * 1.5 + 5.0


def test_a_share_is_available_again_after_a_second():
    share = ColdSends()
    share.count(0.0)
    assert not share.has_room(1, 1.0)
    assert share.has_room(1, 1.2)
