"""Where a key lives: one home for all hosts, and one in each region.

Answers this load: a few objects for each server in three regions, where cold work costs
far more than a way between regions. With spilling from each region's home to those of
the others, each object was cold on many servers in turn, and cold work filled the
slots. So what finds the local home full goes to the one home that all regions share,
which is warm. With two homes by one order over all regions, more requests would run in
another region than their caller's.
"""

from .backend_state import Server
from .rendezvous import ranked

# Orders kept at most for each service; an order costs one hash for each server.
MAX_ORDERS = 20_000


class Homes:
    """The orders of servers for keys, and the servers of each service.

    Parameters
    ----------
    region : str
        Region of this host.
    """

    __slots__ = ("_by_service", "_orders", "_region")

    def __init__(self, region: str) -> None:
        self._region = region
        self._by_service: dict[str, list[Server]] = {}
        self._orders: dict[str, dict[str, list[Server]]] = {}

    def add(self, server: Server) -> None:
        """Add a server to those of its service."""
        service = server.entry.service
        self._by_service.setdefault(service, []).append(server)
        self._orders.pop(service, None)

    def remove(self, server: Server) -> None:
        """Take a server away: it is gone, or drains and gets nothing new."""
        service = server.entry.service
        group = self._by_service.get(service, [])
        if server in group:
            group.remove(server)
            self._orders.pop(service, None)

    def of_service(self, service: str) -> list[Server]:
        """Return the servers of a service."""
        return self._by_service.get(service, [])

    def order(self, service: str, key: str) -> list[Server]:
        """Return the servers of a service: the key's home, the local home, the others.

        The local home is the first of this host's region besides the home itself.
        """
        orders = self._orders.setdefault(service, {})
        order = orders.get(key)
        if order is None:
            by_id = {srv.entry.server_id: srv for srv in self.of_service(service)}
            order = [by_id[server_id] for server_id in ranked(key, by_id)]
            self._move_up_local(order)
            if len(orders) >= MAX_ORDERS:
                orders.clear()
            orders[key] = order
        return order

    def _move_up_local(self, order: list[Server]) -> None:
        for index in range(2, len(order)):
            if order[index].region == self._region and order[1].region != self._region:
                order.insert(1, order.pop(index))
                return
