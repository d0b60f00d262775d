"""Counts of requests in flight as hosts send them to each other."""

from hypothesis import given
from hypothesis import strategies as st

from lacewingcross.core.messages import LostDomains
from lacewingcross.core.placement.known_servers import KnownServers
from lacewingcross.gateway.gossip_sender import changed_counts
from lacewingcross.gateway.link import MAX_QUEUED_FRAMES
from lacewingcross.wire import encode
from tests.gateway_parts import answers_at_once, fleet, in_loop, until

COUNTS = st.dictionaries(st.sampled_from("abcd"), st.integers(1, 5))


@given(st.lists(COUNTS, max_size=8))
def test_changed_counts_add_up_to_the_counts_of_the_sender(steps):
    # After each message the other host must have the same counts as the sender.
    class NoHomes:
        def add(self, server): ...

        def remove(self, server): ...

    known = KnownServers({}, NoHomes())
    before = None
    for counts in steps:
        changes = dict(changed_counts(counts, before or {}))
        if before is None:
            known.set_peer_counts("p", changes, 0.0)
        else:
            known.change_peer_counts("p", changes, 0.0)
        before = counts
        assert known._peer_counts.get("p", {}) == counts


@in_loop
async def test_another_host_gets_counts_in_flight_and_their_return_to_zero():
    async with fleet() as env:
        env.configure()
        await env.add_server(answers_at_once)
        first = await env.ready(await env.add_host())
        second = await env.ready(await env.add_host(domain="a2"))
        await until(lambda: len(second.gateway.roster.entries) == 1)
        here = first.gateway.steering.placement.known.servers["i-1"]
        there = second.gateway.steering.placement.known.servers["i-1"]
        for count in (3, 2, 0, 1, 0):
            here.own = count
            await until(lambda n=count: there.of_peers.get("host-0", 0) == n)


@in_loop
async def test_what_a_dropped_message_held_is_sent_again():
    # Guards against a host that reads too slowly for a while and never hears which
    # servers are silent, leave or limit their requests, until the next such change.
    async with fleet() as env:
        env.configure()
        await env.add_server(answers_at_once)
        first = await env.ready(await env.add_host())
        await env.ready(await env.add_host(domain="a2"))
        await until(lambda: "host-1" in first._peers._links)
        link = first._peers._links["host-1"]
        link.last_silence_version = link.last_signals_version = 7
        link.last_paths_version = 7
        frame = encode(LostDomains([]))
        for _ in range(MAX_QUEUED_FRAMES + 1):
            link.send_frame(frame, LostDomains)
        assert link.last_silence_version is None
        assert link.last_signals_version is None
        assert link.last_paths_version is None
        assert link.last_counts is None
