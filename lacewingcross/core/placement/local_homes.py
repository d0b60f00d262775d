"""Decides which keys have a local home in the host's region, and which server it is.

Designed for regions of 7, 33 and 27 servers with callers spread evenly over them. When
each of 499 objects had a local home among the seven servers, which keep 27 objects
each, the objects displaced each other and a third of all requests went to a tenth of
the slots. So a region gives local homes only to as many keys as fits its part of the
servers. Which keys these are follows from a hash, so all hosts of a region agree
without a message, and a server that joins or leaves changes it for few keys.

Within the region, the local home is a server of the host's own failure domain, where
that has its part of the region's servers: traffic between failure domains costs money.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from ..backend_state import Server
from ..rendezvous import HASH_RANGE, hash64


@dataclass(slots=True, frozen=True)
class LocalShares:
    """Shares of the keys that have a local home, 0 to 1.

    `in_region` is the share with a local home in the host's region, and `in_domain` the
    share of these whose local home is in the host's failure domain.
    """

    in_region: float
    in_domain: float


class LocalHomes:
    """Local homes of keys as seen by one host.

    Parameters
    ----------
    region, domain : str
        Region and failure domain of this host. Without a region, no key has a local
        home; without a failure domain, any server of the region may be one.
    weighted : bool
        Whether a region with few servers has local homes for some keys only.
    """

    __slots__ = ("_domain", "_region", "_weighted")

    def __init__(self, region: str, domain: str = "", *, weighted: bool = True) -> None:
        self._domain = domain
        self._region = region
        self._weighted = weighted

    def shares(self, servers: Iterable[Server]) -> LocalShares:
        """Return for which shares of a service's keys there are local homes.

        Parameters
        ----------
        servers : iterable of Server
            Servers of the service that take requests.
        """
        regions: Counter[str] = Counter()
        domains: Counter[str] = Counter()
        for server in servers:
            regions[server.region] += 1
            if server.region == self._region:
                domains[server.entry.failure_domain] += 1
        in_region = share_of_mean(regions, self._region) if self._weighted else 1.0
        return LocalShares(in_region, share_of_mean(domains, self._domain))

    def index(self, key: str, order: list[Server], shares: LocalShares) -> int:
        """Return the position of a key's local home in its order, 0 for none.

        The first server of the order is the home for all hosts and never the local one.
        """
        if not self._region or not _selected(
            "region", self._region, key, shares.in_region
        ):
            return 0
        if _selected("domain", self._domain, key, shares.in_domain):
            for index in range(1, len(order)):
                if order[index].entry.failure_domain == self._domain:
                    return index
        for index in range(1, len(order)):
            if order[index].region == self._region:
                return index
        return 0


def share_of_mean(counts: Counter[str], name: str) -> float:
    """Return the count of `name` divided by the mean of all counts, 1 at most."""
    return min(1.0, counts[name] * len(counts) / counts.total()) if counts else 0.0


def _selected(scope: str, name: str, key: str, share: float) -> bool:
    """Return whether a key belongs to the share of keys that have a home in a place."""
    return hash64("local-home", scope, name, key) < share * HASH_RANGE
