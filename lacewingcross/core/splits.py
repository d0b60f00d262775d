"""Divides a route's requests over its services in the declared proportions."""

from .rendezvous import HASH_RANGE, hash64
from .routes import Part, Route

# Number of requests over which the proportions are kept. When it is reached, the counts
# are halved, so that older requests count less. The number is about ten seconds of one
# host's share of a route.
MEMORY_REQUESTS = 200
# A service's share of the route's requests may exceed its weight by this much before
# keys are moved away from the service. The tolerance is a quarter of what the users
# count as wrong, since all hosts err on the same keys.
TOLERANCE = 0.025


class Splitter:
    """Picks the service of each request of one split route.

    A key goes to the same service as long as the proportions allow, since a server of a
    second service would have to handle the object of the key once before the server is
    warm for it. A few hot keys can weigh more than the tolerance; then the service that
    is furthest below its weight gets the request. Weights are scaled to add up to 1.
    """

    __slots__ = ("_counts", "_parts", "_total")

    def __init__(self, route: Route) -> None:
        total = sum(part.weight for part in route.parts) or 1.0
        self._parts = [Part(part.service, part.weight / total) for part in route.parts]
        self._counts = [0.0] * len(self._parts)
        self._total = 0.0

    def pick(self, key: str) -> str:
        """Return the service for a request with affinity key `key`; count the request.

        The request counts in the share of the returned service.
        """
        index = self._by_key(key)
        if self._excess(index) > TOLERANCE:
            index = min(range(len(self._parts)), key=self._excess)
        self._count(index)
        return self._parts[index].service

    def _by_key(self, key: str) -> int:
        """Return the index of the service that the key alone would give."""
        position = hash64("split", key) / HASH_RANGE
        for index, part in enumerate(self._parts):
            position -= part.weight
            if position < 0:
                return index
        return len(self._parts) - 1

    def _excess(self, index: int) -> float:
        """Return by how much a service's share would exceed its weight.

        The share is that after one more request of the service. One request of excess
        does not count, so that the first requests may go where their key says.
        """
        share = (self._counts[index] + 1.0) / (self._total + 1.0)
        slack = 1.0 / (self._total + 1.0)
        return share - self._parts[index].weight - slack

    def _count(self, index: int) -> None:
        if self._total >= MEMORY_REQUESTS:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2
        self._counts[index] += 1.0
        self._total += 1.0
