"""Records the paces that backend servers report to this host or to others."""

from .. import logs
from ..core import messages as msg
from ..core.backend_state import Incarnation, Server
from ..core.pace.change_log import PaceChange
from ..core.pace.server_paces import limited_factor
from ..http1_client import ResponseHead
from ..platform.load_header import LoadReport, read_load
from .context import Gateway
from .silence import note_peer_pace

# Value of `source` in log events for what a server has reported to this host itself.
OWN = "own"


def record_pace(gateway: Gateway, server: Server, report: LoadReport) -> None:
    """Record the pace in a report of a server, if there is one."""
    if report.pace_percent is None or not gateway.cfg.policy.server_pace:
        return
    incarnation = server.entry.incarnation
    paces = gateway.steering.placement.paces
    change = paces.observe(incarnation, report.pace_percent, gateway.now())
    _log_change(incarnation, change, OWN)


def record_peer_paces(gateway: Gateway, source: str, message: msg.ServerPaces) -> None:
    """Record the paces that servers have reported to another host.

    Only incarnations of servers that this host knows from the store count.

    Parameters
    ----------
    gateway : Gateway
        Shared state of this host.
    source : str
        Id of the other host.
    message : ServerPaces
        The paces.
    """
    if not gateway.cfg.policy.server_pace:
        return
    placement = gateway.steering.placement
    now = gateway.now()
    for server_id, born_ms, percent, age_s in message.items:
        known = placement.known.servers.get(server_id)
        if known is None or known.entry.born_ms != born_ms:
            continue
        incarnation = (server_id, born_ms)
        change = placement.paces.learn_from_peer(incarnation, percent, now - age_s, now)
        _log_change(incarnation, change, source)
        note_peer_pace(gateway, known, source, now - age_s)


def reported_factor(gateway: Gateway, head: ResponseHead) -> float | None:
    """Return the factor on a server's usual times that a response reports, if any."""
    report = read_load(head.headers)
    if not gateway.cfg.policy.server_pace or not isinstance(report, LoadReport):
        return None
    percent = report.pace_percent
    return None if percent is None else limited_factor(percent)


def _log_change(server: Incarnation, change: PaceChange | None, source: str) -> None:
    if change is None:
        return
    logs.event(
        "server-pace",
        server=server[0],
        born_ms=server[1],
        before=round(change.before, 2),
        pace=round(change.factor, 2),
        source=source,
        skipped=change.skipped,
    )
