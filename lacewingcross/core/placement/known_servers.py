"""The backend servers that one host knows, and what other hosts report of them."""

from collections import Counter
from collections.abc import Iterable

from ..backend_state import Server, ServerEntry
from .homes import Homes


class KnownServers:
    """Backend servers by id, and what hosts report of them.

    A server is warm for an object, and for its key, that it has handled recently.

    Parameters
    ----------
    region_of : dict of str to str
        Region of each failure domain.
    homes : Homes
        Updated with every change of the servers.
    """

    __slots__ = ("_homes", "_newly_handled", "_peer_counts", "_region_of", "servers")

    def __init__(self, region_of: dict[str, str], homes: Homes) -> None:
        self._homes = homes
        # Servers and objects to report to other hosts.
        self._newly_handled: list[tuple[str, str]] = []
        self._region_of = region_of
        # Requests in flight by server id, as each other host last reported them.
        self._peer_counts: dict[str, dict[str, int]] = {}
        self.servers: dict[str, Server] = {}

    def put(self, entry: ServerEntry, now: float) -> None:
        """Add a server or update its entry.

        Guards against a mix-up of runs: a server crashes and starts again under its id.
        What was observed of the earlier run (failures, warm keys, requests in flight)
        would be held against the new run, and an entry of the earlier run that arrives
        late would bring that run back. So a new run begins without observations, and
        entries of earlier runs are ignored.
        """
        known = self.servers.get(entry.server_id)
        if known is not None and entry.born_ms < known.entry.born_ms:
            return
        server = known
        if known is None or entry.born_ms > known.entry.born_ms:
            region = self._region_of.get(entry.failure_domain, "")
            server = Server(entry, region, used_at=now)
            self.servers[entry.server_id] = server
        changes_use = server is not known or _changes_use(known.entry, entry)
        if changes_use and known is not None:
            self._homes.remove(known)
        server.entry = entry
        if changes_use and not entry.draining:
            self._homes.add(server)
        if entry.cold_left_s > 0:
            server.cold_until = max(server.cold_until, now + entry.cold_left_s)

    def drop(self, server_id: str) -> None:
        """Remove a server that is gone."""
        server = self.servers.pop(server_id, None)
        if server is not None:
            self._homes.remove(server)

    def in_flight(self) -> dict[str, int]:
        """Return how many requests this host has in flight, by server id.

        Withdrawn requests, which show no answer, are included for a while.
        """
        return {
            server_id: server.own + server.withdrawn
            for server_id, server in self.servers.items()
            if server.own or server.withdrawn
        }

    def set_peer_counts(self, peer: str, counts: dict[str, int], now: float) -> None:
        """Set how many requests another host has in flight at each server.

        Touches only the servers that the host lists or listed last. With 22 other hosts
        in a region, each reporting eleven times per second, a walk over 250 servers for
        each message would take longer than the rest of its processing.
        """
        for server_id in self._peer_counts.pop(peer, {}).keys() - counts.keys():
            if server_id in self.servers:
                _set_peer_count(self.servers[server_id], peer, 0, now)
        for server_id, count in counts.items():
            if server_id in self.servers:
                _set_peer_count(self.servers[server_id], peer, count, now)
                self.servers[server_id].used_at = now
        if counts:
            self._peer_counts[peer] = counts

    def in_flight_by_region(self, peers: Iterable[str], service: str) -> Counter[str]:
        """Return how many requests other hosts have in flight at a service, by region.

        `peers` are the ids of these hosts.
        """
        found: Counter[str] = Counter()
        for peer in peers:
            for server_id, count in self._peer_counts.get(peer, {}).items():
                server = self.servers.get(server_id)
                if server is not None and server.entry.service == service:
                    found[server.region] += count
        return found

    def change_peer_counts(
        self, peer: str, changes: dict[str, int], now: float
    ) -> None:
        """Update another host's numbers of requests in flight that have changed.

        A number of 0 means that the host has no more requests in flight at the server.
        """
        peer_counts = self._peer_counts.setdefault(peer, {})
        for server_id, count in changes.items():
            if count:
                peer_counts[server_id] = count
            else:
                peer_counts.pop(server_id, None)
            server = self.servers.get(server_id)
            if server is None:
                continue
            server.used_at = now
            _set_peer_count(server, peer, count, now)

    def forget_peer(self, peer: str, now: float) -> None:
        """Drop the requests of a host that is gone; they have not been answered."""
        for server_id in self._peer_counts.pop(peer, {}):
            server = self.servers.get(server_id)
            if server is not None and peer in server.of_peers:
                server.set_peer_count(peer, 0)
                server.note_in_flight(now)

    def set_handled(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Record which servers are warm for which objects, as another host reports.

        `pairs` holds a server id and the name of an object each.
        """
        for server_id, object_name in pairs:
            if server_id in self.servers:
                self.servers[server_id].warm.handled(object_name)

    def handled(self, server: Server, object_name: str) -> None:
        """Record that a server is sent a request of this host for an object."""
        if server.warm.handled(object_name):
            self._newly_handled.append((server.entry.server_id, object_name))

    def take_newly_handled(self) -> list[tuple[str, str]]:
        """Return and clear what `handled` has recorded since the last call.

        These are pairs of a server id and the name of an object for which that server
        was not warm before.
        """
        newly_handled, self._newly_handled = self._newly_handled, []
        return newly_handled

    def learn_load(self, server: Server, load: int, now: float) -> None:
        """Record the load that a server reports: how many requests run or wait."""
        server.reported_load = load
        server.reported_at = now


def _set_peer_count(server: Server, peer: str, count: int, now: float) -> None:
    """Set a host's requests in flight at a server; fewer of them show an answer."""
    before = server.of_peers.get(peer, 0)
    if count == before:
        return
    if count < before:
        server.evidence.ended_at_peer(peer, now)
    server.set_peer_count(peer, count)
    server.note_in_flight(now)


def _changes_use(before: ServerEntry, after: ServerEntry) -> bool:
    """Return whether a new entry changes the service or draining state of a server."""
    return (before.service, before.draining) != (after.service, after.draining)
