"""The homes of each key: one for all hosts, and one in regions with enough servers.

The home of a key is the server that rendezvous hashing gives the key.

Designed for a few objects per server in three regions, where a cold run costs far more
than a network round trip between regions. When requests went from the full home of each
region on to the homes of the other regions, each object was cold on many servers in
turn, and cold runs filled the slots. So a request that finds the local home full goes
to the one home that all regions share, which is warm (it has handled the object
recently). Both homes come from one order over all regions: its first server, and the
local home of this host, see `LocalHomes`. If the first two servers were used unchanged,
more requests would run in another region than their caller's.
"""

from ..backend_state import Server
from ..rendezvous import ranked
from .local_homes import LocalHomes, LocalShares

# Upper limit of cached orders per service; an order costs one hash for each server.
MAX_ORDERS = 20_000


class Homes:
    """The servers of each service, and their order for each key.

    Parameters
    ----------
    local_homes : LocalHomes
        Decides which server is a key's local home.
    """

    __slots__ = ("_by_service", "_local_homes", "_orders", "_shares")

    def __init__(self, local_homes: LocalHomes) -> None:
        self._local_homes = local_homes
        self._by_service: dict[str, list[Server]] = {}
        # Both are computed from the servers of a service, and again when these change.
        self._orders: dict[str, dict[str, list[Server]]] = {}
        self._shares: dict[str, LocalShares] = {}

    def add(self, server: Server) -> None:
        """Add a server to those of its service."""
        service = server.entry.service
        self._by_service.setdefault(service, []).append(server)
        self._forget_orders(service)

    def remove(self, server: Server) -> None:
        """Remove a server that is gone, or that drains and gets no new requests."""
        service = server.entry.service
        servers = self._by_service.get(service, [])
        if server in servers:
            servers.remove(server)
            self._forget_orders(service)

    def _forget_orders(self, service: str) -> None:
        self._orders.pop(service, None)
        self._shares.pop(service, None)

    def of_service(self, service: str) -> list[Server]:
        """Return the servers of a service, in the order in which they were added."""
        return self._by_service.get(service, [])

    def order(self, service: str, key: str) -> list[Server]:
        """Return the servers of a service: key's home, local home, other servers.

        `key` is the name of an object, as for `Server.warm`. Without a local home, the
        order is that of rendezvous hashing.
        """
        orders = self._orders.setdefault(service, {})
        order = orders.get(key)
        if order is None:
            by_id = {srv.entry.server_id: srv for srv in self.of_service(service)}
            order = [by_id[server_id] for server_id in ranked(key, by_id)]
            self._move_up_local(service, key, order)
            if len(orders) >= MAX_ORDERS:
                orders.clear()
            orders[key] = order
        return order

    def _move_up_local(self, service: str, key: str, order: list[Server]) -> None:
        shares = self._shares.get(service)
        if shares is None:
            shares = self._local_homes.shares(order)
            self._shares[service] = shares
        index = self._local_homes.index(key, order, shares)
        if index:
            order.insert(1, order.pop(index))
