"""Takes what backend servers say of themselves into what this host believes."""

from .. import logs
from ..core import messages as msg
from ..core.backend_state import Incarnation, Server
from ..http1_client import ResponseHead
from ..platform.answer_signals import read_signals
from .attempt import MISDIRECTED
from .context import Gateway

OWN = "own"


def learn_signals(
    gateway: Gateway, server: Server, head: ResponseHead, asked_at: float
) -> None:
    """Take in the head of an answer to a request that was sent at `asked_at`.

    A misdirected request was answered by whoever has the server's address now: that
    says nothing of this one.
    """
    if head.status == MISDIRECTED:
        return
    said = read_signals(head.headers)
    for name in said.unreadable:
        gateway.metrics.count(f"signals.unreadable.{name}")
    if said.leaving:
        gateway.metrics.count("signals.leaving")
        logs.event(
            "server-leaving",
            server=server.entry.server_id,
            born_ms=server.entry.born_ms,
        )
    if "limit" not in said.unreadable:
        rates = gateway.steering.placement.gate.rates
        incarnation = server.entry.incarnation
        if rates.heard(incarnation, said.rate, asked_at, gateway.now()):
            _log_limit(gateway, incarnation, said.rate, OWN)


def take_told(gateway: Gateway, source: str, message: msg.ServerLimits) -> None:
    """Take in what another host has heard of servers' limits."""
    rates = gateway.steering.placement.gate.rates
    now = gateway.now()
    for server_id, born_ms, rate, age_s in message.items:
        said = rate if rate >= 0.0 else None
        if rates.told((server_id, born_ms), said, now - age_s, now):
            _log_limit(gateway, (server_id, born_ms), said, source, age_s)


def _log_limit(
    gateway: Gateway,
    server: Incarnation,
    rate: float | None,
    source: str,
    age_s: float = 0.0,
) -> None:
    here = gateway.steering.placement.gate.rates.share_of(server)
    logs.event(
        "server-limit",
        server=server[0],
        born_ms=server[1],
        limit_per_s="none" if rate is None else rate,
        here_per_s="any" if rate is None else round(here, 3),
        source=source,
        age_ms=int(1000 * age_s),
    )


def measure_signals(gateway: Gateway) -> None:
    """Set the gauges of servers that ask for something."""
    rates = gateway.steering.placement.gate.rates
    limits = {server[0]: limit for server, limit in rates.in_force()}
    metrics = gateway.metrics
    metrics.set_gauge("servers.passed-over.limit", rates.passed_over)
    metrics.replace_gauges(
        "servers.limit.", {name: limit.rate for name, limit in limits.items()}
    )
    metrics.replace_gauges(
        "servers.limit-here.", {name: limit.share for name, limit in limits.items()}
    )
