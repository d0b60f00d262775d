"""Cold servers: the bound over all hosts, kept without any messages."""

from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingcross.core.cold_limit import ColdShare, share_of


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    hosts=st.integers(1, 9),
    asks=st.lists(st.tuples(st.integers(0, 8), st.floats(0, 0.1)), max_size=400),
)
def test_no_second_carries_more_than_the_bound(hosts, asks):
    # A region's servers return cold together. Every host, also a partitioned one, sends
    # as much as it may. A server that gets more than the bound would break again.
    limit = share_of(14.0, 1.5, 5.0, 1.0 / hosts)
    shares = [ColdShare() for _ in range(hosts)]
    now = 0.0
    sent = []
    for who, pause in asks:
        now += pause
        share = shares[who % hosts]
        if share.room(limit, now):
            share.count(now)
            sent.append(now)
    for start in sent:
        within = [at for at in sent if start <= at <= start + 1.0]
        assert len(within) <= 14.0 * 1.5 + 5.0


def test_a_share_frees_up_after_a_second():
    share = ColdShare()
    share.count(0.0)
    assert not share.room(1, 1.0)
    assert share.room(1, 1.2)
