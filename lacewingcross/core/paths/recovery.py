"""Which servers a host tries to reach again while paths are lost."""

from collections.abc import Iterable

from ..backend_state import Server
from .reachability import Reachability

# Time between two rounds of attempts while none succeeds, in seconds.
ROUND_INTERVAL_S = 1.0
# Maximum number of servers that one round tries. It limits the connections of a host
# that is cut off from thousands of servers.
MAX_PER_ROUND = 8


def servers_to_try(
    reachability: Reachability, servers: Iterable[Server], round_number: int
) -> list[Server]:
    """Return the servers that a round tries to connect to.

    Of a lost failure domain one server is tried at a time, each time a different one.
    If there are more than `MAX_PER_ROUND` domains and single servers, they take turns.

    Parameters
    ----------
    reachability : Reachability
        The lost paths.
    servers : iterable of Server
        The known servers.
    round_number : int
        Number of the round.
    """
    groups = _groups(reachability, servers)
    per_round = min(MAX_PER_ROUND, len(groups))
    first = round_number * per_round
    chosen = []
    for position in range(first, first + per_round):
        turn, index = divmod(position, len(groups))
        group = groups[index]
        chosen.append(group[turn % len(group)])
    return chosen


def _groups(
    reachability: Reachability, servers: Iterable[Server]
) -> list[list[Server]]:
    """Return the lost servers in groups of which one is tried at a time.

    The servers of a lost failure domain are one group. Any other server whose path is
    lost is a group of its own.
    """
    by_domain: dict[str, list[Server]] = {}
    single = []
    for server in servers:
        if server.entry.failure_domain in reachability.lost_domains:
            by_domain.setdefault(server.entry.failure_domain, []).append(server)
        elif reachability.is_lost(server.entry):
            single.append([server])
    return [*by_domain.values(), *single]
