"""Records what backend servers announce: load, limits, departures and back-offs."""

from .. import logs
from ..core import messages as msg
from ..core.backend_state import Incarnation, Server
from ..core.fleet_shares import serving_hosts
from ..http1_client import ResponseHead
from ..platform.answer_signals import read_signals
from ..platform.load_header import LoadReport, NoReport, read_load
from .attempt import MISDIRECTED
from .context import Gateway
from .paces import OWN, record_pace


def record_signals(
    gateway: Gateway, server: Server, head: ResponseHead, sent_at: float
) -> None:
    """Record the signals in the head of a server's response.

    A misdirected request was answered by another process that now has the address of
    the server. Its signals do not apply to this server, so they are ignored.

    Parameters
    ----------
    gateway : Gateway
        Shared state of this host.
    server : Server
        The server to which the request was sent.
    head : ResponseHead
        Status and headers of the response.
    sent_at : float
        Monotonic time just before the request was sent, in seconds.
    """
    if head.status == MISDIRECTED:
        return
    _record_load(gateway, server, read_load(head.headers))
    signals = read_signals(head.status, head.headers)
    for name in signals.unreadable:
        gateway.metrics.count(f"signals.unreadable.{name}")
    gate = gateway.steering.placement.gate
    incarnation = server.entry.incarnation
    if signals.leaving and gate.departures.observe(incarnation):
        _log_leaving(incarnation, OWN)
    if "rest" not in signals.unreadable:
        _record_backoff(gateway, incarnation, signals.rest_s)
    if "limit" in signals.unreadable:
        return
    if gate.rates.observe(incarnation, signals.rate, sent_at, gateway.now()):
        _apply_limit(gateway, incarnation, signals.rate, OWN)


def _record_load(
    gateway: Gateway, server: Server, report: LoadReport | NoReport
) -> None:
    if report is NoReport.UNREADABLE:
        gateway.metrics.count("signals.unreadable.load")
    if isinstance(report, LoadReport):
        known = gateway.steering.placement.known
        known.learn_load(server, report.requests, gateway.now())
        record_pace(gateway, server, report)


def _record_backoff(
    gateway: Gateway, server: Incarnation, retry_after_s: float
) -> None:
    backoffs = gateway.steering.placement.gate.backoffs
    if backoffs.observe(server, retry_after_s, gateway.now()):
        gateway.metrics.count("servers.rests")
        logs.event(
            "server-rests",
            server=server[0],
            born_ms=server[1],
            rest_ms=int(1000 * retry_after_s),
        )


def record_peer_signals(
    gateway: Gateway, source: str, message: msg.ServerLimits | msg.ServersLeaving
) -> None:
    """Record what servers have announced to another host.

    Parameters
    ----------
    gateway : Gateway
        Shared state of this host.
    source : str
        Id of the other host.
    message : ServerLimits or ServersLeaving
        What servers have announced to it.
    """
    if isinstance(message, msg.ServersLeaving):
        departures = gateway.steering.placement.gate.departures
        for server in message.servers:
            if departures.learn_from_peer(server):
                _log_leaving(server, source)
    else:
        _record_peer_limits(gateway, source, message)


def _record_peer_limits(
    gateway: Gateway, source: str, message: msg.ServerLimits
) -> None:
    rates = gateway.steering.placement.gate.rates
    now = gateway.now()
    for server_id, born_ms, rate, age_s in message.items:
        # A negative rate in the message stands for no limit.
        limit_per_s = rate if rate >= 0.0 else None
        if rates.learn_from_peer(
            (server_id, born_ms), limit_per_s, now - max(0.0, age_s), now
        ):
            _apply_limit(gateway, (server_id, born_ms), limit_per_s, source, age_s)


def _log_leaving(server: Incarnation, source: str) -> None:
    logs.event("server-leaving", server=server[0], born_ms=server[1], source=source)


def _apply_limit(
    gateway: Gateway,
    server: Incarnation,
    limit_per_s: float | None,
    source: str,
    age_s: float = 0.0,
) -> None:
    """Recompute the rate that this host may send after a changed limit; log both.

    Parameters
    ----------
    gateway : Gateway
        Shared state of this host.
    server : Incarnation
        The server that has announced the limit.
    limit_per_s : float or None
        Requests a second from all hosts together; None for no limit.
    source : str
        Id of the host that got the announcement, or `OWN`.
    age_s : float, optional
        Time since the limit was last known to hold, in seconds.
    """
    rates = gateway.steering.placement.gate.rates
    now = gateway.now()
    rates.set_hosts(serving_hosts(gateway.roster, now), now)
    own_rate_per_s = rates.share_per_s_of(server)
    logs.event(
        "server-limit",
        server=server[0],
        born_ms=server[1],
        limit_per_s="none" if limit_per_s is None else limit_per_s,
        here_per_s="any" if limit_per_s is None else round(own_rate_per_s, 3),
        source=source,
        age_ms=int(1000 * age_s),
    )
