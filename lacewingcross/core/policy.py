"""Switches for single mechanisms of placement, to measure the effect of each."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Policy:
    """Switches of single mechanisms; all are on unless an experiment turns them off.

    A server is warm for an object, and for its key, that it has handled recently. The
    homes of a key are the servers that rendezvous hashing gives the key.

    Attributes
    ----------
    fastest : bool
        Choose the server that is expected to answer first, not the first one with room
        in the key's order.
    local_home : bool
        Give each key a second home in the host's own region.
    stay_warm : bool
        Keep keys at servers that are warm for them when their homes change.
    idle_home : bool
        Let a home that is idle take over its keys from servers that are warm for them.
    kinds_apart : bool
        Distinguish objects of two kinds with the same key.
    warmth_told : bool
        Use reports of other hosts about the keys for which servers are warm.
    warm_waits : bool
        Let requests wait as long as the target allows, which is longer at a server that
        is warm for their object. Otherwise, `placement.MIN_WAITING` requests may wait.
    urgent_waits : bool
        Let one urgent request wait at a server where other requests are refused.
    failing_alike : bool
        Skip no server for failed attempts when all servers of its service are taken to
        fail.
    reserve_regions : bool
        Reserve regions for the requests that are bound to them, as long as there is
        room elsewhere for other requests.
    shed_back_soon : bool
        Let a caller retry soon if a server with free slots has shed its request.
    return_times : bool
        Tell refused callers to retry when capacity is expected, within their time.
        Otherwise, they retry after one mean service time. Applies to quotas as well.
    server_pace : bool
        Multiply the times that are expected at a server by the present pace of its
        work, where servers report it, and tell other hosts of it.
    in_time_first : bool
        Let requests that can only be late take free slots but no place in a queue, and
        refuse requests whose deadline cannot be met, see `overload.admission`.
    steady_regions : bool
        Limit how fast a host's requests move from one region to another.
    weighted_homes : bool
        Give only some keys a local home in a region with fewer servers than the mean of
        all regions.
    near_domain : bool
        Prefer servers in the host's own failure domain, as local homes and among those
        that are expected to answer at the same time.
    extra_homes : bool
        Let a key use one more server if no candidate answers within the target although
        the service has capacity.
    shared_silence : bool
        Skip servers that answer no host for longer than usual, by the findings of all
        hosts, and send repeatable requests that wait there to other servers.
    fair_shares : bool
        While capacity is short, let a client account above its max-min fair share of
        what a host admits take free slots only, and at a high load not the last one of
        a server, see `overload.fair_shares`.
    """

    fastest: bool = True
    local_home: bool = True
    stay_warm: bool = True
    idle_home: bool = True
    kinds_apart: bool = True
    warmth_told: bool = True
    warm_waits: bool = True
    urgent_waits: bool = True
    failing_alike: bool = True
    reserve_regions: bool = True
    shed_back_soon: bool = True
    return_times: bool = True
    server_pace: bool = True
    in_time_first: bool = True
    steady_regions: bool = True
    weighted_homes: bool = True
    near_domain: bool = True
    extra_homes: bool = True
    shared_silence: bool = True
    fair_shares: bool = True
