"""Which servers a host tries to reach again while paths are lost."""

from collections.abc import Iterable, Iterator
from itertools import islice

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

    One server of each lost failure domain comes first, a different one in each round.
    The others are single servers whose path is lost. If there are more than
    `MAX_PER_ROUND`, the rounds take turns.

    Parameters
    ----------
    reachability : Reachability
        The lost paths.
    servers : iterable of Server
        The known servers.
    round_number : int
        Number of the round.
    """
    by_domain: dict[str, list[Server]] = {}
    for server in servers:
        if reachability.is_lost(server.entry):
            by_domain.setdefault(server.entry.failure_domain, []).append(server)
    candidates = list(_candidates(reachability, by_domain, round_number))
    first = round_number * MAX_PER_ROUND % max(1, len(candidates))
    in_turn = candidates[first:] + candidates[:first]
    return list(islice(in_turn, MAX_PER_ROUND))


def _candidates(
    reachability: Reachability, by_domain: dict[str, list[Server]], round_number: int
) -> Iterator[Server]:
    lost_domains = sorted(by_domain.keys() & reachability.lost_domains)
    # Number of the domain's own turn: with many domains, one turn takes several rounds.
    rounds_per_turn = max(1.0, len(lost_domains) / MAX_PER_ROUND)
    turn = int(round_number / rounds_per_turn)
    for domain in lost_domains:
        lost = by_domain[domain]
        yield lost[turn % len(lost)]
    for domain in sorted(by_domain):
        if domain not in reachability.lost_domains:
            yield from by_domain[domain]
