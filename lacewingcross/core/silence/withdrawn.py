"""Requests that ended without an answer at servers which may be silent."""

from collections.abc import Callable

from ..backend_state import Incarnation, Server


class WithdrawnRequests:
    """Requests of this host of which other hosts are told after their end.

    Other hosts would take a lower number of requests in flight for an answer. The
    numbers are kept in `Server.withdrawn`.
    """

    __slots__ = ("_requests",)

    def __init__(self) -> None:
        # When each request ended, and until when other hosts are told at most, by run
        # of a server.
        self._requests: dict[Incarnation, list[tuple[float, float]]] = {}

    def add(self, server: Server, now: float, max_s: float) -> None:
        """Tell other hosts of a request that has ended, for at most `max_s` seconds."""
        requests = self._requests.setdefault(server.entry.incarnation, [])
        requests.append((now, now + max_s))
        server.withdrawn = len(requests)

    def clear(self, server: Server) -> None:
        """Tell no longer of a server's requests, since it answers."""
        if server.withdrawn:
            self._requests.pop(server.entry.incarnation, None)
            server.withdrawn = 0

    def release(
        self, server_of: Callable[[Incarnation], Server | None], now: float
    ) -> None:
        """Tell no longer of requests of servers that were heard since they ended.

        `server_of` returns the known run of a server, None for one that is gone.
        """
        for incarnation, requests in list(self._requests.items()):
            server = server_of(incarnation)
            if server is not None:
                heard_at = server.evidence.heard_at
                requests[:] = [
                    (ended_at, until)
                    for ended_at, until in requests
                    if heard_at <= ended_at and now < until
                ]
                server.withdrawn = len(requests)
                server.note_ended()
            if server is None or not requests:
                del self._requests[incarnation]
